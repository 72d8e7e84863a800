//! Tasks that wait to be sent to a worker.

use masticcross_basics::{JobKey, Name, TaskIndex};
use tokio::time::Instant;

/// A task that waits to be sent to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTask {
    /// The job.
    pub key: JobKey,
    /// Index of the task within the job.
    pub index: TaskIndex,
    /// Team whose quota and share the task counts against.
    pub team: Name,
    /// When the job's deadline passes.
    pub deadline: Instant,
    /// When the job arrived.
    pub arrived: Instant,
    /// Total number of tasks of the job.
    pub job_tasks: u16,
    /// Workers that failed this task or did not start it. They are tried again only if no other
    /// worker is in service.
    pub avoid: Vec<Name>,
}
