//! The limit on the memory of kept answers, over all partitions of the entry.

use std::collections::VecDeque;

use masticcross_basics::JobKey;
use tokio::time::Instant;

/// One kept answer.
#[derive(Debug)]
struct Kept {
    key: JobKey,
    bytes: usize,
    at: Instant,
}

/// Kept answers, oldest first.
#[derive(Debug, Default)]
pub(super) struct AnswerMemory {
    order: VecDeque<Kept>,
    bytes: u64,
}

impl AnswerMemory {
    /// Adds an answer, and returns the jobs whose answers have to go to stay under the limit.
    pub(super) fn keep(
        &mut self,
        key: JobKey,
        bytes: usize,
        at: Instant,
        limit: u64,
    ) -> Vec<JobKey> {
        self.order.push_back(Kept { key, bytes, at });
        self.bytes += bytes as u64;
        let mut dropped = Vec::new();
        while self.bytes > limit {
            let Some(kept) = self.pop() else {
                break;
            };
            dropped.push(kept.key);
        }
        dropped
    }

    /// Stops counting answers that ended before a time; their jobs are forgotten.
    pub(super) fn forget_before(&mut self, at: Instant) {
        while self.order.front().is_some_and(|kept| kept.at < at) {
            self.pop();
        }
    }

    fn pop(&mut self) -> Option<Kept> {
        let kept = self.order.pop_front()?;
        self.bytes -= kept.bytes as u64;
        Some(kept)
    }
}
