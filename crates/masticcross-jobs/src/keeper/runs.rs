//! What an agent has started at its worker, and the room that it takes.

use std::time::Duration;

use masticcross_wire::pool::{Resources, RunId, RunRequest, TaskId};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::clients::ClientId;

/// Time without progress after which a run stands still.
const STILL_AFTER: Duration = Duration::from_millis(250);

/// Run time before which no run is taken for slow.
const SLOW_AFTER: Duration = Duration::from_millis(80);

/// Times the expected run time beyond which a run is slow. Expected times are off by up to 1.7, and
/// sound workers differ by up to 1.6 (the site files).
const SLOW_FACTOR: u32 = 3;

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The start was sent and is not answered.
    Starting {
        /// Token of the start.
        token: u64,
        /// When it was sent.
        sent_at: Instant,
        /// True if no answer can be expected any more.
        unanswered: bool,
    },
    /// The worker has it.
    Running {
        /// The worker's clock when it was there for the first time, in milliseconds.
        since_clock_ms: u64,
    },
    /// The worker has started anew since the start was sent. The order may have arrived before, and
    /// ended with the former life, or after.
    InDoubt {
        /// Token before the new life was known; a look under a higher one tells.
        token: u64,
    },
}

/// A run that holds room.
#[derive(Debug, Clone)]
pub struct Run {
    /// The order.
    pub order: RunRequest,
    /// Entry that gave it.
    pub client: ClientId,
    /// Number of the run at the worker.
    pub worker_run: u32,
    /// How far it is.
    pub phase: Phase,
    /// When the order arrived.
    pub since: Instant,
    /// Last progress: percent, and when it was first seen.
    pub progress: (u32, Instant),
    /// When its stop was last sent, if it is to stop.
    pub stop_sent: Option<Instant>,
    /// True if it is to stop.
    pub stopping: bool,
    /// True if it is stopped for lack of progress.
    pub stuck: bool,
}

impl Run {
    /// Takes over the progress that the worker lists.
    pub fn progressed(&mut self, percent: u32, now: Instant) {
        if percent != self.progress.0 {
            self.progress = (percent, now);
        }
    }

    /// Returns true if the run stands still, or is so slow that another worker would end it sooner.
    /// Only a first run can be slow: a second one that is slow, too, is the task's own fault.
    #[must_use]
    pub fn is_stuck(&self, now: Instant) -> bool {
        let still = now.saturating_duration_since(self.progress.1) >= STILL_AFTER;
        let elapsed = now.saturating_duration_since(self.since);
        let expected = Duration::from_millis(self.order.expected_ms.into());
        let projected = elapsed * 100 / self.progress.0.max(1);
        let slow = elapsed >= SLOW_AFTER
            && self.progress.0 < 50
            && projected > expected * SLOW_FACTOR + SLOW_AFTER;
        still || (slow && self.order.id.run == 1)
    }
}

/// All runs that hold room, by task. A task has one run at a time.
#[derive(Debug, Default)]
pub struct Runs {
    by_task: FxHashMap<TaskId, Run>,
    reserved: Resources,
    highest: FxHashMap<TaskId, (u32, Instant)>,
}

impl Runs {
    /// Returns the room that all runs hold.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        self.reserved
    }

    /// Returns true if a run of the task holds room.
    #[must_use]
    pub fn contains(&self, task: &TaskId) -> bool {
        self.by_task.contains_key(task)
    }

    /// Returns the run of a task.
    #[must_use]
    pub fn get(&self, task: &TaskId) -> Option<&Run> {
        self.by_task.get(task)
    }

    /// Returns the run of a task, to be changed.
    pub fn get_mut(&mut self, task: &TaskId) -> Option<&mut Run> {
        self.by_task.get_mut(task)
    }

    /// Lists all runs.
    pub fn iter(&self) -> impl Iterator<Item = &Run> {
        self.by_task.values()
    }

    /// Lists all runs, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Run> {
        self.by_task.values_mut()
    }

    /// Returns true if nothing holds room.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Returns the number for the next start of a task at the worker.
    #[must_use]
    pub fn next_worker_run(&self, id: &RunId) -> u32 {
        let highest = self.highest.get(&id.task).map_or(0, |(run, _)| *run);
        id.run.max(highest + 1)
    }

    /// Adds a run and reserves its room.
    pub fn insert(&mut self, run: Run) {
        let task = run.order.id.task.clone();
        self.reserved = self.reserved.plus(run.order.resources);
        self.highest
            .insert(task.clone(), (run.worker_run, run.since));
        self.by_task.insert(task, run);
    }

    /// Raises the number of a run at the worker.
    pub fn renumber(&mut self, task: &TaskId, worker_run: u32) {
        if let Some(run) = self.by_task.get_mut(task) {
            run.worker_run = worker_run;
            self.highest.insert(task.clone(), (worker_run, run.since));
        }
    }

    /// Removes a run and frees its room.
    pub fn remove(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.by_task.remove(task)?;
        self.reserved = self.reserved.minus(run.order.resources);
        Some(run)
    }

    /// Removes all runs.
    pub fn take_all(&mut self) -> Vec<Run> {
        self.reserved = Resources::default();
        let mut runs: Vec<Run> = self.by_task.drain().map(|(_, run)| run).collect();
        runs.sort_by(|a, b| a.order.id.cmp(&b.order.id));
        runs
    }

    /// Forgets numbers of runs of tasks that were started before `oldest`.
    pub fn forget_numbers(&mut self, oldest: Instant) {
        let by_task = &self.by_task;
        self.highest
            .retain(|task, (_, at)| *at >= oldest || by_task.contains_key(task));
    }
}
