//! The agent: the process beside each backend server, and the only place where a task is started.
//!
//! - [`core`]: decides whether a task starts, keeps what was started, shares credits.
//! - [`session`]: sessions with the entries.
//! - [`agent`]: ties the decisions to sessions and backend servers.
//! - [`backend`]: the edge towards backend servers.
//! - [`http`]: the port for backend servers and the port for operators.
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
