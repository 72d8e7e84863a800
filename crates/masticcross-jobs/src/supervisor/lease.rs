//! The lease of everything that runs at a worker, and the fencing token of the calls.

use std::time::Duration;

use tokio::time::Instant;

/// Part by which a worker's clock may run slower than ours (the platform's pages).
const CLOCK_DRIFT: f64 = 0.02;

/// Time beyond a lease's end after which its runs surely are gone: the stop and the network.
const EXPIRY_MARGIN: Duration = Duration::from_millis(80);

/// Step between the tokens of two lives of an agent, so that raised tokens stay below the next.
const TOKENS_PER_MS: u64 = 256;

/// Step after the worker refused a token: more than a clock that jumped back can have lost.
const TOKEN_STEP: u64 = 60_000 * TOKENS_PER_MS;

/// Lease and token of an agent at its worker.
#[derive(Debug)]
pub struct Lease {
    length: Duration,
    token: u64,
    clock: Option<(u64, Instant)>,
    sent_at: Option<Instant>,
}

impl Lease {
    /// Creates a lease of a length, with a token that rises with the time of day.
    #[must_use]
    pub fn new(length: Duration, unix_ms: u64) -> Self {
        Self {
            length,
            token: unix_ms.saturating_mul(TOKENS_PER_MS),
            clock: None,
            sent_at: None,
        }
    }

    /// Returns the token of new calls.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Raises the token, so that calls sent before do nothing once a later one has arrived.
    pub fn raise_token(&mut self) {
        self.token += 1;
    }

    /// Raises the token above one that the worker has seen from an earlier incarnation of the agent.
    pub fn jump_token(&mut self, refused: u64) {
        self.token = self.token.max(refused.saturating_add(TOKEN_STEP));
    }

    /// Takes over the worker's clock from an answer.
    pub fn record_clock(&mut self, clock_ms: u64, now: Instant) {
        if self
            .clock_at(now)
            .is_none_or(|expected| clock_ms > expected)
        {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Forgets the worker's clock, as it has started anew.
    pub fn reset_clock(&mut self) {
        self.clock = None;
    }

    /// Returns the end of a lease that is asked for now, on the worker's clock, and notes that it
    /// was asked for. None until the worker's clock is known.
    pub fn extend(&mut self, now: Instant) -> Option<u64> {
        let until = self.clock_at(now)? + millis(self.length);
        self.sent_at = Some(now);
        Some(until)
    }

    /// Returns when all runs surely are gone if the lease is not extended any more.
    #[must_use]
    pub fn expires_at(&self, now: Instant) -> Instant {
        match self.sent_at {
            Some(sent) => sent + self.length.mul_f64(1.0 + CLOCK_DRIFT) + EXPIRY_MARGIN,
            None => now,
        }
    }

    fn clock_at(&self, now: Instant) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + millis(now.saturating_duration_since(at)))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
