//! Requests that wait for an answer, by number. An answer that nobody waits for is dropped.

use masticcross_basics::{Epoch, Partition};
use masticcross_wire::JobAnswer;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::oneshot;

use super::{PeerError, Result};

/// Requests that wait for an answer at most.
const MAX_WAITING: usize = 64 * 1024;

/// A partition and the epoch of the owner that hands it over.
pub(super) type HandoverKey = (Partition, Epoch);

/// A request that waits, and the session on which it went.
#[derive(Debug)]
struct Waiter<T> {
    session: u64,
    tx: oneshot::Sender<T>,
}

/// Requests that wait, by number or by partition.
#[derive(Debug, Default)]
pub(super) struct Requests {
    next_id: AtomicU64,
    next_session: AtomicU64,
    answers: Mutex<FxHashMap<u64, Waiter<JobAnswer>>>,
    handovers: Mutex<FxHashMap<HandoverKey, Waiter<()>>>,
}

impl Requests {
    /// Returns the number of a new session, larger than any before.
    pub(super) fn next_session(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Begins to wait for the answer to a request on a session.
    pub(super) fn start_answer(&self, session: u64) -> Result<WaitingAnswer<'_>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = oneshot::channel();
        let mut answers = self.answers.lock();
        if answers.len() >= MAX_WAITING {
            return Err(PeerError::NotSent);
        }
        answers.insert(id, Waiter { session, tx });
        Ok(WaitingAnswer {
            requests: self,
            id,
            rx,
        })
    }

    /// Begins to wait until a table handed over on a session was taken.
    pub(super) fn start_handover(
        &self,
        session: u64,
        key: HandoverKey,
    ) -> Result<WaitingHandover<'_>> {
        let (tx, rx) = oneshot::channel();
        let mut handovers = self.handovers.lock();
        if handovers.contains_key(&key) {
            return Err(PeerError::NotSent);
        }
        handovers.insert(key, Waiter { session, tx });
        Ok(WaitingHandover {
            requests: self,
            key,
            rx,
        })
    }

    /// Takes an answer that arrived on a session.
    pub(super) fn answered(&self, session: u64, id: u64, answer: JobAnswer) {
        let mut answers = self.answers.lock();
        if answers.get(&id).is_none_or(|w| w.session != session) {
            return;
        }
        if let Some(waiter) = answers.remove(&id) {
            let _ = waiter.tx.send(answer);
        }
    }

    /// Learns that a table handed over on a session was taken.
    pub(super) fn taken(&self, session: u64, key: HandoverKey) {
        let mut handovers = self.handovers.lock();
        if handovers.get(&key).is_none_or(|w| w.session != session) {
            return;
        }
        if let Some(waiter) = handovers.remove(&key) {
            let _ = waiter.tx.send(());
        }
    }

    /// Ends the waits of a session that was lost.
    pub(super) fn lost(&self, session: u64) {
        self.answers.lock().retain(|_, w| w.session != session);
        self.handovers.lock().retain(|_, w| w.session != session);
    }
}

/// A wait for an answer. Dropping it ends the wait.
pub(super) struct WaitingAnswer<'a> {
    requests: &'a Requests,
    id: u64,
    rx: oneshot::Receiver<JobAnswer>,
}

impl WaitingAnswer<'_> {
    /// Returns the request's number.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the answer.
    pub(super) async fn answer(mut self) -> Result<JobAnswer> {
        (&mut self.rx).await.map_err(|_| PeerError::Lost)
    }
}

impl Drop for WaitingAnswer<'_> {
    fn drop(&mut self) {
        self.requests.answers.lock().remove(&self.id);
    }
}

/// A wait until a table was taken. Dropping it ends the wait.
pub(super) struct WaitingHandover<'a> {
    requests: &'a Requests,
    key: HandoverKey,
    rx: oneshot::Receiver<()>,
}

impl WaitingHandover<'_> {
    /// Waits until the table was taken.
    pub(super) async fn taken(mut self) -> Result<()> {
        (&mut self.rx).await.map_err(|_| PeerError::Lost)
    }
}

impl Drop for WaitingHandover<'_> {
    fn drop(&mut self) {
        self.requests.handovers.lock().remove(&self.key);
    }
}
