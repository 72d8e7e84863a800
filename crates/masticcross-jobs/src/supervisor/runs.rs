//! The runs that an agent has started at its worker, and the resources reserved for them.

use std::time::Duration;

use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{Resources, RunId, RunRequest, TaskId};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::worker_client::WorkerRun;

use super::clients::ClientId;
use crate::run_lifetime::{MAX_LEASE, MAX_LIFETIME};

/// Time without progress after which a run counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Shortest run time at which a run can count as slow.
const MIN_SLOW_TIME: Duration = Duration::from_millis(80);

/// Multiple of the expected run time beyond which a run is slow. Expected times are wrong by a factor
/// of up to 1.7, and the speeds of healthy workers differ by up to 1.6 (from the platform's
/// site files).
const SLOW_FACTOR: u32 = 3;

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The run waits until no other run is at the worker.
    Queued,
    /// The start was sent and has not been answered.
    Starting {
        /// Token of the start call.
        token: u64,
        /// When the call was sent.
        sent_at: Instant,
        /// True if an answer is no longer expected.
        unanswered: bool,
    },
    /// The worker has the run.
    Running {
        /// The worker's clock when it first reported the run, in milliseconds.
        since_clock_ms: u64,
    },
    /// The worker has restarted since the start was sent. The call may have reached the earlier
    /// incarnation, in which case the run ended with it, or the new one.
    InDoubt {
        /// Token in use before the new incarnation was known. A poll with a higher token shows
        /// which of the two happened.
        token: u64,
    },
}

/// A run with reserved resources.
#[derive(Debug, Clone)]
pub struct Run {
    /// Request of the entry.
    pub request: RunRequest,
    /// Entry that sent the request.
    pub client: ClientId,
    /// Number of the run at the worker.
    pub worker_run: u32,
    /// Current phase.
    pub phase: Phase,
    /// When the request was received.
    pub received_at: Instant,
    /// Last progress in percent, and when it was first observed.
    pub progress: (u32, Instant),
    /// When a stop was last sent, if any.
    pub stop_sent: Option<Instant>,
    /// True if the run must be stopped.
    pub stopping: bool,
    /// Since when the run has had to end for its entry: the entry asked for it, or fell silent. Not set if the
    /// agent alone stops the run.
    pub unwanted_since: Option<Instant>,
    /// True if the run is stopped for lack of progress.
    pub stalled: bool,
}

impl Run {
    /// Returns the run as its worker knows it.
    #[must_use]
    pub fn at_worker(&self) -> WorkerRun {
        WorkerRun {
            task: self.request.id.task.clone(),
            run: self.worker_run,
        }
    }

    /// Stops the run for its entry.
    pub fn stop_for_entry(&mut self, now: Instant) {
        self.stopping = true;
        self.unwanted_since.get_or_insert(now);
    }

    /// Returns the time by which the run must have ended by itself, if the agent's last contact with its entry
    /// was at the given time.
    #[must_use]
    pub fn lease_limit(&self, last_contact: Instant) -> Instant {
        let limit = last_contact + MAX_LIFETIME;
        self.unwanted_since
            .map_or(limit, |since| limit.min(since + MAX_LEASE))
    }

    /// Records the progress that the worker lists.
    pub fn record_progress(&mut self, percent: u32, now: Instant) {
        if percent != self.progress.0 {
            self.progress = (percent, now);
        }
    }

    /// Returns true if the run makes no progress, or is so slow that another worker would finish it
    /// sooner. Only the first run of a task can count as slow: if the second one is slow too, the
    /// cause is the task.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        let no_progress = now.saturating_duration_since(self.progress.1) >= STALL_TIMEOUT;
        let elapsed = now.saturating_duration_since(self.received_at);
        let expected = Duration::from_millis(self.request.expected_ms.into());
        let projected = elapsed * 100 / self.progress.0.max(1);
        let slow = elapsed >= MIN_SLOW_TIME
            && self.progress.0 < 50
            && projected > expected * SLOW_FACTOR + MIN_SLOW_TIME;
        no_progress || (slow && self.request.id.run == 1)
    }
}

/// All runs with reserved resources, by task. A task has at most one run at a time.
#[derive(Debug, Default)]
pub struct Runs {
    by_task: FxHashMap<TaskId, Run>,
    reserved: Resources,
    /// Highest run number of each task at the worker, and when that run was requested.
    highest: FxHashMap<TaskId, (u32, Instant)>,
}

impl Runs {
    /// Returns the resources reserved for all runs.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        self.reserved
    }

    /// Returns true if the task has a run.
    #[must_use]
    pub fn contains(&self, task: &TaskId) -> bool {
        self.by_task.contains_key(task)
    }

    /// Returns the run of a task.
    #[must_use]
    pub fn get(&self, task: &TaskId) -> Option<&Run> {
        self.by_task.get(task)
    }

    /// Returns a mutable reference to the run of a task.
    pub fn get_mut(&mut self, task: &TaskId) -> Option<&mut Run> {
        self.by_task.get_mut(task)
    }

    /// Iterates over all runs.
    pub fn iter(&self) -> impl Iterator<Item = &Run> {
        self.by_task.values()
    }

    /// Iterates over all runs mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Run> {
        self.by_task.values_mut()
    }

    /// Returns true if there are no runs.
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

    /// Adds a run and reserves its resources.
    pub fn insert(&mut self, run: Run) {
        let task = run.request.id.task.clone();
        self.reserved = self.reserved.plus(run.request.resources);
        self.highest
            .insert(task.clone(), (run.worker_run, run.received_at));
        self.by_task.insert(task, run);
    }

    /// Sets a higher number for a run at the worker.
    pub fn renumber(&mut self, task: &TaskId, worker_run: u32) {
        if let Some(run) = self.by_task.get_mut(task) {
            run.worker_run = worker_run;
            self.highest
                .insert(task.clone(), (worker_run, run.received_at));
        }
    }

    /// Returns the run that must be alone at the worker, if there is one.
    #[must_use]
    pub fn alone(&self) -> Option<&Run> {
        let mut runs = self.by_task.values();
        runs.find(|run| run.request.isolation == Isolation::Alone)
    }

    /// Returns the run that waits until no other run is at the worker, if there is one.
    #[must_use]
    pub fn queued(&self) -> Option<&Run> {
        self.alone().filter(|run| run.phase == Phase::Queued)
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_task.len()
    }

    /// Removes a run and releases its resources.
    pub fn remove(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.by_task.remove(task)?;
        self.reserved = self.reserved.minus(run.request.resources);
        Some(run)
    }

    /// Removes all runs.
    pub fn take_all(&mut self) -> Vec<Run> {
        self.reserved = Resources::default();
        let mut runs: Vec<Run> = self.by_task.drain().map(|(_, run)| run).collect();
        runs.sort_by(|a, b| a.request.id.cmp(&b.request.id));
        runs
    }

    /// Removes the stored run numbers of tasks without a run that were last started before `oldest`.
    pub fn remove_old_numbers(&mut self, oldest: Instant) {
        let by_task = &self.by_task;
        self.highest
            .retain(|task, (_, at)| *at >= oldest || by_task.contains_key(task));
    }
}
