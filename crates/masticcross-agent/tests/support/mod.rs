//! In-memory entry and backend server, for tests of a complete agent.

#![allow(dead_code, reason = "each test program uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_agent::{
    Agent, Announcement, BackendClient, RunOutcome, Settings, StartGate, TaskBody,
};
use masticcross_basics::timeline::{Timeline, Timestamp};
use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name, PARTITIONS};
use masticcross_wire::{
    AgentView, Dialer, Frame, Hello, Link, Member, PROTOCOL_VERSION, PartitionOwner, Ping, Pong,
    Role, StartTasks, TaskEnded, TaskStart, ViewVersion, link,
};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Longest wait for a frame, in time of the paused clock.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Address of the only entry.
pub fn entry_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7200))
}

/// Dialer that passes the entry's end of each link to the test.
pub struct MemoryDialer(mpsc::UnboundedSender<Link>);

impl Dialer for MemoryDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, link::Result<Link>> {
        let (local, remote) = Link::pair();
        let sent = self.0.send(remote);
        Box::pin(async move {
            sent.map_err(|_| masticcross_wire::LinkError::Connect {
                addr,
                reason: "refused".to_owned(),
            })?;
            Ok(local)
        })
    }
}

/// Backend server that runs each task for a fixed time and records the order of starts.
#[derive(Default)]
pub struct MemoryBackend {
    /// Attempts in the order in which they arrived.
    pub started: Mutex<Vec<AttemptId>>,
    /// Attempts that were stopped.
    pub stopped: Mutex<Vec<AttemptId>>,
    /// How long each task runs.
    pub run_time: Duration,
}

/// Backend client whose in-memory server is shared between the test and the agent.
#[derive(Clone)]
pub struct SharedBackend(pub Arc<MemoryBackend>);

impl BackendClient for SharedBackend {
    fn run(
        &self,
        _backend: Announcement,
        task: TaskBody,
        gate: StartGate,
    ) -> BoxFuture<'static, RunOutcome> {
        let shared = self.0.clone();
        Box::pin(async move {
            if let Err(reason) = gate.confirm_start() {
                return RunOutcome::Refused(reason);
            }
            shared.started.lock().push(task.attempt);
            sleep(shared.run_time).await;
            RunOutcome::Done(task.payload)
        })
    }

    fn stop(&self, _backend: Announcement, attempt: AttemptId) -> BoxFuture<'static, ()> {
        let shared = self.0.clone();
        Box::pin(async move { shared.stopped.lock().push(attempt) })
    }
}

/// Test fixture: an agent whose entry the test controls.
pub struct Fixture {
    /// The agent.
    pub agent: Arc<Agent>,
    /// The in-memory backend server; unused if the agent has another client.
    pub backend: Arc<MemoryBackend>,
    links: mpsc::UnboundedReceiver<Link>,
}

impl Fixture {
    /// Starts an agent with one announced in-memory backend server of 4 slots.
    pub fn start(run_time: Duration) -> Self {
        let backend = Arc::new(MemoryBackend {
            run_time,
            ..MemoryBackend::default()
        });
        let client = Arc::new(SharedBackend(backend.clone()));
        let fixture = Self {
            backend,
            ..Self::with_client(client)
        };
        fixture.agent.announce(announcement());
        fixture
    }

    /// Starts an agent with the given client for backend servers.
    pub fn with_client(client: Arc<dyn BackendClient>) -> Self {
        let (tx, links) = mpsc::unbounded_channel();
        let settings = Settings::new("w1".into(), "z1".into(), vec![entry_addr()], 1);
        let timeline = Timeline::new("w1".into(), 1_000);
        let agent = Agent::new(settings, Arc::new(MemoryDialer(tx)), client, timeline)
            .expect("metrics register");
        tokio::spawn(agent.clone().run());
        Self {
            agent,
            backend: Arc::default(),
            links,
        }
    }

    /// Returns true if the agent has not dialed since the last accepted session.
    pub fn has_not_dialed(&mut self) -> bool {
        self.links.try_recv().is_err()
    }

    /// Takes the next session that the agent opens, as the entry `e1`.
    pub async fn accept(&mut self) -> Entry {
        let link = self.links.recv().await.expect("the agent dials");
        let mut entry = Entry {
            link,
            view: view(),
            age_ms: None,
        };
        let hello = entry.next(|f| matches!(f, Frame::Hello(_))).await;
        assert!(matches!(hello, Frame::Hello(hello) if hello.role == Role::Agent));
        entry.send(Frame::Hello(Hello {
            protocol: PROTOCOL_VERSION,
            role: Role::Entry,
            name: "e1".into(),
            incarnation: 1,
            zone: "z1".into(),
            session: 0,
        }));
        entry
    }
}

/// An entry controlled by the test.
pub struct Entry {
    link: Link,
    /// The view in heartbeat answers.
    pub view: AgentView,
    /// The age of the view in heartbeat answers.
    pub age_ms: Option<u32>,
}

impl Entry {
    /// Sends a frame.
    pub fn send(&self, frame: Frame) {
        self.link.tx.try_send(frame).expect("the session is open");
    }

    /// Sends a frame, or returns false if the session is closed.
    pub fn try_send(&self, frame: Frame) -> bool {
        self.link.tx.try_send(frame).is_ok()
    }

    /// Reads frames until the session is closed, without answering them, and returns the closing
    /// code.
    pub async fn goodbye(&mut self) -> Option<Code> {
        let mut code = None;
        while let Some(frame) = self.link.rx.recv().await {
            if let Frame::Goodbye(goodbye) = frame {
                code = Some(goodbye.code);
            }
        }
        code
    }

    /// Waits for a frame that matches and drops all others. Answers heartbeats meanwhile.
    pub async fn next(&mut self, predicate: impl Fn(&Frame) -> bool) -> Frame {
        let wait = async {
            loop {
                let frame = self.link.rx.recv().await.expect("the session is open");
                if let Frame::Ping(ping) = &frame {
                    self.send_pong(ping);
                }
                if predicate(&frame) {
                    return frame;
                }
            }
        };
        timeout(FRAME_TIMEOUT, wait)
            .await
            .expect("the frame arrives")
    }

    /// Answers the next heartbeat with a fresh view. Later ones are answered without an age.
    pub async fn answer_heartbeat(&mut self) {
        self.age_ms = Some(0);
        self.next(|f| matches!(f, Frame::Ping(_))).await;
        self.age_ms = None;
    }

    fn send_pong(&self, ping: &Ping) {
        self.send(Frame::Pong(Pong {
            nonce: ping.nonce,
            age_ms: self.age_ms,
            view: Some(Box::new(self.view.clone())),
            timestamp: Timestamp::default(),
        }));
    }

    /// Waits for the end of the next attempt.
    pub async fn ended(&mut self) -> TaskEnded {
        match self.next(|f| matches!(f, Frame::Ended(_))).await {
            Frame::Ended(ended) => ended,
            other => panic!("unexpected {other:?}"),
        }
    }
}

/// Returns the announcement of the in-memory backend server.
pub fn announcement() -> Announcement {
    Announcement {
        name: "b1".into(),
        service: "quote-desk".into(),
        url: "http://127.0.0.1:9".into(),
        slots: 4,
        connections: 8,
        ttl: Duration::from_mins(10),
    }
}

/// Returns a view in which `e1` owns every partition under epoch 1.
pub fn view() -> AgentView {
    let member = Member {
        name: "e1".into(),
        incarnation: 1,
        addr: entry_addr(),
        zone: "z1".into(),
    };
    let owner = PartitionOwner {
        member: Some(0),
        epoch: Epoch(1),
    };
    AgentView {
        version: ViewVersion {
            config: 1,
            partitions: 1,
        },
        config_version: 1,
        zones_out: Vec::new(),
        freshness_ms: 2_000,
        members: vec![member],
        partitions: vec![owner; usize::from(PARTITIONS)],
        registered: true,
        registered_at: 1,
    }
}

/// Returns a frame that starts the first `tasks` tasks of a job, with attempts numbered from `seq`.
pub fn start(job: &str, tasks: u16, seq: u64) -> StartTasks {
    let key = JobKey::new("quote-desk", job).expect("valid names");
    let tasks = (0..tasks).map(|index| TaskStart {
        index,
        attempt: AttemptId {
            epoch: Epoch(1),
            seq: seq + u64::from(index),
        },
        payload: Name::from(format!("{{\"n\":{index}}}")),
    });
    StartTasks {
        partition: key.partition(),
        key,
        epoch: Epoch(1),
        left_ms: 10_000,
        tasks: tasks.collect(),
        timestamp: Timestamp::default(),
    }
}
