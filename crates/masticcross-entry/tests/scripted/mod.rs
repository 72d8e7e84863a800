//! Test harness with one real entry and scripted entries, whose frames the test writes itself.

#![allow(dead_code, reason = "each test program uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_basics::timeline::{Timeline, Timestamp};
use masticcross_basics::{Epoch, JobKey, Name, Partition};
use masticcross_config::samples;
use masticcross_entry::Identity;
use masticcross_entry::admission::Admissions;
use masticcross_entry::dispatch::Dispatch;
use masticcross_entry::owner::Owner;
use masticcross_entry::peers::Peers;
use masticcross_entry::router::Router;
use masticcross_ledger::{
    Ledger, LedgerIdentity, PartitionClaim, PartitionsChange, PartitionsRecord, publish,
};
use masticcross_log::Log;
use masticcross_standins::log::{MemoryLog, MemoryLogSettings};
use masticcross_wire::{
    AgentIncarnation, BackendInfo, Dialer, Frame, Hello, JobAnswer, JobRequest, Link, LinkError,
    Member, PROTOCOL_VERSION, Pong, Reply, Role, Submit,
};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

pub const ENTRY_NAME: &str = "a";
const PARTITIONS_STREAM: &str = "partitions.perth";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Answer of a scripted entry to a query about which agents it is in contact with.
#[derive(Clone, Copy, PartialEq)]
pub enum ContactScript {
    InContact,
    NoContact,
    NoAnswer,
}

/// Dialer that connects the real entry to the scripted entries.
#[derive(Clone, Default)]
struct ScriptedDialer {
    links: Arc<Mutex<BTreeMap<SocketAddr, mpsc::Sender<Link>>>>,
}

impl Dialer for ScriptedDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, Result<Link, LinkError>> {
        let (local, remote) = Link::pair();
        let links = self.links.lock().get(&addr).cloned();
        Box::pin(async move {
            let refused = LinkError::Connect {
                addr,
                reason: "no listener".to_owned(),
            };
            let links = links.ok_or(refused.clone())?;
            links.send(remote).await.map_err(|_| refused)?;
            Ok(local)
        })
    }
}

/// The real entry and its log.
pub struct Harness {
    pub log: MemoryLog,
    pub identity: Identity,
    pub ledger: Arc<Ledger>,
    pub owner: Arc<Owner>,
    pub peers: Arc<Peers>,
    pub router: Arc<Router>,
    dispatch: Arc<Dispatch>,
    scripted_dialer: ScriptedDialer,
}

impl Harness {
    /// Starts the entry without its sessions to other entries. It reads the log but does not join.
    pub async fn new() -> Self {
        let log = MemoryLog::new(MemoryLogSettings::default());
        let published = publish(&log, 0, "ann", samples::GUILD).await;
        published.expect("a configuration");
        let identity = Identity {
            name: Name::from(ENTRY_NAME),
            incarnation: 1,
            region: Name::from("perth"),
            zone: Name::from("perth-north"),
            peer_addr: addr_of(ENTRY_NAME),
        };
        let timeline = Timeline::new(identity.name.clone(), 1000);
        let ledger_identity = LedgerIdentity {
            name: identity.name.clone(),
            incarnation: 1,
            region: identity.region.clone(),
        };
        let shared: Arc<MemoryLog> = Arc::new(log.clone());
        let ledger = Ledger::new(ledger_identity, shared.clone(), timeline.clone());
        let admissions = Admissions::new(identity.clone(), shared);
        let dispatch = Dispatch::new(identity.clone(), ledger.clone(), timeline.clone());
        let owner = Owner::new(
            ledger.clone(),
            admissions.clone(),
            dispatch.clone(),
            timeline.clone(),
        );
        dispatch.set_owner(Arc::downgrade(&owner));
        let scripted_dialer = ScriptedDialer::default();
        let dialer = Arc::new(scripted_dialer.clone());
        let peers = Peers::new(identity.clone(), ledger.clone(), dialer, timeline);
        let router = Router::new(ledger.clone(), owner.clone(), peers.clone());
        tokio::spawn(ledger.clone().run());
        tokio::spawn(admissions.run());
        tokio::spawn(owner.clone().run());
        sleep(Duration::from_secs(1)).await;
        Self {
            log,
            identity,
            ledger,
            owner,
            peers,
            router,
            dispatch,
            scripted_dialer,
        }
    }

    /// Starts the sessions to other entries and the membership, and waits until the entry has
    /// joined and claimed its partitions.
    pub async fn run(&self) {
        tokio::spawn(self.peers.clone().run());
        sleep(Duration::from_secs(2)).await;
    }

    /// Adds an agent whose backend server never starts a task, so that jobs remain pending.
    pub async fn add_agent(&self) -> Link {
        let (local, remote) = Link::pair();
        let hello = Hello {
            role: Role::Agent,
            ..hello("worker-1")
        };
        let dispatch = self.dispatch.clone();
        self.peers
            .register_agent(&hello.name, hello.incarnation, &hello.zone);
        tokio::spawn(async move { dispatch.serve_agent(hello, remote).await });
        let backends = vec![BackendInfo {
            name: Name::from("backend-1"),
            service: Name::from("quote-desk"),
            slots: 8,
        }];
        local
            .tx
            .send(Frame::Backends(backends))
            .await
            .expect("an open session");
        sleep(Duration::from_millis(500)).await;
        local
    }

    /// Adds a scripted entry that is a member.
    pub async fn add_peer(&self, name: &str, contact_script: ContactScript) -> ScriptedEntry {
        let (links, accepted) = mpsc::channel(16);
        self.scripted_dialer
            .links
            .lock()
            .insert(addr_of(name), links);
        let member = member(name);
        self.append(PartitionsChange::Join { member }).await;
        let (requests, received) = mpsc::channel(64);
        tokio::spawn(accept(Name::from(name), accepted, requests, contact_script));
        ScriptedEntry { received }
    }

    /// Appends a change to the log as another entry would.
    pub async fn append(&self, change: PartitionsChange) -> u64 {
        let record = PartitionsRecord::Changes {
            id: rand::random(),
            changes: vec![change],
        };
        let data = serde_json::to_string(&record).expect("a record");
        let offset = self.log.append(PARTITIONS_STREAM, data.into()).await;
        sleep(Duration::from_millis(20)).await;
        offset.expect("the log accepts the record")
    }

    /// Makes a member the owner of all partitions.
    pub async fn assign_all_to(&self, name: &str) -> Epoch {
        let state = self.ledger.state();
        let partitions = Partition::all()
            .map(|partition| PartitionClaim {
                partition,
                previous: state.ownership(partition).epoch,
            })
            .collect();
        let claim = PartitionsChange::Claim {
            owner: Name::from(name),
            incarnation: 1,
            partitions,
        };
        Epoch(self.append(claim).await + 1)
    }

    /// Opens a session to the real entry as another entry would.
    pub fn dial(&self, name: &str, incarnation: u64, session: u64) -> Link {
        self.dial_with(Hello {
            incarnation,
            session,
            ..hello(name)
        })
    }

    pub fn dial_with(&self, hello: Hello) -> Link {
        let (local, remote) = Link::pair();
        let session = self
            .peers
            .clone()
            .serve_peer(hello, remote, self.owner.clone());
        tokio::spawn(session);
        local
    }

    /// Returns true if the real entry has the job in progress.
    pub async fn has_job(&self, key: &JobKey) -> bool {
        let epoch = self.ledger.owned_epoch(key.partition());
        let epoch = epoch.expect("the entry owns the partition");
        let answer = self.owner.query(epoch, key.clone(), false).await;
        matches!(answer, JobAnswer::Running(_))
    }
}

/// A request received by a scripted entry, with the means to answer it.
pub struct ReceivedSubmit {
    pub submit: Submit,
    pub tx: mpsc::Sender<Frame>,
    pub close: mpsc::Sender<()>,
}

impl ReceivedSubmit {
    pub async fn reply(&self, id: u64, answer: JobAnswer) {
        let timestamp = Timestamp::default();
        let reply = Frame::Reply(Reply {
            id,
            answer,
            timestamp,
        });
        let _ = self.tx.send(reply).await;
    }

    pub async fn answer(&self, answer: JobAnswer) {
        self.reply(self.submit.id, answer).await;
    }

    /// Closes the session on which the request arrived.
    pub async fn close(&self) {
        let _ = self.close.send(()).await;
    }
}

/// A scripted entry.
pub struct ScriptedEntry {
    received: mpsc::Receiver<ReceivedSubmit>,
}

impl ScriptedEntry {
    pub async fn next(&mut self) -> ReceivedSubmit {
        let next = timeout(REQUEST_TIMEOUT, self.received.recv()).await;
        next.expect("a request in time").expect("a request")
    }

    pub fn is_idle(&self) -> bool {
        self.received.is_empty()
    }
}

async fn accept(
    name: Name,
    mut links: mpsc::Receiver<Link>,
    requests: mpsc::Sender<ReceivedSubmit>,
    contact_script: ContactScript,
) {
    while let Some(link) = links.recv().await {
        tokio::spawn(serve(name.clone(), link, requests.clone(), contact_script));
    }
}

async fn serve(
    name: Name,
    link: Link,
    requests: mpsc::Sender<ReceivedSubmit>,
    contact_script: ContactScript,
) {
    let Link { tx, mut rx } = link;
    let (close, mut closed) = mpsc::channel(1);
    loop {
        let frame = tokio::select! {
            biased;
            _ = closed.recv() => return,
            frame = rx.recv() => frame,
        };
        let answer = match frame {
            Some(Frame::Hello(_)) => Frame::Hello(hello(&name)),
            Some(Frame::Ping(ping)) => Frame::Pong(Pong {
                nonce: ping.nonce,
                age_ms: None,
                view: None,
                timestamp: Timestamp::default(),
            }),
            Some(Frame::AgentContactQuery(queried))
                if contact_script != ContactScript::NoAnswer =>
            {
                Frame::AgentContactReply {
                    in_contact: agents_in_contact(&queried, contact_script),
                    queried,
                }
            }
            Some(Frame::Submit(submit)) => {
                let (tx, close) = (tx.clone(), close.clone());
                let _ = requests.send(ReceivedSubmit { submit, tx, close }).await;
                continue;
            }
            Some(_) => continue,
            None => return,
        };
        let _ = tx.send(answer).await;
    }
}

fn agents_in_contact(
    queried: &[AgentIncarnation],
    contact_script: ContactScript,
) -> Vec<AgentIncarnation> {
    match contact_script {
        ContactScript::InContact => queried.to_vec(),
        ContactScript::NoContact | ContactScript::NoAnswer => Vec::new(),
    }
}

pub fn hello(name: &str) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        role: Role::Entry,
        name: Name::from(name),
        incarnation: 1,
        zone: Name::from("perth-north"),
        session: 1,
    }
}

pub fn member(name: &str) -> Member {
    Member {
        name: Name::from(name),
        incarnation: 1,
        addr: addr_of(name),
        zone: Name::from("perth-north"),
    }
}

fn addr_of(name: &str) -> SocketAddr {
    let number = u16::from(name.as_bytes()[0]);
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

pub fn request(job: &str, deadline_ms: u32) -> JobRequest {
    JobRequest {
        key: JobKey::new("quote-desk", job).expect("valid names"),
        team: Name::from("desk"),
        repeatable: true,
        deadline_ms,
        tasks: vec!["{}".into()],
    }
}
