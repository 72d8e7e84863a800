//! Tests of the exchange of large operator views over links of limited bandwidth, on a paused clock.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_jobs::agent::AgentIdentity;
use masticcross_jobs::entry::EntryIdentity;
use masticcross_jobs::{Agent, Entry};
use masticcross_wire::pool::{EntryAddr, OperatorView, Queue};
use masticcross_wire::{Dialer, Frame, Link, LinkError, codec, link};
use parking_lot::Mutex;
use support::{EmptyReportStore, NoRecords, ResettingWorker};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes that take turns with those of other sessions on a link.
const SLICE_BYTES: usize = 16 * 1024;

/// Bandwidth of the thinnest links, in bytes per second: 25 Mbit/s.
const THIN_LINK: usize = 3_125_000;

/// What other traffic leaves of a thin link, in bytes per second.
const BUSY_THIN_LINK: usize = 500_000;

/// Bandwidth of other links, in bytes per second: 1 Gbit/s.
const WIDE_LINK: usize = 125_000_000;

/// Number of queues of a view that takes about 600 kB.
const LARGE_VIEW_QUEUES: usize = 4_200;

/// Time after which a confirmed change must be in force.
const CHANGE_BOUND: Duration = Duration::from_secs(3);

/// One direction of a host's link, shared by all its sessions.
struct Direction {
    bytes_per_s: usize,
    busy_until: Mutex<Instant>,
}

impl Direction {
    fn new(bytes_per_s: usize) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_s,
            busy_until: Mutex::new(Instant::now()),
        })
    }

    async fn transmit(&self, mut bytes: usize) {
        while bytes > 0 {
            let slice = bytes.min(SLICE_BYTES);
            bytes -= slice;
            let nanos = slice as u64 * 1_000_000_000 / self.bytes_per_s as u64;
            let sent_at = {
                let mut busy_until = self.busy_until.lock();
                *busy_until = Instant::now().max(*busy_until) + Duration::from_nanos(nanos);
                *busy_until
            };
            sleep_until(sent_at).await;
        }
    }

    /// Carries the frames of one session until an end of it closes.
    async fn carry(self: Arc<Self>, mut rx: mpsc::Receiver<Frame>, tx: mpsc::Sender<Frame>) {
        while let Some(frame) = rx.recv().await {
            let bytes = codec::encode(std::slice::from_ref(&frame)).expect("a valid frame");
            tokio::select! {
                () = self.transmit(bytes.len()) => {}
                () = tx.closed() => return,
            }
            if tx.send(frame).await.is_err() {
                return;
            }
        }
    }
}

/// An entry and the link of its host.
struct Host {
    entry: Arc<Entry>,
    addr: SocketAddr,
    links: mpsc::Sender<Link>,
    sending: Arc<Direction>,
    receiving: Arc<Direction>,
    dials: AtomicUsize,
}

impl Host {
    fn start(number: u8, bytes_per_s: usize) -> Arc<Self> {
        let addr = SocketAddr::from(([10, 0, 0, number], 7000));
        let identity = EntryIdentity {
            addr: EntryAddr {
                name: format!("entry-{number}").into(),
                addr,
                zone: Some("zone-a".into()),
                incarnation: 1,
            },
            zone: "zone-a".into(),
            incarnation: 1,
        };
        let entry = Entry::new(identity).expect("metrics");
        let (links, accepted) = mpsc::channel(64);
        tokio::spawn(entry.clone().run(accepted));
        Arc::new(Self {
            entry,
            addr,
            links,
            sending: Direction::new(bytes_per_s),
            receiving: Direction::new(bytes_per_s),
            dials: AtomicUsize::new(0),
        })
    }

    fn has_version(&self, version: u64) -> bool {
        let has = |view: &OperatorView| view.config_version == version;
        self.entry.with_view(has).unwrap_or(false)
    }

    fn dials(&self) -> usize {
        self.dials.load(Ordering::Relaxed)
    }
}

/// Dialer to the hosts of the entries.
struct HostDialer(Vec<Arc<Host>>);

impl Dialer for HostDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, link::Result<Link>> {
        let host = self.0.iter().find(|host| host.addr == addr).cloned();
        Box::pin(async move {
            let host = host.ok_or_else(|| LinkError::Connect {
                addr,
                reason: "no such host".to_owned(),
            })?;
            host.dials.fetch_add(1, Ordering::Relaxed);
            let (local, near) = Link::pair();
            let (far, remote) = Link::pair();
            tokio::spawn(host.receiving.clone().carry(near.rx, far.tx));
            tokio::spawn(host.sending.clone().carry(far.rx, near.tx));
            host.links.send(remote).await.expect("the entry runs");
            Ok(local)
        })
    }
}

/// Starts agents that have sessions with all hosts, and waits until these are open.
async fn start_agents(count: usize, hosts: &[Arc<Host>]) {
    for number in 0..count {
        let identity = AgentIdentity {
            name: format!("agent-{number}").into(),
            zone: "zone-a".into(),
            incarnation: 1,
        };
        let agent = Agent::new(
            identity,
            Duration::from_secs(1),
            1,
            Arc::<ResettingWorker>::default(),
            Arc::new(EmptyReportStore),
            Arc::new(NoRecords),
            Arc::new(HostDialer(hosts.to_vec())),
        );
        let agent = agent.expect("metrics");
        agent.set_seeds(hosts.iter().map(|host| host.addr).collect());
        tokio::spawn(agent.run());
    }
    sleep(Duration::from_secs(1)).await;
    for host in hosts {
        assert_eq!(host.dials(), count);
    }
}

/// Returns a view whose position and version are the same number.
fn view(version: u64, queues: usize) -> OperatorView {
    let queue = |number: usize| Queue {
        name: format!("r-{number}").into(),
        host: "orders.example".into(),
        path_prefix: format!("/path/{number}/").into(),
        service: "orders".into(),
        priority: 1,
        max_attempts: 3,
        stretch: 1.6,
        latency_target_ms: 60,
    };
    OperatorView {
        position: version,
        config_version: version,
        queues: (0..queues).map(queue).collect(),
        ..OperatorView::default()
    }
}

#[tokio::test(start_paused = true)]
async fn a_large_view_reaches_an_entry_without_the_store_over_a_thin_link() {
    let hosts = [Host::start(1, WIDE_LINK), Host::start(2, BUSY_THIN_LINK)];
    start_agents(4, &hosts).await;
    hosts[0].entry.update_view(view(1, LARGE_VIEW_QUEUES));
    sleep(CHANGE_BOUND).await;
    assert!(hosts[1].has_version(1));
}

#[tokio::test(start_paused = true)]
async fn a_large_view_ends_no_sessions_of_the_entry_that_has_it_first() {
    let agents = 40;
    let hosts = [Host::start(1, THIN_LINK), Host::start(2, THIN_LINK)];
    start_agents(agents, &hosts).await;
    for version in 1..4 {
        let changed = usize::from(version == 2);
        hosts[changed]
            .entry
            .update_view(view(version, LARGE_VIEW_QUEUES));
        sleep(CHANGE_BOUND).await;
        assert!(hosts.iter().all(|host| host.has_version(version)));
    }
    assert_eq!((hosts[0].dials(), hosts[1].dials()), (agents, agents));
}
