//! The whole system in one process: the stand-in log, entries, agents and stand-in backend servers.
//!
//! Each of them runs on a runtime of its own, so that one can be killed without the others.

pub mod cluster;
pub mod deployment;
pub mod fault;
pub mod process;
pub mod sample;

pub use cluster::Cluster;
pub use deployment::Deployment;
pub use fault::Fault;
