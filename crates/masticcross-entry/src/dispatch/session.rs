//! Sessions of agents, at most one for each worker.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticcross_basics::{Code, Name, Partition};
use masticcross_wire::{Frame, Goodbye, Hello};
use parking_lot::{Mutex, MutexGuard, RwLock};
use tokio::sync::{mpsc, watch};

use super::metrics::Metrics;
use crate::owner::AgentId;

/// Frames waiting towards an agent beyond which no task is sent, so that control frames never wait
/// behind many task frames.
const MAX_TASK_BACKLOG: usize = 64;

/// The session of one agent.
pub struct Session {
    /// The agent.
    pub agent: AgentId,
    /// Number of the session in the agent's incarnation.
    pub number: u64,
    /// Availability zone of the worker.
    pub zone: Name,
    tx: mpsc::Sender<Frame>,
    metrics: Metrics,
    open: Mutex<bool>,
    closing: watch::Sender<Option<Code>>,
    services: Mutex<BTreeSet<Name>>,
    gathering: Mutex<BTreeSet<Partition>>,
}

impl Session {
    /// Creates the session that a hello announces.
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
            closing: watch::Sender::new(None),
            services: Mutex::default(),
            gathering: Mutex::default(),
        })
    }

    /// Locks the session against its end. While the guard is held and true, frames of the session
    /// may be handled and tasks may be sent.
    pub fn lock_open(&self) -> MutexGuard<'_, bool> {
        self.open.lock()
    }

    /// Marks the session as ended. Returns true the first time.
    #[must_use]
    pub fn end(&self) -> bool {
        std::mem::replace(&mut *self.open.lock(), false)
    }

    /// Sends a frame without waiting. If the queue is full, the session closes.
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

    /// Sends the last frame, as far as there is room for it.
    pub fn send_goodbye(&self, code: Code) {
        // Without room, or without a reader, the closed connection says enough.
        let _ = self.tx.try_send(Frame::Goodbye(Goodbye {
            code,
            detail: code.title().to_owned(),
        }));
    }

    /// Asks the reader of the session to close it.
    pub fn close(&self, code: Code) {
        self.closing.send_if_modified(|current| {
            let first = current.is_none();
            current.get_or_insert(code);
            first
        });
    }

    /// Returns a receiver that sees the code with which the session is to close.
    #[must_use]
    pub fn closing(&self) -> watch::Receiver<Option<Code>> {
        self.closing.subscribe()
    }

    /// Returns true if so many frames wait that task frames would delay control frames.
    #[must_use]
    pub fn is_backlogged(&self) -> bool {
        self.tx.max_capacity() - self.tx.capacity() >= MAX_TASK_BACKLOG
    }

    /// Replaces the services that the agent serves, and returns those that it serves no more.
    pub fn replace_services(&self, services: BTreeSet<Name>) -> Vec<Name> {
        let mut current = self.services.lock();
        let gone = current.difference(&services).cloned().collect();
        *current = services;
        gone
    }

    /// Lists the services that the agent serves.
    #[must_use]
    pub fn services(&self) -> Vec<Name> {
        self.services.lock().iter().cloned().collect()
    }

    /// Notes that the agent was asked for a partition.
    pub fn gather_started(&self, partition: Partition) {
        self.gathering.lock().insert(partition);
    }

    /// Notes that the agent has answered for a partition.
    pub fn gather_ended(&self, partition: Partition) {
        self.gathering.lock().remove(&partition);
    }

    /// Returns true while answers of the agent are missing. A task sent in that time could be taken
    /// for one that never arrived.
    #[must_use]
    pub fn is_gathering(&self) -> bool {
        !self.gathering.lock().is_empty()
    }

    fn replaces(&self, other: &Self) -> bool {
        (self.agent.incarnation, self.number) > (other.agent.incarnation, other.number)
    }
}

/// What a new session finds.
pub enum Opening {
    /// It is the worker's session now.
    Opened,
    /// An older session has to end first.
    Replaces(Arc<Session>),
    /// The worker has a newer session.
    Superseded,
}

/// All open sessions, by worker.
#[derive(Default)]
pub struct Sessions {
    by_worker: RwLock<BTreeMap<Name, Arc<Session>>>,
}

impl Sessions {
    /// Enters a session if the worker has no other one.
    pub fn open(&self, session: &Arc<Session>) -> Opening {
        let mut by_worker = self.by_worker.write();
        match by_worker.get(&session.agent.worker) {
            Some(other) if session.replaces(other) => Opening::Replaces(other.clone()),
            Some(_) => Opening::Superseded,
            None => {
                by_worker.insert(session.agent.worker.clone(), session.clone());
                Opening::Opened
            }
        }
    }

    /// Takes a session out.
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

    /// Lists all sessions in the order of their workers.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Session>> {
        self.by_worker.read().values().cloned().collect()
    }
}
