//! Sessions that this entry dials: one to each other member, as long as it is a member.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::link::CONNECT_TIMEOUT;
use masticcross_wire::{
    Frame, Gather, Hello, Incarnation, Link, LinkError, Member, PROTOCOL_VERSION, Ping, Role,
    SentAfter, ViewVersion,
};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use twox_hash::XxHash3_64;

use super::{PeerError, Peers, Result};

/// Initial backoff before redialing. It doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff before redialing.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The last heartbeat answer.
#[derive(Debug, Clone, Copy)]
struct LastPong {
    nonce: u64,
    at: Instant,
}

/// A session that this entry dialed.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) number: u64,
    pub(super) incarnation: Incarnation,
    tx: mpsc::Sender<Frame>,
    last_pong: Mutex<LastPong>,
    lost: AtomicBool,
}

impl Session {
    fn new(number: u64, incarnation: Incarnation, tx: mpsc::Sender<Frame>) -> Self {
        let last_pong = LastPong {
            nonce: 0,
            at: Instant::now(),
        };
        Self {
            number,
            incarnation,
            tx,
            last_pong: Mutex::new(last_pong),
            lost: AtomicBool::new(false),
        }
    }

    /// Queues a frame. Fails if the queue is full or the session is lost. A request must be
    /// registered as pending before it is sent, so that the loss of the session fails it.
    pub(super) fn send(&self, frame: Frame) -> Result<()> {
        if self.lost.load(Ordering::SeqCst) {
            return Err(PeerError::NotSent);
        }
        self.tx.try_send(frame).map_err(|_| PeerError::NotSent)
    }

    /// Returns the last heartbeat answer and the time since then.
    pub(super) fn sent_after(&self) -> SentAfter {
        let last = *self.last_pong.lock();
        SentAfter {
            pong: last.nonce,
            elapsed_us: u64::try_from(last.at.elapsed().as_micros()).unwrap_or(u64::MAX),
        }
    }

    fn record_pong(&self, nonce: u64) {
        let at = Instant::now();
        *self.last_pong.lock() = LastPong { nonce, at };
    }
}

/// Maintains one session to each other member as members join and leave.
pub(super) async fn maintain_sessions(peers: &Arc<Peers>) {
    let mut states = peers.ledger.watch();
    let mut tasks = JoinSet::new();
    let mut running = BTreeMap::new();
    loop {
        let members = other_members(peers);
        running.retain(
            |name, (member, task): &mut (Member, tokio::task::AbortHandle)| {
                let is_unchanged = members.get(name) == Some(member);
                if !is_unchanged {
                    task.abort();
                }
                is_unchanged
            },
        );
        for (name, member) in members {
            running.entry(name).or_insert_with(|| {
                let task = tasks.spawn(maintain_session(peers.clone(), member.clone()));
                (member, task)
            });
        }
        while tasks.try_join_next().is_some() {}
        if states.changed().await.is_err() {
            return;
        }
    }
}

fn other_members(peers: &Peers) -> BTreeMap<Name, Member> {
    let mut members = peers.ledger.state().members.clone();
    members.remove(&peers.identity.name);
    members
}

/// Dials a member, and redials it whenever the session ends, until the task is aborted.
async fn maintain_session(peers: Arc<Peers>, member: Member) {
    let seed = XxHash3_64::oneshot_with_seed(peers.identity.incarnation, member.name.as_bytes());
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match open(&peers, &member).await {
            Ok((session, link)) => {
                backoff = INITIAL_BACKOFF;
                serve(&peers, &member, session, link).await;
            }
            Err(error) => log::debug!(peer = &*member.name, error:%; "cannot open session"),
        }
        sleep(backoff.mul_f64(rng.random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Dials a member and exchanges hello frames.
async fn open(
    peers: &Peers,
    member: &Member,
) -> std::result::Result<(Arc<Session>, Link), LinkError> {
    let mut link = peers.dialer.dial(member.addr).await?;
    let number = peers.requests.next_session();
    let closed = |code: Code, detail: &str| LinkError::Closed {
        code,
        detail: detail.to_owned(),
    };
    let hello = Frame::Hello(peers.identity.hello(number));
    if link.tx.try_send(hello).is_err() {
        return Err(closed(Code::SlowReader, "cannot send the hello frame"));
    }
    match timeout(CONNECT_TIMEOUT, link.rx.recv()).await {
        Ok(Some(Frame::Hello(hello))) if is_expected(&hello, member) => {
            let session = Session::new(number, member.incarnation, link.tx.clone());
            Ok((Arc::new(session), link))
        }
        Ok(Some(Frame::Hello(_))) => Err(closed(Code::Superseded, "another process answered")),
        Ok(Some(Frame::Goodbye(goodbye))) => Err(closed(goodbye.code, &goodbye.detail)),
        Ok(Some(_)) => Err(closed(Code::MalformedFrame, "first frame is not a hello")),
        Ok(None) => Err(closed(
            Code::SessionTimeout,
            "closed before the hello frame",
        )),
        Err(_) => Err(closed(Code::SessionTimeout, "no hello frame in time")),
    }
}

fn is_expected(hello: &Hello, member: &Member) -> bool {
    hello.protocol == PROTOCOL_VERSION
        && hello.role == Role::Entry
        && hello.name == member.name
        && hello.incarnation == member.incarnation
}

/// Guard that registers a session. When the session's task ends or is aborted, it removes the
/// session and fails its pending requests.
struct RegisteredSession<'a> {
    peers: &'a Peers,
    name: &'a Name,
    session: Arc<Session>,
}

impl<'a> RegisteredSession<'a> {
    fn new(peers: &'a Peers, name: &'a Name, session: Arc<Session>) -> Self {
        let mut sessions = peers.sessions.write();
        sessions.insert(name.clone(), session.clone());
        drop(sessions);
        peers.sessions_changed.send_modify(|count| *count += 1);
        Self {
            peers,
            name,
            session,
        }
    }
}

impl Drop for RegisteredSession<'_> {
    fn drop(&mut self) {
        self.session.lost.store(true, Ordering::SeqCst);
        let mut sessions = self.peers.sessions.write();
        let current = sessions.get(self.name).map(|s| s.number);
        if current == Some(self.session.number) {
            sessions.remove(self.name);
        }
        drop(sessions);
        self.peers.requests.session_lost(self.session.number);
        self.peers.sessions_changed.send_modify(|count| *count += 1);
    }
}

/// Serves a session until it is lost: sends heartbeats and handles answers.
async fn serve(peers: &Peers, member: &Member, session: Arc<Session>, mut link: Link) {
    let registration = RegisteredSession::new(peers, &member.name, session);
    let session = &registration.session;
    peers
        .liveness
        .record_contact(&member.name, member.incarnation);
    if peers.is_draining(&peers.identity.member()) {
        let _ = session.send(Frame::Drain);
    }
    let mut nonce = 0;
    let mut last_received = Instant::now();
    let mut next_ping = last_received;
    loop {
        tokio::select! {
            biased;
            frame = link.rx.recv() => match frame {
                Some(frame) => {
                    last_received = Instant::now();
                    if !handle(peers, member, session, frame) {
                        return;
                    }
                }
                None => return,
            },
            () = sleep_until(next_ping) => {
                let times = peers.ledger.times();
                next_ping = Instant::now() + times.heartbeat();
                if last_received.elapsed() > times.suspect_after() {
                    log::info!(peer = &*member.name; "session lost: peer is unresponsive");
                    return;
                }
                nonce += 1;
                if session.send(ping(peers, nonce)).is_err() {
                    return;
                }
            }
        }
    }
}

fn ping(peers: &Peers, nonce: u64) -> Frame {
    Frame::Ping(Ping {
        nonce,
        known: ViewVersion::default(),
        timestamp: peers.timeline.timestamp(),
    })
}

/// Handles a frame. Returns false if the session must be closed.
fn handle(peers: &Peers, member: &Member, session: &Session, frame: Frame) -> bool {
    match frame {
        Frame::Pong(pong) => {
            peers.timeline.observe(pong.timestamp);
            peers
                .liveness
                .record_contact(&member.name, member.incarnation);
            session.record_pong(pong.nonce);
        }
        Frame::Reply(reply) => {
            peers.timeline.observe(reply.timestamp);
            let requests = &peers.requests;
            requests.answered(session.number, reply.id, reply.answer);
        }
        Frame::HandoverReceived(Gather { partition, epoch }) => {
            peers
                .requests
                .handover_received(session.number, (partition, epoch));
        }
        Frame::AgentContactReply {
            queried,
            in_contact,
        } => peers
            .agents
            .record_answer(&member.name, &queried, &in_contact),
        Frame::Goodbye(goodbye) => {
            log::info!(peer = &*member.name, detail = &*goodbye.detail; "session closed");
            return false;
        }
        _ => {
            log::warn!(peer = &*member.name; "session closed: unexpected frame");
            return false;
        }
    }
    true
}
