//! Sessions with other entries, membership, and ownership of partitions.
//!
//! - `outbound`: sessions that this entry dials and on which it sends its requests.
//! - `inbound`: sessions that other entries dial and on which their requests arrive.
//! - `requests`: requests with a pending answer.
//! - `liveness`: time of the last contact with each member.
//! - `membership`: joins, detects lost members and claims partitions.
//! - `agents`: registers connected agents in the log and removes lost ones.

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
use requests::PendingRequests;

/// Reason why a request to another entry got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The request was not sent and will not be sent.
    #[error("request was not sent")]
    NotSent,
    /// The session was lost before the answer arrived. The request may have been received.
    #[error("session was lost before the answer arrived")]
    SessionLost,
}

/// Timeout of a query.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a request to another entry.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Sessions with the other members, and this entry's part in the membership.
pub struct Peers {
    identity: Identity,
    ledger: Arc<Ledger>,
    dialer: Arc<dyn Dialer>,
    timeline: Timeline,
    sessions: RwLock<BTreeMap<Name, Arc<Session>>>,
    sessions_changed: watch::Sender<u64>,
    requests: PendingRequests,
    inbound: Mutex<BTreeMap<Name, Arc<Inbound>>>,
    liveness: Liveness,
    agents: Agents,
    draining: AtomicBool,
    closed: AtomicBool,
    shutdown: Notify,
}

impl Peers {
    /// Creates the peers of an entry, without sessions.
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
            requests: PendingRequests::default(),
            inbound: Mutex::default(),
            liveness: Liveness::default(),
            agents: Agents::default(),
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            shutdown: Notify::new(),
        })
    }

    /// Joins, maintains sessions to all members, detects lost members, claims partitions and
    /// registers agents, until [`Self::close`] is called.
    pub async fn run(self: Arc<Self>) {
        tokio::select! {
            biased;
            () = self.shutdown.notified() => {}
            () = outbound::maintain_sessions(&self) => {}
            () = membership::monitor_membership(&self) => {}
            () = agents::maintain_registrations(&self) => {}
        }
        self.sessions.write().clear();
    }

    /// Sends a job to its owner and waits for the answer. Sets the number of the request, the time
    /// since the last heartbeat answer and the timestamp.
    ///
    /// # Errors
    /// Returns an error that says whether the request may have arrived.
    pub async fn submit(&self, to: &Member, mut submit: Submit) -> Result<JobAnswer> {
        let session = self.session_to(to)?;
        let pending = self.requests.expect_answer(session.number)?;
        submit.id = pending.id();
        submit.after = session.sent_after();
        submit.timestamp = self.timeline.timestamp();
        let forwarded = Event::new(EventKind::Forwarded)
            .job(&submit.request.key)
            .partition(submit.request.partition())
            .detail(format!("to entry {}", to.name));
        session.send(Frame::Submit(submit))?;
        self.timeline.record(forwarded);
        pending.answer().await
    }

    /// Sends a query to the owner of a job and waits for the answer.
    ///
    /// # Errors
    /// Returns an error that says whether the request may have arrived.
    pub async fn query(&self, to: &Member, mut query: Query) -> Result<JobAnswer> {
        let session = self.session_to(to)?;
        let pending = self.requests.expect_answer(session.number)?;
        query.id = pending.id();
        query.after = session.sent_after();
        session.send(Frame::Query(query))?;
        pending.answer().await
    }

    /// Sends part of a table to the next owner. After the frame with `last`, waits until the next
    /// owner has received the complete table.
    ///
    /// # Errors
    /// Returns an error that says whether the frame may have arrived.
    pub async fn hand_over(&self, to: &Name, handover: Handover) -> Result<()> {
        let session = self.sessions.read().get(to).cloned();
        let session = session.ok_or(PeerError::NotSent)?;
        if !handover.last {
            return session.send(Frame::Handover(handover));
        }
        let key = (handover.partition, handover.epoch);
        let pending = self.requests.expect_handover(session.number, key)?;
        session.send(Frame::Handover(handover))?;
        pending.received().await
    }

    /// Returns the preferred owner of a partition, chosen by rendezvous hashing among the members
    /// that are not shutting down. Returns `None` if it is another member without a session, or
    /// while this entry is shutting down.
    #[must_use]
    pub fn preferred(&self, partition: Partition) -> Option<Member> {
        if self.draining.load(Ordering::Acquire) {
            return None;
        }
        let state = self.ledger.state();
        let candidates = state.members.values().filter(|m| !self.is_draining(m));
        let preferred = preference::choose(partition, candidates)?;
        let is_this_entry = preferred.name == self.identity.name;
        (is_this_entry || self.session_to(preferred).is_ok()).then(|| preferred.clone())
    }

    /// Returns the member to which this entry should hand over a partition when it stops, chosen by
    /// rendezvous hashing among the other members with which it has a session.
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

    /// Returns a receiver that is notified whenever a session to another member opens or closes.
    #[must_use]
    pub fn watch_sessions(&self) -> watch::Receiver<u64> {
        self.sessions_changed.subscribe()
    }

    /// Registers an agent that connected to this entry in the log, unless it is registered already.
    /// It remains registered at least while it is connected.
    pub fn register_agent(&self, worker: &Name, incarnation: Incarnation, zone: &Name) {
        self.agents.session_opened(worker, incarnation, zone);
    }

    /// Records that a session of an agent closed. The agent is deregistered once no entry has been
    /// in contact with it for the suspicion time plus the fence.
    pub fn agent_disconnected(&self, worker: &Name, incarnation: Incarnation) {
        self.agents.session_closed(worker, incarnation);
    }

    /// Announces to the other members that this entry is shutting down, so that it gets no more
    /// partitions.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        for session in self.sessions.read().values() {
            let _ = session.send(Frame::Drain);
        }
    }

    /// Records in the log that this entry leaves, and closes all sessions. Its partitions must have
    /// been handed over before.
    pub async fn close(&self) {
        self.drain();
        self.closed.store(true, Ordering::Release);
        let leave = PartitionsChange::Leave {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
        };
        if let Err(error) = self.ledger.append(leave).await {
            log::warn!(error:%; "cannot record the departure in the log");
        }
        let goodbye = Goodbye {
            code: Code::ShuttingDown,
            detail: "entry shut down".to_owned(),
        };
        for session in self.sessions.read().values() {
            let _ = session.send(Frame::Goodbye(goodbye.clone()));
        }
        self.shutdown.notify_one();
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
