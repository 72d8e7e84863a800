//! Table of the open sessions: the entry at the other end of each, and the queue of frames to it.

use std::collections::BTreeMap;

use masticcross_basics::{Code, Name};
use masticcross_wire::{Frame, Incarnation};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};

use super::SessionId;
use crate::metrics::Metrics;

/// Handle for sending frames on a session and for closing it.
#[derive(Debug, Clone)]
pub struct SessionHandle {
    /// Name of the entry.
    pub entry: Name,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Frames to the entry.
    pub tx: mpsc::Sender<Frame>,
    /// Set to close the session with a code.
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
    open: BTreeMap<SessionId, SessionHandle>,
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

    /// Adds a session. Closes an older session with the same entry and returns its number.
    pub fn open(&self, session: SessionId, handle: SessionHandle) -> Option<SessionId> {
        let mut inner = self.inner.lock();
        let older = inner.by_entry.insert(handle.entry.clone(), session);
        if let Some(older) = older.and_then(|id| inner.open.remove(&id)) {
            older.close.send_replace(Some(Code::Superseded));
        }
        inner.open.insert(session, handle);
        older
    }

    /// Removes a session.
    pub fn close(&self, session: SessionId) {
        let mut inner = self.inner.lock();
        if let Some(handle) = inner.open.remove(&session)
            && inner.by_entry.get(&handle.entry) == Some(&session)
        {
            inner.by_entry.remove(&handle.entry);
        }
    }

    /// Returns true if the session is open and not superseded by a newer one.
    #[must_use]
    pub fn is_open(&self, session: SessionId) -> bool {
        self.inner.lock().open.contains_key(&session)
    }

    /// Returns the open session with an entry.
    #[must_use]
    pub fn session_with(&self, entry: &Name) -> Option<SessionId> {
        self.inner.lock().by_entry.get(entry).copied()
    }

    /// Returns the entry of a session.
    #[must_use]
    pub fn entry_of(&self, session: SessionId) -> Option<Name> {
        let inner = self.inner.lock();
        inner.open.get(&session).map(|handle| handle.entry.clone())
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

    /// Adds a frame to a session's queue. Returns false if the session is not open or its queue is
    /// full; a full queue closes the session.
    pub fn send(&self, session: SessionId, frame: Frame) -> bool {
        let inner = self.inner.lock();
        inner
            .open
            .get(&session)
            .is_some_and(|handle| handle.send(frame, &self.metrics))
    }

    /// Adds a frame to the queue of every session.
    pub fn send_to_all(&self, frame: &Frame) {
        for handle in self.inner.lock().open.values() {
            handle.send(frame.clone(), &self.metrics);
        }
    }

    /// Closes every session with a code.
    pub fn close_all(&self, code: Code) {
        for handle in self.inner.lock().open.values() {
            handle.close.send_replace(Some(code));
        }
    }
}

impl SessionHandle {
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
