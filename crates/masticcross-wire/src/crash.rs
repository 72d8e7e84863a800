//! Crashes of workers, as agents and entries tell each other about them.

use masticcross_basics::Name;
use serde::{Deserialize, Serialize};

use crate::pool::RunId;

/// What else may run at a worker beside a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Isolation {
    /// Any other run.
    #[default]
    Shared,
    /// Any other run, but no two runs with this isolation start within a short time. If the worker
    /// crashes after the start, this run is the one that has done so before.
    Spaced,
    /// No other run.
    Alone,
}

/// The end of a worker's process while it had runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// Name of the worker's agent.
    pub worker: Name,
    /// When the process that ended had started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Time since the crash, in milliseconds, when this message is sent.
    pub age_ms: u64,
    /// Runs that were or may have been at the worker.
    pub runs: Vec<CrashedRun>,
}

/// A run that ended with its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run.
    pub id: RunId,
    /// Queue of its job.
    pub queue: Name,
    /// Time from its start to the crash, in milliseconds.
    pub ran_ms: u32,
    /// What else could run at the worker.
    pub isolation: Isolation,
}
