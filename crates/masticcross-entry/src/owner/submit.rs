//! What a submission or a question meets in the table.

use masticcross_basics::timeline::{Event, EventKind};
use masticcross_basics::{Code, Digest, Epoch, JobKey};
use masticcross_config::Document;
use masticcross_ledger::AdmissionRecord;
use masticcross_wire::{JobAnswer, JobRequest, Refusal};
use tokio::sync::oneshot;

use super::effect::Effect;
use super::job::{Job, Stage, TaskState, count};
use super::shard::{Cx, EndedJob, Phase, Shard};

/// What a submission meets.
pub(super) enum Verdict {
    /// This entry does not own the partition under the epoch.
    NotOwner,
    /// The partition recovers or moves.
    Wait,
    /// There is an answer already.
    Answer(JobAnswer),
    /// The answer will come.
    Join(oneshot::Receiver<JobAnswer>),
    /// The job is not known.
    Unknown,
}

impl Shard {
    /// Finds out what a submission meets. Joins a job that runs.
    pub(super) fn look_up(
        &mut self,
        epoch: Epoch,
        request: &JobRequest,
        digest: Digest,
        cx: &mut Cx<'_>,
    ) -> Verdict {
        if let Some(verdict) = self.gate(epoch) {
            return verdict;
        }
        self.expire(cx);
        if let Some(ended) = self.ended.get(&request.key) {
            return Verdict::Answer(ended_answer(ended, Some(digest)));
        }
        let Some(job) = self.jobs.get_mut(&request.key) else {
            return Verdict::Unknown;
        };
        if job.digest != digest {
            return Verdict::Answer(body_differs());
        }
        if job.waiters.len() >= cx.rules.max_waiters {
            let refusal =
                Refusal::failed(Code::TooManyRequests, "too many submissions of this job");
            return Verdict::Answer(JobAnswer::Refused(refusal));
        }
        let (tx, rx) = oneshot::channel();
        job.waiters.push(tx);
        if job.stage == Stage::Recovered {
            self.revive(request, cx);
        }
        Verdict::Join(rx)
    }

    /// Enters a new job that waits for its admission.
    pub(super) fn enter(
        &mut self,
        request: JobRequest,
        digest: Digest,
        view: u64,
        cx: &mut Cx<'_>,
    ) -> (AdmissionRecord, oneshot::Receiver<JobAnswer>) {
        let mut job = Job::new(request, digest, cx.now);
        let record = AdmissionRecord {
            key: job.key.clone(),
            epoch: self.epoch,
            digest,
            repeatable: job.repeatable,
            tasks: count(job.tasks.len()),
            view,
        };
        let (tx, rx) = oneshot::channel();
        job.waiters.push(tx);
        let key = job.key.clone();
        self.wake_at(job.deadline, &key);
        self.jobs.insert(key, job);
        (record, rx)
    }

    /// Starts a job whose admission is durable.
    pub(super) fn admitted(&mut self, key: &JobKey, epoch: Epoch, cx: &mut Cx<'_>) {
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

    /// Refuses a job whose admission failed. The record may be in the log, but nothing starts from a
    /// record alone.
    pub(super) fn not_admitted(&mut self, key: &JobKey, epoch: Epoch, why: &str, cx: &mut Cx<'_>) {
        let admitting = self.jobs.get(key).map(|job| job.stage) == Some(Stage::Admitting);
        if self.epoch != epoch || !admitting {
            return;
        }
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.timers.remove(&(job.deadline, key.clone()));
        let refusal = Refusal::not_run(Code::AdmissionFailed, why).retry_after_ms(1_000);
        let event = Event::new(EventKind::Refused).job(key);
        cx.event(event.code(refusal.code).detail(why));
        let answer = JobAnswer::Refused(refusal);
        cx.effects.push(Effect::Remove(key.clone()));
        cx.effects.push(Effect::Answer(job.waiters, answer));
    }

    /// Finds out what a question meets, after cancelling the job if asked to.
    pub(super) fn query(
        &mut self,
        epoch: Epoch,
        key: &JobKey,
        cancel: bool,
        cx: &mut Cx<'_>,
    ) -> Verdict {
        if let Some(verdict) = self.gate(epoch) {
            return verdict;
        }
        if let Some(ended) = self.ended.get(key) {
            return Verdict::Answer(ended_answer(ended, None));
        }
        let Some(job) = self.jobs.get_mut(key) else {
            let refusal = Refusal::failed(Code::JobNotFound, "no such job is known");
            return Verdict::Answer(JobAnswer::Refused(refusal));
        };
        if !cancel {
            return Verdict::Answer(JobAnswer::Running(job.state()));
        }
        let (tx, rx) = oneshot::channel();
        job.waiters.push(tx);
        if job.may_have_run() {
            self.fail(key, Code::Cancelled, "cancelled while it ran", cx);
        } else {
            let refusal = Refusal::not_run(Code::CancelledBeforeStart, "cancelled before a start");
            self.finish_after_record(key, JobAnswer::Refused(refusal), cx);
        }
        Verdict::Join(rx)
    }

    /// Returns the verdict of a partition that is not open under the epoch.
    fn gate(&self, epoch: Epoch) -> Option<Verdict> {
        match self.phase {
            Phase::Closed => Some(Verdict::NotOwner),
            _ if self.epoch != epoch => Some(Verdict::NotOwner),
            Phase::Recovering(_) | Phase::Moving => Some(Verdict::Wait),
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

/// Checks a new job against the configuration in force.
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
