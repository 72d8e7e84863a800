//! The limit on memory for retained answers, across all partitions of the entry.

use std::collections::VecDeque;

use masticcross_basics::JobKey;
use tokio::time::Instant;

/// One retained answer.
#[derive(Debug)]
struct RetainedAnswer {
    key: JobKey,
    bytes: usize,
    added_at: Instant,
}

/// Retained answers of all partitions, oldest first, with their total size.
#[derive(Debug, Default)]
pub(super) struct AnswerMemory {
    answers: VecDeque<RetainedAnswer>,
    bytes: u64,
}

impl AnswerMemory {
    /// Adds an answer and returns the jobs whose answers must be dropped to stay within the limit.
    pub(super) fn add(
        &mut self,
        key: JobKey,
        bytes: usize,
        added_at: Instant,
        limit: u64,
    ) -> Vec<JobKey> {
        self.answers.push_back(RetainedAnswer {
            key,
            bytes,
            added_at,
        });
        self.bytes += bytes as u64;
        let mut dropped = Vec::new();
        while self.bytes > limit {
            let Some(answer) = self.pop() else {
                break;
            };
            dropped.push(answer.key);
        }
        dropped
    }

    /// Removes answers that were added before a time. Their jobs have expired.
    pub(super) fn remove_before(&mut self, time: Instant) {
        while self
            .answers
            .front()
            .is_some_and(|answer| answer.added_at < time)
        {
            self.pop();
        }
    }

    fn pop(&mut self) -> Option<RetainedAnswer> {
        let answer = self.answers.pop_front()?;
        self.bytes -= answer.bytes as u64;
        Some(answer)
    }
}
