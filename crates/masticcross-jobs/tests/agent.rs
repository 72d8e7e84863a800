//! An agent against workers that misbehave, on the paused clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::{BoxFuture, ready};
use masticcross_jobs::Agent;
use masticcross_jobs::agent::AgentIdentity;
use masticcross_jobs::keeper::WorkerReport;
use masticcross_jobs::worker_client::{
    CallError, LookCall, Result, StartAnswer, StartCall, StopCall, WorkerClient, WorkerLife,
    WorkerLists,
};
use masticcross_jobs::worker_memory::WorkerMemory;
use masticcross_wire::pool::{Room, WorkerInfo};
use masticcross_wire::ws::{SharedSecret, WsDialer};
use smallvec::smallvec;
use tokio::time::sleep;

/// Resets every connection.
#[derive(Default)]
struct ResettingWorker {
    looks: AtomicUsize,
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

    fn look(&self, _: LookCall) -> BoxFuture<'static, Result<WorkerLists>> {
        self.looks.fetch_add(1, Ordering::Relaxed);
        Box::pin(async {
            sleep(Duration::from_millis(1)).await;
            reset()
        })
    }
}

struct NoMemory;

impl WorkerMemory for NoMemory {
    fn recall(&self) -> BoxFuture<'_, Option<WorkerReport>> {
        Box::pin(ready(None))
    }

    fn remember(&self, _: WorkerReport) -> BoxFuture<'_, ()> {
        Box::pin(ready(()))
    }
}

fn report() -> WorkerReport {
    WorkerReport {
        life: WorkerLife {
            id: "worker-1".into(),
            born_ms: 1,
        },
        sequence: 1,
        info: WorkerInfo {
            service: "quotes".into(),
            zone: "zone-a".into(),
            labels: smallvec![],
            capacity: Room::default(),
            leaving: false,
        },
    }
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_resets_connections_is_looked_at_seldom() {
    let worker = Arc::new(ResettingWorker::default());
    let identity = AgentIdentity {
        name: "agent-1".into(),
        zone: "zone-a".into(),
        incarnation: 1,
    };
    let dialer = Arc::new(WsDialer::new(SharedSecret::new("secret")));
    let lease = Duration::from_secs(1);
    let memory = Arc::new(NoMemory);
    let agent = Agent::new(identity, lease, 1, worker.clone(), memory, dialer).expect("metrics");
    let running = tokio::spawn(agent.clone().run());
    assert!(agent.worker_reported(report()));
    sleep(Duration::from_secs(10)).await;
    running.abort();
    let looks = worker.looks.load(Ordering::Relaxed);
    assert!((50..=250).contains(&looks), "{looks} looks in 10 s");
}
