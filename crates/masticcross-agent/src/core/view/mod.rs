//! What this agent knows of the agreed state, and how old that knowledge is.

use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Epoch, Name, Partition};
use masticcross_wire::{AgentView, NotStartedReason, ViewVersion};
use parking_lot::RwLock;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Result of a check against the view.
pub type Result<T> = std::result::Result<T, NotStartedReason>;

/// The newest view and the moment at which it held all records of the log.
#[derive(Debug, Default)]
pub struct ViewKeeper {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    view: Option<Arc<AgentView>>,
    as_of: Option<Instant>,
}

/// Under what a task was sent here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartTerms {
    /// Partition of the job.
    pub partition: Partition,
    /// Epoch of the entry that sent it.
    pub epoch: Epoch,
    /// Registration of this agent when the task arrived.
    pub registered_at: u64,
}

/// The change that an offered view made.
#[derive(Debug, Clone)]
pub struct ViewChange {
    /// The view before.
    pub before: Option<Arc<AgentView>>,
    /// The view after.
    pub after: Arc<AgentView>,
}

impl ViewKeeper {
    /// Takes over a heartbeat's answer. `as_of` is none if the entry has no view that may be used.
    ///
    /// An answer without a view stands for one that the agent already had when it asked. As views
    /// only grow, the view kept covers every one offered, so the latest `as_of` holds for it.
    pub fn offer(&self, view: Option<AgentView>, as_of: Option<Instant>) -> Option<ViewChange> {
        let mut inner = self.inner.write();
        let change = view.and_then(|view| inner.merge(view));
        if inner.view.is_some() {
            inner.as_of = inner.as_of.max(as_of);
        }
        change
    }

    /// Returns the newest view.
    #[must_use]
    pub fn view(&self) -> Option<Arc<AgentView>> {
        self.inner.read().view.clone()
    }

    /// Returns the positions in the log that the view covers.
    #[must_use]
    pub fn version(&self) -> ViewVersion {
        let inner = self.inner.read();
        inner
            .view
            .as_ref()
            .map_or_else(ViewVersion::default, |v| v.version)
    }

    /// Returns the offset after the record that registered this agent; zero if none did.
    #[must_use]
    pub fn registered_at(&self) -> u64 {
        let inner = self.inner.read();
        inner.view.as_ref().map_or(0, |view| view.registered_at)
    }

    /// Returns how long ago the view held all records of the log; none if it never did.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.inner.read().as_of?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Returns true while the view may be used to start tasks.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.inner.read().fresh_view(now).is_some()
    }

    /// Checks that a start is allowed in a zone.
    ///
    /// # Errors
    /// Says why the task must not start.
    pub fn check(&self, now: Instant, zone: &Name, terms: StartTerms) -> Result<()> {
        let inner = self.inner.read();
        let view = inner.fresh_view(now).ok_or(NotStartedReason::ViewStale)?;
        if !view.registered || view.registered_at != terms.registered_at {
            return Err(NotStartedReason::ViewStale);
        }
        if view.zones_out.contains(zone) {
            return Err(NotStartedReason::ZoneOut);
        }
        if terms.epoch < epoch_of(view, terms.partition) {
            return Err(NotStartedReason::OldEpoch);
        }
        Ok(())
    }
}

impl Inner {
    /// Joins the part of each stream that goes further. Returns the change, if any.
    fn merge(&mut self, offered: AgentView) -> Option<ViewChange> {
        let before = self.view.clone();
        let after = Arc::new(match before.as_deref() {
            Some(kept) => join(kept, offered),
            None => offered,
        });
        if before.as_deref() == Some(&*after) {
            return None;
        }
        self.view = Some(after.clone());
        Some(ViewChange { before, after })
    }

    fn fresh_view(&self, now: Instant) -> Option<&AgentView> {
        let view = self.view.as_deref()?;
        let freshness = Duration::from_millis(view.freshness_ms.into());
        let age = now.saturating_duration_since(self.as_of?);
        (age < freshness).then_some(view)
    }
}

/// Joins two views: what depends on stream `config` from the one that goes further there, and what
/// depends on stream `partitions` likewise.
fn join(kept: &AgentView, offered: AgentView) -> AgentView {
    let config_grew = offered.version.config > kept.version.config;
    let partitions_grew = offered.version.partitions > kept.version.partitions;
    let mut joined = kept.clone();
    if config_grew {
        joined.version.config = offered.version.config;
        joined.config_version = offered.config_version;
        joined.zones_out = offered.zones_out;
        joined.freshness_ms = offered.freshness_ms;
    }
    if partitions_grew {
        joined.version.partitions = offered.version.partitions;
        joined.members = offered.members;
        joined.partitions = offered.partitions;
        joined.registered = offered.registered;
        joined.registered_at = offered.registered_at;
    }
    joined
}

/// Returns the epoch of a partition in a view; zero if it is not listed.
#[must_use]
pub fn epoch_of(view: &AgentView, partition: Partition) -> Epoch {
    let owner = view.partitions.get(usize::from(partition.index()));
    owner.map_or_else(Epoch::default, |o| o.epoch)
}

/// Returns the name and epoch of the owner of a partition in a view.
#[must_use]
pub fn owner_of(view: &AgentView, partition: Partition) -> Option<(Epoch, &Name)> {
    let owner = view.partitions.get(usize::from(partition.index()))?;
    let member = view.members.get(usize::from(owner.member?))?;
    Some((owner.epoch, &member.name))
}
