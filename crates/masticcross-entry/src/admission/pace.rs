//! The pace of appends: an average distance, with room for a burst after a pause.

use std::time::Duration;

use tokio::time::Instant;

/// Says when the next append may start.
#[derive(Debug)]
pub struct Pace {
    interval: Duration,
    slack: Duration,
    due: Instant,
}

impl Pace {
    /// Creates a pace of one append for each interval, of which up to `burst` may start at once.
    pub fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            slack: interval * burst.saturating_sub(1),
            due: Instant::now(),
        }
    }

    /// Returns the moment before which no append may start.
    pub fn earliest(&self) -> Instant {
        self.due.checked_sub(self.slack).unwrap_or(self.due)
    }

    /// Counts an append that starts now.
    pub fn started(&mut self, now: Instant) {
        self.due = self.due.max(now) + self.interval;
    }
}
