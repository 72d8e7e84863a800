//! Records of the streams, as JSON.

use masticcross_basics::{Digest, Epoch, JobKey, Name, Partition};
use masticcross_wire::{Incarnation, Member};
use serde::{Deserialize, Serialize};

/// A proposed configuration, on stream `config`. It is accepted only if `base` is the version in
/// force at its place in the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Unique number of the record, by which a lost reply is settled.
    pub id: u64,
    /// Version that the document was made from.
    pub base: u64,
    /// Who published it.
    pub author: String,
    /// The document in TOML.
    pub document: String,
}

/// A partition that is claimed, with the epoch that it must still have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionClaim {
    /// The partition.
    pub partition: Partition,
    /// Its epoch as the claiming entry knows it.
    pub previous: Epoch,
}

/// A change of members, owners or agents, on stream `partitions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum PartitionsChange {
    /// An entry takes part. It replaces an older incarnation of the same name.
    Join {
        /// The entry.
        member: Member,
    },
    /// An entry takes part no more: it stopped in order, or another entry found it lost.
    Leave {
        /// Name of the entry.
        name: Name,
        /// The incarnation that left; a newer one is not concerned.
        incarnation: Incarnation,
    },
    /// An entry becomes the owner of those partitions whose epoch is still the one named. The new
    /// epoch is the record's offset plus one.
    Claim {
        /// Name of the new owner.
        owner: Name,
        /// Its incarnation, which must be a member.
        incarnation: Incarnation,
        /// The partitions.
        partitions: Vec<PartitionClaim>,
    },
    /// An agent may start tasks. It replaces an older incarnation of the same worker.
    AgentUp {
        /// The worker.
        worker: Name,
        /// The agent's start.
        incarnation: Incarnation,
        /// The worker's availability zone.
        zone: Name,
    },
    /// An agent starts tasks no more: it stopped in order, or it was lost and its view is too old.
    AgentDown {
        /// The worker.
        worker: Name,
        /// The agent's start.
        incarnation: Incarnation,
    },
}

/// One admitted job, on stream `admissions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRecord {
    /// The job.
    pub key: JobKey,
    /// Epoch of the owner that admitted it.
    pub epoch: Epoch,
    /// Digest of the request.
    pub digest: Digest,
    /// False if a task must run at most once even when its worker is lost.
    pub repeatable: bool,
    /// Number of tasks.
    pub tasks: u16,
}

/// Jobs admitted together, one record of stream `admissions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionBatch {
    /// Unique number of the record, by which a lost reply is settled.
    pub id: u64,
    /// Milliseconds since the Unix epoch when the entry wrote it; for ending the window only.
    pub at_ms: u64,
    /// The jobs.
    pub jobs: Vec<AdmissionRecord>,
}
