//! Records of the streams, as JSON.

use std::collections::BTreeMap;

use masticcross_basics::{Digest, Epoch, JobKey, Name, Partition};
use masticcross_log::Offset;
use masticcross_wire::{Incarnation, Member};
use serde::{Deserialize, Serialize};

use crate::state::{Ownership, RegisteredAgent};

/// One record of stream `config`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// A proposed configuration.
    Change(ConfigChange),
    /// The configuration in force after all records before an offset.
    Snapshot(ConfigSnapshot),
}

/// The configuration in force after all records before an offset of stream `config`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// The offset.
    pub at: Offset,
    /// Version in force; 0 before the first document.
    pub version: u64,
    /// Who published it.
    pub author: String,
    /// The document in TOML.
    pub document: String,
}

/// One record of stream `partitions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum PartitionsRecord {
    /// Changes that are applied in order.
    Changes {
        /// Unique number of the record, by which a lost reply is settled.
        id: u64,
        /// The changes.
        changes: Vec<PartitionsChange>,
    },
    /// Members, owners and agents after all records before an offset.
    Snapshot(PartitionsSnapshot),
    /// Starts anew without members, owners and agents, after all earlier records were dropped.
    /// It has an effect only if its own offset is the one named, so the first of several wins, and
    /// a snapshot that was appended before it wins as well.
    Reset {
        /// The offset that the record must have.
        at: Offset,
    },
}

/// Members, owners and agents after all records before an offset of stream `partitions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionsSnapshot {
    /// The offset.
    pub at: Offset,
    /// Entries that take part, by name.
    pub members: BTreeMap<Name, Member>,
    /// Owners, by position of the partition.
    pub partitions: Vec<Ownership>,
    /// Agents that may start tasks, by worker.
    pub agents: BTreeMap<Name, RegisteredAgent>,
    /// Position after the last record that replaced or removed an agent.
    #[serde(default)]
    pub agents_lost_at: u64,
}

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
    /// Set only by the operator's tool when earlier records were dropped and no process showed a
    /// snapshot: the record is then accepted in any case if its own offset is this one. Its version
    /// is the offset plus one, which is larger than any before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restore_at: Option<Offset>,
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
    /// The owner of a partition makes the member that has taken its table the next owner.
    Transfer {
        /// Name of the new owner.
        owner: Name,
        /// Its incarnation, which must be a member.
        incarnation: Incarnation,
        /// The partition.
        claim: PartitionClaim,
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
    /// The owner's position in stream `partitions`. An agent lost after it may have started tasks
    /// of the job.
    #[serde(default)]
    pub view: u64,
}

/// The end of one job, on stream `admissions`. An admission counts again only if it comes later and
/// under no older epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRecord {
    /// The job.
    pub key: JobKey,
    /// Epoch of the owner that ended it.
    pub epoch: Epoch,
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
    /// Jobs that ended: nothing of them starts any more, whoever owns the partition.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<EndedRecord>,
}
