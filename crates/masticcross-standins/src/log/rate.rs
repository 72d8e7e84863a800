//! The log's limit of appends a second.

use std::time::Duration;

use masticcross_log::{LogError, Result};
use tokio::time::Instant;

/// A token bucket.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Option<Instant>,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(per_second: u32, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            per_second: f64::from(per_second.max(1)),
            burst,
            tokens: burst,
            filled_at: None,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// Says when the next token is there if the bucket is empty.
    pub fn take(&mut self, now: Instant) -> Result<()> {
        self.fill(now);
        if self.tokens < 1.0 {
            let missing = (1.0 - self.tokens) / self.per_second;
            let retry_after = Duration::from_secs_f64(missing).max(Duration::from_millis(1));
            return Err(LogError::Throttled { retry_after });
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn fill(&mut self, now: Instant) {
        let since = self
            .filled_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.tokens = self
            .burst
            .min(self.tokens + since.as_secs_f64() * self.per_second);
        self.filled_at = Some(now);
    }
}
