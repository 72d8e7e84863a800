//! A worker, as reported to the entry by the worker's agent.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::Incarnation;
use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{FreeResources, Resources, RunRequest, WorkerInfo};
use tokio::time::Instant;

use crate::crashes::SPACING;
use crate::health::Health;
use crate::run_times::{RunTimes, Speed};

use super::SessionId;

/// Weight of a worker's load relative to its slowness in the placement cost.
const LOAD_WEIGHT: f64 = 0.3;

/// Cost added for a worker in another availability zone than the entry's.
const OTHER_ZONE_PENALTY: f64 = 0.1;

/// Slowness from which a worker gets only one task at a time, which shows whether it is still slow.
const SLOW_THRESHOLD: f64 = 2.0;

/// State of a worker at an entry.
#[derive(Debug)]
pub struct Worker {
    /// Name of its agent.
    pub name: Name,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Open session with its agent, if any.
    pub session: Option<SessionId>,
    /// Information sent by its agent; none while the worker cannot be used.
    pub info: Option<Arc<WorkerInfo>>,
    /// Service of the worker that the agent had last.
    service: Option<Name>,
    /// Since when the worker cannot be used.
    absent_since: Option<Instant>,
    /// Time until which no further run that may not start close to another one starts here.
    pub spaced_until: Option<Instant>,
    /// Health according to the ends of its runs.
    pub health: Health,
    /// Runs of this entry that may be at the worker.
    pub running: u32,
    speed: Speed,
    /// Free resources that the agent announced last.
    free: Resources,
    /// Number of run requests sent on the open session.
    sent: u64,
    /// Numbers and resources of the run requests that `free` does not take into account yet.
    unacknowledged: VecDeque<(u64, Resources)>,
}

impl Worker {
    /// Creates a worker whose agent has just opened a session.
    #[must_use]
    pub fn new(name: Name, incarnation: Incarnation, session: SessionId, now: Instant) -> Self {
        Self {
            name,
            incarnation,
            session: Some(session),
            info: None,
            service: None,
            absent_since: Some(now),
            spaced_until: None,
            health: Health::without_ramp(now),
            running: 0,
            speed: Speed::default(),
            free: Resources::default(),
            sent: 0,
            unacknowledged: VecDeque::new(),
        }
    }

    /// Resets the state that belongs to a session when a new one opens.
    pub fn open(&mut self, incarnation: Incarnation, session: SessionId, now: Instant) {
        self.incarnation = incarnation;
        self.session = Some(session);
        self.set_info(None, now);
        self.free = Resources::default();
        self.sent = 0;
        self.unacknowledged.clear();
    }

    /// Applies the state of the worker; none while it cannot be used.
    pub fn set_info(&mut self, info: Option<WorkerInfo>, now: Instant) {
        match &info {
            Some(info) => {
                self.service = Some(info.service.clone());
                self.absent_since = None;
            }
            None => {
                self.absent_since.get_or_insert(now);
            }
        }
        self.info = info.map(Arc::new);
    }

    /// Returns the service of the worker that the agent had last.
    #[must_use]
    pub fn service(&self) -> Option<&Name> {
        self.service.as_ref()
    }

    /// Returns the service of the worker, unless it has been away for longer than the given time or is
    /// leaving.
    #[must_use]
    pub fn service_within(&self, max_absence: Duration, now: Instant) -> Option<&Name> {
        let is_leaving = self.info.as_ref().is_some_and(|info| info.leaving);
        let is_away = |since: Instant| now.saturating_duration_since(since) > max_absence;
        if self.session.is_none() || is_leaving || self.absent_since.is_some_and(is_away) {
            return None;
        }
        self.service.as_ref()
    }

    /// Applies the free resources that the agent announced.
    pub fn set_free(&mut self, free: FreeResources) {
        self.free = free.resources;
        while self
            .unacknowledged
            .front()
            .is_some_and(|(n, _)| *n <= free.requests_seen)
        {
            self.unacknowledged.pop_front();
        }
    }

    /// Returns the announced free resources, less those of runs that the agent had not received yet.
    #[must_use]
    pub fn free(&self) -> Resources {
        let unacknowledged = self.unacknowledged.iter().map(|(_, resources)| *resources);
        unacknowledged.fold(self.free, Resources::minus)
    }

    /// Records that a run was sent.
    pub fn record_sent(&mut self, request: &RunRequest, now: Instant) {
        let resources = match (request.isolation, &self.info) {
            (Isolation::Alone, Some(info)) => info.capacity,
            _ => request.resources,
        };
        if request.isolation == Isolation::Spaced {
            self.spaced_until = Some(now + SPACING);
        }
        self.sent += 1;
        self.unacknowledged.push_back((self.sent, resources));
        self.running += 1;
        self.health.sent();
    }

    /// Adds the ratio of a task's run time to its expected run time.
    pub fn observe(&mut self, ratio: f64, all: &RunTimes) {
        self.speed.add(Duration::from_secs_f64(ratio), all);
    }

    /// Returns the factor by which tasks take longer on this worker than elsewhere.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.speed.slowness()
    }

    /// Returns the number of further runs that this entry may send to the worker now.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u32 {
        let limit = self.health.limit(now);
        let limit = if self.slowness() >= SLOW_THRESHOLD {
            limit.min(1)
        } else {
            limit
        };
        limit.saturating_sub(self.running)
    }

    /// Returns true while the number of further runs may change with time alone.
    #[must_use]
    pub fn changes_over_time(&self, now: Instant) -> bool {
        self.health.limit_changes_over_time(now)
    }

    /// Returns the placement cost of the worker; lower is better.
    #[must_use]
    pub fn cost(&self, zone: &str, free: Resources) -> f64 {
        let Some(info) = &self.info else {
            return f64::INFINITY;
        };
        let other_zone = if &*info.zone == zone {
            0.0
        } else {
            OTHER_ZONE_PENALTY
        };
        self.slowness() + LOAD_WEIGHT * load(info.capacity, free) + other_zone
    }
}

/// Returns the fraction of the CPU capacity that is in use.
#[expect(clippy::cast_precision_loss, reason = "the load need not be exact")]
pub(super) fn load(capacity: Resources, free: Resources) -> f64 {
    if capacity.cpu == 0 {
        return 1.0;
    }
    1.0 - free.cpu as f64 / capacity.cpu as f64
}
