//! The agent's copy of the replicated state, and the age of that copy.

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

/// Stores the newest view and the latest time at which it covered all records of the log.
#[derive(Debug, Default)]
pub struct ViewStore {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    view: Option<Arc<AgentView>>,
    /// Latest time at which the view covered all records of the log.
    as_of: Option<Instant>,
}

/// Conditions under which a task was sent here, which must still hold when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartConditions {
    /// Partition of the job.
    pub partition: Partition,
    /// Epoch of the entry that sent it.
    pub epoch: Epoch,
    /// Registration of this agent when the task arrived.
    pub registered_at: u64,
}

/// A change of the stored view.
#[derive(Debug, Clone)]
pub struct ViewChange {
    /// The view before.
    pub before: Option<Arc<AgentView>>,
    /// The view after.
    pub after: Arc<AgentView>,
}

impl ViewStore {
    /// Applies a heartbeat answer. `as_of` is none if the entry's own view is not usable.
    ///
    /// An answer without a view means that the agent already had the entry's view when it sent the
    /// heartbeat. Because views only advance, the stored view covers every view received, so the
    /// latest `as_of` applies to it.
    pub fn apply(&self, view: Option<AgentView>, as_of: Option<Instant>) -> Option<ViewChange> {
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

    /// Returns the positions in the log up to which the view covers each stream.
    #[must_use]
    pub fn version(&self) -> ViewVersion {
        let inner = self.inner.read();
        inner
            .view
            .as_ref()
            .map_or_else(ViewVersion::default, |v| v.version)
    }

    /// Returns the offset after the record that registered this agent; zero if there is none.
    #[must_use]
    pub fn registered_at(&self) -> u64 {
        let inner = self.inner.read();
        inner.view.as_ref().map_or(0, |view| view.registered_at)
    }

    /// Returns the time since the view covered all records of the log; none if it never did.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.inner.read().as_of?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Returns true while the view is fresh enough to start tasks.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.inner.read().fresh_view(now).is_some()
    }

    /// Checks that the view is fresh and that it allows a start in a zone.
    ///
    /// # Errors
    /// Returns the reason why the task must not start.
    pub fn check_start(
        &self,
        now: Instant,
        zone: &Name,
        conditions: StartConditions,
    ) -> Result<()> {
        let inner = self.inner.read();
        let view = inner.fresh_view(now).ok_or(NotStartedReason::ViewStale)?;
        if !view.registered || view.registered_at != conditions.registered_at {
            return Err(NotStartedReason::ViewStale);
        }
        if view.zones_out.contains(zone) {
            return Err(NotStartedReason::ZoneOut);
        }
        if conditions.epoch < epoch_of(view, conditions.partition) {
            return Err(NotStartedReason::OldEpoch);
        }
        Ok(())
    }
}

impl Inner {
    /// Merges a received view into the stored one, stream by stream. Returns the change, if any.
    fn merge(&mut self, received: AgentView) -> Option<ViewChange> {
        let before = self.view.clone();
        let after = Arc::new(match before.as_deref() {
            Some(current) => merge_streams(current, received),
            None => received,
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

/// Merges two views: the fields that depend on stream `config` come from the view that is ahead in
/// that stream, and so do those that depend on stream `partitions`.
fn merge_streams(current: &AgentView, received: AgentView) -> AgentView {
    let config_is_newer = received.version.config > current.version.config;
    let partitions_are_newer = received.version.partitions > current.version.partitions;
    let mut merged = current.clone();
    if config_is_newer {
        merged.version.config = received.version.config;
        merged.config_version = received.config_version;
        merged.zones_out = received.zones_out;
        merged.freshness_ms = received.freshness_ms;
    }
    if partitions_are_newer {
        merged.version.partitions = received.version.partitions;
        merged.members = received.members;
        merged.partitions = received.partitions;
        merged.registered = received.registered;
        merged.registered_at = received.registered_at;
    }
    merged
}

/// Returns the epoch of a partition in a view; zero if it is not listed.
#[must_use]
pub fn epoch_of(view: &AgentView, partition: Partition) -> Epoch {
    let owner = view.partitions.get(usize::from(partition.index()));
    owner.map_or_else(Epoch::default, |owner| owner.epoch)
}

/// Returns the name and epoch of the owner of a partition in a view.
#[must_use]
pub fn owner_of(view: &AgentView, partition: Partition) -> Option<(Epoch, &Name)> {
    let owner = view.partitions.get(usize::from(partition.index()))?;
    let member = view.members.get(usize::from(owner.member?))?;
    Some((owner.epoch, &member.name))
}
