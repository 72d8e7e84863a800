//! The recent crashes of workers that a process knows of. Agents record those of their workers and
//! tell all entries, so that the records outlive the entry whose task caused a crash.

use std::collections::VecDeque;
use std::time::Duration;

use masticcross_wire::crash::{CrashedRun, WorkerCrash};
use tokio::time::Instant;

/// How long a crash is stored. Callers submit a lost job again within seconds.
pub const RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of crashes that are stored.
const MAX_CRASHES: usize = 256;

/// Number of a crash in a log, from 1.
pub type CrashNumber = u64;

/// A crash, or further runs of a known one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewRuns {
    /// The crash.
    pub number: CrashNumber,
    /// When it happened.
    pub at: Instant,
    /// Runs that were not known to have ended with it.
    pub runs: Vec<CrashedRun>,
}

#[derive(Debug)]
struct LoggedCrash {
    number: CrashNumber,
    at: Instant,
    crash: WorkerCrash,
}

/// Recent crashes, in the order in which they became known.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: VecDeque<LoggedCrash>,
    last_number: CrashNumber,
}

impl CrashLog {
    /// Adds a crash, or further runs of a known one. Returns what is new, or `None` if nothing is or
    /// the crash is too old.
    pub fn add(&mut self, crash: &WorkerCrash, now: Instant) -> Option<NewRuns> {
        self.remove_old(now);
        let is_same = |known: &&mut LoggedCrash| {
            known.crash.worker == crash.worker && known.crash.started_at_ms == crash.started_at_ms
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            return known.add_runs(&crash.runs);
        }
        let age = Duration::from_millis(crash.age_ms);
        if age >= RETENTION {
            return None;
        }
        let at = now.checked_sub(age)?;
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.last_number += 1;
        let number = self.last_number;
        self.crashes.push_back(LoggedCrash {
            number,
            at,
            crash: crash.clone(),
        });
        let runs = crash.runs.clone();
        Some(NewRuns { number, at, runs })
    }

    /// Returns the stored crashes, with their present age.
    pub fn recent(&mut self, now: Instant) -> Vec<WorkerCrash> {
        self.remove_old(now);
        let with_age = |logged: &LoggedCrash| {
            let age = now.saturating_duration_since(logged.at).as_millis();
            WorkerCrash {
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                ..logged.crash.clone()
            }
        };
        self.crashes.iter().map(with_age).collect()
    }

    fn remove_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        self.crashes.retain(|logged| !is_old(logged.at));
    }
}

impl LoggedCrash {
    fn add_runs(&mut self, runs: &[CrashedRun]) -> Option<NewRuns> {
        let known = &self.crash.runs;
        let is_new = |run: &&CrashedRun| !known.iter().any(|k| k.id.task == run.id.task);
        let runs: Vec<CrashedRun> = runs.iter().filter(is_new).cloned().collect();
        self.crash.runs.extend(runs.iter().cloned());
        (!runs.is_empty()).then_some(NewRuns {
            number: self.number,
            at: self.at,
            runs,
        })
    }
}
