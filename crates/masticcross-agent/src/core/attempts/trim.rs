//! Forgets attempts that are over the limits of age and memory.

use std::time::Duration;

use masticcross_basics::AttemptId;
use masticcross_wire::TaskOutcome;
use tokio::time::Instant;

use super::{Attempt, Attempts, FORGOTTEN_EPOCHS, KEEP_LIMIT, Phase};

/// How long it is kept without its result that an attempt ended, if no owner has released it. Until
/// the end of its job is in the log, a new owner has to learn of it.
pub const UNRELEASED_LIMIT: Duration = Duration::from_hours(2);

impl Attempts {
    /// Forgets what is over the limits of age and memory: released attempts first, the oldest
    /// first. Of what is not released, only the results go.
    pub fn trim(&mut self, now: Instant) {
        self.trim_age(now);
        while self.bytes > self.memory_limit {
            match self.released.pop_front() {
                Some(id) => self.forget(id),
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
            if attempt.is_some_and(|a| now.duration_since(a.ended_at) < KEEP_LIMIT) {
                break;
            }
            self.ended.pop_front();
            if attempt.is_some_and(Attempt::is_unreleased_start) {
                self.drop_result(id);
                self.overdue.push_back(id);
            } else {
                self.forget(id);
            }
        }
        while let Some(id) = self.overdue.front().copied() {
            let attempt = self.by_id.get(&id);
            let is_kept = |a: &Attempt| !a.released && now - a.ended_at < UNRELEASED_LIMIT;
            if attempt.is_some_and(is_kept) {
                break;
            }
            self.overdue.pop_front();
            self.forget(id);
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

    fn forget(&mut self, id: AttemptId) {
        let Some(attempt) = self.by_id.remove(&id) else {
            return;
        };
        self.bytes -= attempt.bytes();
        let highest = self.forgotten.entry(id.epoch).or_default();
        *highest = id.seq.max(*highest);
        if self.forgotten.len() > FORGOTTEN_EPOCHS {
            self.forgotten.pop_first();
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
