//! Identifiers of jobs, partitions, epochs and attempts.

use std::fmt;

use serde::{Deserialize, Serialize};
use twox_hash::{XxHash3_64, XxHash3_128};

use crate::name::{Name, NameError, check_job_id, check_name};

/// Number of partitions that job ids hash into.
pub const PARTITIONS: u16 = 64;

/// Index of a task in its job, from 0.
pub type TaskIndex = u16;

/// Maximum number of tasks in a job.
pub const MAX_TASKS: usize = 130;

/// Identity of a job: its service, and the id chosen by the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobKey {
    /// Service that runs the job.
    pub service: Name,
    /// Id chosen by the caller.
    pub job: Name,
}

impl JobKey {
    /// Creates a key after checking both names.
    ///
    /// # Errors
    /// Returns the rule that the service's name or the job id violates.
    pub fn new(service: &str, job: &str) -> Result<Self, NameError> {
        Ok(Self {
            service: check_name(service)?,
            job: check_job_id(job)?,
        })
    }

    /// Returns the partition whose owner decides about the job.
    #[must_use]
    pub fn partition(&self) -> Partition {
        let mut hash = XxHash3_64::with_seed(0);
        std::hash::Hasher::write(&mut hash, self.service.as_bytes());
        std::hash::Hasher::write(&mut hash, b"/");
        std::hash::Hasher::write(&mut hash, self.job.as_bytes());
        let value = std::hash::Hasher::finish(&hash) % u64::from(PARTITIONS);
        Partition(u16::try_from(value).unwrap_or_default())
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.job)
    }
}

/// One of the [`PARTITIONS`] partitions of the job ids. Each has at most one owner at a time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Partition(pub u16);

impl Partition {
    /// Returns the index of the partition, from 0.
    #[must_use]
    pub fn index(self) -> u16 {
        self.0
    }

    /// Returns all partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITIONS).map(Self)
    }
}

/// The term of one owner of a partition. It is the offset after the log record that made it the
/// owner; zero means that the partition had no owner yet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Identifies one placement of a task. The id is unique across owners, as each epoch has one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Epoch of the owner that placed the task.
    pub epoch: Epoch,
    /// Number of the placement within that epoch, from 1.
    pub seq: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch.0, self.seq)
    }
}

/// Digest of a job's body, by which a resubmission with another body is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub [u64; 2]);

impl Digest {
    /// Computes the digest of a list of parts. It includes the length of each part.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = XxHash3_128::with_seed(0);
        for part in parts {
            hash.write(&(part.len() as u64).to_le_bytes());
            hash.write(part);
        }
        let value = hash.finish_128();
        let low = u64::try_from(value & u128::from(u64::MAX)).unwrap_or_default();
        let high = u64::try_from(value >> 64).unwrap_or_default();
        Self([high, low])
    }
}
