//! Interface to the store of worker reports, which outlives an agent process.

use futures_util::future::BoxFuture;

use crate::supervisor::WorkerReport;

/// Stores the last report of a worker, so that a restarted agent does not have to wait for the next
/// heartbeat.
pub trait WorkerReportStore: Send + Sync + 'static {
    /// Returns the last saved report, or `None` if there is none or it cannot be read.
    fn load(&self) -> BoxFuture<'_, Option<WorkerReport>>;

    /// Saves a report in place of the last one. Returns false if it may not have been saved.
    fn save(&self, report: WorkerReport) -> BoxFuture<'_, bool>;
}
