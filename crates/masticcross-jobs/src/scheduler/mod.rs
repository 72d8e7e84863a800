//! An entry's decisions: which task runs where and when, and what a job's caller is told.
//!
//! - [`table`]: jobs and the state of their tasks.
//! - [`worker`]: workers as known through their agents.
//! - `placement`: the choice of task and worker.
//! - `ends`: what the end of a run means.
//! - `closing`: the ends of jobs.
//!
//! Nothing here waits. Methods take the time and leave [`Effect`]s, which the caller carries out in
//! order.

mod closing;
mod ends;
mod placement;
pub mod table;
pub mod worker;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::pool::{FreeResources, OperatorView, PoolFrame, Resume, RunEnd, WorkerInfo};
use masticcross_wire::{Incarnation, Refusal};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::blame::Blame;
use crate::job::{JobOutcome, JobRequest};
use crate::runtime::RunTimes;

use table::{Job, JobNumber, TaskPos, TaskState, Urgency};
use worker::Worker;

/// Number of a session, unique in this process.
pub type SessionId = u64;

/// Time after the loss of contact to an agent until its runs surely are gone: the agent's authority
/// (600 ms), the lease (1 s on a clock 2% slow), and the stop.
const LOST_CONTACT: Duration = Duration::from_millis(1_750);

/// When to come back after a refusal for lack of room, in milliseconds.
const BUSY_RETRY_MS: u32 = 500;

/// What the caller is to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Send a frame on a session.
    Send(SessionId, PoolFrame),
    /// Answer the callers of a job.
    Answer(JobNumber, JobOutcome),
}

/// Figures for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SchedulerLevels {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Jobs with tasks that wait for room.
    pub waiting: usize,
    /// Workers that can be used.
    pub workers: usize,
}

/// Order of jobs that wait, the lowest first: by urgency, then by the latest start at which they would
/// be in time.
type Rank = (Urgency, Instant, JobNumber);

/// The decisions of an entry.
pub struct Scheduler {
    zone: Name,
    view: Option<OperatorView>,
    workers: BTreeMap<Name, Worker>,
    jobs: BTreeMap<JobNumber, Job>,
    by_id: FxHashMap<Name, JobNumber>,
    waiting: BTreeSet<Rank>,
    ranks: FxHashMap<JobNumber, Rank>,
    next_job: JobNumber,
    ratios: RunTimes,
    blame: Blame<JobNumber, Name>,
    effects: Vec<Effect>,
}

impl Scheduler {
    /// Creates the decisions of an entry in an availability zone.
    #[must_use]
    pub fn new(zone: Name) -> Self {
        Self {
            zone,
            view: None,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            by_id: FxHashMap::default(),
            waiting: BTreeSet::new(),
            ranks: FxHashMap::default(),
            next_job: 1,
            ratios: RunTimes::default(),
            blame: Blame::default(),
            effects: Vec::new(),
        }
    }

    /// Takes the effects of what happened since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the figures for the metrics.
    #[must_use]
    pub fn levels(&self) -> SchedulerLevels {
        let usable = |w: &&Worker| w.info.as_ref().is_some_and(|info| !info.leaving);
        SchedulerLevels {
            jobs: self.jobs.len(),
            waiting: self.waiting.len(),
            workers: self.workers.values().filter(usable).count(),
        }
    }

    /// Returns operators' orders, once they are known.
    #[must_use]
    pub fn view(&self) -> Option<&OperatorView> {
        self.view.as_ref()
    }

    /// Takes over operators' orders if they are newer. Returns true if they are.
    pub fn view_offered(&mut self, view: OperatorView) -> bool {
        let known = self.view.as_ref().map(|v| v.position);
        if known.is_some_and(|position| view.position <= position) || view.position == 0 {
            return false;
        }
        log::info!(
            position = view.position, version = view.config_version,
            zones_out:? = view.zones_out;
            "operators' orders"
        );
        let sessions: Vec<SessionId> = self.workers.values().filter_map(|w| w.session).collect();
        for session in sessions {
            let frame = PoolFrame::View(Box::new(view.clone()));
            self.effects.push(Effect::Send(session, frame));
        }
        self.view = Some(view);
        true
    }

    /// Takes a job, or finds it if it is here already.
    ///
    /// # Errors
    /// Refuses a job that cannot be done or not in time; nothing of it has run.
    pub fn submit(&mut self, request: JobRequest, now: Instant) -> Result<JobNumber, Refusal> {
        if let Some(number) = self.by_id.get(&request.id) {
            return Ok(*number);
        }
        request.check()?;
        let queue = self.queue(&request.queue)?;
        let number = self.next_job;
        self.next_job += 1;
        let id = request.id.clone();
        let job = Job::new(request, queue, now);
        log::info!(
            job:% = id, queue:% = job.queue.name, tasks = job.tasks().count(),
            objective_ms = job.objective.as_millis(),
            patience_ms = job.request.deadline.saturating_duration_since(now).as_millis(),
            orders_position = self.view.as_ref().map_or(0, |view| view.position),
            usable_workers = self.levels().workers, jobs_waiting = self.waiting.len();
            "job taken"
        );
        self.by_id.insert(id, number);
        self.jobs.insert(number, job);
        self.rank(number, now);
        self.place(now);
        Ok(number)
    }

    /// Ends a job whose callers have left.
    pub fn cancel(&mut self, number: JobNumber, now: Instant) {
        if let Some(job) = self.jobs.get(&number) {
            closing::log_end(job, "stopped", 0, now);
        }
        self.remove_job(number);
    }

    /// Opens a session with an agent.
    pub fn session_opened(
        &mut self,
        name: &Name,
        incarnation: Incarnation,
        session: SessionId,
        now: Instant,
    ) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.open(incarnation, session);
        } else {
            let worker = Worker::new(name.clone(), incarnation, session, now);
            self.workers.insert(name.clone(), worker);
        }
        if let Some(view) = &self.view {
            let frame = PoolFrame::View(Box::new(view.clone()));
            self.effects.push(Effect::Send(session, frame));
        }
    }

    /// Notes the end of a session, unless a newer one replaced it.
    pub fn session_closed(&mut self, name: &Name, session: SessionId, now: Instant) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.session != Some(session) {
            return;
        }
        worker.session = None;
        worker.info = None;
        self.lose_contact(name, now);
        self.place(now);
    }

    /// Takes over what an agent tells of its worker.
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
        worker.info = info;
        if usable {
            self.lose_unreachable(name, now);
        }
        self.place(now);
    }

    /// Takes over the free room of a worker.
    pub fn freed(&mut self, name: &Name, session: SessionId, free: FreeResources, now: Instant) {
        if let Some(worker) = self.worker_of(name, session) {
            worker.set_free(free);
            self.place(now);
        }
    }

    /// Takes over what an agent holds for this entry when a session opens.
    pub fn resumed(&mut self, name: &Name, session: SessionId, resume: &Resume, now: Instant) {
        if self.worker_of(name, session).is_none() {
            return;
        }
        for end in &resume.ended {
            self.run_ended(name, end, now);
        }
        if resume.complete {
            self.compare_runs(name, &resume.running, now);
        }
        self.place(now);
    }

    /// Takes over ends of runs.
    pub fn ended(&mut self, name: &Name, session: SessionId, ends: &[RunEnd], now: Instant) {
        if self.worker_of(name, session).is_none() {
            return;
        }
        for end in ends {
            self.run_ended(name, end, now);
        }
        self.place(now);
    }

    /// Does what depends on time alone.
    pub fn tick(&mut self, now: Instant) {
        let numbers: Vec<JobNumber> = self.jobs.keys().copied().collect();
        for number in numbers {
            self.wake_tasks(number, now);
            self.give_up_hopeless(number, now);
        }
        self.place(now);
    }

    /// Counts the jobs of a queue of which no task was sent to a worker yet.
    #[must_use]
    pub fn not_begun(&self, queue: &str) -> usize {
        let waits = |job: &&Job| &*job.queue.name == queue && !job.may_have_run();
        self.jobs.values().filter(waits).count()
    }

    /// Returns the number of a job.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<(JobNumber, bool)> {
        let number = *self.by_id.get(id)?;
        let job = self.jobs.get(&number)?;
        Some((number, job.may_have_run()))
    }

    fn queue(&self, name: &str) -> Result<masticcross_wire::pool::Queue, Refusal> {
        let Some(view) = &self.view else {
            let refusal = Refusal::not_run(Code::ViewStale, "no configuration has been read yet");
            return Err(refusal.retry_after_ms(BUSY_RETRY_MS));
        };
        let queue = view.queues.iter().find(|queue| &*queue.name == name);
        queue
            .cloned()
            .ok_or_else(|| Refusal::not_run(Code::UnknownService, "no such queue is configured"))
    }

    fn worker_of(&mut self, name: &Name, session: SessionId) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(name)?;
        (worker.session == Some(session)).then_some(worker)
    }

    /// Puts a job into the order of those that wait, or takes it out.
    fn rank(&mut self, number: JobNumber, now: Instant) {
        if let Some(rank) = self.ranks.remove(&number) {
            self.waiting.remove(&rank);
        }
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if !job.tasks().any(|(_, t)| t.state == TaskState::Waiting) {
            return;
        }
        let latest_start = job.latest_start().unwrap_or(now);
        let rank = (job.urgency(now), latest_start, number);
        self.waiting.insert(rank);
        self.ranks.insert(number, rank);
    }

    /// Lets tasks wait again whose pause has ended.
    fn wake_tasks(&mut self, number: JobNumber, now: Instant) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let is_due = |(_, task): &(TaskPos, &table::Task)| match &task.state {
            TaskState::Paused(until) | TaskState::Unreachable(_, until) => *until <= now,
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
                self.workers.entry(worker).and_modify(|w| {
                    w.running = w.running.saturating_sub(1);
                });
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
