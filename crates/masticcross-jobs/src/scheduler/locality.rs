//! Waits of tasks for workers near their data: what the entry knows about the places, which tasks wait
//! for them, and when their waits end. [`super::place_wait`] decides.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::Resources;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::place_wait::{
    Decision, FreedCapacity, JobLimits, KnownRun, NearCapacity, NearWorker, PlacedTask,
    WaitHistory, decide,
};
use super::placement::is_eligible;
use super::table::{Job, JobNumber, PlaceWait, TaskPos, TaskState};
use super::worker::Worker;
use super::{Rank, Scheduler};

/// Number of ended runs that are kept for a worker beside as many as it runs.
const SPARE_RUNS: usize = 8;

/// Waits of tasks for workers near their data, since the start of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlaceWaits {
    /// Waits that began.
    pub started: u64,
    /// Waits after which the task was sent to a worker near its data.
    pub ended_near: u64,
    /// Waits after which the task was sent to another worker.
    pub ended_elsewhere: u64,
    /// Total time of the waits that ended, also with their job.
    pub waited: Duration,
}

/// A task that waits for a place.
#[derive(Debug, Clone, Copy)]
struct Wait {
    until: Instant,
    resources: Resources,
}

/// What is known about the places of data. Empty without the setting `remote_factor`.
#[derive(Debug, Default)]
pub(super) struct Locality {
    /// Factor on the run time of tasks away from their data.
    remote_factor: Option<f64>,
    started: Option<Instant>,
    workers: FxHashMap<Name, BTreeSet<Name>>,
    labels: FxHashMap<Name, SmallVec<[Name; 4]>>,
    /// Runs sent to each worker. Those that have ended are removed from time to time.
    runs: FxHashMap<Name, Vec<(JobNumber, TaskPos, u32, KnownRun)>>,
    /// Capacity that became free, for each label for which a decision was made.
    freed: FxHashMap<Name, FreedCapacity>,
    waits: BTreeMap<Name, BTreeMap<(Rank, TaskPos), Wait>>,
    /// How recent waits ended, for each label with workers and each priority of a queue.
    history: FxHashMap<Name, BTreeMap<u32, WaitHistory>>,
    /// True after a change of the operators' settings: all waits are decided again.
    pub(super) recheck: bool,
    pub(super) counts: PlaceWaits,
}

impl Locality {
    fn since_start(&mut self, now: Instant) -> Duration {
        let started = *self.started.get_or_insert(now);
        now.saturating_duration_since(started)
    }

    /// Returns the CPU of the tasks that wait for a place and go before a task.
    fn waiting_cpu(&self, label: &Name, rank: Rank, pos: TaskPos) -> u64 {
        let waits = self.waits.get(label).into_iter().flatten();
        let before = waits.take_while(|(key, _)| **key < (rank, pos));
        before.fold(0, |cpu, (_, wait)| cpu.saturating_add(wait.resources.cpu))
    }

    /// Returns the factor on the expected waits for a place, for jobs of a priority.
    fn correction(&self, label: &Name, priority: u32, since_start: Duration) -> f64 {
        let history = self.history.get(label).and_then(|h| h.get(&priority));
        history.map_or(1.0, |history| history.correction(since_start))
    }

    /// Removes the waits for a place that `ends` selects, in their order.
    fn take_waits(
        &mut self,
        label: &Name,
        mut ends: impl FnMut(&Wait) -> bool,
    ) -> Vec<(JobNumber, TaskPos)> {
        let Some(waits) = self.waits.get_mut(label) else {
            return Vec::new();
        };
        let ended = waits.extract_if(.., |_, wait| ends(wait));
        let ended: Vec<_> = ended.map(|((rank, pos), _)| (rank.2, pos)).collect();
        if waits.is_empty() {
            self.waits.remove(label);
        }
        ended
    }
}

impl Scheduler {
    /// Sets the factor by which tasks take longer away from their data, at least 1. Without it no task
    /// waits for a place. It must be set before the first session opens.
    pub fn set_remote_factor(&mut self, factor: f64) {
        self.locality.remote_factor = Some(factor.max(1.0));
    }

    /// Returns the factor on the run time of a task at a worker that follows from the place of its
    /// data; 1 if this is not known.
    pub(super) fn place_factor(&self, job: &Job, pos: TaskPos, worker: &Name) -> f64 {
        let (Some(factor), Some(label)) = (self.locality.remote_factor, &job.step(pos).data_label)
        else {
            return 1.0;
        };
        let info = self.workers.get(worker).and_then(|w| w.info.as_ref());
        let is_remote = info.is_some_and(|info| !info.labels.contains(label));
        if is_remote { factor } else { 1.0 }
    }

    /// Returns the factor on the cost of a worker away from the data.
    pub(super) fn remote_cost_factor(&self) -> Option<f64> {
        self.locality.remote_factor
    }

    /// Lets a task wait for a worker near its data if that is better than to start it at the given
    /// worker now. Returns true if it waits.
    pub(super) fn wait_for_place(
        &mut self,
        number: JobNumber,
        pos: TaskPos,
        worker: &Name,
        now: Instant,
    ) -> bool {
        let (Some(job), Some(rank)) = (self.jobs.get(&number), self.ranks.get(&number).copied())
        else {
            return false;
        };
        let Some(label) = job.step(pos).data_label.clone() else {
            return false;
        };
        if self.place_factor(job, pos, worker) <= 1.0 {
            return false;
        }
        let task = self.placed_task(job, pos, now);
        let run = job.run_id(pos, job.task(pos).map_or(0, |task| task.run + 1));
        let near = self.near_capacity(number, pos, &label, rank, now);
        let decision = decide(&task, &near, &self.ratios, now);
        let waited_ms = task.waited.as_millis();
        match decision {
            Decision::Elsewhere(reason) => {
                log::debug!(
                    run:%, label:%, reason = reason.label(), waited_ms, loss_ms = task.loss().as_millis(),
                    waiting_cpu = near.waiting_cpu, freed_cpu = near.freed_cpu;
                    "task does not wait for a worker near its data"
                );
                false
            }
            Decision::Wait { until, expected } => {
                log::debug!(
                    run:%, label:%, expected_wait_ms = expected.as_millis(), waited_ms,
                    loss_ms = task.loss().as_millis(),
                    at_most_ms = until.saturating_duration_since(now).as_millis(),
                    waiting_cpu = near.waiting_cpu, freed_cpu = near.freed_cpu;
                    "task waits for a worker near its data"
                );
                self.start_wait(
                    rank,
                    pos,
                    label,
                    Wait {
                        until,
                        resources: task.resources,
                    },
                    PlaceWait {
                        since: now,
                        expected,
                    },
                );
                true
            }
        }
    }

    fn start_wait(&mut self, rank: Rank, pos: TaskPos, label: Name, wait: Wait, begun: PlaceWait) {
        let job = self.jobs.get_mut(&rank.2);
        let Some(task) = job.and_then(|job| job.task_mut(pos)) else {
            return;
        };
        task.state = TaskState::AwaitingPlace;
        if task.place_wait.is_none() {
            task.place_wait = Some(begun);
            self.locality.counts.started += 1;
        }
        let waits = self.locality.waits.entry(label).or_default();
        waits.insert((rank, pos), wait);
    }

    fn placed_task(&self, job: &Job, pos: TaskPos, now: Instant) -> PlacedTask {
        let step = job.step(pos);
        let expected = Duration::from_millis(step.expected_ms.into());
        let begun = job.task(pos).and_then(|task| task.place_wait);
        PlacedTask {
            resources: step.resources,
            expected,
            remote_factor: self.locality.remote_factor.unwrap_or(1.0),
            waited: begun.map_or(Duration::ZERO, |wait| {
                now.saturating_duration_since(wait.since)
            }),
            limits: JobLimits {
                due: job.due(),
                useful_until: job.useful_until(),
                refuse_at: (!job.may_have_run()).then(|| job.refuse_at()),
                chain: job.chain_from(pos.0),
            },
        }
    }

    fn near_capacity(
        &mut self,
        number: JobNumber,
        pos: TaskPos,
        label: &Name,
        rank: Rank,
        now: Instant,
    ) -> NearCapacity {
        let Some(names) = self.locality.workers.get(label) else {
            return NearCapacity::default();
        };
        let job = self.jobs.get(&number);
        let priority = job.map_or(0, |job| job.queue.priority);
        let since_start = now.saturating_duration_since(self.locality.started.unwrap_or(now));
        let freed = self.locality.freed.entry(label.clone()).or_default();
        let freed_cpu = freed.cpu(since_start);
        let near = names
            .iter()
            .filter_map(|name| self.near_worker(number, pos, name));
        NearCapacity {
            workers: near.collect(),
            freed_cpu,
            waiting_cpu: self.locality.waiting_cpu(label, rank, pos),
            correction: self.locality.correction(label, priority, since_start),
        }
    }

    /// Returns what is known about a worker near the data of a task, or `None` if the task cannot run
    /// there or would take as long as elsewhere.
    fn near_worker(&self, number: JobNumber, pos: TaskPos, name: &Name) -> Option<NearWorker> {
        let job = self.jobs.get(&number)?;
        let (step, task) = (job.step(pos), job.task(pos)?);
        let worker = self.workers.get(name)?;
        let info = worker.info.as_ref()?;
        let zones_out = self.view.as_ref().map(|view| &view.zones_out)?;
        let usable = worker.session.is_some()
            && !info.leaving
            && !zones_out.contains(&info.zone)
            && info.capacity.covers(&step.resources)
            && is_eligible(job, pos, name, info)
            && !task.avoid.contains(name)
            && !worker.health.is_quarantined()
            && worker.slowness() < self.locality.remote_factor?;
        let runs = self.locality.runs.get(name).into_iter().flatten();
        let runs = runs.filter(|(number, pos, run, _)| self.is_running(*number, *pos, *run, name));
        usable.then(|| NearWorker {
            free: worker.free(),
            runs: runs.map(|(.., known)| *known).collect(),
        })
    }

    fn is_running(&self, number: JobNumber, pos: TaskPos, run: u32, worker: &Name) -> bool {
        let task = self.jobs.get(&number).and_then(|job| job.task(pos));
        task.is_some_and(|task| {
            task.run == run && matches!(&task.state, TaskState::Running(name) if name == worker)
        })
    }

    /// Records a run that was sent, and ends the wait of its task, if any.
    pub(super) fn record_place(
        &mut self,
        number: JobNumber,
        pos: TaskPos,
        worker: &Name,
        now: Instant,
    ) {
        if self.locality.remote_factor.is_none() {
            return;
        }
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let factor = self.place_factor(job, pos, worker);
        let step = job.step(pos);
        let near_time = Duration::from_millis(step.expected_ms.into());
        let slowness = self.workers.get(worker).map_or(1.0, Worker::slowness);
        let known = KnownRun {
            sent_at: now,
            expected: near_time.mul_f64(factor * slowness),
            resources: step.resources,
        };
        let run = job.task(pos).map_or(0, |task| task.run);
        let mut runs = self.locality.runs.remove(worker).unwrap_or_default();
        let running = self.workers.get(worker).map_or(0, |w| w.running);
        if runs.len() > SPARE_RUNS + 2 * usize::try_from(running).unwrap_or(0) {
            runs.retain(|(number, pos, run, _)| self.is_running(*number, *pos, *run, worker));
        }
        runs.push((number, pos, run, known));
        self.locality.runs.insert(worker.clone(), runs);
        self.end_wait(number, pos, Some(factor <= 1.0), now);
    }

    /// Records the end of a task's wait: near its data, elsewhere, or with its job.
    fn end_wait(&mut self, number: JobNumber, pos: TaskPos, near: Option<bool>, now: Instant) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let task = job.task_mut(pos);
        let Some(wait) = task.and_then(|task| task.place_wait.take()) else {
            return;
        };
        let waited = now.saturating_duration_since(wait.since);
        job.place_wait = job.place_wait.max(waited);
        if let (Some(near), Some(label)) = (near, job.step(pos).data_label.clone()) {
            let since_start = self.locality.since_start(now);
            if self.locality.workers.contains_key(&label) {
                let history = self.locality.history.entry(label).or_default();
                let history = history.entry(job.queue.priority).or_default();
                history.add(waited, wait.expected, near, since_start);
            }
        }
        let counts = &mut self.locality.counts;
        counts.waited += waited;
        let place = match near {
            Some(true) => {
                counts.ended_near += 1;
                "near"
            }
            Some(false) => {
                counts.ended_elsewhere += 1;
                "elsewhere"
            }
            None => "none",
        };
        log::debug!(
            job:% = job.request.id, step = pos.0, task = pos.1, waited_ms = waited.as_millis(), place;
            "wait for a worker near the data ended"
        );
    }

    /// Ends the waits of all tasks of a job that ends.
    pub(super) fn end_waits_of_job(&mut self, number: JobNumber, now: Instant) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let waits = |(_, task): &(TaskPos, &super::table::Task)| task.place_wait.is_some();
        let waiting: Vec<_> = job.tasks().filter(waits).collect();
        let waiting: Vec<_> = waiting
            .into_iter()
            .map(|(pos, _)| (pos, job.step(pos).data_label.clone()))
            .collect();
        for (pos, label) in waiting {
            if let Some(waits) = label.and_then(|label| self.locality.waits.get_mut(&label)) {
                waits.retain(|(rank, waiting), _| (rank.2, *waiting) != (number, pos));
            }
            self.end_wait(number, pos, None, now);
        }
    }

    /// Lets the tasks whose wait is over take any worker.
    pub(super) fn end_due_waits(&mut self, now: Instant) {
        let labels: Vec<Name> = self.locality.waits.keys().cloned().collect();
        let all = std::mem::take(&mut self.locality.recheck);
        for label in labels {
            let due = self
                .locality
                .take_waits(&label, |wait| all || wait.until <= now);
            self.stop_waiting(&due, now);
        }
    }

    /// Applies an announcement of free resources by a worker that had `before` free: as many of the tasks that wait for the worker's place
    /// as fit now are placed again, the most urgent first.
    pub(super) fn place_freed(&mut self, name: &Name, before: Resources, now: Instant) {
        if self.locality.remote_factor.is_none() {
            return;
        }
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let free = worker.free();
        let rise = free.cpu.saturating_sub(before.cpu);
        if rise == 0 {
            return;
        }
        let since_start = self.locality.since_start(now);
        let labels = self.locality.labels.get(name).cloned().unwrap_or_default();
        for label in labels {
            if let Some(freed) = self.locality.freed.get_mut(&label) {
                freed.add(rise, since_start);
            }
            let mut room = free;
            let fitting = self.locality.take_waits(&label, |wait| {
                let fits = room.covers(&wait.resources);
                if fits {
                    room = room.minus(wait.resources);
                }
                fits
            });
            self.stop_waiting(&fitting, now);
        }
    }

    /// Applies a change of a worker's labels or use. All tasks that wait for its places are decided
    /// again, so that none waits for workers that have left.
    pub(super) fn place_changed(&mut self, name: &Name, now: Instant) {
        if self.locality.remote_factor.is_none() {
            return;
        }
        let info = self.workers.get(name).and_then(|w| w.info.clone());
        let labels = info.map(|info| info.labels.clone()).unwrap_or_default();
        let before = self.locality.labels.insert(name.clone(), labels.clone());
        let before = before.unwrap_or_default();
        for label in &before {
            if let Some(workers) = self.locality.workers.get_mut(label) {
                workers.remove(name);
                if workers.is_empty() {
                    self.locality.workers.remove(label);
                    self.locality.freed.remove(label);
                    self.locality.history.remove(label);
                }
            }
        }
        for label in &labels {
            let workers = self.locality.workers.entry(label.clone()).or_default();
            workers.insert(name.clone());
        }
        for label in before.iter().chain(&labels) {
            let all = self.locality.take_waits(label, |_| true);
            self.stop_waiting(&all, now);
        }
    }

    fn stop_waiting(&mut self, tasks: &[(JobNumber, TaskPos)], now: Instant) {
        for (number, pos) in tasks {
            let job = self.jobs.get_mut(number);
            if let Some(task) = job.and_then(|job| job.task_mut(*pos)) {
                task.state = TaskState::Waiting;
            }
            self.rank(*number, now);
        }
    }
}
