//! The edge towards a worker: the calls by which an agent starts, stops and looks at runs.

use futures_util::future::BoxFuture;
use masticcross_basics::Name;
use masticcross_wire::pool::{RunId, RunRequest};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One life of a worker. A worker that starts again has another one and knows nothing of before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLife {
    /// Id of the worker.
    pub id: Name,
    /// When the worker started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Why a call to a worker gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing listens there: the worker runs nothing.
    #[error("worker refuses connections: {0}")]
    Refused(String),
    /// No usable answer came; the call may have been carried out or still be.
    #[error("worker gave no answer: {0}")]
    NoAnswer(String),
    /// The worker lives another life than the call was meant for; nothing was done.
    #[error("worker has started anew")]
    OtherLife,
    /// The worker has seen a higher fencing token; nothing was done.
    #[error("fencing token is too low")]
    Fenced,
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Starts a run.
#[derive(Debug, Clone)]
pub struct StartCall {
    /// Life of the worker that the call is meant for.
    pub life: WorkerLife,
    /// The run.
    pub order: RunRequest,
    /// Number of the run at the worker; it rises with each start of the task there.
    pub worker_run: u32,
    /// Fencing token of the call.
    pub token: u64,
    /// Until when everything at the worker is leased, on its clock, in milliseconds.
    pub lease_until_ms: u64,
}

/// Answer to a [`StartCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartAnswer {
    /// Time on the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// What the worker did.
    pub verdict: StartVerdict,
}

/// What a worker did with a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartVerdict {
    /// The run is there.
    Started,
    /// The lease had ended when the call arrived; nothing was done.
    Late,
    /// A run with this number or a higher one was there before; nothing was done.
    OldRun,
    /// The worker has no room for it; nothing was done.
    NoRoom,
    /// The worker is not healthy; nothing was done.
    Unhealthy,
    /// The worker does not accept the order; nothing was done.
    Invalid,
}

/// Stops a run.
#[derive(Debug, Clone)]
pub struct StopCall {
    /// Life of the worker that the call is meant for.
    pub life: WorkerLife,
    /// The run, numbered as at the worker.
    pub run: RunId,
    /// Fencing token of the call.
    pub token: u64,
}

/// Looks at what runs and ended, and may extend the lease of everything that runs.
#[derive(Debug, Clone)]
pub struct LookCall {
    /// Life of the worker that the call is meant for; none if it is to be found out.
    pub life: Option<WorkerLife>,
    /// Fencing token of the call.
    pub token: u64,
    /// New end of the lease on the worker's clock, in milliseconds; none leaves it as it is.
    pub lease_until_ms: Option<u64>,
    /// Number of the last end that is taken note of.
    pub seen: u64,
    /// How long the worker may wait for an end before it answers, in milliseconds.
    pub wait_ms: u64,
}

/// A run that is at the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningEntry {
    /// The run, numbered as at the worker.
    pub run: RunId,
    /// How much of its work is done, in percent.
    pub percent: u32,
}

/// How a run ended at the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEnd {
    /// The task is done.
    Done,
    /// The task failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
}

/// A run that ended at the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedEntry {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// The run, numbered as at the worker.
    pub run: RunId,
    /// How it ended.
    pub end: WorkerEnd,
}

/// What a worker runs and what ended there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerLists {
    /// When the worker started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Time on the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningEntry>,
    /// What ended and was not taken note of, oldest first; perhaps not all of it.
    pub ended: Vec<EndedEntry>,
}

/// Calls to the worker of an agent.
pub trait WorkerClient: Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, call: StartCall) -> BoxFuture<'static, Result<StartAnswer>>;

    /// Stops a run. The end shows in the lists.
    fn stop(&self, call: StopCall) -> BoxFuture<'static, Result<()>>;

    /// Looks at what runs and ended.
    fn look(&self, call: LookCall) -> BoxFuture<'static, Result<WorkerLists>>;
}
