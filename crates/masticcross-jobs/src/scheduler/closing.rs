//! Ends of jobs: completed, failed, abandoned or stopped.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::Refusal;
use masticcross_wire::pool::{PoolFrame, RunId};
use tokio::time::Instant;

use crate::job::JobOutcome;
use crate::run_lifetime::AUTHORITY_TIMEOUT;

use super::admission::{Backlog, Work, share_cpu};
use super::table::{Job, JobNumber, TaskPos, TaskState, Urgency};
use super::{Effect, LOST_CONTACT_TIMEOUT, Scheduler, ms_between};

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
        self.refresh_candidates(now);
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
        self.waiting.keys().any(|rank| !self.is_confined(rank.2))
    }

    fn is_confined(&self, number: JobNumber) -> bool {
        if self.confinement.is_empty() {
            return false;
        }
        let job = self.jobs.get(&number);
        job.is_none_or(|job| self.confinement.limit(&job.queue.name).is_some())
    }

    /// Returns the waiting jobs without a chance to be in time, and when their callers should return.
    /// Jobs of a service without a worker in contact are left to another refusal, after which their
    /// callers try another entry.
    fn find_hopeless_jobs(&self, now: Instant) -> Vec<(JobNumber, Duration)> {
        if self.all_surely_have_a_chance(now) {
            return Vec::new();
        }
        let share_cpu = self.recent_share.highest();
        let mut ahead: Work = 0;
        let mut hopeless = Vec::new();
        let now_ms = self.first_job_at.map_or(0, |first| ms_between(first, now)) + 1;
        let mut priority = None;
        let mut backlog = Backlog::default();
        for (&(_, latest_start, number), waiting) in &self.waiting {
            if self.is_confined(number) {
                continue;
            }
            if priority.replace(waiting.priority) != Some(waiting.priority) {
                let overtaking_cpu = self.arrivals.cpu_before(waiting.priority, now);
                backlog = Backlog { ahead, share_cpu }.overtaken_by(overtaking_cpu);
            }
            backlog.ahead = ahead;
            let has_chance = waiting.may_have_run
                || backlog
                    .surely_allows_start_within(waiting.latest_start_ms.saturating_sub(now_ms))
                || backlog.allows_start_by(latest_start, now)
                || self.may_start_elsewhere_or_now(number, now);
            if has_chance {
                ahead = ahead.saturating_add(waiting.work);
            } else {
                hopeless.push((number, backlog.retry_after(number)));
            }
        }
        hopeless
    }

    /// Returns true if each waiting job could surely start in time after the work of all others. This
    /// looks at one job of each urgency, the one with the earliest latest start.
    fn all_surely_have_a_chance(&self, now: Instant) -> bool {
        let Some(first_job_at) = self.first_job_at else {
            return true;
        };
        let now_ms = ms_between(first_job_at, now) + 1;
        let backlog = Backlog {
            ahead: u64::try_from(self.waiting_work).unwrap_or(u64::MAX),
            share_cpu: self.recent_share.highest(),
        };
        let backlog = backlog.overtaken_by(self.arrivals.cpu_before(u32::MAX, now));
        let mut urgency = Urgency::InTime(0);
        loop {
            // No latest start is before the first job.
            let mut from = self.waiting.range((urgency, first_job_at, 0)..);
            let Some(((Urgency::InTime(priority), ..), first)) = from.next() else {
                return self
                    .waiting
                    .last_key_value()
                    .is_none_or(|(rank, _)| rank.0 != Urgency::Late);
            };
            let longest_ms = first.latest_start_ms.saturating_sub(now_ms);
            if !backlog.surely_allows_start_within(longest_ms) {
                return false;
            }
            urgency = priority
                .checked_add(1)
                .map_or(Urgency::Late, Urgency::InTime);
        }
    }

    fn may_start_elsewhere_or_now(&self, number: JobNumber, now: Instant) -> bool {
        let job = self.jobs.get(&number);
        job.is_none_or(|job| !self.serves(&job.queue.service) || self.has_room_for(job, now))
    }

    /// Returns what delays a job: the waiting tasks of the jobs before it, or of all jobs if it does
    /// not wait itself.
    fn backlog_of(&self, number: JobNumber) -> Backlog {
        let rank = self.ranks.get(&number);
        let waiting = self.waiting.iter();
        let before = waiting.take_while(|(other, _)| Some(*other) != rank);
        let work = before.map(|(_, waiting)| waiting.work);
        Backlog {
            ahead: work.fold(0, u64::saturating_add),
            share_cpu: self.recent_share.highest(),
        }
    }

    /// Records the entry's present share of the workers.
    fn record_share(&mut self, now: Instant) {
        self.jobs.refresh();
        let running = self.jobs.running_cpu();
        let usable = self.workers.totals().usable_cpu;
        let usable = u64::try_from(usable).unwrap_or(u64::MAX);
        self.recent_share.add(share_cpu(running, usable), now);
    }

    fn give_up(&mut self, number: JobNumber, outcome: JobOutcome, now: Instant) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let workers = self.workers.totals();
        log::info!(
            job:% = job.request.id, waited_ms = now.saturating_duration_since(job.arrived).as_millis(),
            objective_ms = job.objective.as_millis(), began = job.may_have_run(), late = job.is_late(now),
            usable_workers = workers.usable, free_cpu = workers.free_cpu,
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
        self.workers.serve(service)
    }

    pub(super) fn remove_job(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        self.by_id.remove(&job.request.id);
        self.unrank(number);
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
