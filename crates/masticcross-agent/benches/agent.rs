//! Overhead of the agent per task: its decision logic alone, and the round trip through a complete
//! agent with a backend server that responds immediately over a real socket.

use std::net::SocketAddr;
use std::sync::Arc;

use divan::Bencher;
use divan::counter::ItemsCount;
use futures_util::future::BoxFuture;
use masticcross_agent::core::AgentCore;
use masticcross_agent::core::sessions::SessionHandle;
use masticcross_agent::metrics::Metrics;
use masticcross_agent::{Agent, Announcement, HyperBackendClient, RunOutcome, Settings};
use masticcross_basics::timeline::{Timeline, Timestamp};
use masticcross_basics::{AttemptId, Epoch, JobKey, PARTITIONS};
use masticcross_wire::{
    AgentView, Dialer, Frame, Hello, Link, Member, PROTOCOL_VERSION, PartitionOwner, Pong, Role,
    StartTasks, TaskStart, ViewVersion, link,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Tasks in each sample of `decisions`.
const TASKS: u64 = 64;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"result\":7}";

fn main() {
    divan::main();
}

fn settings() -> Settings {
    Settings::new(
        "w1".into(),
        "z1".into(),
        vec![([127, 0, 0, 1], 1).into()],
        1,
    )
}

fn announcement(addr: SocketAddr) -> Announcement {
    Announcement {
        name: "b1".into(),
        service: "quote-desk".into(),
        url: format!("http://{addr}").as_str().into(),
        slots: 64,
        connections: 64,
        ttl: std::time::Duration::from_mins(10),
    }
}

fn view() -> AgentView {
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
        freshness_ms: 600_000,
        members: vec![Member {
            name: "e1".into(),
            incarnation: 1,
            addr: ([127, 0, 0, 1], 1).into(),
            zone: "z1".into(),
        }],
        partitions: vec![owner; usize::from(PARTITIONS)],
        registered: true,
        registered_at: 1,
    }
}

fn start(seq: u64) -> StartTasks {
    let key = JobKey::new("quote-desk", &format!("order-{seq}")).expect("valid names");
    let epoch = Epoch(1);
    StartTasks {
        partition: key.partition(),
        key,
        epoch,
        left_ms: 60_000,
        tasks: vec![TaskStart {
            index: 0,
            attempt: AttemptId { epoch, seq },
            payload: "{\"guests\":120}".into(),
        }],
        timestamp: Timestamp::default(),
    }
}

#[divan::bench]
fn decisions(bencher: Bencher<'_, '_>) {
    let metrics = Metrics::new().expect("metrics register");
    let timeline = Timeline::new("w1".into(), 1_000);
    let settings = settings();
    let core = AgentCore::new(settings.identity(), settings.limits, timeline, metrics);
    let now = Instant::now();
    let (tx, mut rx) = mpsc::channel(16 * 1_024);
    let handle = SessionHandle {
        entry: "e1".into(),
        incarnation: 1,
        tx,
        close: watch::channel(None).0,
    };
    core.session_opened(1, handle, now);
    core.apply_view(Some(view()), Some(now), now);
    let _ = core.announce(announcement(([127, 0, 0, 1], 1).into()), now);
    let mut seq = 0;
    bencher.counter(ItemsCount::new(TASKS)).bench_local(|| {
        for _ in 0..TASKS {
            seq += 1;
            let start = start(seq);
            for run in core.start(1, &start, now) {
                core.confirm_start(run.id, now).expect("the view is fresh");
                let _ = core.finished(run.id, RunOutcome::Done("7".into()), now);
            }
            core.release(&[start.key], now);
        }
        while rx.try_recv().is_ok() {}
    });
}

struct OneLink(mpsc::Sender<Link>);

impl Dialer for OneLink {
    fn dial(&self, _addr: SocketAddr) -> BoxFuture<'_, link::Result<Link>> {
        let (local, remote) = Link::pair();
        Box::pin(async move {
            let _ = self.0.send(remote).await;
            Ok(local)
        })
    }
}

async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(respond_to_all(stream));
    }
}

async fn respond_to_all(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buf = vec![0; 4_096];
    while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

/// Starts an agent and returns it with the entry's end of its session.
async fn connect() -> (Arc<Agent>, Link) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(serve(listener));
    let (tx, mut links) = mpsc::channel(1);
    let agent = Agent::new(
        settings(),
        Arc::new(OneLink(tx)),
        Arc::new(HyperBackendClient::new()),
        Timeline::new("w1".into(), 1_000),
    );
    let agent = agent.expect("metrics register");
    agent.announce(announcement(addr));
    tokio::spawn(agent.clone().run());
    let mut link = links.recv().await.expect("the agent dials");
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        role: Role::Entry,
        name: "e1".into(),
        incarnation: 1,
        zone: "z1".into(),
        session: 0,
    };
    let _ = link.tx.send(Frame::Hello(hello)).await;
    while !agent.stats().view_fresh {
        if let Some(frame) = link.rx.recv().await {
            answer_heartbeat(&link, &frame);
        }
        tokio::task::yield_now().await;
    }
    (agent, link)
}

fn answer_heartbeat(link: &Link, frame: &Frame) {
    if let Frame::Ping(ping) = frame {
        let pong = Pong {
            nonce: ping.nonce,
            age_ms: Some(0),
            view: Some(Box::new(view())),
            timestamp: Timestamp::default(),
        };
        let _ = link.tx.try_send(Frame::Pong(pong));
    }
}

async fn round_trip(link: &mut Link, seq: u64) {
    let start = start(seq);
    let key = start.key.clone();
    let _ = link.tx.send(Frame::Start(start)).await;
    while let Some(frame) = link.rx.recv().await {
        answer_heartbeat(link, &frame);
        if matches!(frame, Frame::Ended(_)) {
            let _ = link.tx.send(Frame::Release(vec![key])).await;
            return;
        }
    }
}

#[divan::bench(sample_count = 1_000, sample_size = 1)]
fn one_task_through_the_agent(bencher: Bencher<'_, '_>) {
    let runtime = Runtime::new().expect("a runtime");
    let (agent, mut link) = runtime.block_on(connect());
    let mut seq = 0;
    bencher.bench_local(|| {
        seq += 1;
        runtime.block_on(round_trip(&mut link, seq));
    });
    drop(agent);
}
