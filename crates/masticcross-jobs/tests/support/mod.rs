//! Stand-ins for what an agent uses.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::{BoxFuture, ready};
use masticcross_jobs::report_store::WorkerReportStore;
use masticcross_jobs::supervisor::WorkerReport;
use masticcross_jobs::worker_client::{
    CallError, PollCall, Result, RunListing, StartAnswer, StartCall, StopCall, WorkerClient,
};
use tokio::time::sleep;

/// Worker that resets every connection.
#[derive(Default)]
pub struct ResettingWorker {
    pub polls: AtomicUsize,
}

fn reset<T>() -> Result<T> {
    Err(CallError::NoAnswer("connection reset".to_owned()))
}

impl WorkerClient for ResettingWorker {
    fn start(&self, _: StartCall) -> BoxFuture<'static, Result<StartAnswer>> {
        Box::pin(ready(reset()))
    }

    fn stop(&self, _: StopCall) -> BoxFuture<'static, Result<()>> {
        Box::pin(ready(reset()))
    }

    fn poll(&self, _: PollCall) -> BoxFuture<'static, Result<RunListing>> {
        self.polls.fetch_add(1, Ordering::Relaxed);
        Box::pin(async {
            sleep(Duration::from_millis(1)).await;
            reset()
        })
    }
}

/// Report store without reports.
pub struct EmptyReportStore;

impl WorkerReportStore for EmptyReportStore {
    fn load(&self) -> BoxFuture<'_, Option<WorkerReport>> {
        Box::pin(ready(None))
    }

    fn save(&self, _: WorkerReport) -> BoxFuture<'_, bool> {
        Box::pin(ready(true))
    }
}
