//! The recent crashes of workers that a process knows of. Agents record those of their workers and
//! tell all entries, so that the records outlive the entry whose task caused a crash.

use std::collections::VecDeque;
use std::time::Duration;

use masticcross_wire::crash::WorkerCrash;
use masticcross_wire::pool::TaskId;
use tokio::time::Instant;

/// How long a crash is stored. Callers submit a lost job again within seconds.
pub const RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of crashes that are stored.
const MAX_CRASHES: usize = 256;

/// Recent crashes, in the order in which they became known.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: VecDeque<(Instant, WorkerCrash)>,
}

impl CrashLog {
    /// Adds a crash. Returns when it happened, or `None` if it is known or too old.
    pub fn add(&mut self, crash: &WorkerCrash, now: Instant) -> Option<Instant> {
        self.remove_old(now);
        let age = Duration::from_millis(crash.age_ms);
        if age >= RETENTION || self.contains(crash) {
            return None;
        }
        let at = now.checked_sub(age)?;
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back((at, crash.clone()));
        Some(at)
    }

    /// Returns the stored crashes, with their present age.
    pub fn recent(&mut self, now: Instant) -> Vec<WorkerCrash> {
        self.remove_old(now);
        let with_age = |(at, crash): &(Instant, WorkerCrash)| {
            let age = now.saturating_duration_since(*at).as_millis();
            WorkerCrash {
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                ..crash.clone()
            }
        };
        self.crashes.iter().map(with_age).collect()
    }

    /// Returns the number of crashes under a task.
    #[must_use]
    pub fn crashes_under(&self, task: &TaskId) -> usize {
        let has_task = |crash: &WorkerCrash| crash.runs.iter().any(|run| run.id.task == *task);
        let crashes = self.crashes.iter();
        crashes.filter(|(_, crash)| has_task(crash)).count()
    }

    fn contains(&self, crash: &WorkerCrash) -> bool {
        let mut known = self.crashes.iter().map(|(_, known)| known);
        known.any(|k| k.worker == crash.worker && k.started_at_ms == crash.started_at_ms)
    }

    fn remove_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        self.crashes.retain(|(at, _)| !is_old(*at));
    }
}
