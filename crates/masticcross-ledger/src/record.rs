//! Records of the streams. They are stored as JSON.

use std::collections::BTreeMap;

use masticcross_basics::{Digest, Epoch, JobKey, Name, Partition};
use masticcross_log::Offset;
use masticcross_wire::{Incarnation, Member};
use serde::{Deserialize, Serialize};

use crate::state::{Ownership, RegisteredAgent};

/// A record of stream `config`.
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
    /// The offset: all records before it are included.
    pub at: Offset,
    /// Version in force; 0 before the first document.
    pub version: u64,
    /// Author of the document.
    pub author: String,
    /// The document in TOML.
    pub document: String,
}

/// A record of stream `partitions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum PartitionsRecord {
    /// Changes that are applied in order.
    Changes {
        /// Unique id of the record. If the reply to the append is lost, the record is found by this
        /// id.
        id: u64,
        /// The changes.
        changes: Vec<PartitionsChange>,
    },
    /// Members, owners and agents after all records before an offset.
    Snapshot(PartitionsSnapshot),
    /// Clears members, owners and agents after all earlier records were dropped. It only has an
    /// effect if its own offset is `at`. So if several resets are appended, only the first has an
    /// effect, and none has if a snapshot was appended before them.
    Reset {
        /// Offset that the record must have.
        at: Offset,
    },
}

/// Members, owners and agents after all records before an offset of stream `partitions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionsSnapshot {
    /// The offset: all records before it are included.
    pub at: Offset,
    /// Entries that can own partitions, by name.
    pub members: BTreeMap<Name, Member>,
    /// Ownership, by index of the partition.
    pub partitions: Vec<Ownership>,
    /// Agents that may start tasks, by worker.
    pub agents: BTreeMap<Name, RegisteredAgent>,
    /// Offset after the last record that replaced or removed an agent.
    #[serde(default)]
    pub agents_lost_at: u64,
}

/// A proposed configuration, on stream `config`. It is only accepted if `base` is the version in
/// force when the record is applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Unique id of the record. If the reply to the append is lost, the record is found by this id.
    pub id: u64,
    /// Version on which the document is based.
    pub base: u64,
    /// Author of the document.
    pub author: String,
    /// The document in TOML.
    pub document: String,
    /// Set only by the operator's tool, if earlier records were dropped and no process has appended
    /// a snapshot. The record is then accepted regardless of `base`, provided that its own offset
    /// is this one. Its version is the offset plus one, which is larger than all earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restore_at: Option<Offset>,
}

/// A claim on a partition. It only takes effect if the partition still has the given epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionClaim {
    /// The partition.
    pub partition: Partition,
    /// Epoch of the partition, according to the claiming entry.
    pub previous: Epoch,
}

/// A change of members, owners or agents, on stream `partitions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum PartitionsChange {
    /// An entry joins. It replaces an older incarnation of the same name.
    Join {
        /// The entry.
        member: Member,
    },
    /// An entry leaves: it shut down normally, or another entry considers it lost.
    Leave {
        /// Name of the entry.
        name: Name,
        /// Incarnation that left. A newer incarnation is not affected.
        incarnation: Incarnation,
    },
    /// An entry becomes the owner of those partitions that still have the claimed epoch. The new
    /// epoch is the offset of the record plus one.
    Claim {
        /// Name of the new owner.
        owner: Name,
        /// Its incarnation, which must be a member at that point.
        incarnation: Incarnation,
        /// The partitions.
        partitions: Vec<PartitionClaim>,
    },
    /// The owner of a partition makes the member that received its job table the next owner.
    Transfer {
        /// Name of the new owner.
        owner: Name,
        /// Its incarnation, which must be a member at that point.
        incarnation: Incarnation,
        /// The partition.
        claim: PartitionClaim,
    },
    /// Registers an agent, so that it may start tasks. It replaces an older incarnation of the
    /// agent of the same worker.
    AgentUp {
        /// The worker.
        worker: Name,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Availability zone of the worker.
        zone: Name,
    },
    /// Ends the registration of an agent: it shut down normally, or it was lost and its view has
    /// become too old for it to start tasks.
    AgentDown {
        /// The worker.
        worker: Name,
        /// Incarnation of the agent.
        incarnation: Incarnation,
    },
}

/// An admitted job, on stream `admissions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRecord {
    /// The job.
    pub key: JobKey,
    /// Epoch of the owner that admitted it.
    pub epoch: Epoch,
    /// Digest of the request.
    pub digest: Digest,
    /// False if each task must run at most once, even when its worker is lost.
    pub repeatable: bool,
    /// Number of tasks.
    pub tasks: u16,
    /// Position of the owner in stream `partitions`. An agent that was lost after this position may
    /// have started tasks of the job.
    #[serde(default)]
    pub view: u64,
}

/// The end of a job, on stream `admissions`. Only an admission that follows it, and that is not
/// from an older epoch, makes the job open again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRecord {
    /// The job.
    pub key: JobKey,
    /// Epoch of the owner that ended it.
    pub epoch: Epoch,
}

/// Jobs that were admitted together: one record of stream `admissions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionBatch {
    /// Unique id of the record. If the reply to the append is lost, the record is found by this id.
    pub id: u64,
    /// Time at which the entry wrote the record, in milliseconds since the Unix epoch. Only used to
    /// determine which records lie within the window.
    pub at_ms: u64,
    /// The jobs.
    pub jobs: Vec<AdmissionRecord>,
    /// Jobs that ended. None of their tasks starts any more, whichever entry owns the partition.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<EndedRecord>,
}
