//! The agent: the process that runs next to each backend server. Tasks are started only here.
//!
//! - [`core`]: decides whether a task starts, records attempts, distributes credits.
//! - [`session`]: sessions with the entries.
//! - [`agent`]: connects the core with sessions and backend servers.
//! - [`backend`]: the client for backend servers.
//! - [`http`]: the HTTP ports for backend servers and for operators.
//! - [`settings`]: flags and environment variables.

pub mod agent;
pub mod announcement;
pub mod backend;
mod connector;
pub mod core;
pub mod http;
pub mod identity;
pub mod metrics;
pub mod program;
pub mod session;
pub mod settings;

pub use agent::Agent;
pub use announcement::Announcement;
pub use backend::{BackendClient, HyperBackendClient, RunOutcome, StartGate, TaskBody};
pub use identity::Identity;
pub use settings::{AgentLimits, Settings};
