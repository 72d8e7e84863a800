//! Several entries in one process, on a paused clock, with a log in memory and a network that the
//! test cuts.

#![allow(dead_code, reason = "each test program uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_basics::timeline::Timeline;
use masticcross_basics::{Epoch, Name, Partition};
use masticcross_config::samples;
use masticcross_entry::Identity;
use masticcross_entry::admission::Admissions;
use masticcross_entry::dispatch::Dispatch;
use masticcross_entry::owner::Owner;
use masticcross_entry::peers::{Peers, rebalance};
use masticcross_entry::router::Router;
use masticcross_ledger::{Agreement, LedgerIdentity, publish};
use masticcross_standins::log::{MemoryLog, MemoryLogSettings};
use masticcross_wire::{Dialer, Frame, Incarnation, Link, LinkError, Role};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time that a frame takes from one entry to another.
const LATENCY: Duration = Duration::from_micros(500);

/// A network between processes. Clones share it.
#[derive(Clone, Default)]
pub struct Network {
    acceptors: Arc<Mutex<BTreeMap<SocketAddr, Acceptor>>>,
    cuts: Arc<watch::Sender<BTreeSet<(Name, Name)>>>,
    frames: Arc<Mutex<Traffic>>,
}

#[derive(Clone)]
struct Acceptor {
    name: Name,
    links: mpsc::Sender<Link>,
}

/// Frames and bytes that went over the network.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub frames: u64,
    pub bytes: u64,
}

impl Network {
    /// Holds all frames from one process to another, or lets them go on.
    pub fn cut(&self, from: &str, to: &str, cut: bool) {
        let pair = (Name::from(from), Name::from(to));
        self.cuts.send_modify(|cuts| {
            if cut {
                cuts.insert(pair);
            } else {
                cuts.remove(&pair);
            }
        });
    }

    pub fn traffic(&self) -> Traffic {
        *self.frames.lock()
    }

    /// Accepts sessions for a process.
    pub fn listen(&self, name: &str, addr: SocketAddr) -> mpsc::Receiver<Link> {
        let (links, rx) = mpsc::channel(16);
        let name = Name::from(name);
        self.acceptors.lock().insert(addr, Acceptor { name, links });
        rx
    }

    /// Connects two processes. The link keeps its frames while a direction is cut.
    fn connect(&self, from: &Name, to: &Acceptor) -> Option<Link> {
        let (near, near_end) = Link::pair();
        let (far, far_end) = Link::pair();
        to.links.try_send(far).ok()?;
        let there = self
            .clone()
            .pump(from.clone(), to.name.clone(), near_end.rx, far_end.tx);
        let back = self
            .clone()
            .pump(to.name.clone(), from.clone(), far_end.rx, near_end.tx);
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = there => {}
                () = back => {}
            }
        });
        Some(near)
    }

    async fn pump(
        self,
        from: Name,
        to: Name,
        mut rx: mpsc::Receiver<Frame>,
        tx: mpsc::Sender<Frame>,
    ) {
        let pair = (from, to);
        let mut cuts = self.cuts.subscribe();
        while let Some(frame) = rx.recv().await {
            sleep(LATENCY).await;
            if cuts.wait_for(|cuts| !cuts.contains(&pair)).await.is_err() {
                return;
            }
            let bytes = masticcross_wire::codec::encode(std::slice::from_ref(&frame));
            {
                let mut traffic = self.frames.lock();
                traffic.frames += 1;
                traffic.bytes += bytes.map_or(0, |b| b.len() as u64);
            }
            if tx.send(frame).await.is_err() {
                return;
            }
        }
    }
}

/// Dials for one process.
pub struct NetworkDialer {
    pub network: Network,
    pub name: Name,
}

impl Dialer for NetworkDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, Result<Link, LinkError>> {
        Box::pin(async move {
            sleep(LATENCY * 2).await;
            let acceptor = self.network.acceptors.lock().get(&addr).cloned();
            let link = acceptor.and_then(|to| self.network.connect(&self.name, &to));
            link.ok_or_else(|| LinkError::Connect {
                addr,
                reason: "nobody listens".to_owned(),
            })
        })
    }
}

/// One running entry.
pub struct Node {
    pub identity: Identity,
    pub agreement: Arc<Agreement>,
    pub owner: Arc<Owner>,
    pub peers: Arc<Peers>,
    pub router: Arc<Router>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts an entry.
    pub fn start(
        log: &MemoryLog,
        network: &Network,
        number: u16,
        incarnation: Incarnation,
    ) -> Self {
        let name = Name::from(format!("entry-{number}"));
        let peer_addr = addr_of(number);
        let identity = Identity {
            name: name.clone(),
            incarnation,
            region: Name::from("perth"),
            zone: Name::from("perth-north"),
            peer_addr,
        };
        let timeline = Timeline::new(name.clone(), 1000);
        let log: Arc<MemoryLog> = Arc::new(log.client(&name));
        let ledger_identity = LedgerIdentity {
            name: name.clone(),
            incarnation,
            region: identity.region.clone(),
        };
        let agreement = Agreement::new(ledger_identity, log.clone(), timeline.clone());
        let admissions = Admissions::new(identity.clone(), log);
        let dispatch = Dispatch::new(identity.clone(), agreement.clone(), timeline.clone());
        let owner = Owner::new(
            agreement.clone(),
            admissions.clone(),
            dispatch.clone(),
            timeline.clone(),
        );
        dispatch.bind(Arc::downgrade(&owner));
        let dialer = NetworkDialer {
            network: network.clone(),
            name: name.clone(),
        };
        let peers = Peers::new(
            identity.clone(),
            agreement.clone(),
            Arc::new(dialer),
            timeline,
        );
        let router = Router::new(agreement.clone(), owner.clone(), peers.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(agreement.clone().run());
        tasks.spawn(admissions.run());
        tasks.spawn(owner.clone().run());
        tasks.spawn(peers.clone().run());
        tasks.spawn(rebalance::rebalance(peers.clone(), owner.clone()));
        let links = network.listen(&name, peer_addr);
        tasks.spawn(accept(links, peers.clone(), owner.clone()));
        Self {
            identity,
            agreement,
            owner,
            peers,
            router,
            tasks,
        }
    }

    /// Ends all tasks at once.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
    }

    /// Stops in order.
    pub async fn stop(mut self) {
        self.peers.drain();
        rebalance::hand_over_all(&self.peers, &self.owner).await;
        self.peers.close().await;
        self.tasks.shutdown().await;
    }

    /// Lists the partitions that this entry owns, by the agreed state as it knows it.
    pub fn owned(&self) -> Vec<(Partition, Epoch)> {
        Partition::all()
            .filter_map(|p| Some((p, self.agreement.epoch_if_mine(p)?)))
            .collect()
    }
}

pub fn addr_of(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

async fn accept(mut links: mpsc::Receiver<Link>, peers: Arc<Peers>, owner: Arc<Owner>) {
    let mut sessions = JoinSet::new();
    while let Some(mut link) = links.recv().await {
        let (peers, owner) = (peers.clone(), owner.clone());
        sessions.spawn(async move {
            if let Some(Frame::Hello(hello)) = link.rx.recv().await {
                assert_eq!(hello.role, Role::Entry);
                peers.serve_peer(hello, link, owner).await;
            }
        });
    }
}

/// A log, a network and a configuration in force.
pub struct Cluster {
    pub log: MemoryLog,
    pub network: Network,
    pub nodes: Vec<Node>,
}

impl Cluster {
    /// Starts entries 1 to `count` and waits until they have settled.
    pub async fn start(count: u16) -> Self {
        let log = MemoryLog::new(MemoryLogSettings::default());
        publish(&log, 0, "ann", samples::GUILD)
            .await
            .expect("a configuration");
        let network = Network::default();
        let nodes = (1..=count)
            .map(|n| Node::start(&log, &network, n, 1))
            .collect();
        sleep(Duration::from_secs(8)).await;
        Self {
            log,
            network,
            nodes,
        }
    }

    /// Checks that every partition has exactly one owner among the running entries.
    pub fn assert_all_owned(&self) {
        let mut owners = BTreeMap::new();
        for node in &self.nodes {
            for (partition, epoch) in node.owned() {
                let before = owners.insert(partition, epoch);
                assert!(before.is_none(), "two owners of {partition:?}");
            }
        }
        assert_eq!(owners.len(), usize::from(masticcross_basics::PARTITIONS));
    }
}
