//! Ends of jobs: completed, failed, abandoned or stopped.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::Refusal;
use masticcross_wire::pool::{PoolFrame, RunId};
use tokio::time::Instant;

use crate::job::JobOutcome;
use crate::supervisor::clients::AUTHORITY_TIMEOUT;

use super::admission::{Backlog, Work, share_cpu};
use super::table::{Job, JobNumber, TaskPos, TaskState};
use super::worker::Worker;
use super::{Effect, LOST_CONTACT_TIMEOUT, Scheduler};

impl Scheduler {
    /// Abandons a job whose deadline has passed or that can no longer end in time.
    pub(super) fn abandon_if_too_late(&mut self, number: JobNumber, now: Instant) {
        if self.refuse_if_confined(number, now) {
            return;
        }
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let Some((code, detail)) = self.reason_to_abandon(job, now) else {
            return;
        };
        let retry_after = self.backlog_of(number).retry_after(number);
        let outcome = abandoned(job, code, detail, retry_after);
        self.give_up(number, outcome, now);
    }

    /// Refuses a job that has not started if its queue is confined and no worker is left to it.
    fn refuse_if_confined(&mut self, number: JobNumber, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&number) else {
            return false;
        };
        let refuse = !job.may_have_run() && self.lacks_confined_worker(job, now);
        if refuse {
            self.give_up(number, Self::confined_outcome(number), now);
        }
        refuse
    }

    fn reason_to_abandon(&self, job: &Job, now: Instant) -> Option<(Code, &'static str)> {
        if now >= job.request.deadline {
            return Some((Code::DeadlineExceeded, "the caller's time has passed"));
        }
        if !job.may_have_run() && now >= job.refuse_at() {
            return Some(if self.serves(&job.queue.service) {
                (Code::Overloaded, "no worker has room for the job in time")
            } else {
                let detail = "no worker of the service is in contact with this entry";
                (Code::NoBackend, detail)
            });
        }
        if earliest_end(job, now)? <= job.useful_until() || self.awaits_isolated_run(job) {
            return None;
        }
        Some(if job.has_lost_runs() {
            let detail = "a lost run cannot be repeated in time";
            (Code::WorkerLost, detail)
        } else {
            let detail = "no worker has room for the rest of the job in time";
            (Code::Overloaded, detail)
        })
    }

    /// Refuses the jobs that have not started and have no chance to be in time, once jobs have waited
    /// for a while. In a short burst a late answer is still better than none, and costs no other job its
    /// time.
    pub(super) fn refuse_hopeless_jobs(&mut self, now: Instant) {
        self.record_share(now);
        let jobs_wait = self.unconfined_jobs_wait();
        if !self.saturation.update(jobs_wait, now) {
            return;
        }
        let hopeless = self.find_hopeless_jobs(now);
        for (number, retry_after) in hopeless {
            if let Some(job) = self.jobs.get(&number) {
                let detail = "the jobs ahead of it take longer than it can wait";
                let outcome = abandoned(job, Code::Overloaded, detail, retry_after);
                self.give_up(number, outcome, now);
            }
        }
    }

    /// Returns true if jobs of queues that are not confined wait for room.
    fn unconfined_jobs_wait(&self) -> bool {
        if self.confinement.is_empty() {
            return !self.waiting.is_empty();
        }
        let is_unconfined = |(_, _, number): &(_, _, JobNumber)| {
            let job = self.jobs.get(number);
            job.is_some_and(|job| self.confinement.limit(&job.queue.name).is_none())
        };
        self.waiting.iter().any(is_unconfined)
    }

    /// Returns the waiting jobs without a chance to be in time, and when their callers should return.
    /// Jobs of a service without a worker in contact are left to another refusal, after which their
    /// callers try another entry.
    fn find_hopeless_jobs(&self, now: Instant) -> Vec<(JobNumber, Duration)> {
        let share_cpu = self.recent_share.highest();
        let mut ahead: Work = 0;
        let mut hopeless = Vec::new();
        for (_, _, number) in &self.waiting {
            let Some(job) = self.jobs.get(number) else {
                continue;
            };
            if self.confinement.limit(&job.queue.name).is_some() {
                continue;
            }
            let overtaking = self.arrivals.cpu_before(job.queue.priority, now);
            let backlog = Backlog { ahead, share_cpu }.overtaken_by(overtaking);
            let latest_start = job.latest_start().unwrap_or(now);
            let has_chance = job.may_have_run()
                || backlog.allows_start_by(latest_start, now)
                || !self.serves(&job.queue.service)
                || self.has_room_for(job, now);
            if has_chance {
                ahead = ahead.saturating_add(job.waiting_work());
            } else {
                hopeless.push((*number, backlog.retry_after(*number)));
            }
        }
        hopeless
    }

    /// Returns what delays a job: the waiting tasks of the jobs before it, or of all jobs if it does
    /// not wait itself.
    fn backlog_of(&self, number: JobNumber) -> Backlog {
        let rank = self.ranks.get(&number);
        let before = self.waiting.iter().take_while(|other| Some(*other) != rank);
        let jobs = before.filter_map(|(_, _, number)| self.jobs.get(number));
        Backlog {
            ahead: jobs.map(Job::waiting_work).fold(0, u64::saturating_add),
            share_cpu: self.recent_share.highest(),
        }
    }

    /// Records the entry's present share of the workers.
    fn record_share(&mut self, now: Instant) {
        let running = self.jobs.values().map(Job::running_cpu);
        let running = running.fold(0, u64::saturating_add);
        let usable = self.workers.values().filter_map(|w| w.info.as_ref());
        let usable = usable.filter(|info| !info.leaving);
        let usable = usable.map(|info| info.capacity.cpu);
        let usable = usable.fold(0, u64::saturating_add);
        self.recent_share.add(share_cpu(running, usable), now);
    }

    fn give_up(&mut self, number: JobNumber, outcome: JobOutcome, now: Instant) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let free_cpu = self.workers.values().map(|worker| worker.free().cpu);
        let free_cpu = free_cpu.fold(0, u64::saturating_add);
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
        self.end_waits_of_job(number, now);
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
    pub(super) fn serves(&self, service: &Name) -> bool {
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
        bad_runs = job.bad_runs, place_wait_ms = job.place_wait.as_millis();
        "job ended"
    );
}

/// Returns the earliest time at which a job with waiting, delayed or unreachable tasks can end.
fn earliest_end(job: &Job, now: Instant) -> Option<Instant> {
    let expected = |pos: TaskPos| Duration::from_millis(job.step(pos).expected_ms.into());
    let ends = job.tasks().filter_map(|(pos, task)| match &task.state {
        TaskState::Unreachable(_, until) if may_still_end(*until, now) => Some(now),
        TaskState::Unreachable(_, until) | TaskState::Delayed(until) => {
            Some((*until).max(now) + expected(pos))
        }
        TaskState::Waiting | TaskState::AwaitingPlace => Some(now + expected(pos)),
        _ => None,
    });
    ends.max()
}

/// Returns true if an unreachable run, which is confirmed gone at `gone_at`, may still end at its
/// worker. The agent stops it when it has had no contact with this entry for [`AUTHORITY_TIMEOUT`].
fn may_still_end(gone_at: Instant, now: Instant) -> bool {
    now + LOST_CONTACT_TIMEOUT < gone_at + AUTHORITY_TIMEOUT
}

/// Returns the outcome of an abandoned job. It is "not run" only if it is certain that no run has
/// started.
fn abandoned(job: &Job, code: Code, detail: &str, retry_after: Duration) -> JobOutcome {
    let refusal = if job.may_have_run() {
        Refusal::failed(code, detail)
    } else {
        Refusal::not_run(code, detail)
    };
    let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    JobOutcome::Refused(refusal.retry_after_ms(retry_after_ms))
}
