//! Rate limit of the log's appends.

use std::time::Duration;

use masticcross_log::{LogError, Result};
use tokio::time::Instant;

/// A token bucket. Each append takes one token.
#[derive(Debug)]
pub struct RateLimit {
    tokens_per_second: f64,
    burst: f64,
    tokens: f64,
    last_refill: Option<Instant>,
}

impl RateLimit {
    /// Creates a full bucket of `burst` tokens.
    pub fn new(tokens_per_second: u32, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            tokens_per_second: f64::from(tokens_per_second.max(1)),
            burst,
            tokens: burst,
            last_refill: None,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// Returns [`LogError::Throttled`] with the time until the next token if the bucket is empty.
    pub fn take(&mut self, now: Instant) -> Result<()> {
        self.refill(now);
        if self.tokens < 1.0 {
            let wait_s = (1.0 - self.tokens) / self.tokens_per_second;
            let retry_after = Duration::from_secs_f64(wait_s).max(Duration::from_millis(1));
            return Err(LogError::Throttled { retry_after });
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = self
            .last_refill
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.tokens = self
            .burst
            .min(self.tokens + elapsed.as_secs_f64() * self.tokens_per_second);
        self.last_refill = Some(now);
    }
}
