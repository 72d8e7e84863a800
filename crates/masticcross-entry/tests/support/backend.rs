//! A backend server in memory that tells the observer of each start.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_agent::{Announcement, BackendClient, RunOutcome, StartGate, TaskBody};
use masticcross_basics::{AttemptId, JobKey, Name};
use masticcross_wire::Json;
use tokio::time::sleep;

use super::observer::{Observer, Place};

/// Time from the decision to start a task to the request.
const CONNECT_TIME: Duration = Duration::from_micros(300);

/// The backend server of one agent's process.
pub struct MemoryBackend {
    pub place: Place,
    pub observer: Arc<Observer>,
    pub dead: Arc<AtomicBool>,
    /// True to answer every task with a failure.
    pub fails: Arc<AtomicBool>,
}

impl BackendClient for MemoryBackend {
    fn run(
        &self,
        _backend: Announcement,
        task: TaskBody,
        gate: StartGate,
    ) -> BoxFuture<'static, RunOutcome> {
        let dead = self.dead.clone();
        let fails = self.fails.load(Ordering::Relaxed);
        let (place, observer) = (self.place.clone(), self.observer.clone());
        Box::pin(async move {
            sleep(CONNECT_TIME).await;
            if dead.load(Ordering::Relaxed) {
                return std::future::pending().await;
            }
            if let Err(reason) = gate.confirm_start() {
                return RunOutcome::Refused(reason);
            }
            let key = JobKey {
                service: task.service,
                job: task.job,
            };
            observer.started(&key, task.index, task.attempt, &place);
            sleep(run_time(&task.payload)).await;
            if dead.load(Ordering::Relaxed) {
                return std::future::pending().await;
            }
            if fails {
                return RunOutcome::Failed("told to fail".to_owned());
            }
            RunOutcome::Done(echo(&key, task.index, &task.payload))
        })
    }

    fn stop(&self, _backend: Announcement, _attempt: AttemptId) -> BoxFuture<'static, ()> {
        Box::pin(async {})
    }
}

/// Returns the result that a task has to have.
pub fn echo(key: &JobKey, index: u16, payload: &str) -> Json {
    Json::from(format!(
        r#"{{"job":"{key}","index":{index},"of":{payload}}}"#
    ))
}

/// Returns a payload that says how long the task runs.
pub fn payload(run_ms: u64) -> Json {
    Json::from(run_ms.to_string())
}

fn run_time(payload: &str) -> Duration {
    Duration::from_millis(payload.parse().unwrap_or(1))
}

/// Returns the announcement of the backend server.
pub fn announcement(worker: &Name, slots: u16) -> Announcement {
    Announcement {
        name: worker.clone(),
        service: Name::from(super::cluster::SERVICE),
        url: Name::from("memory"),
        slots,
        connections: slots,
        ttl: Duration::from_hours(24),
    }
}
