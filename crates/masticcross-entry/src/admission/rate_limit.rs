//! Rate limit of appends: an average interval, with a burst allowed after an idle period.

use std::time::Duration;

use tokio::time::Instant;

/// Limits the rate at which appends start.
#[derive(Debug)]
pub struct RateLimiter {
    interval: Duration,
    burst_allowance: Duration,
    next_due: Instant,
}

impl RateLimiter {
    /// Creates a limit of one append per interval on average, with up to `burst` appends at once.
    pub fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst_allowance: interval * burst.saturating_sub(1),
            next_due: Instant::now(),
        }
    }

    /// Returns the earliest time at which the next append may start.
    pub fn earliest(&self) -> Instant {
        self.next_due
            .checked_sub(self.burst_allowance)
            .unwrap_or(self.next_due)
    }

    /// Counts an append that starts at `now`.
    pub fn record_start(&mut self, now: Instant) {
        self.next_due = self.next_due.max(now) + self.interval;
    }
}
