//! Agent sessions, at most one for each worker.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticcross_basics::{Code, Name, Partition};
use masticcross_wire::{Frame, Goodbye, Hello};
use parking_lot::{Mutex, MutexGuard, RwLock};
use tokio::sync::{mpsc, watch};

use super::metrics::Metrics;
use crate::owner::AgentId;

/// Number of queued frames for an agent at which no more task frames are added, so that control
/// frames are not delayed by many task frames.
const MAX_TASK_BACKLOG_FRAMES: usize = 64;

/// The session of one agent.
pub struct Session {
    /// The agent.
    pub agent: AgentId,
    /// Number of the session within the agent's incarnation.
    pub number: u64,
    /// Availability zone of the worker.
    pub zone: Name,
    tx: mpsc::Sender<Frame>,
    metrics: Metrics,
    open: Mutex<bool>,
    close_code: watch::Sender<Option<Code>>,
    services: Mutex<BTreeSet<Name>>,
    gathering: Mutex<BTreeSet<Partition>>,
}

impl Session {
    /// Creates a session from an agent's hello.
    #[must_use]
    pub fn new(hello: &Hello, tx: mpsc::Sender<Frame>, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            agent: AgentId {
                worker: hello.name.clone(),
                incarnation: hello.incarnation,
            },
            number: hello.session,
            zone: hello.zone.clone(),
            tx,
            metrics,
            open: Mutex::new(true),
            close_code: watch::Sender::new(None),
            services: Mutex::default(),
            gathering: Mutex::default(),
        })
    }

    /// Locks the open state of the session, so that it cannot end while the guard exists. If the
    /// guard is true, frames of the session may be handled and tasks may be sent.
    pub fn lock_open(&self) -> MutexGuard<'_, bool> {
        self.open.lock()
    }

    /// Marks the session as ended. Returns false if it had already ended.
    #[must_use]
    pub fn end(&self) -> bool {
        std::mem::replace(&mut *self.open.lock(), false)
    }

    /// Sends a frame without blocking. Returns false if it cannot be sent; if that is because the
    /// send queue is full, closes the session.
    pub fn send(&self, frame: Frame) -> bool {
        match self.tx.try_reserve() {
            Ok(permit) => {
                self.metrics.sent(&frame);
                permit.send(frame);
                true
            }
            Err(mpsc::error::TrySendError::Full(())) => {
                self.close(Code::SlowReader);
                false
            }
            Err(mpsc::error::TrySendError::Closed(())) => false,
        }
    }

    /// Sends the final frame, unless the send queue is full.
    pub fn send_goodbye(&self, code: Code) {
        // If the frame cannot be sent, the agent still sees that the connection was closed.
        let _ = self.tx.try_send(Frame::Goodbye(Goodbye {
            code,
            detail: code.title().to_owned(),
        }));
    }

    /// Requests that the session closes with a code. Only the first request counts.
    pub fn close(&self, code: Code) {
        self.close_code.send_if_modified(|current| {
            let first = current.is_none();
            current.get_or_insert(code);
            first
        });
    }

    /// Returns a receiver for the code with which the session should close.
    #[must_use]
    pub fn close_code(&self) -> watch::Receiver<Option<Code>> {
        self.close_code.subscribe()
    }

    /// Returns true if so many frames are queued that more task frames would delay control frames.
    #[must_use]
    pub fn is_backlogged(&self) -> bool {
        self.tx.max_capacity() - self.tx.capacity() >= MAX_TASK_BACKLOG_FRAMES
    }

    /// Replaces the services that the agent serves, and returns those that it no longer serves.
    pub fn replace_services(&self, services: BTreeSet<Name>) -> Vec<Name> {
        let mut current = self.services.lock();
        let removed = current.difference(&services).cloned().collect();
        *current = services;
        removed
    }

    /// Lists the services that the agent serves.
    #[must_use]
    pub fn services(&self) -> Vec<Name> {
        self.services.lock().iter().cloned().collect()
    }

    /// Records that the agent was asked for its attempts of a partition.
    pub fn gather_started(&self, partition: Partition) {
        self.gathering.lock().insert(partition);
    }

    /// Records that the agent has sent all its attempts of a partition.
    pub fn gather_ended(&self, partition: Partition) {
        self.gathering.lock().remove(&partition);
    }

    /// Returns true while the agent has not answered a gather request completely. A task sent in
    /// that time could be missing from the answer, and look as if it had never arrived.
    #[must_use]
    pub fn is_gathering(&self) -> bool {
        !self.gathering.lock().is_empty()
    }

    fn is_newer_than(&self, other: &Self) -> bool {
        (self.agent.incarnation, self.number) > (other.agent.incarnation, other.number)
    }
}

/// Result of opening a session.
pub enum OpenResult {
    /// The session is now the worker's session.
    Opened,
    /// An older session of the worker has to end first.
    Replaces(Arc<Session>),
    /// The worker has a newer session.
    Superseded,
}

/// Open sessions by worker.
#[derive(Default)]
pub struct Sessions {
    by_worker: RwLock<BTreeMap<Name, Arc<Session>>>,
}

impl Sessions {
    /// Adds a session if its worker has no other one.
    pub fn open(&self, session: &Arc<Session>) -> OpenResult {
        let mut by_worker = self.by_worker.write();
        match by_worker.get(&session.agent.worker) {
            Some(other) if session.is_newer_than(other) => OpenResult::Replaces(other.clone()),
            Some(_) => OpenResult::Superseded,
            None => {
                by_worker.insert(session.agent.worker.clone(), session.clone());
                OpenResult::Opened
            }
        }
    }

    /// Removes a session.
    pub fn remove(&self, session: &Arc<Session>) {
        let mut by_worker = self.by_worker.write();
        let current = by_worker.get(&session.agent.worker);
        if current.is_some_and(|c| Arc::ptr_eq(c, session)) {
            by_worker.remove(&session.agent.worker);
        }
    }

    /// Returns the session of a worker.
    #[must_use]
    pub fn of_worker(&self, worker: &Name) -> Option<Arc<Session>> {
        self.by_worker.read().get(worker).cloned()
    }

    /// Returns the session of an agent.
    #[must_use]
    pub fn of_agent(&self, agent: &AgentId) -> Option<Arc<Session>> {
        let session = self.of_worker(&agent.worker)?;
        (session.agent == *agent).then_some(session)
    }

    /// Lists all sessions in order of the worker names.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Session>> {
        self.by_worker.read().values().cloned().collect()
    }
}
