//! The budget of retries: a share of the starts over a window.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Window over which starts and retries are counted, in slices.
const SLICE: Duration = Duration::from_secs(1);
const SLICES: usize = 10;

/// Starts for each retry.
const STARTS_PER_RETRY: u64 = 10;

/// Retries that are always allowed in a window.
const MIN_RETRIES: u64 = 3;

#[derive(Debug)]
struct Slice {
    since: Instant,
    starts: u64,
    retries: u64,
}

/// Starts and retries of the last seconds.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Counts tasks that were sent.
    pub fn started(&mut self, tasks: usize, now: Instant) {
        self.slice(now).starts += tasks as u64;
    }

    /// Uses up one retry, if the budget allows it.
    #[must_use]
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.slice(now);
        let starts: u64 = self.slices.iter().map(|s| s.starts).sum();
        let retries: u64 = self.slices.iter().map(|s| s.retries).sum();
        let allowed = retries < (starts / STARTS_PER_RETRY).max(MIN_RETRIES);
        self.slice(now).retries += u64::from(allowed);
        allowed
    }

    fn slice(&mut self, now: Instant) -> &mut Slice {
        let window = SLICE * u32::try_from(SLICES).unwrap_or(u32::MAX);
        while self
            .slices
            .pop_front_if(|s| now.saturating_duration_since(s.since) >= window)
            .is_some()
        {}
        let current = self.slices.back().map(|s| s.since);
        if current.is_none_or(|since| now.saturating_duration_since(since) >= SLICE) {
            self.slices.push_back(Slice {
                since: now,
                starts: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
