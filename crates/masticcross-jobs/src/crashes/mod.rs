//! Crashes of workers: which tasks may have caused them.
//!
//! A task may crash each worker that starts it. All runs of the worker end with it, so that a crash
//! alone does not show which task caused it.
//!
//! - [`log`]: the recent crashes that a process knows of.

pub mod log;
