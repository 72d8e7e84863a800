//! Submissions and queries: looks up jobs in the table, adds new ones and cancels them.

use masticcross_basics::timeline::{Event, EventKind};
use masticcross_basics::{Code, Digest, Epoch, JobKey};
use masticcross_config::Document;
use masticcross_ledger::AdmissionRecord;
use masticcross_wire::{JobAnswer, JobRequest, Refusal};
use tokio::sync::oneshot;

use super::effect::Effect;
use super::job::{Job, Stage, TaskState, task_count};
use super::shard::{Context, EndedJob, Phase, Shard};

/// Result of looking up the job of a submission or a query.
pub(super) enum Lookup {
    /// This entry does not own the partition under the epoch.
    NotOwner,
    /// The partition is being recovered or handed over; retry when its phase changes.
    Wait,
    /// The answer is available.
    Answer(JobAnswer),
    /// The answer is pending and will be sent to the receiver.
    Join(oneshot::Receiver<JobAnswer>),
    /// The job is not in the table.
    Unknown,
}

impl Shard {
    /// Looks up the job of a submission, and joins it if it runs.
    pub(super) fn look_up(
        &mut self,
        epoch: Epoch,
        request: &JobRequest,
        digest: Digest,
        cx: &mut Context<'_>,
    ) -> Lookup {
        if let Some(lookup) = self.closed_result(epoch) {
            return lookup;
        }
        self.expire(cx);
        if let Some(ended) = self.ended.get(&request.key) {
            return Lookup::Answer(ended_answer(ended, Some(digest)));
        }
        let Some(job) = self.jobs.get_mut(&request.key) else {
            return Lookup::Unknown;
        };
        if job.digest != digest {
            return Lookup::Answer(body_differs());
        }
        if job.waiters.len() >= cx.rules.max_waiters {
            let refusal =
                Refusal::failed(Code::TooManyRequests, "too many submissions of this job");
            return Lookup::Answer(JobAnswer::Refused(refusal));
        }
        let (tx, rx) = oneshot::channel();
        job.waiters.push(tx);
        if job.stage == Stage::Recovered {
            self.resume_recovered(request, cx);
        }
        Lookup::Join(rx)
    }

    /// Adds a new job whose admission is pending.
    pub(super) fn add_job(
        &mut self,
        request: JobRequest,
        digest: Digest,
        view: u64,
        cx: &mut Context<'_>,
    ) -> (AdmissionRecord, oneshot::Receiver<JobAnswer>) {
        let mut job = Job::new(request, digest, cx.now);
        let record = AdmissionRecord {
            key: job.key.clone(),
            epoch: self.epoch,
            digest,
            repeatable: job.repeatable,
            tasks: task_count(job.tasks.len()),
            view,
        };
        let (tx, rx) = oneshot::channel();
        job.waiters.push(tx);
        let key = job.key.clone();
        self.schedule_wakeup(job.deadline, &key);
        self.jobs.insert(key, job);
        (record, rx)
    }

    /// Queues the tasks of a job whose admission is durable.
    pub(super) fn admitted(&mut self, key: &JobKey, epoch: Epoch, cx: &mut Context<'_>) {
        if self.epoch != epoch {
            return;
        }
        let is_open = self.is_open(epoch);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage != Stage::Admitting {
            return;
        }
        job.stage = Stage::Running;
        let waiting = job.queue_where(|state| *state == TaskState::Idle);
        cx.event(Event::new(EventKind::Admitted).job(key));
        if is_open {
            cx.effects.push(Effect::Enqueue(waiting));
        }
    }

    /// Refuses a job whose admission failed. The record may be in the log, but a record alone starts
    /// no task.
    pub(super) fn not_admitted(
        &mut self,
        key: &JobKey,
        epoch: Epoch,
        reason: &str,
        cx: &mut Context<'_>,
    ) {
        let admitting = self.jobs.get(key).map(|job| job.stage) == Some(Stage::Admitting);
        if self.epoch != epoch || !admitting {
            return;
        }
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.timers.remove(&(job.deadline, key.clone()));
        let refusal = Refusal::not_run(Code::AdmissionFailed, reason).retry_after_ms(1_000);
        let event = Event::new(EventKind::Refused).job(key);
        cx.event(event.code(refusal.code).detail(reason));
        let answer = JobAnswer::Refused(refusal);
        cx.effects.push(Effect::Dequeue(key.clone()));
        cx.effects.push(Effect::Answer(job.waiters, answer));
    }

    /// Looks up the job of a query, after canceling it if requested.
    pub(super) fn query(
        &mut self,
        epoch: Epoch,
        key: &JobKey,
        cancel: bool,
        cx: &mut Context<'_>,
    ) -> Lookup {
        if let Some(lookup) = self.closed_result(epoch) {
            return lookup;
        }
        if let Some(ended) = self.ended.get(key) {
            return Lookup::Answer(ended_answer(ended, None));
        }
        let Some(job) = self.jobs.get_mut(key) else {
            let refusal = Refusal::failed(Code::JobNotFound, "no such job is known");
            return Lookup::Answer(JobAnswer::Refused(refusal));
        };
        if !cancel {
            return Lookup::Answer(JobAnswer::Running(job.state()));
        }
        let (tx, rx) = oneshot::channel();
        job.waiters.push(tx);
        if job.may_have_run() {
            self.fail(key, Code::Cancelled, "cancelled while it ran", cx);
        } else {
            let refusal = Refusal::not_run(Code::CancelledBeforeStart, "cancelled before a start");
            self.finish_after_record(key, JobAnswer::Refused(refusal), cx);
        }
        Lookup::Join(rx)
    }

    /// Returns the result for a partition that is not open under the epoch, or `None` if it is open.
    fn closed_result(&self, epoch: Epoch) -> Option<Lookup> {
        match self.phase {
            Phase::Closed => Some(Lookup::NotOwner),
            _ if self.epoch != epoch => Some(Lookup::NotOwner),
            Phase::Recovering(_) | Phase::HandingOver => Some(Lookup::Wait),
            Phase::Open => None,
        }
    }
}

fn ended_answer(ended: &EndedJob, digest: Option<Digest>) -> JobAnswer {
    if digest.is_some_and(|d| d != ended.digest) {
        return body_differs();
    }
    ended.answer.clone().unwrap_or_else(|| {
        let detail = "the job ended and its answer is not kept any more";
        JobAnswer::Refused(Refusal::failed(Code::AnswerExpired, detail))
    })
}

fn body_differs() -> JobAnswer {
    let detail = "the job id was used with another body";
    JobAnswer::Refused(Refusal::not_run(Code::BodyDiffers, detail))
}

/// Validates a new job against the configuration in force.
pub(super) fn check_request(
    request: &JobRequest,
    document: Option<&Document>,
) -> Result<(), Refusal> {
    let Some(document) = document else {
        return Err(
            Refusal::not_run(Code::ViewStale, "no configuration is in force").retry_after_ms(1_000),
        );
    };
    let service = &request.key.service;
    let Some(service) = document.services.get(service) else {
        let detail = format!("no service {service} is configured");
        return Err(Refusal::not_run(Code::UnknownService, detail));
    };
    if !document.teams.contains_key(&request.team) {
        let detail = format!("no team {} is configured", request.team);
        return Err(Refusal::not_run(Code::UnknownTeam, detail));
    }
    if request.tasks.is_empty() || request.tasks.len() > masticcross_basics::job::MAX_TASKS {
        let detail = format!("{} tasks; accepted are 1 to 130", request.tasks.len());
        return Err(Refusal::not_run(Code::TaskCount, detail));
    }
    let max = service.max_deadline_ms;
    if request.deadline_ms == 0 || request.deadline_ms > max {
        let detail = format!(
            "deadline_ms is {}; accepted is 1 to {max}",
            request.deadline_ms
        );
        return Err(Refusal::not_run(Code::InvalidField, detail));
    }
    Ok(())
}
