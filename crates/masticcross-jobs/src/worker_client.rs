//! Interface to a worker: the calls by which an agent starts, stops and polls runs.

use std::fmt;

use futures_util::future::BoxFuture;
use masticcross_basics::Name;
use masticcross_wire::pool::{RunRequest, TaskId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Incarnation of a worker. A restarted worker has a new incarnation and no state of the earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Id of the worker.
    pub id: Name,
    /// When the worker started, in milliseconds since the Unix epoch.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}

/// A run as its worker knows it. The agent numbers the runs of a task at its worker, whichever entry
/// and submission they belong to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run at the worker; it increases with each start of the task there.
    pub run: u32,
}

impl fmt::Display for WorkerRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// Error of a call to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing listens at the worker's address, so that the worker has no runs.
    #[error("worker refused the connection: {0}")]
    Refused(String),
    /// No usable answer was received. The call may have been executed or may still be.
    #[error("no answer from the worker: {0}")]
    NoAnswer(String),
    /// The call was meant for another incarnation of the worker and was not executed.
    #[error("worker has restarted")]
    OtherIncarnation,
    /// The worker has received a higher fencing token and did not execute the call.
    #[error("fencing token is too low")]
    Fenced,
}

/// Result of a call to a worker.
pub type Result<T> = std::result::Result<T, CallError>;

/// Call that starts a run.
#[derive(Debug, Clone)]
pub struct StartCall {
    /// Incarnation of the worker that the call is meant for.
    pub incarnation: WorkerIncarnation,
    /// Run to start.
    pub request: RunRequest,
    /// Number of the run at the worker; it increases with each start of the task there.
    pub worker_run: u32,
    /// Fencing token of the call.
    pub token: u64,
    /// New end of the lease of all runs at the worker, on the worker's clock, in milliseconds.
    pub lease_until_ms: u64,
}

/// Answer to a [`StartCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartAnswer {
    /// Time on the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Outcome of the call.
    pub outcome: StartOutcome,
}

/// Outcome of a start at the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is at the worker.
    Started,
    /// Not started: the lease had ended when the call arrived.
    Late,
    /// Not started: the worker has had a run of the task with this number or a higher one.
    OldRun,
    /// Not started: the worker does not have the resources.
    NoRoom,
    /// Not started: the worker is unhealthy.
    Unhealthy,
    /// Not started: the worker rejected the request as invalid.
    Invalid,
}

/// Call that stops a run.
#[derive(Debug, Clone)]
pub struct StopCall {
    /// Incarnation of the worker that the call is meant for.
    pub incarnation: WorkerIncarnation,
    /// The run.
    pub run: WorkerRun,
    /// Fencing token of the call.
    pub token: u64,
}

/// Call that returns the current and ended runs, and may extend the lease of all runs.
#[derive(Debug, Clone)]
pub struct PollCall {
    /// Incarnation of the worker that the call is meant for; none if it is not known yet.
    pub incarnation: Option<WorkerIncarnation>,
    /// Fencing token of the call.
    pub token: u64,
    /// New end of the lease on the worker's clock, in milliseconds; none leaves it as it is.
    pub lease_until_ms: Option<u64>,
    /// Number of the last end that the agent has processed.
    pub last_seen_end: u64,
    /// How long the worker may wait for a run to end before it answers, in milliseconds.
    pub wait_ms: u64,
}

/// Running run in a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: WorkerRun,
    /// Progress in percent.
    pub percent: u32,
}

/// How a run ended at the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEnd {
    /// The task is done.
    Done,
    /// The task failed, because of the task or of the worker.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The lease of the worker expired.
    LeaseExpired,
}

/// Ended run in a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// Number of the end in this incarnation of the worker.
    pub number: u64,
    /// The run.
    pub run: WorkerRun,
    /// How the run ended.
    pub end: WorkerEnd,
}

/// Current and ended runs of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunListing {
    /// When the worker started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Time on the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Current runs.
    pub running: Vec<ListedRun>,
    /// Ended runs that the agent has not processed, oldest first. The list may be incomplete.
    pub ended: Vec<ListedEnd>,
}

/// Calls to the worker of an agent.
pub trait WorkerClient: Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, call: StartCall) -> BoxFuture<'static, Result<StartAnswer>>;

    /// Stops a run. Its end appears in a later listing.
    fn stop(&self, call: StopCall) -> BoxFuture<'static, Result<()>>;

    /// Returns the current and ended runs.
    fn poll(&self, call: PollCall) -> BoxFuture<'static, Result<RunListing>>;
}
