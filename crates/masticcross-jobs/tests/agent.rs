//! Tests of an agent with faulty workers and entries, on a paused clock.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::{BoxFuture, ready};
use masticcross_jobs::Agent;
use masticcross_jobs::agent::AgentIdentity;
use masticcross_jobs::report_store::WorkerReportStore;
use masticcross_jobs::supervisor::WorkerReport;
use masticcross_jobs::worker_client::WorkerIncarnation;
use masticcross_wire::pool::{Resources, WorkerInfo};
use masticcross_wire::{Dialer, Frame, Hello, Link, PROTOCOL_VERSION, Role, link};
use parking_lot::Mutex;
use smallvec::smallvec;
use support::{EmptyReportStore, NoRecords, ResettingWorker};
use tokio::time::sleep;

/// Dialer of an entry that sends its first frame after a delay.
struct SlowEntryDialer {
    after: Duration,
    dials: AtomicUsize,
    links: Mutex<Vec<Link>>,
}

impl SlowEntryDialer {
    fn new(after: Duration) -> Arc<Self> {
        Arc::new(Self {
            after,
            dials: AtomicUsize::new(0),
            links: Mutex::default(),
        })
    }
}

impl Dialer for SlowEntryDialer {
    fn dial(&self, _: SocketAddr) -> BoxFuture<'_, link::Result<Link>> {
        self.dials.fetch_add(1, Ordering::Relaxed);
        Box::pin(async {
            let (local, remote) = Link::pair();
            sleep(self.after).await;
            let hello = Hello {
                protocol: PROTOCOL_VERSION,
                role: Role::Entry,
                name: "entry-1".into(),
                incarnation: 1,
                zone: "zone-a".into(),
                session: 0,
            };
            let sent = remote.tx.send(Frame::Hello(hello)).await;
            sent.expect("the other end is open");
            self.links.lock().push(remote);
            Ok(local)
        })
    }
}

fn report() -> WorkerReport {
    WorkerReport {
        incarnation: WorkerIncarnation {
            id: "worker-1".into(),
            started_at_ms: 1,
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

fn agent(worker: Arc<ResettingWorker>, dialer: Arc<SlowEntryDialer>) -> Arc<Agent> {
    let identity = AgentIdentity {
        name: "agent-1".into(),
        zone: "zone-a".into(),
        incarnation: 1,
    };
    let lease = Duration::from_secs(1);
    let store = Arc::new(EmptyReportStore);
    Agent::new(
        identity,
        lease,
        1,
        worker,
        store,
        Arc::new(NoRecords),
        dialer,
    )
    .expect("metrics")
}

#[tokio::test(start_paused = true)]
async fn polls_of_a_worker_that_resets_connections_back_off() {
    let worker = Arc::new(ResettingWorker::after_polls(1));
    let agent = agent(worker.clone(), SlowEntryDialer::new(Duration::ZERO));
    let running = tokio::spawn(agent.clone().run());
    assert!(agent.worker_reported(report()));
    sleep(Duration::from_secs(10)).await;
    running.abort();
    let polls = worker.polls.load(Ordering::Relaxed);
    assert!((50..=250).contains(&polls), "{polls} polls in 10 s");
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_answers_slowly_is_dialed_only_once() {
    let entry = SlowEntryDialer::new(Duration::from_millis(700));
    let agent = agent(Arc::default(), entry.clone());
    agent.set_seeds(vec!["10.0.0.1:7000".parse().expect("an address")]);
    let running = tokio::spawn(agent.clone().run());
    sleep(Duration::from_millis(900)).await;
    assert!(agent.has_session());
    running.abort();
    assert_eq!(entry.dials.load(Ordering::Relaxed), 1);
}

/// Report store whose first write is slow and whose second one fails.
#[derive(Default)]
struct SlowReportStore {
    writes: AtomicUsize,
    stored: Mutex<Option<WorkerReport>>,
}

impl WorkerReportStore for SlowReportStore {
    fn load(&self) -> BoxFuture<'_, Option<WorkerReport>> {
        Box::pin(ready(None))
    }

    fn save(&self, report: WorkerReport) -> BoxFuture<'_, bool> {
        let write = self.writes.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            match write {
                0 => sleep(Duration::from_millis(400)).await,
                1 => return false,
                _ => {}
            }
            *self.stored.lock() = Some(report);
            true
        })
    }
}

#[tokio::test(start_paused = true)]
async fn the_last_report_is_stored_after_slow_and_failed_writes() {
    let store = Arc::new(SlowReportStore::default());
    let identity = AgentIdentity {
        name: "agent-1".into(),
        zone: "zone-a".into(),
        incarnation: 1,
    };
    let worker = Arc::new(ResettingWorker::after_polls(1));
    let dialer = SlowEntryDialer::new(Duration::ZERO);
    let lease = Duration::from_secs(1);
    let agent = Agent::new(
        identity,
        lease,
        1,
        worker,
        store.clone(),
        Arc::new(NoRecords),
        dialer,
    )
    .expect("metrics");
    let running = tokio::spawn(agent.clone().run());
    assert!(agent.worker_reported(report()));
    sleep(Duration::from_millis(10)).await;
    let mut leaving = report();
    leaving.sequence = 2;
    leaving.info.leaving = true;
    assert!(agent.worker_reported(leaving.clone()));
    sleep(Duration::from_secs(5)).await;
    running.abort();
    assert_eq!(*store.stored.lock(), Some(leaving));
}
