//! What the known crashes of workers say about each task.
//!
//! The task that crashes workers is in each of its crashes, always after about the same time; its
//! neighbors are there by chance. After a first crash its runs are started again at different workers,
//! after a second one alone. Only a crash in which a task was alone, and ran as long as in another one,
//! proves that the task caused it. Crashes of several workers at once, as when power is lost, are no
//! evidence.

use std::collections::BTreeSet;
use std::time::Duration;

use masticcross_wire::crash::{CrashedRun, Isolation};
use masticcross_wire::pool::TaskId;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::SPACING;
use super::log::{CrashNumber, NewRuns, RETENTION};

/// Time within which crashes count as simultaneous.
const SIMULTANEOUS: Duration = Duration::from_millis(10);

/// Number of workers that crash at once from which the cause is not a task.
const MIN_SIMULTANEOUS: usize = 3;

/// Difference up to which the run times in two crashes count as equal, and as a part of the longer one.
/// Agents detect the end of a worker with a delay.
const RUN_TIME_TOLERANCE: Duration = Duration::from_millis(20);
const RUN_TIME_TOLERANCE_PART: f64 = 0.1;

/// Crashes of any kind after which a task is not started again.
const MAX_CRASHES: usize = 4;

/// What is known about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No worker has crashed under it.
    Clear,
    /// A worker has crashed under it and other tasks.
    Suspect,
    /// Several workers have crashed under it and other tasks.
    RepeatedSuspect,
    /// It crashes workers.
    Cause,
    /// Its workers have crashed too often to start it again. The cause is not known.
    Exhausted,
}

/// Evidence against a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// One of its tasks was in two crashes after the same short time, in the second of them without
    /// another suspect that had just started.
    Strong,
    /// One of its tasks was alone in a crash, after an earlier one. It had run for the given time in
    /// both.
    Proof(Duration),
}

#[derive(Debug, Clone, Copy)]
struct CrashUnder {
    number: CrashNumber,
    isolation: Isolation,
    ran: Duration,
}

#[derive(Debug, Clone, Copy)]
struct CrashTime {
    number: CrashNumber,
    at: Instant,
}

/// Tasks under which workers have crashed recently.
#[derive(Debug, Default)]
pub struct Suspects {
    tasks: FxHashMap<TaskId, SmallVec<[CrashUnder; 2]>>,
    times: Vec<CrashTime>,
    /// Crashes that happened together with those of other workers.
    simultaneous: BTreeSet<CrashNumber>,
}

impl Suspects {
    /// Records the runs of a crash.
    pub fn add(&mut self, new: &NewRuns, now: Instant) {
        self.remove_old(now);
        for run in &new.runs {
            let crashes = self.tasks.entry(run.id.task.clone()).or_default();
            crashes.push(CrashUnder {
                number: new.number,
                isolation: run.isolation,
                ran: Duration::from_millis(run.ran_ms.into()),
            });
        }
        if !self.times.iter().any(|time| time.number == new.number) {
            let (number, at) = (new.number, new.at);
            self.times.push(CrashTime { number, at });
        }
        self.find_simultaneous(new);
    }

    /// Returns true if no worker has crashed recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the number of crashes under a task.
    #[must_use]
    pub fn crashes_under(&self, task: &TaskId) -> usize {
        self.tasks.get(task).map_or(0, SmallVec::len)
    }

    /// Returns what is known about a task.
    #[must_use]
    pub fn verdict(&self, task: &TaskId) -> Verdict {
        let evidence = self.evidence(task).count();
        let crashed_alone = |crash: &CrashUnder| {
            crash.isolation == Isolation::Alone && self.is_repeated(task, crash)
        };
        if self.evidence(task).any(crashed_alone) {
            Verdict::Cause
        } else if self.crashes_under(task) >= MAX_CRASHES {
            Verdict::Exhausted
        } else {
            match evidence {
                0 => Verdict::Clear,
                1 => Verdict::Suspect,
                _ => Verdict::RepeatedSuspect,
            }
        }
    }

    /// Returns what a run's part in its latest crash says about its queue, if anything.
    #[must_use]
    pub fn evidence_against_queue(&self, run: &CrashedRun) -> Option<Evidence> {
        let latest = self.evidence(&run.id.task).last()?;
        if !self.is_repeated(&run.id.task, latest) {
            return None;
        }
        match latest.isolation {
            Isolation::Alone => Some(Evidence::Proof(latest.ran)),
            Isolation::Spaced if latest.ran < SPACING => Some(Evidence::Strong),
            Isolation::Spaced | Isolation::Shared => None,
        }
    }

    /// Returns true if another worker has crashed under a task after about the same time.
    fn is_repeated(&self, task: &TaskId, crash: &CrashUnder) -> bool {
        let mut evidence = self.evidence(task);
        evidence.any(|other| other.number != crash.number && is_close(other.ran, crash.ran))
    }

    /// Returns true if a task had run for about the given time in its latest crash.
    #[must_use]
    pub fn ran_for(&self, task: &TaskId, time: Duration) -> bool {
        let latest = self.evidence(task).last();
        latest.is_some_and(|crash| is_close(crash.ran, time))
    }

    fn evidence(&self, task: &TaskId) -> impl Iterator<Item = &CrashUnder> {
        let crashes = self.tasks.get(task).into_iter().flatten();
        crashes.filter(|crash| !self.simultaneous.contains(&crash.number))
    }

    /// Marks crashes of several workers at once. A task that crashes one worker after the other is in
    /// all of its crashes, which are therefore not counted as independent.
    fn find_simultaneous(&mut self, new: &NewRuns) {
        let shares_task = |number: CrashNumber| {
            let crashes = new
                .runs
                .iter()
                .filter_map(|run| self.tasks.get(&run.id.task));
            let mut numbers = crashes.flatten().map(|crash| crash.number);
            numbers.any(|n| n == number)
        };
        let is_close = |time: &&CrashTime| {
            let gap = time.at.max(new.at) - time.at.min(new.at);
            gap <= SIMULTANEOUS && (time.number == new.number || !shares_task(time.number))
        };
        let group: SmallVec<[CrashNumber; 4]> = self
            .times
            .iter()
            .filter(is_close)
            .map(|t| t.number)
            .collect();
        if group.len() >= MIN_SIMULTANEOUS {
            self.simultaneous.extend(group);
        }
    }

    /// Forgets the crashes that are too old.
    pub fn remove_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        if !self.times.iter().any(|time| is_old(time.at)) {
            return;
        }
        self.times.retain(|time| !is_old(time.at));
        let kept: BTreeSet<CrashNumber> = self.times.iter().map(|time| time.number).collect();
        self.simultaneous.retain(|number| kept.contains(number));
        self.tasks.retain(|_, crashes| {
            crashes.retain(|crash| kept.contains(&crash.number));
            !crashes.is_empty()
        });
    }
}

/// Returns true if two run times are equal but for delays in the detection of crashes.
fn is_close(a: Duration, b: Duration) -> bool {
    let tolerance = a.max(b).mul_f64(RUN_TIME_TOLERANCE_PART);
    a.abs_diff(b) <= tolerance.max(RUN_TIME_TOLERANCE)
}
