//! Decision logic of the agent. Methods never wait: they take the current time and return the tasks
//! to run.
//!
//! - [`view`]: the agent's copy of the replicated state, and the check against it before a start.
//! - [`starts`]: a task's path from its arrival to its end.
//! - [`reports`]: reports of attempts to the owners of partitions, also after a change of owner.
//! - [`attempts`]: the table of attempts and their outcomes.
//! - [`credits`]: how many tasks each entry may send.
//! - [`backends`], [`queue`]: slots of backend servers, and tasks that wait for them.
//!
//! Three locks guard the decision state, the view and the sessions; they are acquired in this
//! order. Frames are added to the sessions' queues under the first lock, so that they leave in the
//! order of the decisions.

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
use self::sessions::{SessionHandle, Sessions};
use self::starts::{Run, Running};
pub use self::stats::Stats;
use self::view::ViewStore;

/// Number of a session, unique within this incarnation of the agent.
pub type SessionId = u64;

/// Decision logic of one agent, with its state, view and sessions.
pub struct AgentCore {
    identity: Identity,
    limits: AgentLimits,
    timeline: Timeline,
    metrics: Metrics,
    state: Mutex<State>,
    view: ViewStore,
    sessions: Sessions,
}

/// State guarded by the first lock.
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
    /// Creates an agent with no view, sessions, backend servers or attempts.
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
            view: ViewStore::default(),
            sessions: Sessions::new(metrics.clone()),
            metrics,
        }
    }

    /// Returns the identity of this agent.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the timeline of events.
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
    pub fn view(&self) -> &ViewStore {
        &self.view
    }

    /// Returns the open sessions.
    #[must_use]
    pub fn sessions(&self) -> &Sessions {
        &self.sessions
    }

    /// Adds a session and sends its entry the list of backend servers, its first credits and the
    /// results that it has not received yet.
    pub fn session_opened(&self, session: SessionId, handle: SessionHandle, now: Instant) {
        let mut state = self.state.lock();
        let entry = handle.entry.clone();
        if let Some(older) = self.sessions.open(session, handle) {
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
        self.resend_to_entry(&mut state, &entry, session);
        self.grant(&mut state, now);
    }

    /// Removes a session. Tasks that arrived on it continue.
    pub fn session_closed(&self, session: SessionId, now: Instant) {
        let mut state = self.state.lock();
        self.sessions.close(session);
        state.close_credits(session);
        self.grant(&mut state, now);
    }

    /// Applies the view received in a heartbeat answer.
    pub fn apply_view(&self, view: Option<AgentView>, as_of: Option<Instant>, now: Instant) {
        let Some(change) = self.view.apply(view, as_of) else {
            return;
        };
        let before = change.before.as_ref().map_or(0, |v| v.config_version);
        if before != change.after.config_version {
            let detail = format!("version {}", change.after.config_version);
            self.timeline
                .record(Event::new(EventKind::ConfigApplied).detail(detail));
        }
        let mut state = self.state.lock();
        self.record_freshness(&mut state, now);
        let registered_before = change.before.as_ref().map_or(0, |v| v.registered_at);
        if registered_before != change.after.registered_at {
            // Entries may have considered this agent lost between the two registrations.
            self.refuse_all_queued(&mut state, NotStartedReason::ViewStale, now);
        }
        self.resend_after_change(&mut state, &change);
        self.grant(&mut state, now);
    }

    /// Records how many tasks of a service wait at a session's entry.
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

    /// Marks a backend server as withdrawn: it gets no new tasks, and its running tasks continue.
    /// Returns false if it is unknown or already withdrawn.
    pub fn withdraw(&self, name: &str, now: Instant) -> bool {
        let mut state = self.state.lock();
        let found = state.backends.withdraw(name);
        if found {
            self.handle_backend_down(&mut state, name, now);
        }
        found
    }

    /// Does the periodic work: expires announcements, ends connection backoffs, evicts old
    /// attempts, records when the view becomes fresh or stale, and refuses tasks past their
    /// deadline.
    #[must_use]
    pub fn tick(&self, now: Instant) -> Vec<Run> {
        let mut state = self.state.lock();
        for name in state.backends.expire(now) {
            self.handle_backend_down(&mut state, &name, now);
        }
        if state.backends.end_backoffs(now) {
            self.send_backends(&state, now);
        }
        state.attempts.trim(now);
        self.record_freshness(&mut state, now);
        self.refuse_past_deadline(&mut state, now);
        self.dispatch(&mut state, now)
    }

    /// Stops accepting tasks: queued tasks are refused, running tasks continue.
    pub fn drain(&self, now: Instant) {
        let mut state = self.state.lock();
        if state.draining {
            return;
        }
        state.draining = true;
        self.sessions.send_to_all(&Frame::Drain);
        self.refuse_all_queued(&mut state, NotStartedReason::ShuttingDown, now);
    }

    /// Lists the backend servers, including withdrawn ones that still run tasks.
    #[must_use]
    pub fn backends(&self) -> Vec<backends::Backend> {
        self.state.lock().backends.iter().cloned().collect()
    }

    fn handle_backend_down(&self, state: &mut State, name: &str, now: Instant) {
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

    /// Grants credits up to the free slots and sends each session its new total.
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

    fn record_freshness(&self, state: &mut State, now: Instant) {
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
        let slots = self.backends.usable_slots(service, now);
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

    /// Returns the fencing epoch of a partition, set by the latest gather: no task with a lower
    /// epoch starts.
    fn fence(&self, partition: Partition) -> Epoch {
        let gatherer = self.gatherers.get(&partition);
        gatherer.map_or_else(Epoch::default, |g| g.epoch)
    }
}

/// The core, shared among the process's async tasks.
pub type SharedCore = Arc<AgentCore>;
