//! Retry budget: retries are limited to a share of the tasks started within a time window.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The window over which starts and retries are counted consists of slices of this length.
const SLICE_LENGTH: Duration = Duration::from_secs(1);
const SLICE_COUNT: usize = 10;

/// Number of starts that allow one retry.
const STARTS_PER_RETRY: u64 = 10;

/// Number of retries that are always allowed within the window.
const MIN_RETRIES: u64 = 3;

#[derive(Debug)]
struct Slice {
    started_at: Instant,
    starts: u64,
    retries: u64,
}

/// Counts starts and retries within the window, and limits the retries.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Records that tasks were sent.
    pub fn started(&mut self, tasks: usize, now: Instant) {
        self.current_slice(now).starts += tasks as u64;
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    #[must_use]
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.current_slice(now);
        let starts: u64 = self.slices.iter().map(|s| s.starts).sum();
        let retries: u64 = self.slices.iter().map(|s| s.retries).sum();
        let allowed = retries < (starts / STARTS_PER_RETRY).max(MIN_RETRIES);
        self.current_slice(now).retries += u64::from(allowed);
        allowed
    }

    fn current_slice(&mut self, now: Instant) -> &mut Slice {
        let window = SLICE_LENGTH * u32::try_from(SLICE_COUNT).unwrap_or(u32::MAX);
        while self
            .slices
            .pop_front_if(|s| now.saturating_duration_since(s.started_at) >= window)
            .is_some()
        {}
        let current = self.slices.back().map(|s| s.started_at);
        if current
            .is_none_or(|started_at| now.saturating_duration_since(started_at) >= SLICE_LENGTH)
        {
            self.slices.push_back(Slice {
                started_at: now,
                starts: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
