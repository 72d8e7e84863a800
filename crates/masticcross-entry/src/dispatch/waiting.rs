//! Tasks that wait for a credit.

use masticcross_basics::{JobKey, Name, TaskIndex};
use tokio::time::Instant;

/// A task that waits for a credit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTask {
    /// The job.
    pub key: JobKey,
    /// Position in the job.
    pub index: TaskIndex,
    /// Team that pays.
    pub team: Name,
    /// When the job's deadline passes.
    pub deadline: Instant,
    /// When the job arrived.
    pub arrived: Instant,
    /// Tasks of the job in all.
    pub job_tasks: u16,
    /// Workers that failed this task or did not start it, not to be tried first.
    pub avoid: Vec<Name>,
}
