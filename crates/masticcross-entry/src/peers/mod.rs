//! Sessions with other entries, and who owns which partition.
//!
//! - `outbound`: the sessions that this entry dials, on which its requests go.
//! - `inbound`: the sessions that other entries dial, on which their requests arrive.
//! - `requests`: requests that wait for an answer.
//! - `liveness`: which members and agents are heard.
//! - `membership`: joins, finds lost members, and claims partitions.
//! - `agents`: registers agents in the log.

mod agents;
mod inbound;
mod liveness;
mod membership;
mod outbound;
mod preference;
mod requests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use masticcross_basics::timeline::{Event, EventKind, Timeline};
use masticcross_basics::{Code, Name, Partition};
use masticcross_ledger::{Ledger, PartitionsChange};
use masticcross_wire::{
    Dialer, Frame, Goodbye, Handover, Incarnation, JobAnswer, Member, Query, Submit,
};
use parking_lot::{Mutex, RwLock};
use thiserror::Error;
use tokio::sync::{Notify, watch};

use crate::Identity;

use agents::Agents;
use inbound::Inbound;
use liveness::Liveness;
use outbound::Session;
use requests::Requests;

/// Why another entry gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The request was not sent and never will be.
    #[error("request was not sent")]
    NotSent,
    /// The request may have arrived.
    #[error("session was lost before the answer came")]
    Lost,
}

/// Longest time for which the answer to a question is waited for.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a request to another entry.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Sessions with the other members, and the decisions about membership.
pub struct Peers {
    identity: Identity,
    ledger: Arc<Ledger>,
    dialer: Arc<dyn Dialer>,
    timeline: Timeline,
    sessions: RwLock<BTreeMap<Name, Arc<Session>>>,
    sessions_changed: watch::Sender<u64>,
    requests: Requests,
    inbound: Mutex<BTreeMap<Name, Arc<Inbound>>>,
    liveness: Liveness,
    agents: Agents,
    draining: AtomicBool,
    closed: AtomicBool,
    ended: Notify,
}

impl Peers {
    /// Creates the sessions' table, empty.
    #[must_use]
    pub fn new(
        identity: Identity,
        ledger: Arc<Ledger>,
        dialer: Arc<dyn Dialer>,
        timeline: Timeline,
    ) -> Arc<Self> {
        Arc::new(Self {
            identity,
            ledger,
            dialer,
            timeline,
            sessions: RwLock::default(),
            sessions_changed: watch::Sender::new(0),
            requests: Requests::default(),
            inbound: Mutex::default(),
            liveness: Liveness::default(),
            agents: Agents::default(),
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            ended: Notify::new(),
        })
    }

    /// Joins, keeps sessions to all members, finds lost members, claims partitions, and registers
    /// agents, until [`Self::close`].
    pub async fn run(self: Arc<Self>) {
        tokio::select! {
            biased;
            () = self.ended.notified() => {}
            () = outbound::keep_sessions(&self) => {}
            () = membership::decide_while_running(&self) => {}
            () = agents::register_while_running(&self) => {}
        }
        self.sessions.write().clear();
    }

    /// Sends a job to its owner and waits for the answer. The request's number is filled in here.
    ///
    /// # Errors
    /// Says whether the request may have arrived.
    pub async fn submit(&self, to: &Member, mut submit: Submit) -> Result<JobAnswer> {
        let session = self.session_to(to)?;
        let waiting = self.requests.start_answer(session.number)?;
        submit.id = waiting.id();
        submit.after = session.sent_after();
        submit.timestamp = self.timeline.timestamp();
        let forwarded = Event::new(EventKind::Forwarded)
            .job(&submit.request.key)
            .partition(submit.request.partition())
            .detail(format!("to entry {}", to.name));
        session.send(Frame::Submit(submit))?;
        self.timeline.record(forwarded);
        waiting.answer().await
    }

    /// Sends a question to the owner of a job and waits for the answer.
    ///
    /// # Errors
    /// Says whether the request may have arrived.
    pub async fn query(&self, to: &Member, mut query: Query) -> Result<JobAnswer> {
        let session = self.session_to(to)?;
        let waiting = self.requests.start_answer(session.number)?;
        query.id = waiting.id();
        query.after = session.sent_after();
        session.send(Frame::Query(query))?;
        waiting.answer().await
    }

    /// Sends part of a table to the next owner. After the frame with `last`, waits until the next
    /// owner has taken all of it.
    ///
    /// # Errors
    /// Says whether the frame may have arrived.
    pub async fn hand_over(&self, to: &Name, handover: Handover) -> Result<()> {
        let session = self.sessions.read().get(to).cloned();
        let session = session.ok_or(PeerError::NotSent)?;
        if !handover.last {
            return session.send(Frame::Handover(handover));
        }
        let key = (handover.partition, handover.epoch);
        let waiting = self.requests.start_handover(session.number, key)?;
        session.send(Frame::Handover(handover))?;
        waiting.taken().await
    }

    /// Returns the member that should own a partition: the choice of rendezvous hashing among the
    /// members that do not shut down. Returns nothing if it is another one without a session, or
    /// while this entry shuts down.
    #[must_use]
    pub fn preferred(&self, partition: Partition) -> Option<Member> {
        if self.draining.load(Ordering::Acquire) {
            return None;
        }
        let state = self.ledger.state();
        let candidates = state.members.values().filter(|m| !self.is_draining(m));
        let preferred = preference::choose(partition, candidates)?;
        let is_me = preferred.name == self.identity.name;
        (is_me || self.session_to(preferred).is_ok()).then(|| preferred.clone())
    }

    /// Returns the member to which this entry should hand a partition over when it stops: the
    /// choice of rendezvous hashing among the other members with which it has a session.
    #[must_use]
    pub fn successor(&self, partition: Partition) -> Option<Member> {
        let state = self.ledger.state();
        let candidates = state
            .members
            .values()
            .filter(|m| m.name != self.identity.name)
            .filter(|m| !self.is_draining(m) && self.session_to(m).is_ok());
        preference::choose(partition, candidates).cloned()
    }

    /// Returns a receiver that changes whenever a session to another member begins or ends.
    #[must_use]
    pub fn watch_sessions(&self) -> watch::Receiver<u64> {
        self.sessions_changed.subscribe()
    }

    /// Registers an agent that connected here in the log, if it is not registered yet. It stays
    /// registered at least while it is connected.
    pub fn register_agent(&self, worker: &Name, incarnation: Incarnation, zone: &Name) {
        self.agents.connected(worker, incarnation, zone);
    }

    /// Learns that the session of an agent ended. Its registration ends once no entry has heard it
    /// for the suspicion time and the fence.
    pub fn agent_lost(&self, worker: &Name, incarnation: Incarnation) {
        self.agents.disconnected(worker, incarnation);
    }

    /// Tells the other members that this entry shuts down, so that it is given no more partitions.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        for session in self.sessions.read().values() {
            let _ = session.send(Frame::Drain);
        }
    }

    /// Leaves: records it in the log and ends all sessions. Partitions are to be handed over
    /// before.
    pub async fn close(&self) {
        self.drain();
        self.closed.store(true, Ordering::Release);
        let leave = PartitionsChange::Leave {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
        };
        if let Err(error) = self.ledger.append(leave).await {
            log::warn!(error:%; "leaving is not recorded in the log");
        }
        let goodbye = Goodbye {
            code: Code::ShuttingDown,
            detail: "entry shut down".to_owned(),
        };
        for session in self.sessions.read().values() {
            let _ = session.send(Frame::Goodbye(goodbye.clone()));
        }
        self.ended.notify_one();
    }

    fn session_to(&self, to: &Member) -> Result<Arc<Session>> {
        let sessions = self.sessions.read();
        let session = sessions.get(&to.name).ok_or(PeerError::NotSent)?;
        if session.incarnation != to.incarnation {
            return Err(PeerError::NotSent);
        }
        Ok(session.clone())
    }

    fn is_draining(&self, member: &Member) -> bool {
        if member.name == self.identity.name {
            return self.draining.load(Ordering::Acquire);
        }
        self.liveness.is_draining(&member.name, member.incarnation)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}
