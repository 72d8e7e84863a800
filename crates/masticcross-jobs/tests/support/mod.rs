//! Stand-ins for what an agent uses.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::{BoxFuture, ready};
use masticcross_jobs::report_store::WorkerReportStore;
use masticcross_jobs::supervisor::WorkerReport;
use masticcross_jobs::view_reader::{self, Unreadable, ViewReader};
use masticcross_jobs::worker_client::{
    CallError, PollCall, Result, RunListing, StartAnswer, StartCall, StopCall, WorkerClient,
};
use masticcross_wire::pool::OperatorView;
use tokio::time::sleep;

/// Worker that resets every connection, except for the first polls.
#[derive(Default)]
pub struct ResettingWorker {
    pub polls: AtomicUsize,
    answered: usize,
}

impl ResettingWorker {
    /// Creates a worker that answers a number of polls before it resets connections.
    #[allow(dead_code, reason = "not every test crate uses it")]
    pub fn after_polls(answered: usize) -> Self {
        Self {
            answered,
            ..Self::default()
        }
    }
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

    fn poll(&self, call: PollCall) -> BoxFuture<'static, Result<RunListing>> {
        let is_answered = self.polls.fetch_add(1, Ordering::Relaxed) < self.answered;
        Box::pin(async move {
            sleep(Duration::from_millis(1)).await;
            let incarnation = call.incarnation.filter(|_| is_answered);
            incarnation.map_or_else(reset, |incarnation| {
                Ok(RunListing {
                    started_at_ms: incarnation.started_at_ms,
                    clock_ms: 1,
                    running: Vec::new(),
                    ended: Vec::new(),
                })
            })
        })
    }
}

/// Reader of operators' records that cannot be read.
pub struct NoRecords;

impl ViewReader for NoRecords {
    fn read(&self) -> BoxFuture<'_, view_reader::Result<Option<OperatorView>>> {
        Box::pin(ready(Err(Unreadable("no store".to_owned()))))
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
