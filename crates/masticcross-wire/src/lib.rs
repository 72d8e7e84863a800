//! The protocol between the processes of masticcross.
//!
//! Processes exchange batches of [`Frame`]s over a [`Link`]. A link is a pair of bounded queues.
//! The module [`ws`] carries them over a WebSocket; tests connect two processes directly.
//!
//! ```
//! use masticcross_wire::{Frame, codec};
//!
//! let batch = vec![Frame::Drain];
//! let bytes = codec::encode(&batch).expect("frames always encode");
//! assert_eq!(codec::decode(&bytes).expect("the same frames"), batch);
//! ```

pub mod codec;
pub mod crash;
pub mod frame;
pub mod job;
mod kind;
pub mod link;
pub mod peer;
pub mod pool;
pub mod view;
pub mod ws;

pub use frame::{
    AgentIncarnation, AttemptReport, AttemptState, BackendInfo, Credit, Demand, Frame, Gather,
    Gathered, Goodbye, Handover, Hello, NotStartedReason, Ping, Pong, Query, Reply, Role,
    SentAfter, StartTasks, StopTasks, Submit, TaskEnded, TaskOutcome, TaskStart,
};
pub use job::{JobAnswer, JobRecord, JobRequest, JobState, Json, Refusal, TaskRecord};
pub use link::{Dialer, Link, LinkError};
pub use view::{AgentView, Member, PartitionOwner, ViewVersion};

/// Version of the protocol, exchanged in [`Hello`]. Both sides must use the same version.
pub const PROTOCOL_VERSION: u16 = 6;

/// Number of one start of a process. A later start of the same process has a larger number.
pub type Incarnation = u64;
