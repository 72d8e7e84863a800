//! The lease that covers all runs at a worker, and the fencing token of the calls.

use std::time::Duration;

use tokio::time::Instant;

use crate::run_lifetime::{CLOCK_DRIFT, END_MARGIN, MAX_LEASE};

/// Tokens per millisecond of Unix time. An agent process may raise its token this often per
/// millisecond and still stay below the first token of the next process.
const TOKENS_PER_MS: u64 = 256;

/// Increment after the worker refused a token. It covers a clock of the agent that was set back by
/// up to 60 s.
const TOKEN_STEP: u64 = 60_000 * TOKENS_PER_MS;

/// Lease and fencing token of an agent at its worker.
#[derive(Debug)]
pub struct Lease {
    /// Maximum length on the agent's clock.
    length: Duration,
    token: u64,
    /// Latest value of the worker's clock in milliseconds, and when it was received.
    clock: Option<(u64, Instant)>,
    /// Latest time at which the lease may end, on the agent's clock.
    ends_at: Option<Instant>,
    /// End of the lease on the worker's clock, in milliseconds, if the worker's clock is known.
    granted_ms: Option<u64>,
}

impl Lease {
    /// Creates a lease of at most the given length on the worker's clock. The first token is derived from the Unix time, so that it
    /// is higher than those of earlier processes.
    #[must_use]
    pub fn new(length: Duration, unix_ms: u64) -> Self {
        Self {
            length: to_agent_clock(length).min(MAX_LEASE),
            token: unix_ms.saturating_mul(TOKENS_PER_MS),
            clock: None,
            ends_at: None,
            granted_ms: None,
        }
    }

    /// Returns the token for new calls.
    #[must_use]
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Raises the token, so that the worker refuses earlier calls once a later one has arrived.
    pub fn raise_token(&mut self) {
        self.token = self.token.saturating_add(1);
    }

    /// Raises the token above those that the worker has received from an earlier process of the agent.
    pub fn jump_token(&mut self, refused: u64) {
        self.token = self.token.max(refused.saturating_add(TOKEN_STEP));
    }

    /// Records the worker's clock from an answer.
    pub fn record_clock(&mut self, clock_ms: u64, now: Instant) {
        if self
            .clock_at(now)
            .is_none_or(|expected| clock_ms > expected)
        {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Clears the worker's clock after a restart of the worker.
    pub fn reset_clock(&mut self) {
        self.clock = None;
        self.granted_ms = None;
    }

    /// Extends the lease as far as possible, but not beyond the given time. Returns its new end on the worker's
    /// clock, or `None` if it stays as it is or the worker's clock is not known yet.
    pub fn extend(&mut self, limit: Instant, now: Instant) -> Option<u64> {
        let length = self.length.min(limit.saturating_duration_since(now));
        let until = self
            .clock_at(now)?
            .saturating_add(millis(to_worker_clock(length)));
        if length.is_zero() || self.granted_ms.is_some_and(|granted| until <= granted) {
            return None;
        }
        self.granted_ms = Some(until);
        self.ends_at = self.ends_at.max(Some(now + length));
        Some(until)
    }

    /// Returns the end of the lease on the worker's clock, unless it has ended.
    #[must_use]
    pub fn granted(&self, now: Instant) -> Option<u64> {
        let clock = self.clock_at(now)?;
        self.granted_ms.filter(|until| *until > clock)
    }

    /// Returns the time at which all runs are confirmed gone unless the lease is extended.
    #[must_use]
    pub fn expires_at(&self, now: Instant) -> Instant {
        self.ends_at.map_or(now, |at| at + END_MARGIN)
    }

    /// Returns the least that the worker's clock can show.
    fn clock_at(&self, now: Instant) -> Option<u64> {
        let (clock, at) = self.clock?;
        let elapsed = to_worker_clock(now.saturating_duration_since(at));
        Some(clock.saturating_add(millis(elapsed)))
    }
}

/// Returns the least time that passes on the worker's clock.
fn to_worker_clock(time: Duration) -> Duration {
    time.mul_f64(1.0 - CLOCK_DRIFT)
}

/// Returns the longest time in which the given one passes on the worker's clock.
fn to_agent_clock(time: Duration) -> Duration {
    time.div_f64(1.0 - CLOCK_DRIFT)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
