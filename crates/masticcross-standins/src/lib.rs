//! Stand-ins for the platform's log and backend servers, a load generator, and simulations of the
//! entry's scheduling policy. Used for tests and experiments, not shipped.
//!
//! - [`load`]: load generator.
//! - [`log`]: in-memory log with fault injection, and its HTTP server.
//! - [`backend`]: backend server that sleeps instead of computing, and counts task starts.
//! - [`experiment`]: simulations of the entry's scheduling policy in virtual time.
//! - [`http`]: HTTP server and client shared by the stand-ins.
//! - [`relay`]: TCP relay that closes, freezes and delays connections.
//! - [`signal`]: command-line parsing and stop signals of the stand-in processes.
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
