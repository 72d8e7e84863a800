//! An entry in memory and a backend server in memory, for tests of a whole agent.

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

/// Longest wait for a frame, on the paused clock.
const PATIENCE: Duration = Duration::from_secs(10);

/// Address of the only entry.
pub fn entry_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7200))
}

/// Hands one end of each link to the test.
pub struct MemoryDialer(mpsc::UnboundedSender<Link>);

impl Dialer for MemoryDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, link::Result<Link>> {
        let (ours, theirs) = Link::pair();
        let sent = self.0.send(theirs);
        Box::pin(async move {
            sent.map_err(|_| masticcross_wire::LinkError::Connect {
                addr,
                reason: "refused".to_owned(),
            })?;
            Ok(ours)
        })
    }
}

/// Runs each task for a set time and keeps the order of starts.
#[derive(Default)]
pub struct MemoryBackend {
    /// Attempts in the order in which they arrived.
    pub started: Mutex<Vec<AttemptId>>,
    /// Attempts that were stopped.
    pub stopped: Mutex<Vec<AttemptId>>,
    /// How long each task runs.
    pub run_time: Duration,
}

/// Shares the backend server between the test and the agent.
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
            if let Err(reason) = gate.pass() {
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

/// An agent with the test in the place of its entries.
pub struct Rig {
    /// The agent.
    pub agent: Arc<Agent>,
    /// The backend server in memory, if that is the one that the agent has.
    pub backend: Arc<MemoryBackend>,
    links: mpsc::UnboundedReceiver<Link>,
}

impl Rig {
    /// Starts an agent with one announced backend server of 4 slots in memory.
    pub fn start(run_time: Duration) -> Self {
        let backend = Arc::new(MemoryBackend {
            run_time,
            ..MemoryBackend::default()
        });
        let client = Arc::new(SharedBackend(backend.clone()));
        let rig = Self {
            backend,
            ..Self::with_client(client)
        };
        rig.agent.announce(announcement());
        rig
    }

    /// Starts an agent that reaches its backend servers by a client.
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

    /// Returns true if the agent has not dialled since the last session was taken.
    pub fn no_dial(&mut self) -> bool {
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

/// The test in the place of an entry.
pub struct Entry {
    link: Link,
    /// The view that heartbeats carry.
    pub view: AgentView,
    /// The age that heartbeats carry.
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

    /// Reads the session to its end without an answer, and returns the code of its close.
    pub async fn goodbye(&mut self) -> Option<Code> {
        let mut code = None;
        while let Some(frame) = self.link.rx.recv().await {
            if let Frame::Goodbye(goodbye) = frame {
                code = Some(goodbye.code);
            }
        }
        code
    }

    /// Waits for a frame that fits and drops the others. Heartbeats are answered meanwhile.
    pub async fn next(&mut self, fits: impl Fn(&Frame) -> bool) -> Frame {
        let wait = async {
            loop {
                let frame = self.link.rx.recv().await.expect("the session is open");
                if let Frame::Ping(ping) = &frame {
                    self.answer(ping);
                }
                if fits(&frame) {
                    return frame;
                }
            }
        };
        timeout(PATIENCE, wait).await.expect("the frame comes")
    }

    /// Answers the next heartbeat with a view that is fresh at this moment. Later ones are answered
    /// without any age.
    pub async fn beat(&mut self) {
        self.age_ms = Some(0);
        self.next(|f| matches!(f, Frame::Ping(_))).await;
        self.age_ms = None;
    }

    fn answer(&self, ping: &Ping) {
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

/// The backend server's announcement.
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

/// A view in which `e1` owns everything under epoch 1.
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

/// Starts of tasks 0 to `tasks` of a job, with attempts from `seq`.
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
