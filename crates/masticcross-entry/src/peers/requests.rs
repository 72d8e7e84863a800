//! Requests with a pending answer, by number. An answer without a pending request is dropped.

use masticcross_basics::{Epoch, Partition};
use masticcross_wire::JobAnswer;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::oneshot;

use super::{PeerError, Result};

/// Maximum number of requests with a pending answer.
const MAX_PENDING: usize = 64 * 1024;

/// A partition and the epoch of the owner that hands it over.
pub(super) type HandoverKey = (Partition, Epoch);

/// A pending request and the session on which it was sent.
#[derive(Debug)]
struct Waiter<T> {
    session: u64,
    tx: oneshot::Sender<T>,
}

/// Pending requests by number, and pending handovers by partition and epoch.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    next_id: AtomicU64,
    next_session: AtomicU64,
    answers: Mutex<FxHashMap<u64, Waiter<JobAnswer>>>,
    handovers: Mutex<FxHashMap<HandoverKey, Waiter<()>>>,
}

impl PendingRequests {
    /// Returns the number of a new session, larger than all earlier ones.
    pub(super) fn next_session(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Registers a request on a session, whose answer is then pending.
    pub(super) fn expect_answer(&self, session: u64) -> Result<PendingAnswer<'_>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = oneshot::channel();
        let mut answers = self.answers.lock();
        if answers.len() >= MAX_PENDING {
            return Err(PeerError::NotSent);
        }
        answers.insert(id, Waiter { session, tx });
        Ok(PendingAnswer {
            requests: self,
            id,
            rx,
        })
    }

    /// Registers a handover on a session, whose confirmation is then pending.
    pub(super) fn expect_handover(
        &self,
        session: u64,
        key: HandoverKey,
    ) -> Result<PendingHandover<'_>> {
        let (tx, rx) = oneshot::channel();
        let mut handovers = self.handovers.lock();
        if handovers.contains_key(&key) {
            return Err(PeerError::NotSent);
        }
        handovers.insert(key, Waiter { session, tx });
        Ok(PendingHandover {
            requests: self,
            key,
            rx,
        })
    }

    /// Resolves a request with an answer that arrived on a session.
    pub(super) fn answered(&self, session: u64, id: u64, answer: JobAnswer) {
        let mut answers = self.answers.lock();
        if answers.get(&id).is_none_or(|w| w.session != session) {
            return;
        }
        if let Some(waiter) = answers.remove(&id) {
            let _ = waiter.tx.send(answer);
        }
    }

    /// Resolves a handover after the next owner confirmed on a session that it received the table.
    pub(super) fn handover_received(&self, session: u64, key: HandoverKey) {
        let mut handovers = self.handovers.lock();
        if handovers.get(&key).is_none_or(|w| w.session != session) {
            return;
        }
        if let Some(waiter) = handovers.remove(&key) {
            let _ = waiter.tx.send(());
        }
    }

    /// Fails all pending requests and handovers of a lost session.
    pub(super) fn session_lost(&self, session: u64) {
        self.answers.lock().retain(|_, w| w.session != session);
        self.handovers.lock().retain(|_, w| w.session != session);
    }
}

/// A pending answer. Dropping it unregisters the request.
pub(super) struct PendingAnswer<'a> {
    requests: &'a PendingRequests,
    id: u64,
    rx: oneshot::Receiver<JobAnswer>,
}

impl PendingAnswer<'_> {
    /// Returns the number of the request.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the answer.
    pub(super) async fn answer(mut self) -> Result<JobAnswer> {
        (&mut self.rx).await.map_err(|_| PeerError::SessionLost)
    }
}

impl Drop for PendingAnswer<'_> {
    fn drop(&mut self) {
        self.requests.answers.lock().remove(&self.id);
    }
}

/// A pending handover. Dropping it unregisters the handover.
pub(super) struct PendingHandover<'a> {
    requests: &'a PendingRequests,
    key: HandoverKey,
    rx: oneshot::Receiver<()>,
}

impl PendingHandover<'_> {
    /// Waits until the next owner has received the table.
    pub(super) async fn received(mut self) -> Result<()> {
        (&mut self.rx).await.map_err(|_| PeerError::SessionLost)
    }
}

impl Drop for PendingHandover<'_> {
    fn drop(&mut self) {
        self.requests.handovers.lock().remove(&self.key);
    }
}
