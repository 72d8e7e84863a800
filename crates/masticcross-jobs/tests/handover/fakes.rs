//! Scripted processes around an entry: agents, and other entries as origin or receiver.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_basics::Name;
use masticcross_jobs::entry::EntryIdentity;
use masticcross_jobs::{Entry, JobOutcome, JobRequest, StepRequest};
use masticcross_wire::peer::{PeerEcho, PeerFrame, TransferAnswer};
use masticcross_wire::pool::{
    EntryAddr, FreeResources, OperatorView, PoolFrame, Queue, Resources, RunEnd, RunId, RunRequest,
    RunResult, WorkerInfo,
};
use masticcross_wire::{Dialer, Frame, Hello, Link, LinkError, PROTOCOL_VERSION, Role, link};
use smallvec::smallvec;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, advance, sleep};

/// Interval of the scripted processes' probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

pub fn addr(number: u8) -> EntryAddr {
    EntryAddr {
        name: format!("entry-{number}").into(),
        addr: ([10, 0, 0, number], 7000).into(),
        zone: Some(format!("zone-{number}").into()),
        incarnation: 1,
    }
}

pub fn hello(role: Role, name: &str) -> Frame {
    Frame::Hello(Hello {
        protocol: PROTOCOL_VERSION,
        role,
        name: name.into(),
        incarnation: 1,
        zone: "zone-x".into(),
        session: 0,
    })
}

pub fn view(position: u64) -> OperatorView {
    let queue = Queue {
        name: "q".into(),
        host: "a.example".into(),
        path_prefix: "/q/".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        latency_target_ms: 1_000,
    };
    OperatorView {
        position,
        config_version: position,
        queues: vec![queue],
        ..OperatorView::default()
    }
}

pub fn request(id: &str) -> JobRequest {
    JobRequest {
        id: id.into(),
        queue: "q".into(),
        spec: "x".into(),
        steps: smallvec![StepRequest {
            count: 1,
            resources: Resources {
                cpu: 1_000,
                ..Resources::default()
            },
            expected_ms: 100,
            ..StepRequest::default()
        }],
        deadline: Instant::now() + Duration::from_secs(20),
    }
}

/// Dialer whose sessions are accepted by the test.
struct TestDialer(mpsc::Sender<(SocketAddr, Link)>, usize);

impl Dialer for TestDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, link::Result<Link>> {
        Box::pin(async move {
            let (to_peer, peer_rx) = mpsc::channel(self.1);
            let (to_entry, entry_rx) = mpsc::channel(1_024);
            let local = Link {
                tx: to_peer,
                rx: entry_rx,
            };
            let peer = Link {
                tx: to_entry,
                rx: peer_rx,
            };
            let reason = "refused".to_owned();
            let sent = self.0.send((addr, peer)).await;
            sent.map_err(|_| LinkError::Connect { addr, reason })?;
            Ok(local)
        })
    }
}

/// A real entry with scripted processes around it.
pub struct World {
    pub entry: Arc<Entry>,
    links: mpsc::Sender<Link>,
    dialed: mpsc::Receiver<(SocketAddr, Link)>,
}

impl World {
    /// Starts entry 1, which knows entry 2. Its sessions with that have queues of the given length.
    pub fn start(queue: usize) -> Self {
        let identity = EntryIdentity {
            addr: addr(1),
            zone: "zone-1".into(),
            incarnation: 1,
        };
        let (accepted_tx, dialed) = mpsc::channel(8);
        let test_dialer = Arc::new(TestDialer(accepted_tx, queue));
        let entry = Entry::with_dialer(identity, Some(test_dialer)).expect("metrics");
        entry.add_entries(&[addr(2)]);
        entry.update_view(view(1));
        let (links, accepted) = mpsc::channel(8);
        tokio::spawn(entry.clone().run(accepted));
        Self {
            entry,
            links,
            dialed,
        }
    }

    /// Connects a process and returns its end of the session.
    pub async fn connect(&self, hello: Frame) -> Link {
        let (local, mut remote) = Link::pair();
        self.links.send(local).await.expect("the entry runs");
        remote.tx.send(hello).await.expect("open");
        assert!(matches!(remote.rx.recv().await, Some(Frame::Hello(_))));
        remote
    }

    /// Makes ticks late until the entry transfers all jobs. The next submission must follow at once.
    pub async fn overload(&self) {
        for _ in 0..20 {
            advance(Duration::from_millis(90)).await;
            yield_often().await;
        }
    }

    /// Overloads the entry and returns the session that it opens.
    pub async fn peer(&mut self) -> Link {
        let mut link = loop {
            advance(Duration::from_millis(90)).await;
            yield_often().await;
            if let Ok((_, link)) = self.dialed.try_recv() {
                break link;
            }
        };
        assert!(matches!(link.rx.recv().await, Some(Frame::Hello(_))));
        let hello = hello(Role::Entry, "entry-2");
        link.tx.send(hello).await.expect("open");
        link
    }

    /// Overloads the entry and accepts its session with an entry that grants credits.
    pub async fn receiver(&mut self) -> Receiver {
        let receiver = Receiver::start(self.peer().await);
        sleep(Duration::from_millis(20)).await;
        self.overload().await;
        receiver
    }

    /// Starts a submission. It has been decided on return.
    pub async fn submit(&self, id: &str) -> JoinHandle<JobOutcome> {
        let (entry, request) = (self.entry.clone(), request(id));
        let caller = tokio::spawn(async move { entry.submit(request).await });
        yield_often().await;
        caller
    }
}

/// Lets all other tasks run without advancing the clock.
pub async fn yield_often() {
    for _ in 0..50 {
        tokio::task::yield_now().await;
    }
}

/// A scripted entry that receives jobs and answers probes.
pub struct Receiver {
    /// Jobs and cancellations.
    pub frames: mpsc::UnboundedReceiver<PeerFrame>,
    tx: mpsc::Sender<Frame>,
    silent: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Receiver {
    fn start(mut link: Link) -> Self {
        let (frames_tx, frames) = mpsc::unbounded_channel();
        let silent = Arc::new(AtomicBool::new(false));
        let (tx, is_silent) = (link.tx.clone(), silent.clone());
        let task = tokio::spawn(async move {
            while let Some(Frame::Peer(frame)) = link.rx.recv().await {
                match frame {
                    PeerFrame::Probe(probe) if !is_silent.load(Ordering::Relaxed) => {
                        let echo = PeerFrame::Echo(PeerEcho { probe, credit: 100 });
                        let _ = link.tx.send(Frame::Peer(echo)).await;
                    }
                    PeerFrame::Probe(_) => {}
                    frame => drop(frames_tx.send(frame)),
                }
            }
        });
        Self {
            frames,
            tx,
            silent,
            task,
        }
    }

    /// Returns number and id of the next job.
    pub fn job(&mut self) -> (u64, Name) {
        match self.frames.try_recv() {
            Ok(PeerFrame::Job(job)) => (job.number, job.id),
            other => panic!("expected a job, got {other:?}"),
        }
    }

    pub async fn answer(&self, number: u64, answer: TransferAnswer) {
        let frame = Frame::Peer(PeerFrame::Answer { number, answer });
        self.tx.send(frame).await.expect("open");
    }

    /// Stops to answer probes.
    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Returns true if the entry has ended the session.
    pub fn is_ended(&self) -> bool {
        self.task.is_finished()
    }

    /// Closes the session.
    pub fn close(self) {
        self.task.abort();
    }
}

/// A scripted agent whose worker has enough capacity.
pub struct Agent {
    tx: mpsc::Sender<Frame>,
    /// Runs that the entry has started and stopped.
    pub started: mpsc::UnboundedReceiver<RunRequest>,
    pub stopped: mpsc::UnboundedReceiver<RunId>,
}

impl Agent {
    pub async fn start(world: &World) -> Self {
        let mut link = world.connect(hello(Role::Agent, "agent-1")).await;
        let capacity = Resources {
            cpu: 1_000_000,
            memory_mb: 1_000_000,
            gpus: 0,
        };
        let info = WorkerInfo {
            service: "s".into(),
            zone: "zone-1".into(),
            labels: smallvec![],
            capacity,
            leaving: false,
        };
        let free = FreeResources {
            resources: capacity,
            requests_seen: 0,
        };
        let tx = link.tx.clone();
        for frame in [PoolFrame::Worker(Some(info)), PoolFrame::Free(free)] {
            tx.send(Frame::Pool(frame)).await.expect("open");
        }
        let (started_tx, started) = mpsc::unbounded_channel();
        let (stopped_tx, stopped) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    frame = link.rx.recv() => match frame {
                        Some(Frame::Pool(PoolFrame::Run(runs))) => {
                            for run in runs {
                                drop(started_tx.send(run));
                            }
                        }
                        Some(Frame::Pool(PoolFrame::Stop(ids))) => {
                            for id in ids {
                                drop(stopped_tx.send(id));
                            }
                        }
                        Some(_) => {}
                        None => return,
                    },
                    () = sleep(PROBE_INTERVAL) => {
                        let _ = link.tx.send(Frame::Pool(PoolFrame::Probe(1))).await;
                    }
                }
            }
        });
        yield_often().await;
        Self {
            tx,
            started,
            stopped,
        }
    }

    /// Ends a run as done.
    pub async fn end(&self, run: RunRequest) {
        let end = RunEnd {
            id: run.id,
            result: RunResult::Done,
            took_ms: 100,
        };
        let frame = Frame::Pool(PoolFrame::Ended(vec![end]));
        self.tx.send(frame).await.expect("open");
    }
}
