//! A worker as an entry knows it through the worker's agent.

use std::collections::VecDeque;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::Incarnation;
use masticcross_wire::pool::{FreeResources, Resources, WorkerInfo};
use tokio::time::Instant;

use crate::health::Health;
use crate::runtime::{RunTimes, Speed};

use super::SessionId;

/// Weight of a worker's load against its slowness when a worker is chosen.
const LOAD_WEIGHT: f64 = 0.3;

/// Addition for a worker in another availability zone than the entry's.
const OTHER_ZONE: f64 = 0.1;

/// Slowness from which on a worker gets single tasks only, to see whether it is still slow.
const SLOW: f64 = 2.0;

/// A worker as an entry knows it.
#[derive(Debug)]
pub struct Worker {
    /// Name of its agent.
    pub name: Name,
    /// Start of its agent.
    pub incarnation: Incarnation,
    /// Open session with its agent.
    pub session: Option<SessionId>,
    /// What its agent told of it; none while it cannot be used.
    pub info: Option<WorkerInfo>,
    /// Standing by the ends of runs.
    pub health: Health,
    /// Runs of this entry that may be there.
    pub running: u32,
    speed: Speed,
    free: Resources,
    sent: u64,
    unseen: VecDeque<(u64, Resources)>,
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
            health: Health::warm(now),
            running: 0,
            speed: Speed::default(),
            free: Resources::default(),
            sent: 0,
            unseen: VecDeque::new(),
        }
    }

    /// Starts a new session, on which nothing was sent yet.
    pub fn open(&mut self, incarnation: Incarnation, session: SessionId) {
        self.incarnation = incarnation;
        self.session = Some(session);
        self.info = None;
        self.free = Resources::default();
        self.sent = 0;
        self.unseen.clear();
    }

    /// Takes over the free room that the agent told.
    pub fn set_free(&mut self, free: FreeResources) {
        self.free = free.resources;
        while self
            .unseen
            .front()
            .is_some_and(|(n, _)| *n <= free.requests_seen)
        {
            self.unseen.pop_front();
        }
    }

    /// Returns the room that is free as far as this entry knows.
    #[must_use]
    pub fn free(&self) -> Resources {
        let unseen = self.unseen.iter().map(|(_, room)| *room);
        unseen.fold(self.free, Resources::minus)
    }

    /// Counts a run that is sent.
    pub fn send(&mut self, room: Resources) {
        self.sent += 1;
        self.unseen.push_back((self.sent, room));
        self.running += 1;
        self.health.sent();
    }

    /// Takes over the run time of a task, divided by the expected one.
    pub fn observe(&mut self, ratio: f64, all: &RunTimes) {
        self.speed.add(Duration::from_secs_f64(ratio), all);
    }

    /// Returns how much longer tasks take here than elsewhere.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.speed.slowness()
    }

    /// Returns how many more runs of this entry the worker may get now.
    #[must_use]
    pub fn places(&self, now: Instant) -> u32 {
        let limit = self.health.limit(now);
        let limit = if self.slowness() >= SLOW {
            limit.min(1)
        } else {
            limit
        };
        limit.saturating_sub(self.running)
    }

    /// Rates the worker for a task; lower is better.
    #[must_use]
    pub fn cost(&self, zone: &str, free: Resources) -> f64 {
        let Some(info) = &self.info else {
            return f64::INFINITY;
        };
        let other_zone = if &*info.zone == zone { 0.0 } else { OTHER_ZONE };
        self.slowness() + LOAD_WEIGHT * load(info.capacity, free) + other_zone
    }
}

/// Returns the part of the processors that is taken.
#[expect(clippy::cast_precision_loss, reason = "a rating needs no exact figure")]
fn load(capacity: Resources, free: Resources) -> f64 {
    if capacity.cpu == 0 {
        return 1.0;
    }
    1.0 - free.cpu as f64 / capacity.cpu as f64
}
