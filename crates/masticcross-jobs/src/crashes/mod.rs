//! Crashes of workers: which tasks caused them, and how other jobs are protected from these tasks.
//!
//! A task may crash each worker that starts it. All runs of the worker end with it, so that a crash
//! alone does not show which task caused it. It answers two loads: a single such task that would take
//! one worker after the other, and a kind of jobs of which some have such a task, where the first start
//! of each is enough to take all workers.
//!
//! - [`log`]: the recent crashes that a process knows of.
//! - [`suspects`]: what the crashes say about each task.
//! - [`confinement`]: queues whose jobs crash workers get only a part of the workers.

pub mod confinement;
pub mod log;
pub mod suspects;

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Time between the starts of two runs with [`Isolation::Spaced`] at a worker.
///
/// [`Isolation::Spaced`]: masticcross_wire::crash::Isolation::Spaced
pub const SPACING: Duration = Duration::from_millis(50);
