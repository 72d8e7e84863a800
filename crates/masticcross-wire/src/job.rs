//! Jobs as they travel between entries.

use std::sync::Arc;

use masticcross_basics::{AttemptId, Code, Digest, JobKey, Name, Partition};
use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::frame::TaskOutcome;

/// One JSON value in its written form, carried without being parsed.
pub type Json = Arc<str>;

/// A job as a caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Identity of the job.
    pub key: JobKey,
    /// Team that pays for the job.
    pub team: Name,
    /// False if a task must run at most once even when its worker is lost.
    pub repeatable: bool,
    /// Time that the caller allows for the whole job, in milliseconds from its arrival.
    pub deadline_ms: u32,
    /// Payload of each task, in order.
    pub tasks: Vec<Json>,
}

impl JobRequest {
    /// Returns the partition that decides about the job.
    #[must_use]
    pub fn partition(&self) -> Partition {
        self.key.partition()
    }

    /// Computes the digest by which a resubmission with another body is recognised. The deadline is
    /// not part of it, so that a resubmission may allow another time.
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
    /// True only if nothing of the request ran and nothing of it can still run later.
    pub not_run: bool,
    /// When it makes sense to try again, in milliseconds.
    pub retry_after_ms: Option<u32>,
    /// A sentence for people.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request of which nothing ran and nothing can run later.
    #[must_use]
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            not_run: true,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Creates a refusal that does not say whether anything ran.
    #[must_use]
    pub fn failed(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            not_run: false,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Adds the time after which it makes sense to try again, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, ms: u32) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}

/// How far a job has come.
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
    /// Every task's result, in task order.
    Complete(Arc<[Json]>),
    /// The request was refused or the job failed.
    Refused(Refusal),
    /// The job is not ended; only for queries.
    Running(JobState),
    /// The entry asked is not the owner of the job's partition.
    NotOwner,
}

/// One task of a job as it is handed over between owners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskRecord {
    /// Not sent to any agent, or proved not started.
    Waiting,
    /// Sent to an agent; it may have started.
    Placed {
        /// The attempt.
        attempt: AttemptId,
        /// The worker whose agent has it.
        worker: Name,
        /// The agent's start.
        incarnation: Incarnation,
    },
    /// Ended.
    Ended(TaskOutcome),
}

/// A job as it is handed over between owners at a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The request; its tasks are empty once the job has ended.
    pub request: JobRequest,
    /// Digest of the request.
    pub digest: Digest,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u32,
    /// How long ago the job was admitted, in milliseconds.
    pub age_ms: u64,
    /// The tasks' states while the job runs.
    pub tasks: Vec<TaskRecord>,
    /// True once an attempt may have started that no task's state names any more.
    #[serde(default)]
    pub ran: bool,
    /// The final answer, once there is one.
    pub answer: Option<JobAnswer>,
}
