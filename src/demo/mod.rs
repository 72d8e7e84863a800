//! The whole system in one process: the stand-in log, entries, agents and stand-in backend servers.
//!
//! Each entry and each worker has its own async runtime, so that it can be killed separately.

pub mod cluster;
pub mod deployment;
pub mod fault;
pub mod process;
pub mod sample;

pub use cluster::Cluster;
pub use deployment::Deployment;
pub use fault::Fault;
