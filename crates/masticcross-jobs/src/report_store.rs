//! Interface to the store of worker reports, which outlives an agent process.

use futures_util::future::BoxFuture;

use crate::supervisor::WorkerReport;

/// Stores the last report of a worker, so that a restarted agent does not have to wait for the next
/// heartbeat.
pub trait WorkerReportStore: Send + Sync + 'static {
    /// Returns the last saved report, or `None` if there is none or it cannot be read.
    fn load(&self) -> BoxFuture<'_, Option<WorkerReport>>;

    /// Saves a report. Failures are only logged: the next agent process then waits for a heartbeat.
    fn save(&self, report: WorkerReport) -> BoxFuture<'_, ()>;
}
