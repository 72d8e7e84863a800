//! The edge towards what outlives an agent: the last report of its worker.

use futures_util::future::BoxFuture;

use crate::supervisor::WorkerReport;

/// Keeps the last report of a worker. An agent that starts anew need not wait for the next one.
pub trait WorkerReportStore: Send + Sync + 'static {
    /// Returns the last report that was kept; none if there is none or it cannot be read now.
    fn load(&self) -> BoxFuture<'_, Option<WorkerReport>>;

    /// Keeps a report. A failure is logged: the next agent then waits for a report.
    fn save(&self, report: WorkerReport) -> BoxFuture<'_, ()>;
}
