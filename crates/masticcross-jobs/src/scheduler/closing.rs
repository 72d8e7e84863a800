//! Ends of jobs: completed, failed, abandoned or stopped.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::Refusal;
use masticcross_wire::pool::{PoolFrame, RunId};
use tokio::time::Instant;

use crate::job::JobOutcome;

use super::table::{Job, JobNumber, TaskPos, TaskState};
use super::worker::Worker;
use super::{Effect, RETRY_AFTER_MS, Scheduler};

impl Scheduler {
    /// Abandons a job whose deadline has passed or that can no longer end in time.
    pub(super) fn abandon_if_too_late(&mut self, number: JobNumber, now: Instant) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let outcome = if now >= job.request.deadline {
            abandoned(job, Code::DeadlineExceeded, "the caller's time has passed")
        } else if !job.may_have_run() && now >= job.refuse_at() {
            if self.serves(&job.queue.service) {
                let detail = "no worker has room for the job in time";
                abandoned(job, Code::Overloaded, detail)
            } else {
                let detail = "no worker of the service is in contact with this entry";
                abandoned(job, Code::NoBackend, detail)
            }
        } else if let Some(earliest) = earliest_end(job, now)
            && earliest > job.useful_until()
        {
            if job.has_lost_runs() {
                abandoned(
                    job,
                    Code::WorkerLost,
                    "a lost run cannot be repeated in time",
                )
            } else {
                let detail = "no worker has room for the rest of the job in time";
                abandoned(job, Code::Overloaded, detail)
            }
        } else {
            return;
        };
        let free_cpu: u64 = self.workers.values().map(|worker| worker.free().cpu).sum();
        log::info!(
            job:% = job.request.id, waited_ms = now.saturating_duration_since(job.arrived).as_millis(),
            objective_ms = job.objective.as_millis(), began = job.may_have_run(), late = job.is_late(now),
            usable_workers = self.gauges().workers, free_cpu,
            jobs_waiting = self.waiting.len(), outcome:?;
            "job given up"
        );
        self.end_job(number, outcome, now);
    }

    /// Ends a job: answers its callers and stops its runs.
    pub(super) fn end_job(&mut self, number: JobNumber, outcome: JobOutcome, now: Instant) {
        if let Some(job) = self.jobs.get(&number) {
            let (label, code) = match &outcome {
                JobOutcome::Completed => ("completed", 0),
                JobOutcome::Failed => ("failed", 0),
                JobOutcome::Refused(refusal) if refusal.not_run => {
                    ("not_run", refusal.code.number())
                }
                JobOutcome::Refused(refusal) => ("given_up", refusal.code.number()),
            };
            log_end(job, label, code, now);
        }
        self.effects.push(Effect::Answer(number, outcome));
        self.remove_job(number);
    }

    /// Returns true if there is a usable worker for a service.
    fn serves(&self, service: &Name) -> bool {
        let usable = |w: &Worker| w.info.as_ref().is_some_and(|i| i.service == *service);
        self.workers.values().any(usable)
    }

    pub(super) fn remove_job(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        self.by_id.remove(&job.request.id);
        if let Some(rank) = self.ranks.remove(&number) {
            self.waiting.remove(&rank);
        }
        let mut by_worker: BTreeMap<Name, Vec<RunId>> = BTreeMap::new();
        for (worker, run) in job.placed() {
            by_worker.entry(worker).or_default().push(run);
        }
        for (name, runs) in by_worker {
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            let stopped = u32::try_from(runs.len()).unwrap_or(u32::MAX);
            worker.running = worker.running.saturating_sub(stopped);
            if let Some(session) = worker.session {
                self.effects
                    .push(Effect::Send(session, PoolFrame::Stop(runs)));
            }
        }
    }
}

/// Logs the end of a job together with its history.
pub(super) fn log_end(job: &Job, outcome: &str, code: u16, now: Instant) {
    let ms_after = |at: Instant| at.saturating_duration_since(job.arrived).as_millis();
    let first_run_ms = job.first_sent.map_or(0, ms_after);
    log::info!(
        job:% = job.request.id, queue:% = job.queue.name, outcome, code, took_ms = ms_after(now),
        objective_ms = job.objective.as_millis(), first_run_ms, runs = job.runs,
        bad_runs = job.bad_runs;
        "job ended"
    );
}

/// Returns the earliest time at which a job with waiting, delayed or unreachable tasks can end.
fn earliest_end(job: &Job, now: Instant) -> Option<Instant> {
    let expected = |pos: TaskPos| Duration::from_millis(job.step(pos).expected_ms.into());
    let ends = job.tasks().filter_map(|(pos, task)| match &task.state {
        TaskState::Unreachable(_, until) | TaskState::Delayed(until) => {
            Some((*until).max(now) + expected(pos))
        }
        TaskState::Waiting => Some(now + expected(pos)),
        _ => None,
    });
    ends.max()
}

/// Returns the outcome of an abandoned job. It is "not run" only if it is certain that no run has
/// started.
fn abandoned(job: &Job, code: Code, detail: &str) -> JobOutcome {
    let refusal = if job.may_have_run() {
        Refusal::failed(code, detail)
    } else {
        Refusal::not_run(code, detail)
    };
    JobOutcome::Refused(refusal.retry_after_ms(RETRY_AFTER_MS))
}
