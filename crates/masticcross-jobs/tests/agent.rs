//! An agent against workers and entries that misbehave, on the paused clock.

use std::net::SocketAddr;
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
use masticcross_wire::pool::{Resources, WorkerInfo};
use masticcross_wire::{Dialer, Frame, Hello, Link, PROTOCOL_VERSION, Role, link};
use parking_lot::Mutex;
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

/// Leads to an entry that answers its first frame after a time.
struct SlowEntry {
    after: Duration,
    dials: AtomicUsize,
    held: Mutex<Vec<Link>>,
}

impl SlowEntry {
    fn new(after: Duration) -> Arc<Self> {
        Arc::new(Self {
            after,
            dials: AtomicUsize::new(0),
            held: Mutex::default(),
        })
    }
}

impl Dialer for SlowEntry {
    fn dial(&self, _: SocketAddr) -> BoxFuture<'_, link::Result<Link>> {
        self.dials.fetch_add(1, Ordering::Relaxed);
        Box::pin(async {
            let (near, far) = Link::pair();
            sleep(self.after).await;
            let hello = Hello {
                protocol: PROTOCOL_VERSION,
                role: Role::Entry,
                name: "entry-1".into(),
                incarnation: 1,
                zone: "zone-a".into(),
                session: 0,
            };
            let sent = far.tx.send(Frame::Hello(hello)).await;
            sent.expect("the other end is open");
            self.held.lock().push(far);
            Ok(near)
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
            capacity: Resources::default(),
            leaving: false,
        },
    }
}

fn agent(worker: Arc<ResettingWorker>, dialer: Arc<SlowEntry>) -> Arc<Agent> {
    let identity = AgentIdentity {
        name: "agent-1".into(),
        zone: "zone-a".into(),
        incarnation: 1,
    };
    let lease = Duration::from_secs(1);
    let memory = Arc::new(NoMemory);
    Agent::new(identity, lease, 1, worker, memory, dialer).expect("metrics")
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_resets_connections_is_looked_at_seldom() {
    let worker = Arc::new(ResettingWorker::default());
    let agent = agent(worker.clone(), SlowEntry::new(Duration::ZERO));
    let running = tokio::spawn(agent.clone().run());
    assert!(agent.worker_reported(report()));
    sleep(Duration::from_secs(10)).await;
    running.abort();
    let looks = worker.looks.load(Ordering::Relaxed);
    assert!((50..=250).contains(&looks), "{looks} looks in 10 s");
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_is_slow_to_answer_is_dialled_once() {
    let entry = SlowEntry::new(Duration::from_millis(700));
    let agent = agent(Arc::default(), entry.clone());
    agent.set_seeds(vec!["10.0.0.1:7000".parse().expect("an address")]);
    let running = tokio::spawn(agent.clone().run());
    sleep(Duration::from_millis(900)).await;
    assert!(agent.has_session());
    running.abort();
    assert_eq!(entry.dials.load(Ordering::Relaxed), 1);
}
