//! The entry's decisions: which task runs where and when, and how jobs are answered.
//!
//! - [`admission`]: which waiting jobs are refused, and when refused callers should return.
//! - [`table`]: jobs and the state of their tasks.
//! - [`worker`]: workers and what their agents report.
//! - `placement`: choice of task and worker.
//! - [`place_wait`]: how long a task waits for a worker near its data.
//! - `locality`: the waits for workers near the data, and what is known about these.
//! - `ends`: handling of the ends of runs.
//! - `closing`: ends of jobs.
//! - `crashes`: crashes of workers.
//! - `demand`: the waiting work that agents are told.
//! - `last_reports`: what agents have told of their workers, kept for their next processes.
//! - `operator_view`: the operators' settings, and their exchange with agents.
//!
//! This module does no I/O and never blocks. Methods take the current time and queue [`Effect`]s,
//! which the caller must execute in the order in which they were queued.

pub mod admission;
mod capacity;
mod closing;
mod crashes;
mod demand;
mod ends;
mod jobs;
mod last_reports;
mod locality;
mod operator_view;
pub mod place_wait;
mod placement;
pub mod table;
pub mod worker;
mod workers;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::pool::{FreeResources, OperatorView, PoolFrame, Resume, RunEnd, WorkerInfo};
use masticcross_wire::{Incarnation, Refusal};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::crashes::confinement::Confinement;
use crate::crashes::log::CrashLog;
use crate::crashes::suspects::Suspects;
use crate::failure_attribution::FailureAttribution;
use crate::job::{JobOutcome, JobRequest};
use crate::run_lifetime::{END_MARGIN, MAX_LIFETIME};
use crate::run_times::RunTimes;
use crate::view::encoded::EncodedView;
use crate::view::fetch::ViewFetch;
use crate::view::freshness::ViewAge;

use admission::{ArrivalRates, RecentShare, Saturation, Work};
use jobs::Jobs;
use last_reports::LastReports;
use locality::Locality;
pub use locality::PlaceWaits;
pub use operator_view::ViewStatus;
use table::{Job, JobNumber, TaskPos, TaskState, Urgency};
use worker::Worker;
use workers::Workers;

/// Session number, unique in this process.
pub type SessionId = u64;

/// Time after the loss of contact to an agent until its runs are confirmed gone.
const LOST_CONTACT_TIMEOUT: Duration = MAX_LIFETIME.saturating_add(END_MARGIN);

/// Retry-after of a job that is refused because the entry has no configuration yet, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// An action that the caller of the scheduler must execute.
#[derive(Debug)]
pub enum Effect {
    /// Send a frame on a session.
    Send(SessionId, PoolFrame),
    /// Answer the callers of a job.
    Answer(JobNumber, JobOutcome),
}

/// Values of the entry's gauges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SchedulerGauges {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Jobs with tasks that wait for free resources.
    pub waiting: usize,
    /// Workers that can be used.
    pub workers: usize,
    /// Queues that get only a part of the workers, because their tasks crash workers.
    pub confined_queues: usize,
    /// Waits of tasks for workers near their data, since the start of the entry.
    pub place_waits: PlaceWaits,
}

/// Sort key of waiting jobs, lowest first: by urgency, then by the latest start at which the job is
/// in time.
type Rank = (Urgency, Instant, JobNumber);

/// Whether waiting tasks are placed with each change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Placement {
    Immediate,
    /// Several changes are being applied. Tasks are placed after the last one, if `due`.
    Held {
        due: bool,
    },
}

/// What admission needs of a waiting job.
#[derive(Debug, Clone, Copy)]
struct WaitingJob {
    priority: u32,
    /// CPU time of its tasks that wait.
    work: Work,
    may_have_run: bool,
    /// Its latest start, in milliseconds after the scheduler's first job, rounded down.
    latest_start_ms: u64,
}

/// State machine that schedules the jobs of an entry.
pub struct Scheduler {
    view: Option<OperatorView>,
    view_age: ViewAge,
    workers: Workers,
    jobs: Jobs,
    by_id: FxHashMap<Name, JobNumber>,
    waiting: BTreeMap<Rank, WaitingJob>,
    /// Work of all waiting jobs.
    waiting_work: u128,
    ranks: FxHashMap<JobNumber, Rank>,
    first_job_at: Option<Instant>,
    placement: Placement,
    next_job: JobNumber,
    /// Ratios of actual to expected run times. A ratio of 1 is stored as one second.
    ratios: RunTimes,
    failure_attribution: FailureAttribution<JobNumber, Name>,
    crash_log: CrashLog,
    suspects: Suspects,
    confinement: Confinement,
    recent_share: RecentShare,
    arrivals: ArrivalRates,
    saturation: Saturation,
    locality: Locality,
    waiting_sums: demand::WaitingSums,
    last_reports: LastReports,
    view_fetch: ViewFetch,
    /// The operator view in the form in which it is sent, if it was requested.
    encoded_view: Option<EncodedView>,
    /// Sessions of the agents that are asked to keep a copy of the operator view.
    view_keepers: SmallVec<[SessionId; operator_view::VIEW_KEEPERS]>,
    effects: Vec<Effect>,
}

impl Scheduler {
    /// Creates the scheduler of an entry in the given availability zone.
    #[must_use]
    pub fn new(zone: Name) -> Self {
        Self {
            view: None,
            view_age: ViewAge::default(),
            workers: Workers::new(zone),
            jobs: Jobs::default(),
            by_id: FxHashMap::default(),
            waiting: BTreeMap::new(),
            waiting_work: 0,
            ranks: FxHashMap::default(),
            first_job_at: None,
            placement: Placement::Immediate,
            next_job: 1,
            ratios: RunTimes::default(),
            failure_attribution: FailureAttribution::default(),
            crash_log: CrashLog::default(),
            suspects: Suspects::default(),
            confinement: Confinement::default(),
            recent_share: RecentShare::default(),
            arrivals: ArrivalRates::default(),
            saturation: Saturation::default(),
            locality: Locality::default(),
            waiting_sums: demand::WaitingSums::default(),
            last_reports: LastReports::default(),
            view_fetch: ViewFetch::new(operator_view::FETCH_PACE, 0),
            encoded_view: None,
            view_keepers: SmallVec::new(),
            effects: Vec::new(),
        }
    }

    /// Returns and clears the queued effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the values of the gauges.
    #[must_use]
    pub fn gauges(&self) -> SchedulerGauges {
        SchedulerGauges {
            jobs: self.jobs.len(),
            waiting: self.waiting.len(),
            workers: self.workers.totals().usable,
            confined_queues: self.confinement.len(),
            place_waits: self.locality.counts,
        }
    }

    /// Returns the operator view, or `None` before the first one.
    #[must_use]
    pub fn view(&self) -> Option<&OperatorView> {
        self.view.as_ref()
    }

    /// Accepts a job. Returns the number of the existing job if one with the same id is open.
    ///
    /// # Errors
    /// Fails if the request is invalid, no configuration has been read or the queue is unknown. No
    /// task has run then.
    pub fn submit(&mut self, request: JobRequest, now: Instant) -> Result<JobNumber, Refusal> {
        self.submit_arrived(request, now, now)
    }

    /// Accepts a job as [`Scheduler::submit`] does. Its objective counts from the time at which it
    /// arrived at the entry that has its callers.
    ///
    /// # Errors
    /// As [`Scheduler::submit`].
    pub fn submit_arrived(
        &mut self,
        request: JobRequest,
        arrived: Instant,
        now: Instant,
    ) -> Result<JobNumber, Refusal> {
        if let Some(number) = self.by_id.get(&request.id) {
            return Ok(*number);
        }
        request.check()?;
        let queue = self.queue(&request.queue)?;
        let number = self.next_job;
        self.next_job += 1;
        let id = request.id.clone();
        let job = Job::new(number, request, queue, arrived);
        let view = self.view_status(now);
        log::info!(
            job:% = id, queue:% = job.queue.name, tasks = job.tasks().count(),
            objective_ms = job.objective.as_millis(),
            patience_ms = job.request.deadline.saturating_duration_since(now).as_millis(),
            orders_position = view.position, config_version = view.config_version,
            view_age_ms = view.age_ms(),
            usable_workers = self.workers.totals().usable, jobs_waiting = self.waiting.len();
            "job taken"
        );
        let (priority, work) = (job.queue.priority, job.request.work());
        self.arrivals.add(priority, work, now);
        self.waiting_sums
            .add_arrival(&job.queue.service, priority, work, now);
        self.by_id.insert(id, number);
        self.jobs.insert(number, job);
        self.rank(number, now);
        self.apply_earlier_crashes(number, now);
        self.place(now);
        if self.ranks.contains_key(&number) {
            self.abandon_if_too_late(number, now);
            self.refuse_hopeless_jobs(now);
        }
        Ok(number)
    }

    /// Ends a job that was canceled or whose callers have all disconnected.
    pub fn cancel(&mut self, number: JobNumber, now: Instant) {
        self.stop(number, "stopped", now);
    }

    /// Ends a job without an answer. The outcome is for the log.
    pub fn stop(&mut self, number: JobNumber, outcome: &str, now: Instant) {
        if let Some(job) = self.jobs.get(&number) {
            closing::log_end(job, outcome, 0, now);
        }
        self.end_waits_of_job(number, now);
        self.remove_job(number);
    }

    /// Opens a session with an agent. Returns false if it must be closed, as a session of a later process
    /// of the agent is open.
    pub fn session_opened(
        &mut self,
        name: &Name,
        incarnation: Incarnation,
        session: SessionId,
        now: Instant,
    ) -> bool {
        let known = self.workers.get(name);
        if known.is_some_and(|w| w.session.is_some() && incarnation < w.incarnation) {
            return false;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.open(incarnation, session, now);
        } else {
            let worker = Worker::new(name.clone(), incarnation, session, now);
            self.workers.insert(worker);
        }
        self.tell_earlier_report(name, session, now);
        self.place_changed(name, now);
        self.choose_view_keepers(now);
        if !self.view_keepers.contains(&session) {
            self.announce_view(session, now);
        }
        true
    }

    /// Handles the end of a session, unless a newer one has replaced it.
    pub fn session_closed(&mut self, name: &Name, session: SessionId, now: Instant) {
        self.view_fetch.closed(session);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.session != Some(session) {
            return;
        }
        worker.session = None;
        worker.set_info(None, now);
        self.place_changed(name, now);
        self.choose_view_keepers(now);
        self.mark_unreachable(name, now);
        self.place(now);
    }

    /// Delays the placement of waiting tasks until [`Self::resume_placement`].
    pub fn hold_placement(&mut self) {
        self.placement = Placement::Held { due: false };
    }

    /// Places waiting tasks if a change since [`Self::hold_placement`] requires it.
    pub fn resume_placement(&mut self, now: Instant) {
        let held = std::mem::replace(&mut self.placement, Placement::Immediate);
        if held == (Placement::Held { due: true }) {
            self.place(now);
        }
    }

    /// Applies the state of a worker as sent by its agent.
    pub fn worker_changed(
        &mut self,
        name: &Name,
        session: SessionId,
        info: Option<WorkerInfo>,
        now: Instant,
    ) {
        let Some(worker) = self.worker_of(name, session) else {
            return;
        };
        let usable = info.is_some();
        worker.set_info(info, now);
        self.place_changed(name, now);
        if usable {
            self.reconcile_unreachable(name, now);
        }
        self.place(now);
    }

    /// Applies the free resources of a worker.
    pub fn update_free(
        &mut self,
        name: &Name,
        session: SessionId,
        free: FreeResources,
        now: Instant,
    ) {
        if let Some(worker) = self.worker_of(name, session) {
            let before = worker.free();
            worker.set_free(free);
            self.place_freed(name, before, now);
            self.place(now);
        }
    }

    /// Applies the runs that an agent reports for this entry when a session opens.
    pub fn resumed(&mut self, name: &Name, session: SessionId, resume: &Resume, now: Instant) {
        if !self.is_current(name, session) {
            return;
        }
        for end in &resume.ended {
            self.run_ended(name, end, now);
        }
        if resume.complete {
            self.reconcile_runs(name, &resume.running, now);
        }
        self.stop_unwanted_runs(name, session, &resume.running);
        self.place(now);
    }

    /// Applies ends of runs.
    pub fn ended(&mut self, name: &Name, session: SessionId, ends: &[RunEnd], now: Instant) {
        if !self.is_current(name, session) {
            return;
        }
        for end in ends {
            self.run_ended(name, end, now);
        }
        self.place(now);
    }

    /// Applies delays and timeouts, and places waiting tasks.
    pub fn tick(&mut self, now: Instant) {
        self.fetch_view(now);
        self.suspects.remove_old(now);
        self.confinement.relax(now);
        let due = if self.confinement.is_empty() {
            self.jobs.due(now)
        } else {
            // A job of a confined queue is refused as soon as the workers left to it are down.
            self.jobs.numbers()
        };
        for number in due {
            self.release_delayed_tasks(number, now);
            self.abandon_if_too_late(number, now);
        }
        self.end_due_waits(now);
        self.place(now);
        self.refuse_hopeless_jobs(now);
    }

    /// Returns the number of jobs in a queue of which no task can have started.
    #[must_use]
    pub fn count_unstarted(&self, queue: &str) -> usize {
        let waits = |job: &&Job| &*job.queue.name == queue && !job.may_have_run();
        self.jobs.values().filter(waits).count()
    }

    /// Returns the number of a job, and whether a task of it may have started.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<(JobNumber, bool)> {
        let number = *self.by_id.get(id)?;
        let job = self.jobs.get(&number)?;
        Some((number, job.may_have_run()))
    }

    fn queue(&self, name: &str) -> Result<masticcross_wire::pool::Queue, Refusal> {
        let Some(view) = &self.view else {
            let refusal = Refusal::not_run(Code::ViewStale, "no configuration has been read yet");
            return Err(refusal.retry_after_ms(RETRY_AFTER_MS));
        };
        let queue = view.queues.iter().find(|queue| &*queue.name == name);
        queue
            .cloned()
            .ok_or_else(|| Refusal::not_run(Code::UnknownService, "no such queue is configured"))
    }

    fn is_current(&self, name: &Name, session: SessionId) -> bool {
        let worker = self.workers.get(name);
        worker.is_some_and(|worker| worker.session == Some(session))
    }

    fn worker_of(&mut self, name: &Name, session: SessionId) -> Option<&mut Worker> {
        if !self.is_current(name, session) {
            return None;
        }
        self.workers.get_mut(name)
    }

    /// Updates the position of a job among those that wait, or removes it if no task waits.
    fn rank(&mut self, number: JobNumber, now: Instant) {
        self.unrank(number);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.ranked_with = Some((job.runs, job.ran));
        job.ranked_in_time = false;
        if !job.tasks().any(|(_, t)| t.state == TaskState::Waiting) {
            return;
        }
        let latest_start = job.latest_start().unwrap_or(now);
        let rank = (job.urgency(now), latest_start, number);
        job.ranked_in_time = matches!(rank.0, Urgency::InTime(_));
        let waiting = WaitingJob {
            priority: job.queue.priority,
            work: job.waiting_work(),
            may_have_run: job.may_have_run(),
            latest_start_ms: ms_between(*self.first_job_at.get_or_insert(now), latest_start),
        };
        self.waiting_work += u128::from(waiting.work);
        self.waiting.insert(rank, waiting);
        self.ranks.insert(number, rank);
    }

    fn unrank(&mut self, number: JobNumber) {
        let rank = self.ranks.remove(&number);
        if let Some(waiting) = rank.and_then(|rank| self.waiting.remove(&rank)) {
            self.waiting_work -= u128::from(waiting.work);
        }
    }

    /// Makes tasks available for placement again once their delay has passed or their unreachable run
    /// is confirmed gone.
    fn release_delayed_tasks(&mut self, number: JobNumber, now: Instant) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let is_due = |(_, task): &(TaskPos, &table::Task)| match &task.state {
            TaskState::Delayed(until) | TaskState::Unreachable(_, until) => *until <= now,
            _ => false,
        };
        let due: Vec<TaskPos> = job.tasks().filter(is_due).map(|(pos, _)| pos).collect();
        for pos in &due {
            let Some(task) = job.task_mut(*pos) else {
                continue;
            };
            if let TaskState::Unreachable(worker, _) = &task.state {
                let worker = worker.clone();
                job.ran = true;
                job.bad_runs += 1;
                log::info!(job:% = job.request.id, worker:%; "run is lost with its agent");
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.running = worker.running.saturating_sub(1);
                }
            }
            if let Some(task) = job.task_mut(*pos) {
                task.state = TaskState::Waiting;
            }
        }
        let in_time = |rank: &Rank| matches!(rank.0, Urgency::InTime(_));
        let rank = self.ranks.get(&number);
        let late = rank.is_some_and(|rank| in_time(rank) && rank.1 < now);
        if !due.is_empty() || late {
            self.rank(number, now);
        }
    }
}

fn ms_between(from: Instant, to: Instant) -> u64 {
    let ms = to.saturating_duration_since(from).as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
