//! Entries and agents as processes that can be killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use masticcross_agent::Agent;
use masticcross_basics::Name;
use masticcross_basics::timeline::Timeline;
use masticcross_entry::Identity;
use masticcross_entry::admission::{AdmissionSettings, Admissions};
use masticcross_entry::dispatch::Dispatch;
use masticcross_entry::owner::{Owner, OwnerSettings};
use masticcross_entry::peers::Peers;
use masticcross_entry::router::Router;
use masticcross_ledger::{Ledger, LedgerIdentity};
use masticcross_standins::log::MemoryLog;
use masticcross_wire::{Frame, Incarnation, Link, Role};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::backend::{MemoryBackend, announcement};
use super::net::Net;
use super::observer::{AgentLocation, Observer};

const REGION: &str = "west";
const TIMELINE_EVENTS: usize = 4_096;
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings that a test may change.
#[derive(Debug, Clone, Default)]
pub struct EntrySettings {
    pub owner: OwnerSettings,
    pub admissions: AdmissionSettings,
}

/// The process of an entry.
pub struct EntryNode {
    /// Name of this incarnation on the network and in the log.
    pub process: Name,
    pub name: Name,
    pub ledger: Arc<Ledger>,
    pub owner: Arc<Owner>,
    pub peers: Arc<Peers>,
    pub router: Arc<Router>,
    tasks: JoinSet<()>,
}

impl EntryNode {
    /// Starts an entry.
    pub fn start(
        net: &Net,
        log: &MemoryLog,
        name: &str,
        zone: &str,
        incarnation: Incarnation,
        addr: SocketAddr,
        settings: &EntrySettings,
    ) -> Self {
        let process = Name::from(format!("{name}/{incarnation}"));
        let identity = Identity {
            name: Name::from(name),
            incarnation,
            region: Name::from(REGION),
            zone: Name::from(zone),
            peer_addr: addr,
        };
        let log: Arc<MemoryLog> = Arc::new(log.client(&process));
        let timeline = Timeline::new(identity.name.clone(), TIMELINE_EVENTS);
        let ledger_identity = LedgerIdentity {
            name: identity.name.clone(),
            incarnation,
            region: identity.region.clone(),
        };
        let ledger = Ledger::new(ledger_identity, log.clone(), timeline.clone());
        let admissions =
            Admissions::with_settings(identity.clone(), log, settings.admissions.clone());
        let dispatch = Dispatch::new(identity.clone(), ledger.clone(), timeline.clone());
        let owner = Owner::with_settings(
            ledger.clone(),
            admissions.clone(),
            dispatch.clone(),
            timeline.clone(),
            settings.owner.clone(),
        );
        dispatch.set_owner(Arc::downgrade(&owner));
        let peers = Peers::new(
            identity.clone(),
            ledger.clone(),
            net.dialer(&process),
            timeline,
        );
        let router = Router::new(ledger.clone(), owner.clone(), peers.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(ledger.clone().run());
        tasks.spawn(admissions.run());
        tasks.spawn(owner.clone().run());
        tasks.spawn(owner.clone().rebalance_partitions(peers.clone()));
        tasks.spawn(peers.clone().run());
        let links = net.listen(&process, addr);
        tasks.spawn(accept(links, dispatch, peers.clone(), owner.clone()));
        Self {
            process,
            name: identity.name,
            ledger,
            owner,
            peers,
            router,
            tasks,
        }
    }

    /// Kills the process.
    pub fn kill(mut self, net: &Net, log: &MemoryLog) {
        net.kill(&self.process);
        log.faults().change_for(&self.process, |f| f.down = true);
        self.tasks.abort_all();
    }

    /// Stops the process as planned.
    pub async fn close(mut self, net: &Net, limit: Duration) -> bool {
        self.peers.drain();
        let closed = timeout(limit, self.owner.close(&self.peers)).await.is_ok();
        self.peers.close().await;
        net.kill(&self.process);
        self.tasks.abort_all();
        closed
    }
}

async fn accept(
    mut links: mpsc::Receiver<Link>,
    dispatch: Arc<Dispatch>,
    peers: Arc<Peers>,
    owner: Arc<Owner>,
) {
    let mut sessions = JoinSet::new();
    while let Some(link) = links.recv().await {
        sessions.spawn(serve(link, dispatch.clone(), peers.clone(), owner.clone()));
    }
}

async fn serve(mut link: Link, dispatch: Arc<Dispatch>, peers: Arc<Peers>, owner: Arc<Owner>) {
    let first = timeout(HELLO_TIMEOUT, link.rx.recv()).await;
    let Ok(Some(Frame::Hello(hello))) = first else {
        return;
    };
    match hello.role {
        Role::Agent => {
            let (worker, incarnation) = (hello.name.clone(), hello.incarnation);
            peers.register_agent(&worker, incarnation, &hello.zone);
            dispatch.serve_agent(hello, link).await;
            peers.agent_disconnected(&worker, incarnation);
        }
        Role::Entry => peers.serve_peer(hello, link, owner).await,
    }
}

/// The process of an agent, with its backend server.
pub struct AgentNode {
    pub process: Name,
    pub worker: Name,
    pub zone: Name,
    pub agent: Arc<Agent>,
    pub fail_tasks: Arc<AtomicBool>,
    killed: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl AgentNode {
    /// Starts an agent whose backend server has the given number of slots.
    pub fn start(
        net: &Net,
        observer: &Arc<Observer>,
        worker: &str,
        zone: &str,
        incarnation: Incarnation,
        entries: Vec<SocketAddr>,
        slots: u16,
    ) -> Self {
        let process = Name::from(format!("{worker}/{incarnation}"));
        let location = AgentLocation {
            worker: Name::from(worker),
            incarnation,
            zone: Name::from(zone),
        };
        let killed = Arc::new(AtomicBool::new(false));
        let fail_tasks = Arc::new(AtomicBool::new(false));
        let backend = MemoryBackend {
            location,
            observer: observer.clone(),
            killed: killed.clone(),
            fail_tasks: fail_tasks.clone(),
        };
        let settings = masticcross_agent::Settings::new(
            Name::from(worker),
            Name::from(zone),
            entries,
            incarnation,
        );
        let timeline = Timeline::new(Name::from(worker), TIMELINE_EVENTS);
        let agent = Agent::new(settings, net.dialer(&process), Arc::new(backend), timeline)
            .expect("an agent can be created");
        agent.announce(announcement(&Name::from(worker), slots));
        let task = tokio::spawn(agent.clone().run());
        Self {
            process,
            worker: Name::from(worker),
            zone: Name::from(zone),
            agent,
            fail_tasks,
            killed,
            task,
        }
    }

    /// Stops the process as planned.
    pub async fn close(self, net: &Net) {
        self.agent.clone().close().await;
        net.kill(&self.process);
        self.task.abort();
    }

    /// Kills the process and its tasks.
    pub fn kill(self, net: &Net, observer: &Observer) {
        observer.record_worker_fault(&self.worker);
        self.killed.store(true, Ordering::Relaxed);
        net.kill(&self.process);
        self.task.abort();
    }
}
