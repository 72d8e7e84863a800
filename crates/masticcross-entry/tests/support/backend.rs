//! An in-memory backend server that reports each start to the observer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_agent::{Announcement, BackendClient, RunOutcome, StartGate, TaskBody};
use masticcross_basics::{AttemptId, JobKey, Name};
use masticcross_wire::Json;
use tokio::time::sleep;

use super::observer::{AgentLocation, Observer};

/// Time from the decision to start a task to the request to the backend server.
const CONNECT_TIME: Duration = Duration::from_micros(300);

/// The backend server of one agent.
pub struct MemoryBackend {
    pub location: AgentLocation,
    pub observer: Arc<Observer>,
    pub killed: Arc<AtomicBool>,
    /// True if every task fails.
    pub fail_tasks: Arc<AtomicBool>,
}

impl BackendClient for MemoryBackend {
    fn run(
        &self,
        _backend: Announcement,
        task: TaskBody,
        gate: StartGate,
    ) -> BoxFuture<'static, RunOutcome> {
        let killed = self.killed.clone();
        let fail_tasks = self.fail_tasks.load(Ordering::Relaxed);
        let (location, observer) = (self.location.clone(), self.observer.clone());
        Box::pin(async move {
            sleep(CONNECT_TIME).await;
            if killed.load(Ordering::Relaxed) {
                return std::future::pending().await;
            }
            if let Err(reason) = gate.confirm_start() {
                return RunOutcome::Refused(reason);
            }
            let key = JobKey {
                service: task.service,
                job: task.job,
            };
            observer.record_start(&key, task.index, task.attempt, &location);
            sleep(run_time(&task.payload)).await;
            if killed.load(Ordering::Relaxed) {
                return std::future::pending().await;
            }
            if fail_tasks {
                return RunOutcome::Failed("configured to fail".to_owned());
            }
            RunOutcome::Done(expected_result(&key, task.index, &task.payload))
        })
    }

    fn stop(&self, _backend: Announcement, _attempt: AttemptId) -> BoxFuture<'static, ()> {
        Box::pin(async {})
    }
}

/// Returns the expected result of a task.
pub fn expected_result(key: &JobKey, index: u16, payload: &str) -> Json {
    Json::from(format!(
        r#"{{"job":"{key}","index":{index},"of":{payload}}}"#
    ))
}

/// Returns a payload that sets the run time of the task.
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
