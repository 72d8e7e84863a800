//! Crashes of workers that agents announce: their effects on jobs, queues and placement.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::Refusal;
use masticcross_wire::crash::{CrashedRun, Isolation, WorkerCrash};
use masticcross_wire::pool::{PoolFrame, Queue, TaskId};
use tokio::time::Instant;

use crate::crashes::confinement::{Limit, Place, sort_key};
use crate::crashes::log::NewRuns;
use crate::crashes::suspects::{Evidence, Verdict};
use crate::job::JobOutcome;

use super::table::{Job, JobNumber, Task, TaskPos, TaskState};
use super::worker::Worker;
use super::{Effect, Scheduler, SessionId};

/// Time after which a worker that is away no longer counts as one of its service.
const MAX_ABSENCE: Duration = Duration::from_secs(10);

/// Retry-after of a job whose queue is confined while no worker of its part is up.
const CONFINED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Numbers of the workers that a confined queue may use.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConfinedWorkers {
    all: usize,
    up: usize,
}

impl ConfinedWorkers {
    /// Returns true if a run that may crash its worker leaves enough of them to the queue's other jobs.
    pub(super) fn allow_risk(self) -> bool {
        self.up * 2 > self.all
    }
}

impl Scheduler {
    /// Applies crashes that an agent announced on a session.
    pub fn crashes_announced(&mut self, session: SessionId, crashes: &[WorkerCrash], now: Instant) {
        for crash in crashes {
            let Some(new) = self.crash_log.add(crash, now) else {
                continue;
            };
            log::warn!(
                worker:% = crash.worker, session, born_ms = crash.started_at_ms,
                runs = new.runs.len(), age_ms = crash.age_ms;
                "worker crash announced"
            );
            // Its agent reports the worker as away only after the ends of the runs, which are placed again
            // before that.
            if let Some(worker) = self.worker_of(&crash.worker, session) {
                worker.set_info(None, now);
            }
            self.suspects.add(&new, now);
            self.apply_evidence(&new, now);
            self.pass_on_crash(session, crash, &new.runs);
            for run in &new.runs {
                self.assess(run, now);
            }
        }
        self.place(now);
    }

    /// Applies the evidence of a crash against queues. A crash with runs of a queue that is confined is
    /// explained by these, unless there is proof.
    fn apply_evidence(&mut self, new: &NewRuns, now: Instant) {
        let is_confined = |queue: &Name| self.confinement.limit(queue).is_some();
        let explained = new.runs.iter().any(|run| is_confined(&run.queue));
        for run in &new.runs {
            let Some(evidence) = self.suspects.evidence_against_queue(run) else {
                continue;
            };
            let is_known = self.confinement.limit(&run.queue).is_some();
            if is_known || !explained || matches!(evidence, Evidence::Proof(_)) {
                self.confinement
                    .add_evidence(&run.queue, evidence, new.at, now);
            }
        }
        let queues: BTreeSet<&Name> = new.runs.iter().map(|run| &run.queue).collect();
        for queue in queues {
            self.confinement.crashed(queue, new.at);
        }
    }

    /// Tells the agents, and through them the entries that have no session with the worker's agent, of
    /// tasks of this entry that were in several crashes.
    fn pass_on_crash(&mut self, from: SessionId, crash: &WorkerCrash, runs: &[CrashedRun]) {
        let is_repeated = |run: &&CrashedRun| {
            self.by_id.contains_key(&run.id.task.job)
                && self.suspects.crashes_under(&run.id.task) > 1
        };
        let repeated: Vec<CrashedRun> = runs.iter().filter(is_repeated).cloned().collect();
        if repeated.is_empty() {
            return;
        }
        let crash = WorkerCrash {
            runs: repeated,
            ..crash.clone()
        };
        let sessions = self.workers.values().filter_map(|worker| worker.session);
        let others = sessions.filter(|session| *session != from);
        let sends = others.map(|to| Effect::Send(to, PoolFrame::Crashes(vec![crash.clone()])));
        self.effects.extend(sends);
    }

    /// Gives up the job of a run if its task must not be started again.
    fn assess(&mut self, run: &CrashedRun, now: Instant) {
        let task = &run.id.task;
        let Some(&number) = self.by_id.get(&task.job) else {
            return;
        };
        let (crashes, verdict) = (
            self.suspects.crashes_under(task),
            self.suspects.verdict(task),
        );
        if crashes > 1 {
            log::warn!(
                run:% = run.id, queue:% = run.queue, crashes, ran_ms = run.ran_ms,
                isolation:? = run.isolation, verdict:?;
                "task was in several crashes"
            );
        }
        self.end_if_unstartable(number, verdict, now);
    }

    fn end_if_unstartable(&mut self, number: JobNumber, verdict: Verdict, now: Instant) {
        match verdict {
            Verdict::Cause => self.end_job(number, JobOutcome::Failed, now),
            Verdict::Exhausted => {
                let detail = "several workers have crashed under a task of the job";
                let refusal = Refusal::failed(Code::WorkerLost, detail);
                self.end_job(number, JobOutcome::Refused(refusal), now);
            }
            Verdict::Clear | Verdict::Suspect | Verdict::RepeatedSuspect => {}
        }
    }

    /// Applies what is known of the tasks of a job that was submitted before, perhaps to another entry.
    pub(super) fn apply_earlier_crashes(&mut self, number: JobNumber, now: Instant) {
        if self.suspects.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let tasks: Vec<TaskId> = job
            .tasks()
            .map(|(pos, _)| job.run_id(pos, 0).task)
            .collect();
        let suspects = &self.suspects;
        job.ran |= tasks.iter().any(|task| suspects.crashes_under(task) > 0);
        let may_have_run = job.may_have_run();
        let rank = self.ranks.get(&number);
        if let Some(waiting) = rank.and_then(|rank| self.waiting.get_mut(rank)) {
            waiting.may_have_run = may_have_run;
        }
        let mut verdicts = tasks.iter().map(|task| suspects.verdict(task));
        let unstartable = verdicts.find(|v| matches!(v, Verdict::Cause | Verdict::Exhausted));
        if let Some(verdict) = unstartable {
            self.end_if_unstartable(number, verdict, now);
        }
    }

    /// Returns what else may run beside a task. In a confined queue a suspect runs alone, unless it had
    /// run for another time than the queue's tasks take to crash a worker.
    pub(super) fn isolation(&self, job: &Job, pos: TaskPos) -> Isolation {
        if self.suspects.is_empty() {
            return Isolation::Shared;
        }
        let task = job.run_id(pos, 0).task;
        let queue = &*job.queue.name;
        let is_unlikely = match self.confinement.crash_delay(queue) {
            Some(delay) => !self.suspects.ran_for(&task, delay),
            None => self.confinement.limit(queue).is_none(),
        };
        match self.suspects.verdict(&task) {
            Verdict::Clear => Isolation::Shared,
            Verdict::Suspect if is_unlikely => Isolation::Spaced,
            Verdict::Suspect | Verdict::RepeatedSuspect | Verdict::Cause | Verdict::Exhausted => {
                Isolation::Alone
            }
        }
    }

    /// Returns true if a run without any other run at its worker has to show whether a task of the job
    /// crashes workers.
    pub(super) fn awaits_isolated_run(&self, job: &Job) -> bool {
        let is_strong = |(pos, task): (TaskPos, &Task)| {
            let id = job.run_id(pos, 0).task;
            task.state != TaskState::Done && self.suspects.verdict(&id) == Verdict::RepeatedSuspect
        };
        !self.suspects.is_empty() && job.tasks().any(is_strong)
    }

    /// Returns the numbers of workers that a confined queue may use, and of those that are up.
    pub(super) fn confined_workers(
        &self,
        queue: &Queue,
        limit: Limit,
        now: Instant,
    ) -> ConfinedWorkers {
        let places = self.places(now);
        let is_within = |worker: &&Worker| {
            let place = places.get(&worker.name);
            worker.service() == Some(&queue.service)
                && place.is_some_and(|place| place.is_within(limit))
        };
        let is_up = |worker: &&Worker| worker.info.as_ref().is_some_and(|info| !info.leaving);
        let within = self.workers.values().filter(is_within);
        ConfinedWorkers {
            all: within.clone().count(),
            up: within.filter(is_up).count(),
        }
    }

    /// Returns true if the job's queue is confined and none of the workers that it may use is up.
    pub(super) fn lacks_confined_worker(&self, job: &Job, now: Instant) -> bool {
        let limit = self.confinement.limit(&job.queue.name);
        limit.is_some_and(|limit| self.confined_workers(&job.queue, limit, now).up == 0)
    }

    /// Returns the outcome of a job that cannot start because its queue is confined.
    pub(super) fn confined_outcome(number: JobNumber) -> JobOutcome {
        let detail = "jobs of this queue crash workers, and the workers left to it are down";
        let spread = CONFINED_RETRY_AFTER.mul_f64(super::admission::spread_position(number));
        let retry_after = (CONFINED_RETRY_AFTER + spread).as_millis();
        let refusal = Refusal::not_run(Code::QueueConfined, detail);
        let retry_after = u32::try_from(retry_after).unwrap_or(u32::MAX);
        JobOutcome::Refused(refusal.retry_after_ms(retry_after))
    }

    /// Returns the positions of workers among those of their services, if a queue is confined. Workers
    /// that are away for a short time keep theirs.
    pub(super) fn places(&self, now: Instant) -> BTreeMap<Name, Place> {
        let mut places = BTreeMap::new();
        if self.confinement.is_empty() {
            return places;
        }
        let mut by_service: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
        for worker in self.workers.values() {
            if let Some(service) = worker.service_within(MAX_ABSENCE, now) {
                by_service.entry(service).or_default().push(&worker.name);
            }
        }
        for mut names in by_service.into_values() {
            names.sort_by_key(|name| (sort_key(name), *name));
            let workers = names.len();
            for (rank, name) in names.into_iter().enumerate() {
                places.insert(name.clone(), Place { rank, workers });
            }
        }
        places
    }
}
