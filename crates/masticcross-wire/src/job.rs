//! Representation of jobs in frames between entries.

use std::sync::Arc;

use masticcross_basics::{AttemptId, Code, Digest, JobKey, Name, Partition};
use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::frame::TaskOutcome;

/// A JSON value in its serialized form. It is passed on without being parsed.
pub type Json = Arc<str>;

/// A job as a caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Identity of the job.
    pub key: JobKey,
    /// Team whose quota the job counts against.
    pub team: Name,
    /// False if each task must run at most once, even when its worker is lost.
    pub repeatable: bool,
    /// Time that the caller allows for the whole job, in milliseconds from its arrival.
    pub deadline_ms: u32,
    /// Payload of each task, in order.
    pub tasks: Vec<Json>,
}

impl JobRequest {
    /// Returns the partition whose owner decides about the job.
    #[must_use]
    pub fn partition(&self) -> Partition {
        self.key.partition()
    }

    /// Computes the digest by which a resubmission with another body is recognized. It does not
    /// include the deadline, so that a resubmission may have another deadline.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let head: [&[u8]; 2] = [self.team.as_bytes(), &[u8::from(self.repeatable)]];
        Digest::of(
            head.into_iter()
                .chain(self.tasks.iter().map(|t| t.as_bytes())),
        )
    }
}

/// Why a request was refused or a job failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// True only if no task of the request ran and none can run later.
    pub not_run: bool,
    /// Time after which a retry is reasonable, in milliseconds.
    pub retry_after_ms: Option<u32>,
    /// Description for people.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request of which no task ran and none can run later.
    #[must_use]
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            not_run: true,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Creates a refusal that leaves open whether any task ran.
    #[must_use]
    pub fn failed(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            not_run: false,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Sets the time after which a retry is reasonable, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, ms: u32) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}

/// Progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Number of tasks in the job.
    pub tasks: u16,
    /// Number of tasks that ended.
    pub ended: u16,
    /// True once the admission is durable.
    pub admitted: bool,
}

/// The answer to a request about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobAnswer {
    /// The result of every task, in task order.
    Complete(Arc<[Json]>),
    /// The request was refused or the job failed.
    Refused(Refusal),
    /// The job has not ended; only in answers to queries.
    Running(JobState),
    /// The answering entry does not own the job's partition.
    NotOwner,
}

/// State of one task, as handed over from one owner to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskRecord {
    /// Not sent to any agent, or confirmed not to have started.
    Waiting,
    /// Sent to an agent; it may have started.
    Placed {
        /// The attempt.
        attempt: AttemptId,
        /// Worker whose agent it was sent to.
        worker: Name,
        /// Incarnation of the agent.
        incarnation: Incarnation,
    },
    /// Ended.
    Ended(TaskOutcome),
}

/// A job, as handed over from one owner to the next at a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The request; its tasks are empty once the job has ended.
    pub request: JobRequest,
    /// Digest of the request.
    pub digest: Digest,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u32,
    /// Time since the job was admitted, in milliseconds.
    pub age_ms: u64,
    /// States of the tasks while the job runs.
    pub tasks: Vec<TaskRecord>,
    /// True once an attempt may have started that is no longer in any task's state.
    #[serde(default)]
    pub ran: bool,
    /// The final answer, once there is one.
    pub answer: Option<JobAnswer>,
}
