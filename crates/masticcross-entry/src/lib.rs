//! The entry process: it takes callers' requests, owns jobs, places their tasks and puts the
//! answers together.
//!
//! - [`http`]: the callers' interface.
//! - [`router`]: brings a request to the owner of the job, here or at another entry.
//! - [`owner`]: decides which task of a job starts, and puts the job's answer together.
//! - [`dispatch`]: sessions of agents, queues and placement.
//! - [`peers`]: sessions with other entries, and who owns which partition.

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
