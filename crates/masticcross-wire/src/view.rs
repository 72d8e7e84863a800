//! The part of the replicated state that agents receive.

use std::net::SocketAddr;

use masticcross_basics::{Epoch, Name};
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Positions in the two streams of the log up to which a view includes all records. They only grow.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default, Hash,
)]
pub struct ViewVersion {
    /// Offset after the last record read of stream `config`.
    pub config: u64,
    /// Offset after the last record read of stream `partitions`.
    pub partitions: u64,
}

/// An entry that can own partitions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Stable name, from the settings of the entry.
    pub name: Name,
    /// Incarnation of the process that joined.
    pub incarnation: Incarnation,
    /// Address at which the entry accepts sessions.
    pub addr: SocketAddr,
    /// Availability zone of the entry.
    pub zone: Name,
}

/// Owner and epoch of one partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct PartitionOwner {
    /// Index of the owner in [`AgentView::members`]; none if the partition has no owner.
    pub member: Option<u16>,
    /// The owner's epoch.
    pub epoch: Epoch,
}

/// The part of the replicated state that an agent needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    /// Positions in the log up to which the view includes all records.
    pub version: ViewVersion,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Availability zones that are out of service.
    pub zones_out: Vec<Name>,
    /// How long a view may be used after the time at which it was complete, in milliseconds.
    pub freshness_ms: u32,
    /// Entries that can own partitions.
    pub members: Vec<Member>,
    /// Owner of each partition, by index of the partition.
    pub partitions: Vec<PartitionOwner>,
    /// True if the agent's incarnation is registered in the log, so that it may start tasks.
    pub registered: bool,
    /// Offset after the record that registered the agent; zero if it is not registered. Tasks that
    /// were queued under an earlier registration never start.
    #[serde(default)]
    pub registered_at: u64,
}
