//! Stand-ins for the platform and for backend servers, and experiments with the policy. Not shipped.
//!
//! - [`load`]: the load generator.
//! - [`log`]: the platform's log in memory, with faults that tests set, and its HTTP server.
//! - [`backend`]: a backend server that waits instead of working, and counts what it starts.
//! - [`experiment`]: experiments with the policy of an entry, in virtual time.
//! - [`http`]: HTTP plumbing that the stand-ins share.
//! - [`relay`]: a TCP relay that cuts, freezes and delays connections.
//! - [`signal`]: start and stop as processes.
//!
//! ```
//! use masticcross_standins::log::{MemoryLog, MemoryLogSettings};
//!
//! let log = MemoryLog::new(MemoryLogSettings::default());
//! log.faults().set_down(true);
//! let client = log.client("entry-1");
//! log.faults().set_unreachable("entry-1", true);
//! # drop(client);
//! ```

pub mod backend;
pub mod experiment;
pub mod http;
pub mod load;
pub mod log;
pub mod relay;
pub mod signal;
