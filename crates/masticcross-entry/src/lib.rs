//! The entry process: receives callers' requests, owns jobs, places their tasks and assembles the
//! answers.
//!
//! - [`http`]: the callers' interface.
//! - [`router`]: routes a request to the owner of the job, at this or another entry.
//! - [`owner`]: decides which tasks of a job start, and assembles the job's answer.
//! - [`dispatch`]: sessions with agents, queues and placement.
//! - [`peers`]: sessions with other entries, membership, and ownership of partitions.

pub mod admission;
pub mod dispatch;
pub mod entry;
pub mod http;
pub mod identity;
pub mod owner;
pub mod peers;
pub mod router;
pub mod settings;

pub use entry::Entry;
pub use identity::Identity;
pub use settings::Settings;
