//! Handling of the end of a run: effects on its task, its job and its worker.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::NotStartedReason;
use masticcross_wire::pool::{PoolFrame, RunEnd, RunId, RunResult};
use tokio::time::Instant;

use crate::crashes::SPACING;
use crate::failure_attribution::Attribution;
use crate::job::JobOutcome;

use super::table::{JobNumber, TaskPos, TaskState};
use super::{Effect, LOST_CONTACT_TIMEOUT, Scheduler, SessionId};

/// Delay of a task whose earlier run still occupies resources at a worker.
const DUPLICATE_RUN_DELAY: Duration = Duration::from_millis(200);

/// Delay of a task of a late job after a refusal for lack of resources.
const SATURATED_DELAY: Duration = Duration::from_millis(60);

/// Failures for which a stalled run counts, enough to quarantine the worker.
const STALLED_FAILURES: u32 = 3;

impl Scheduler {
    /// Marks the runs at an agent as unreachable.
    pub(super) fn mark_unreachable(&mut self, name: &Name, now: Instant) {
        let state = TaskState::Running(name.clone());
        for number in self.jobs.numbers() {
            let running = self.jobs[&number].tasks().filter(|(_, t)| t.state == state);
            let running: Vec<TaskPos> = running.map(|(pos, _)| pos).collect();
            for pos in running {
                let job = self.jobs.get_mut(&number);
                if let Some(task) = job.and_then(|job| job.task_mut(pos)) {
                    task.state = TaskState::Unreachable(name.clone(), now + LOST_CONTACT_TIMEOUT);
                }
            }
        }
    }

    /// Compares the runs recorded for an agent with those that it lists. Runs that are missing from
    /// its list, and whose end it has not reported, never reached it or ended with an earlier
    /// process of the agent. They are marked as lost.
    pub(super) fn reconcile_runs(&mut self, name: &Name, running: &[RunId], now: Instant) {
        let mut missing = Vec::new();
        for number in self.jobs.numbers() {
            let job = &self.jobs[&number];
            let placed = job.tasks().filter(|(_, task)| task.is_at(name));
            let placed: Vec<(TaskPos, u32)> = placed.map(|(pos, task)| (pos, task.run)).collect();
            for (pos, run) in placed {
                let run = self.jobs[&number].run_id(pos, run);
                if running.contains(&run) {
                    let job = self.jobs.get_mut(&number);
                    if let Some(task) = job.and_then(|job| job.task_mut(pos)) {
                        task.state = TaskState::Running(name.clone());
                    }
                } else {
                    missing.push(run);
                }
            }
        }
        for id in missing {
            log::info!(run:% = id, worker:% = name; "run is not at the agent");
            let end = RunEnd {
                id,
                result: RunResult::Lost,
                took_ms: 0,
            };
            self.run_ended(name, &end, now);
        }
    }

    /// Stops the runs that an agent lists and this entry does not want: their jobs have ended, or
    /// their tasks were sent elsewhere, while there was no session on which a stop could be sent.
    pub(super) fn stop_unwanted_runs(
        &mut self,
        name: &Name,
        session: SessionId,
        running: &[RunId],
    ) {
        let unwanted = running.iter().filter(|run| !self.is_placed(name, run));
        let unwanted: Vec<RunId> = unwanted.cloned().collect();
        if unwanted.is_empty() {
            return;
        }
        for run in &unwanted {
            log::info!(run:%, worker:% = name, session; "run that the agent still has is stopped");
        }
        self.effects
            .push(Effect::Send(session, PoolFrame::Stop(unwanted)));
    }

    /// Returns true if a run is the current one of its task and may be at the worker.
    fn is_placed(&self, name: &Name, run: &RunId) -> bool {
        let pos = (run.task.step, run.task.index);
        let Some(job) = self.jobs.get(&run.submission) else {
            return false;
        };
        job.task(pos)
            .is_some_and(|task| task.is_at(name) && job.run_id(pos, task.run) == *run)
    }

    /// Marks unreachable runs as lost at a worker that can be used again. Its agent has then either
    /// reported its runs, or is a new process that has stopped all earlier runs at the worker.
    pub(super) fn reconcile_unreachable(&mut self, name: &Name, now: Instant) {
        let mut at_worker = Vec::new();
        for job in self.jobs.values() {
            let is_running = |task: &super::table::Task| match &task.state {
                TaskState::Running(worker) => worker == name,
                _ => false,
            };
            let running = job.tasks().filter(|(_, task)| is_running(task));
            at_worker.extend(running.map(|(pos, task)| job.run_id(pos, task.run)));
        }
        self.reconcile_runs(name, &at_worker, now);
    }

    /// Applies the end of a run. Ends of runs other than the task's current one are ignored.
    pub(super) fn run_ended(&mut self, name: &Name, end: &RunEnd, now: Instant) {
        if !self.is_placed(name, &end.id) {
            return;
        }
        let number = end.id.submission;
        let pos = (end.id.task.step, end.id.task.index);
        let Some(task) = self.jobs.get_mut(&number).and_then(|job| job.task_mut(pos)) else {
            return;
        };
        task.state = TaskState::Waiting;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.running = worker.running.saturating_sub(1);
        }
        let started = !matches!(end.result, RunResult::NotStarted(_));
        if let Some(job) = self.jobs.get_mut(&number) {
            job.ran |= started;
            job.bad_runs += u32::from(started && end.result != RunResult::Done);
        }
        if end.result == RunResult::NotStarted(NotStartedReason::NoRoom) {
            // Logged at debug level because there are too many under overload; metrics count them.
            log::debug!(run:% = end.id, worker:% = name; "run refused for lack of resources");
        } else if end.result != RunResult::Done {
            log::info!(
                run:% = end.id, worker:% = name, result:? = end.result, took_ms = end.took_ms;
                "run ended"
            );
        }
        match end.result {
            RunResult::Done => self.task_done(number, pos, name, end, now),
            RunResult::Failed => self.task_failed(number, pos, name, now),
            RunResult::Stuck => self.task_stalled(number, pos, name, now),
            RunResult::Stopped | RunResult::Lost => {}
            RunResult::NotStarted(reason) => self.not_started(number, pos, name, reason, now),
        }
        self.rank(number, now);
    }

    fn task_done(
        &mut self,
        number: JobNumber,
        pos: TaskPos,
        name: &Name,
        end: &RunEnd,
        now: Instant,
    ) {
        let factor = self
            .jobs
            .get(&number)
            .map_or(1.0, |job| self.place_factor(job, pos, name));
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let expected = f64::from(job.step(pos).expected_ms.max(1)) * factor;
        let all_done = job.done(pos);
        let ratio = f64::from(end.took_ms.max(1)) / expected;
        self.ratios.add(Duration::from_secs_f64(ratio));
        self.confinement.succeeded(&job.queue.name, now);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.observe(ratio, &self.ratios);
            worker.health.succeeded(now);
        }
        if all_done {
            self.end_job(number, JobOutcome::Completed, now);
        }
    }

    fn task_failed(&mut self, number: JobNumber, pos: TaskPos, name: &Name, now: Instant) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let max_attempts = job.queue.max_attempts.max(1);
        let Some(task) = job.task_mut(pos) else {
            return;
        };
        task.failures += 1;
        task.avoid.push(name.clone());
        let attempts_exhausted = task.failures >= max_attempts;
        match self.failure_attribution.failed(&number, name.clone()) {
            Attribution::Worker => self.worker_failed(name, 1, now),
            Attribution::Job(counted) => {
                for (worker, failures) in counted {
                    if let Some(worker) = self.workers.get_mut(&worker) {
                        worker.health.discount_failures(failures, now);
                    }
                }
            }
        }
        if attempts_exhausted {
            self.end_job(number, JobOutcome::Failed, now);
        }
    }

    fn task_stalled(&mut self, number: JobNumber, pos: TaskPos, name: &Name, now: Instant) {
        let job = self.jobs.get_mut(&number);
        if let Some(task) = job.and_then(|job| job.task_mut(pos)) {
            task.avoid.push(name.clone());
        }
        self.worker_failed(name, STALLED_FAILURES, now);
    }

    fn not_started(
        &mut self,
        number: JobNumber,
        pos: TaskPos,
        name: &Name,
        reason: NotStartedReason,
        now: Instant,
    ) {
        match reason {
            NotStartedReason::ConnectFailed => {
                let may_quarantine = self.may_quarantine_worker();
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.health.unanswered(now, may_quarantine);
                }
            }
            NotStartedReason::AlreadyKnown => {
                let job = self.jobs.get_mut(&number);
                if let Some(task) = job.and_then(|job| job.task_mut(pos)) {
                    task.state = TaskState::Delayed(now + DUPLICATE_RUN_DELAY);
                }
            }
            NotStartedReason::ViewStale
            | NotStartedReason::NoBackend
            | NotStartedReason::ShuttingDown
            | NotStartedReason::ZoneOut => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.health.pause(now);
                }
            }
            NotStartedReason::NoRoom => self.delay_if_late(number, pos, now),
            NotStartedReason::Isolated => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.spaced_until = Some(now + SPACING);
                }
            }
            NotStartedReason::OldEpoch
            | NotStartedReason::Stopped
            | NotStartedReason::DeadlinePassed => {}
        }
    }

    /// Delays the next placement of a task if its job is late.
    fn delay_if_late(&mut self, number: JobNumber, pos: TaskPos, now: Instant) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.is_late(now)
            && let Some(task) = job.task_mut(pos)
        {
            task.state = TaskState::Delayed(now + SATURATED_DELAY);
        }
    }

    /// Returns true if one more worker may be quarantined. At least half of the usable workers always
    /// stay in service.
    fn may_quarantine_worker(&self) -> bool {
        let workers = self.workers.totals();
        (workers.quarantined + 1) * 2 <= workers.present
    }

    /// Records failures that count against a worker.
    fn worker_failed(&mut self, name: &Name, failures: u32, now: Instant) {
        let may_quarantine = self.may_quarantine_worker();
        if let Some(worker) = self.workers.get_mut(name) {
            for _ in 0..failures {
                worker.health.failed(now, may_quarantine);
            }
            if worker.health.is_quarantined() {
                log::info!(worker:% = name; "worker taken out after failures");
            }
        }
    }
}
