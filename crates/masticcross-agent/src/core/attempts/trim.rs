//! Eviction of attempts that exceed the limits of age and memory.

use std::time::Duration;

use masticcross_basics::AttemptId;
use masticcross_wire::TaskOutcome;
use tokio::time::Instant;

use super::{Attempt, Attempts, MAX_EVICTED_EPOCHS, Phase, RESULT_RETENTION};

/// How long an ended attempt is kept if no owner releases it; after [`RESULT_RETENTION`] without
/// its result. A new owner must receive a report of it until the end of its job is in the log.
pub const UNRELEASED_RETENTION: Duration = Duration::from_hours(2);

impl Attempts {
    /// Enforces the limits of age and memory. To free memory, it evicts released attempts, oldest
    /// first; if that is not enough, it drops results of the other ended attempts, which stay in
    /// the table.
    pub fn trim(&mut self, now: Instant) {
        self.trim_age(now);
        while self.bytes > self.memory_limit {
            match self.released.pop_front() {
                Some(id) => self.evict(id),
                None => break,
            }
        }
        if self.bytes > self.memory_limit {
            self.drop_results();
        }
    }

    fn trim_age(&mut self, now: Instant) {
        while let Some(id) = self.ended.front().copied() {
            let attempt = self.by_id.get(&id);
            if attempt.is_some_and(|a| now.duration_since(a.ended_at) < RESULT_RETENTION) {
                break;
            }
            self.ended.pop_front();
            if attempt.is_some_and(Attempt::is_unreleased_start) {
                self.drop_result(id);
                self.past_retention.push_back(id);
            } else {
                self.evict(id);
            }
        }
        while let Some(id) = self.past_retention.front().copied() {
            let attempt = self.by_id.get(&id);
            let must_retain = |a: &Attempt| !a.released && now - a.ended_at < UNRELEASED_RETENTION;
            if attempt.is_some_and(must_retain) {
                break;
            }
            self.past_retention.pop_front();
            self.evict(id);
        }
    }

    fn drop_results(&mut self) {
        for position in 0..self.ended.len() {
            if self.bytes <= self.memory_limit {
                return;
            }
            self.drop_result(self.ended[position]);
        }
    }

    fn drop_result(&mut self, id: AttemptId) {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return;
        };
        if let Phase::Ended(TaskOutcome::Done(_)) = attempt.phase {
            self.bytes -= attempt.result_bytes();
            attempt.phase = Phase::Ended(TaskOutcome::ResultDropped);
        }
    }

    fn evict(&mut self, id: AttemptId) {
        let Some(attempt) = self.by_id.remove(&id) else {
            return;
        };
        self.bytes -= attempt.bytes();
        let highest = self.evicted.entry(id.epoch).or_default();
        *highest = id.seq.max(*highest);
        if self.evicted.len() > MAX_EVICTED_EPOCHS {
            self.evicted.pop_first();
        }
        self.unlink(&attempt);
    }

    fn unlink(&mut self, attempt: &Attempt) {
        let Some(jobs) = self.by_partition.get_mut(&attempt.partition) else {
            return;
        };
        let Some(ids) = jobs.get_mut(&attempt.key) else {
            return;
        };
        ids.retain(|id| *id != attempt.id);
        if ids.is_empty() {
            jobs.remove(&attempt.key);
        }
    }
}
