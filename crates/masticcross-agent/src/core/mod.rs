//! Decisions of the agent, without any waiting: methods take the time and return the tasks to run.
//!
//! - [`view`]: what is known of the agreed state, and the check before a start.
//! - [`starts`]: the way of a task from its arrival to its end.
//! - [`reports`]: what owners are told, also after a change of the owner.
//! - [`attempts`]: what was started and how it ended.
//! - [`credits`]: how many tasks each entry may send.
//! - [`backends`], [`queue`]: places at backend servers, and tasks that wait for them.
//!
//! One lock guards the decisions, one the view, one the sessions, taken in this order. Frames are
//! put into the sessions' queues under the first, so that their order is that of the decisions.

pub mod attempts;
pub mod backends;
pub mod credits;
pub mod queue;
mod refusals;
pub mod reports;
pub mod sessions;
pub mod starts;
mod stats;
pub mod view;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

use masticcross_basics::timeline::{Event, EventKind, Timeline};
use masticcross_basics::{AttemptId, Epoch, Name, Partition};
use masticcross_wire::{AgentView, Credit, Demand, Frame, NotStartedReason};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::{AgentLimits, Announcement, Identity};

use self::attempts::Attempts;
use self::backends::Backends;
use self::credits::{Capacity, Credits};
use self::queue::Queue;
use self::reports::Gatherer;
use self::sessions::{Outlet, Sessions};
use self::starts::{Run, Running};
pub use self::stats::Stats;
use self::view::ViewKeeper;

/// Number of a session, unique in this incarnation.
pub type SessionId = u64;

/// The decisions and all that they depend on.
pub struct AgentCore {
    identity: Identity,
    limits: AgentLimits,
    timeline: Timeline,
    metrics: Metrics,
    state: Mutex<State>,
    view: ViewKeeper,
    sessions: Sessions,
}

/// State under the first lock.
struct State {
    attempts: Attempts,
    backends: Backends,
    queue: Queue,
    credits: BTreeMap<Name, Credits>,
    running: BTreeMap<AttemptId, Running>,
    gatherers: BTreeMap<Partition, Gatherer>,
    draining: bool,
    was_fresh: bool,
}

impl AgentCore {
    /// Creates an agent that knows nothing yet.
    #[must_use]
    pub fn new(
        identity: Identity,
        limits: AgentLimits,
        timeline: Timeline,
        metrics: Metrics,
    ) -> Self {
        let state = State {
            attempts: Attempts::new(limits.result_memory),
            backends: Backends::default(),
            queue: Queue::default(),
            credits: BTreeMap::new(),
            running: BTreeMap::new(),
            gatherers: BTreeMap::new(),
            draining: false,
            was_fresh: false,
        };
        Self {
            identity,
            limits,
            timeline,
            state: Mutex::new(state),
            view: ViewKeeper::default(),
            sessions: Sessions::new(metrics.clone()),
            metrics,
        }
    }

    /// Returns who this agent is.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the time line.
    #[must_use]
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Returns the metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the view.
    #[must_use]
    pub fn view(&self) -> &ViewKeeper {
        &self.view
    }

    /// Returns the open sessions.
    #[must_use]
    pub fn sessions(&self) -> &Sessions {
        &self.sessions
    }

    /// Adds a session: tells the entry the backend servers, its first credits and the results that
    /// wait for it.
    pub fn session_opened(&self, session: SessionId, outlet: Outlet, now: Instant) {
        let mut state = self.state.lock();
        let entry = outlet.entry.clone();
        if let Some(older) = self.sessions.open(session, outlet) {
            state.close_credits(older);
        }
        for credits in state.credits.values_mut() {
            credits.open(session);
        }
        let infos = state.backends.infos(now);
        self.sessions.send(session, Frame::Backends(infos));
        if state.draining {
            self.sessions.send(session, Frame::Drain);
        }
        self.resend_to(&mut state, &entry, session);
        self.grant(&mut state, now);
    }

    /// Forgets a session. What it sent goes on.
    pub fn session_closed(&self, session: SessionId, now: Instant) {
        let mut state = self.state.lock();
        self.sessions.close(session);
        state.close_credits(session);
        self.grant(&mut state, now);
    }

    /// Takes over the view of a heartbeat's answer.
    pub fn view_offered(&self, view: Option<AgentView>, as_of: Option<Instant>, now: Instant) {
        let Some(change) = self.view.offer(view, as_of) else {
            return;
        };
        let before = change.before.as_ref().map_or(0, |v| v.config_version);
        if before != change.after.config_version {
            let detail = format!("version {}", change.after.config_version);
            self.timeline
                .record(Event::new(EventKind::ConfigApplied).detail(detail));
        }
        let mut state = self.state.lock();
        self.note_freshness(&mut state, now);
        let registered_before = change.before.as_ref().map_or(0, |v| v.registered_at);
        if registered_before != change.after.registered_at {
            // Entries may have counted this agent as lost in between.
            self.refuse_all_queued(&mut state, NotStartedReason::ViewStale, now);
        }
        self.resend_after(&mut state, &change);
        self.grant(&mut state, now);
    }

    /// Notes how many tasks of a service wait at a session's entry.
    pub fn demand(&self, session: SessionId, demand: &Demand, now: Instant) {
        let mut state = self.state.lock();
        if let Some(credits) = state.credits.get_mut(&demand.service) {
            credits.set_waiting(session, demand.waiting);
        }
        self.grant(&mut state, now);
    }

    /// Adds or renews a backend server.
    #[must_use]
    pub fn announce(&self, announcement: Announcement, now: Instant) -> Vec<Run> {
        let mut state = self.state.lock();
        let event = Event::new(EventKind::BackendUp).detail(format!(
            "{} serves {} with {} slots",
            announcement.name, announcement.service, announcement.slots
        ));
        let service = announcement.service.clone();
        let changed = state.backends.announce(announcement, now);
        if changed {
            self.timeline.record(event);
            self.send_backends(&state, now);
        }
        self.open_credits(&mut state, service);
        self.dispatch(&mut state, now)
    }

    /// Marks a backend server as left: it gets nothing new, and its tasks go on. Returns false if it
    /// is not known.
    pub fn withdraw(&self, name: &str, now: Instant) -> bool {
        let mut state = self.state.lock();
        let known = state.backends.withdraw(name);
        if known {
            self.backend_gone(&mut state, name, now);
        }
        known
    }

    /// Does what depends on time alone: ends announcements, drops old results, notes the age of the
    /// view.
    #[must_use]
    pub fn tick(&self, now: Instant) -> Vec<Run> {
        let mut state = self.state.lock();
        for name in state.backends.expire(now) {
            self.backend_gone(&mut state, &name, now);
        }
        if state.backends.end_pauses(now) {
            self.send_backends(&state, now);
        }
        state.attempts.trim(now);
        self.note_freshness(&mut state, now);
        self.refuse_overdue(&mut state, now);
        self.dispatch(&mut state, now)
    }

    /// Takes nothing new from now on. What waits is refused; what runs goes on.
    pub fn drain(&self, now: Instant) {
        let mut state = self.state.lock();
        if state.draining {
            return;
        }
        state.draining = true;
        self.sessions.send_to_all(&Frame::Drain);
        self.refuse_all_queued(&mut state, NotStartedReason::ShuttingDown, now);
    }

    /// Lists the backend servers, also those that left and still run tasks.
    #[must_use]
    pub fn backends(&self) -> Vec<backends::Backend> {
        self.state.lock().backends.iter().cloned().collect()
    }

    fn backend_gone(&self, state: &mut State, name: &str, now: Instant) {
        self.timeline
            .record(Event::new(EventKind::BackendDown).detail(name));
        self.send_backends(state, now);
        self.refuse_without_backend(state, now);
    }

    fn send_backends(&self, state: &State, now: Instant) {
        let infos = state.backends.infos(now);
        self.sessions.send_to_all(&Frame::Backends(infos));
    }

    fn open_credits(&self, state: &mut State, service: Name) {
        let credits = state.credits.entry(service).or_default();
        for session in self.sessions.ids() {
            credits.open(session);
        }
    }

    /// Sends each session the grants that the free places allow.
    fn grant(&self, state: &mut State, now: Instant) {
        if state.draining {
            return;
        }
        let services: Vec<Name> = state.credits.keys().cloned().collect();
        for service in services {
            let entries = self.view.view().map_or(0, |view| view.members.len());
            let capacity = state.capacity(&service, &self.limits, entries, now);
            let Some(credits) = state.credits.get_mut(&service) else {
                continue;
            };
            for change in credits.grant(capacity) {
                let credit = Credit {
                    service: service.clone(),
                    total: change.total,
                };
                self.sessions.send(change.session, Frame::Credit(credit));
            }
        }
    }

    fn note_freshness(&self, state: &mut State, now: Instant) {
        let fresh = self.view.is_fresh(now);
        if fresh == state.was_fresh {
            return;
        }
        state.was_fresh = fresh;
        let kind = if fresh {
            EventKind::ViewFresh
        } else {
            EventKind::ViewStale
        };
        self.timeline.record(Event::new(kind));
    }
}

impl State {
    fn capacity(
        &self,
        service: &Name,
        limits: &AgentLimits,
        entries: usize,
        now: Instant,
    ) -> Capacity {
        let slots = self.backends.places(service, now);
        let running = self
            .running
            .values()
            .filter(|r| r.task.key.service == *service);
        let busy = running.count() + self.queue.len(service);
        Capacity {
            slots,
            prefetch: limits.prefetch.into(),
            busy: busy as u64,
            entries: entries as u64,
        }
    }

    fn close_credits(&mut self, session: SessionId) {
        for credits in self.credits.values_mut() {
            credits.close(session);
        }
    }

    /// Returns the epoch below which no task of a partition starts, as far as new owners said.
    fn fence(&self, partition: Partition) -> Epoch {
        let gatherer = self.gatherers.get(&partition);
        gatherer.map_or_else(Epoch::default, |g| g.epoch)
    }
}

/// Shares the core among the tasks of the process.
pub type SharedCore = Arc<AgentCore>;
