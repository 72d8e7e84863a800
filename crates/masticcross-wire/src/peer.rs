//! Messages between entries that transfer jobs to each other.
//!
//! The entry that opens the session is the origin: it sends jobs of its callers, and the other entry
//! answers them. Flow control is credit-based: with each echo the receiver states how many jobs it
//! accepts until the next one.

use masticcross_basics::Name;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::job::Refusal;
use crate::pool::Resources;

/// Answer to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEcho {
    /// The probe, sent back.
    pub probe: u64,
    /// Number of jobs that the sender accepts on the session until its next echo.
    pub credit: u32,
}

/// A step of a transferred job: a number of tasks with the same requirements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredStep {
    /// Number of tasks.
    pub count: u16,
    /// Resources of each task.
    pub resources: Resources,
    /// Run time of a task as expected by the caller, in milliseconds.
    pub expected_ms: u32,
    /// Earlier steps that must be done before this one starts.
    pub after: SmallVec<[u16; 2]>,
    /// Label that a worker must have, if any.
    pub label: Option<Name>,
    /// Label of the workers that are near the step's data, if any.
    pub data_label: Option<Name>,
    /// Maximum number of tasks of the step on one worker, if limited.
    pub max_per_worker: Option<u16>,
}

/// A job that the origin transfers. From the moment the frame is queued, the receiver owns the job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredJob {
    /// Number of the job on the session. Each is larger than the one before.
    pub number: u64,
    /// Id chosen by the caller.
    pub id: Name,
    /// Name of the queue.
    pub queue: Name,
    /// Specification of the work, passed to the workers.
    pub spec: Name,
    /// Steps, at least one.
    pub steps: SmallVec<[TransferredStep; 1]>,
    /// Time since the job arrived at the origin, in milliseconds.
    pub age_ms: u32,
    /// Time for which the caller still waits, in milliseconds.
    pub remaining_ms: u32,
    /// Position of the operator view that the origin accepted the job with.
    pub view_position: u64,
}

/// Answer to a transferred job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferAnswer {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The receiver refused or abandoned the job.
    Refused(Refusal),
    /// The receiver did not accept the job: no run was started and none will be. The origin may run
    /// the job itself.
    Returned,
}

/// A message between two entries about transferred jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// From the origin: the time on its own clock, in milliseconds.
    Probe(u64),
    /// From the receiver: the answer to a probe.
    Echo(PeerEcho),
    /// From the origin: a job.
    Job(TransferredJob),
    /// From the receiver: the answer to a job.
    Answer {
        /// Number of the job on the session.
        number: u64,
        /// The answer.
        answer: TransferAnswer,
    },
    /// From the origin: the callers of the job have disconnected or cancelled it.
    Cancel(u64),
}

impl PeerFrame {
    /// Returns the label of the kind for logs and metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Probe(_) => "peer_probe",
            Self::Echo(_) => "peer_echo",
            Self::Job(_) => "peer_job",
            Self::Answer { .. } => "peer_answer",
            Self::Cancel(_) => "peer_cancel",
        }
    }

    /// Returns the number of parts, for an estimate of the encoded size.
    #[must_use]
    pub(crate) fn part_count(&self) -> usize {
        match self {
            Self::Job(job) => 1 + job.steps.len(),
            Self::Probe(_) | Self::Echo(_) | Self::Answer { .. } | Self::Cancel(_) => 1,
        }
    }

    /// Returns the total length of texts of any length, in bytes.
    #[must_use]
    pub(crate) fn text_bytes(&self) -> usize {
        match self {
            Self::Job(job) => job.spec.len(),
            Self::Answer {
                answer: TransferAnswer::Refused(refusal),
                ..
            } => refusal.detail.len(),
            _ => 0,
        }
    }
}
