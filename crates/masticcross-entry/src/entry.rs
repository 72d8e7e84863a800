//! The entry process: its ports, its components and its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::{Result, WrapErr};
use masticcross_basics::timeline::Timeline;
use masticcross_http::{HttpLimits, HttpServer};
use masticcross_ledger::{Ledger, LedgerIdentity};
use masticcross_log::Log;
use masticcross_wire::ws::{self, SharedSecret, WsDialer};
use masticcross_wire::{Frame, Incarnation, Link, PROTOCOL_VERSION, Role};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::admission::Admissions;
use crate::dispatch::Dispatch;
use crate::http::callers::Callers;
use crate::http::operators::Operators;
use crate::identity::Identity;
use crate::owner::Owner;
use crate::peers::Peers;
use crate::router::Router;
use crate::settings::Settings;

/// Timeout of the first frame of a session.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of accepted sessions that are not yet served.
const ACCEPT_QUEUE_LEN: usize = 64;

/// A running entry.
pub struct Entry {
    identity: Identity,
    callers: HttpServer,
    operators: HttpServer,
    owner: Arc<Owner>,
    peers: Arc<Peers>,
    timeline: Timeline,
    draining: Arc<AtomicBool>,
    drain_limit: Duration,
    tasks: JoinSet<()>,
}

impl Entry {
    /// Binds the ports and starts all components.
    ///
    /// # Errors
    /// Returns an error that names the port that cannot be bound.
    pub async fn start(settings: Settings, log: Arc<dyn Log>) -> Result<Self> {
        let peers_listener = bind(settings.peers, "peers").await?;
        let callers_listener = bind(settings.callers, "callers").await?;
        let operators_listener = bind(settings.operators, "operators").await?;
        let identity = Identity {
            name: settings.name.clone(),
            incarnation: new_incarnation(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            peer_addr: match settings.advertise {
                Some(addr) => addr,
                None => peers_listener.local_addr()?,
            },
        };
        let secret = SharedSecret::new(&settings.secret);
        let timeline = Timeline::new(identity.name.clone(), settings.timeline_events);
        let ledger = Ledger::new(ledger_identity(&identity), log.clone(), timeline.clone());
        let admissions = Admissions::new(identity.clone(), log);
        let dispatch = Dispatch::new(identity.clone(), ledger.clone(), timeline.clone());
        let owner = Owner::new(
            ledger.clone(),
            admissions.clone(),
            dispatch.clone(),
            timeline.clone(),
        );
        dispatch.set_owner(Arc::downgrade(&owner));
        let dialer = Arc::new(WsDialer::new(secret.clone()));
        let peers = Peers::new(identity.clone(), ledger.clone(), dialer, timeline.clone());
        let router = Router::new(ledger.clone(), owner.clone(), peers.clone());
        let draining = Arc::new(AtomicBool::new(false));

        let callers = Callers::new(
            router,
            ledger.clone(),
            timeline.clone(),
            settings.max_requests,
        );
        let limits = HttpLimits {
            max_connections: settings.max_connections,
            ..HttpLimits::default()
        };
        let callers = HttpServer::start(callers_listener, callers.into_router(), limits)?;
        let operators = Operators::new(
            identity.clone(),
            ledger.clone(),
            timeline.clone(),
            dispatch.registry().clone(),
            draining.clone(),
        );
        let operators = HttpServer::start(
            operators_listener,
            operators.into_router(),
            HttpLimits::default(),
        )?;

        let (link_tx, link_rx) = mpsc::channel(ACCEPT_QUEUE_LEN);
        let sessions = Sessions {
            dispatch,
            peers: peers.clone(),
            owner: owner.clone(),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(ledger.run());
        tasks.spawn(admissions.run());
        tasks.spawn(owner.clone().run());
        tasks.spawn(owner.clone().rebalance_partitions(peers.clone()));
        tasks.spawn(peers.clone().run());
        tasks.spawn(ws::serve(peers_listener, secret, link_tx));
        tasks.spawn(sessions.accept(link_rx));
        log::info!(
            entry:% = identity.name, zone:% = identity.zone, callers:% = callers.addr(),
            operators:% = operators.addr(), peers:% = identity.peer_addr;
            "entry started"
        );
        Ok(Self {
            identity,
            callers,
            operators,
            owner,
            peers,
            timeline,
            draining,
            drain_limit: settings.drain_limit,
            tasks,
        })
    }

    /// Returns the address of the callers' port.
    #[must_use]
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address of the operators' port.
    #[must_use]
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators.addr()
    }

    /// Returns the address of the port for agents and other entries.
    #[must_use]
    pub fn peers_addr(&self) -> SocketAddr {
        self.identity.peer_addr
    }

    /// Returns the timeline of this process.
    #[must_use]
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Stops: hands over the owned partitions, waits for requests in progress and leaves.
    pub async fn close(mut self) {
        self.draining.store(true, Ordering::Relaxed);
        self.peers.drain();
        let closed = timeout(self.drain_limit, self.owner.close(&self.peers));
        if closed.await.is_err() {
            log::warn!(
                entry:% = self.identity.name;
                "drain limit reached before all partitions were handed over"
            );
        }
        self.callers.close(self.drain_limit).await;
        self.peers.close().await;
        self.operators.close(Duration::ZERO).await;
        self.tasks.shutdown().await;
        log::info!(entry:% = self.identity.name; "entry stopped");
    }
}

/// Passes accepted sessions to the component that serves them.
struct Sessions {
    dispatch: Arc<Dispatch>,
    peers: Arc<Peers>,
    owner: Arc<Owner>,
}

impl Sessions {
    async fn accept(self, mut links: mpsc::Receiver<Link>) {
        let mut sessions = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                Some(_) = sessions.join_next(), if !sessions.is_empty() => {}
                link = links.recv() => match link {
                    Some(link) => self.serve(link, &mut sessions),
                    None => return,
                },
            }
        }
    }

    fn serve(&self, mut link: Link, sessions: &mut JoinSet<()>) {
        let dispatch = self.dispatch.clone();
        let peers = self.peers.clone();
        let owner = self.owner.clone();
        sessions.spawn(async move {
            let first = timeout(HELLO_TIMEOUT, link.rx.recv()).await;
            let Ok(Some(Frame::Hello(hello))) = first else {
                log::info!("session closed: first frame is not a hello");
                return;
            };
            match hello.role {
                Role::Agent if hello.protocol != PROTOCOL_VERSION => {
                    // The dispatcher refuses the session. An agent that cannot be used is not
                    // registered.
                    dispatch.serve_agent(hello, link).await;
                }
                Role::Agent => {
                    let (worker, incarnation) = (hello.name.clone(), hello.incarnation);
                    peers.register_agent(&worker, incarnation, &hello.zone);
                    dispatch.serve_agent(hello, link).await;
                    peers.agent_disconnected(&worker, incarnation);
                }
                Role::Entry => peers.serve_peer(hello, link, owner).await,
            }
        });
    }
}

async fn bind(addr: SocketAddr, port: &str) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("cannot listen on {addr} for {port}"))
}

fn ledger_identity(identity: &Identity) -> LedgerIdentity {
    LedgerIdentity {
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        region: identity.region.clone(),
    }
}

/// Returns the microseconds since the Unix epoch, so that each start gets a higher incarnation.
fn new_incarnation() -> Incarnation {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|d| Incarnation::try_from(d.as_micros()).ok())
        .unwrap_or_default()
}
