//! Sessions with other entries, and who owns which partition.

use std::sync::Arc;

use masticcross_basics::Name;
use masticcross_basics::timeline::Timeline;
use masticcross_ledger::Agreement;
use masticcross_wire::{Dialer, Handover, Hello, JobAnswer, Link, Member, Query, Submit};
use thiserror::Error;

use crate::Identity;
use crate::owner::Owner;

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

/// Result of a request to another entry.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Sessions with the other members, and the decisions about membership.
pub struct Peers {
    identity: Identity,
    agreement: Arc<Agreement>,
    dialer: Arc<dyn Dialer>,
    timeline: Timeline,
}

impl Peers {
    /// Creates the sessions' table, empty.
    #[must_use]
    pub fn new(
        identity: Identity,
        agreement: Arc<Agreement>,
        dialer: Arc<dyn Dialer>,
        timeline: Timeline,
    ) -> Arc<Self> {
        Arc::new(Self {
            identity,
            agreement,
            dialer,
            timeline,
        })
    }

    /// Joins, keeps sessions to all members, finds lost members, and claims partitions, until the
    /// process ends.
    pub async fn run(self: Arc<Self>) {
        let _ = (
            &self.identity,
            &self.agreement,
            &self.dialer,
            &self.timeline,
        );
        std::future::pending::<()>().await;
    }

    /// Serves the session that another entry opened and whose hello has been read, until it ends.
    pub async fn serve_peer(self: Arc<Self>, hello: Hello, link: Link, owner: Arc<Owner>) {
        let _ = (hello, link, owner);
    }

    /// Sends a job to its owner and waits for the answer.
    ///
    /// # Errors
    /// Says whether the request may have arrived.
    pub async fn submit(&self, to: &Member, submit: Submit) -> Result<JobAnswer> {
        let _ = (to, submit);
        Err(PeerError::NotSent)
    }

    /// Sends a question to the owner of a job and waits for the answer.
    ///
    /// # Errors
    /// Says whether the request may have arrived.
    pub async fn query(&self, to: &Member, query: Query) -> Result<JobAnswer> {
        let _ = (to, query);
        Err(PeerError::NotSent)
    }

    /// Sends part of a table to the next owner. After the frame with `last`, waits until the next
    /// owner has taken all of it.
    ///
    /// # Errors
    /// Says whether the frame may have arrived.
    pub async fn hand_over(&self, to: &Name, handover: Handover) -> Result<()> {
        let _ = (to, handover);
        Err(PeerError::NotSent)
    }

    /// Leaves: tells the others and records it in the log.
    pub async fn close(&self) {}
}
