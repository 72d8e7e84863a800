//! The open sessions, as far as decisions need them: who is at the other end, and its queue.

use std::collections::BTreeMap;

use masticcross_basics::{Code, Name};
use masticcross_wire::{Frame, Incarnation};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};

use super::SessionId;
use crate::metrics::Metrics;

/// The other end of a session.
#[derive(Debug, Clone)]
pub struct Outlet {
    /// Name of the entry.
    pub entry: Name,
    /// The entry's start.
    pub incarnation: Incarnation,
    /// Frames to the entry.
    pub tx: mpsc::Sender<Frame>,
    /// Set to end the session with a code.
    pub close: watch::Sender<Option<Code>>,
}

/// The open sessions; at most one with each entry.
#[derive(Debug)]
pub struct Sessions {
    inner: Mutex<Inner>,
    metrics: Metrics,
}

#[derive(Debug, Default)]
struct Inner {
    open: BTreeMap<SessionId, Outlet>,
    by_entry: BTreeMap<Name, SessionId>,
}

impl Sessions {
    /// Creates an empty table.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self {
            inner: Mutex::default(),
            metrics,
        }
    }

    /// Adds a session. An older one with the same entry ends; its number is returned.
    pub fn open(&self, session: SessionId, outlet: Outlet) -> Option<SessionId> {
        let mut inner = self.inner.lock();
        let older = inner.by_entry.insert(outlet.entry.clone(), session);
        if let Some(older) = older.and_then(|id| inner.open.remove(&id)) {
            older.close.send_replace(Some(Code::Superseded));
        }
        inner.open.insert(session, outlet);
        older
    }

    /// Forgets a session.
    pub fn close(&self, session: SessionId) {
        let mut inner = self.inner.lock();
        if let Some(outlet) = inner.open.remove(&session)
            && inner.by_entry.get(&outlet.entry) == Some(&session)
        {
            inner.by_entry.remove(&outlet.entry);
        }
    }

    /// Returns true if the session is open and not replaced.
    #[must_use]
    pub fn is_open(&self, session: SessionId) -> bool {
        self.inner.lock().open.contains_key(&session)
    }

    /// Returns the session with an entry.
    #[must_use]
    pub fn with_entry(&self, entry: &Name) -> Option<SessionId> {
        self.inner.lock().by_entry.get(entry).copied()
    }

    /// Returns the entry of a session.
    #[must_use]
    pub fn entry_of(&self, session: SessionId) -> Option<Name> {
        let inner = self.inner.lock();
        inner.open.get(&session).map(|outlet| outlet.entry.clone())
    }

    /// Lists the open sessions.
    #[must_use]
    pub fn ids(&self) -> Vec<SessionId> {
        self.inner.lock().open.keys().copied().collect()
    }

    /// Returns the number of open sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.inner.lock().open.len()
    }

    /// Returns true if no session is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Puts a frame into a session's queue. Returns false if the session is not open. A full queue
    /// ends the session.
    pub fn send(&self, session: SessionId, frame: Frame) -> bool {
        let inner = self.inner.lock();
        inner
            .open
            .get(&session)
            .is_some_and(|o| o.send(frame, &self.metrics))
    }

    /// Puts a frame into every session's queue.
    pub fn send_to_all(&self, frame: &Frame) {
        for outlet in self.inner.lock().open.values() {
            outlet.send(frame.clone(), &self.metrics);
        }
    }

    /// Ends every session with a code.
    pub fn close_all(&self, code: Code) {
        for outlet in self.inner.lock().open.values() {
            outlet.close.send_replace(Some(code));
        }
    }
}

impl Outlet {
    fn send(&self, frame: Frame, metrics: &Metrics) -> bool {
        metrics.frame_sent(&frame);
        match self.tx.try_send(frame) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Full(_)) => {
                self.close.send_replace(Some(Code::SlowReader));
                false
            }
            Err(mpsc::error::TrySendError::Closed(_)) => false,
        }
    }
}
