//! Workers of one service as seen by this entry, and the selection of a worker for a task.

mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use masticcross_basics::{AttemptId, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use masticcross_jobs::health::Health;
use masticcross_jobs::run_times::{RunTimes, Speed};
use worker::{SLOW_THRESHOLD, SelectionKey};

pub use worker::{OutstandingTask, Worker, WorkerId, WorkerSession};

/// Time after the end of its session after which a worker is removed. Until then its tasks count as
/// outstanding.
const REMOVE_AFTER: Duration = Duration::from_mins(1);

/// Rule that selects one of the available workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementRule {
    /// A random worker.
    Random,
    /// The worker used least recently.
    RoundRobin,
    /// The worker with the lowest load relative to its slots.
    LeastOutstanding,
    /// By observed speed and load. A worker in the entry's zone wins a tie. A task may wait instead
    /// of running on a slow worker.
    #[default]
    SpeedAware,
}

/// All workers of one service.
pub struct Workers {
    rule: PlacementRule,
    zone: Name,
    rng: SmallRng,
    zones_out: BTreeSet<Name>,
    ids: FxHashMap<Name, WorkerId>,
    by_id: BTreeMap<WorkerId, Worker>,
    available: BTreeSet<SelectionKey>,
    time_dependent: BTreeSet<WorkerId>,
    concurrency: u64,
    next_id: u64,
    use_counter: u64,
}

impl Workers {
    /// Creates an empty set of workers for an entry in `zone`.
    #[must_use]
    pub fn new(rule: PlacementRule, zone: Name, seed: u64) -> Self {
        Self {
            rule,
            zone,
            rng: SmallRng::seed_from_u64(seed),
            zones_out: BTreeSet::new(),
            ids: FxHashMap::default(),
            by_id: BTreeMap::new(),
            available: BTreeSet::new(),
            time_dependent: BTreeSet::new(),
            concurrency: 0,
            next_id: 0,
            use_counter: 0,
        }
    }

    /// Returns the worker with this id.
    #[must_use]
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.by_id.get(&id)
    }

    /// Returns the id of a worker.
    #[must_use]
    pub fn id(&self, name: &Name) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Returns how many tasks the workers in service run, or could run with the credits granted.
    #[must_use]
    pub fn concurrency(&self) -> u64 {
        self.concurrency
    }

    /// Returns the total slots of the workers in service that are not quarantined.
    #[must_use]
    pub fn slots(&self) -> u64 {
        let in_service = self.by_id.values().filter(|w| self.in_service(w));
        let healthy = in_service.filter(|w| !w.health.is_quarantined());
        healthy.map(|w| u64::from(w.slots)).sum()
    }

    /// Returns true if a worker is available for a task.
    #[must_use]
    pub fn any_available(&self) -> bool {
        !self.available.is_empty()
    }

    /// Returns true if a connected worker in a zone in service has slots.
    #[must_use]
    pub fn any_in_service(&self) -> bool {
        self.by_id.values().any(|w| self.in_service(w))
    }

    /// Lists the connected workers that serve the service.
    #[must_use]
    pub fn connected(&self) -> Vec<Name> {
        let connected = self.by_id.values();
        let connected = connected.filter(|w| w.session.is_some() && w.slots > 0);
        connected.map(|w| w.name.clone()).collect()
    }

    /// Returns the number of connected workers, and how many of them are quarantined.
    #[must_use]
    pub fn count_quarantined(&self) -> (usize, usize) {
        let connected = || self.by_id.values().filter(|w| w.session.is_some());
        let quarantined = connected().filter(|w| w.health.is_quarantined()).count();
        (connected().count(), quarantined)
    }

    /// Returns the number of outstanding tasks of all workers.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.by_id.values().map(|w| w.outstanding.len()).sum()
    }

    /// Returns the number of unused credits of all workers.
    #[must_use]
    pub fn credits(&self) -> u64 {
        self.by_id.values().map(Worker::credits).sum()
    }

    /// Sets the zones that are out of service. Workers of a zone that returns to service start with
    /// few tasks.
    pub fn set_zones_out(&mut self, zones_out: BTreeSet<Name>, now: Instant) {
        let before = std::mem::replace(&mut self.zones_out, zones_out);
        let ids: Vec<WorkerId> = self.by_id.keys().copied().collect();
        for id in ids {
            let zone = &self.by_id[&id].zone;
            let is_restored = before.contains(zone) && !self.zones_out.contains(zone);
            self.update(id, now, |w| {
                if is_restored {
                    w.health.restart_ramp(now);
                }
            });
        }
    }

    /// Adds a worker's session, or updates its slots. Returns the tasks of an older incarnation of
    /// the worker, which no longer run.
    pub fn connect(&mut self, session: &WorkerSession, now: Instant) -> Vec<OutstandingTask> {
        let id = self.id_or_insert(session, now);
        let mut lost = Vec::new();
        self.update(id, now, |w| {
            if w.incarnation != session.incarnation {
                lost.extend(w.outstanding.drain().map(|(_, task)| task));
                w.incarnation = session.incarnation;
                w.speed = Speed::default();
            }
            if w.session != Some(session.number) {
                w.start_session(session, now);
            }
            w.slots = session.slots;
        });
        lost
    }

    /// Ends a worker's session. Its tasks may still run.
    pub fn disconnect(&mut self, name: &Name, session: u64, now: Instant) {
        self.update_session(name, session, now, |w| {
            w.session = None;
            w.disconnected_since = Some(now);
        });
    }

    /// Stores the total number of credits granted to a session. Returns false if the total did not
    /// increase.
    pub fn credit(&mut self, name: &Name, session: u64, total: u64, now: Instant) -> bool {
        let mut raised = false;
        self.update_session(name, session, now, |w| {
            raised = total > w.credit_total;
            w.credit_total = w.credit_total.max(total);
            w.peak_credits = w.peak_credits.max(w.credits());
        });
        raised
    }

    /// Marks a worker as draining: no new tasks are placed on it.
    pub fn drain(&mut self, name: &Name, session: u64, now: Instant) {
        self.update_session(name, session, now, |w| w.draining = true);
    }

    /// Pauses or resumes the placement of tasks on a worker.
    pub fn set_paused(&mut self, name: &Name, paused: bool, now: Instant) {
        if let Some(id) = self.id(name) {
            self.update(id, now, |w| w.paused = paused);
        }
    }

    /// Picks an available worker and uses one of its credits. Workers in `avoid` are picked only if
    /// no other worker is in service. `waiting` is the number of waiting tasks.
    pub fn pick(&mut self, avoid: &[Name], waiting: usize, now: Instant) -> Option<WorkerId> {
        let id = self.find_available(avoid, waiting, now)?;
        self.use_counter += 1;
        let use_counter = self.use_counter;
        self.update(id, now, |w| {
            w.credit_used += 1;
            w.pending += 1;
            w.last_used = use_counter;
            w.health.sent();
            w.schedule_speed_probe(now);
        });
        Some(id)
    }

    /// Cancels a pick, and returns its credit if the session is still the same.
    pub fn cancel_pick(&mut self, id: WorkerId, session: u64, now: Instant) {
        self.update(id, now, |w| {
            w.pending = w.pending.saturating_sub(1);
            if w.session == Some(session) {
                w.credit_used = w.credit_used.saturating_sub(1);
            }
        });
    }

    /// Records the task of a picked worker as outstanding.
    pub fn confirm(
        &mut self,
        id: WorkerId,
        attempt: AttemptId,
        task: OutstandingTask,
        now: Instant,
    ) {
        self.update(id, now, |w| {
            w.pending = w.pending.saturating_sub(1);
            w.outstanding.insert(attempt, task);
        });
    }

    /// Records an attempt that was found at a worker as outstanding.
    pub fn adopt(&mut self, name: &Name, attempt: AttemptId, task: OutstandingTask, now: Instant) {
        if let Some(id) = self.id(name) {
            self.update(id, now, |w| {
                w.outstanding.entry(attempt).or_insert(task);
            });
        }
    }

    /// Removes an outstanding task. Returns `None` if it was not outstanding.
    pub fn ended(
        &mut self,
        id: WorkerId,
        attempt: AttemptId,
        now: Instant,
    ) -> Option<OutstandingTask> {
        let mut task = None;
        self.update(id, now, |w| task = w.outstanding.remove(&attempt));
        task
    }

    /// Records the run time of a task that succeeded.
    pub fn observe(&mut self, id: WorkerId, run: Duration, service: &RunTimes, now: Instant) {
        self.update(id, now, |w| {
            w.speed.add(run, service);
            w.last_success = Some(now);
            if w.speed.slowness() < SLOW_THRESHOLD {
                w.next_speed_probe = None;
            }
        });
    }

    /// Returns true if no task has succeeded on a worker since the given time.
    #[must_use]
    pub fn no_success_since(&self, id: WorkerId, since: Instant) -> bool {
        let worker = self.by_id.get(&id);
        worker.is_some_and(|w| w.last_success.is_none_or(|at| at < since))
    }

    /// Updates the health of a worker.
    pub fn update_health(&mut self, id: WorkerId, now: Instant, update: impl FnOnce(&mut Health)) {
        self.update(id, now, |w| update(&mut w.health));
    }

    /// Updates the state that depends on the passage of time. Returns the tasks of workers that
    /// were removed because they were disconnected for too long.
    pub fn tick(&mut self, now: Instant) -> Vec<OutstandingTask> {
        for id in self.time_dependent.clone() {
            self.update(id, now, |_| {});
        }
        let is_expired = |w: &Worker| {
            let disconnected = w.disconnected_since.filter(|_| w.session.is_none());
            disconnected.is_some_and(|since| now.saturating_duration_since(since) >= REMOVE_AFTER)
        };
        let ids: Vec<WorkerId> = self
            .by_id
            .iter()
            .filter(|(_, w)| is_expired(w))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .flat_map(|id| self.remove_worker(id))
            .collect()
    }

    fn remove_worker(&mut self, id: WorkerId) -> Vec<OutstandingTask> {
        self.time_dependent.remove(&id);
        let Some(mut worker) = self.by_id.remove(&id) else {
            return Vec::new();
        };
        self.ids.remove(&worker.name);
        worker.outstanding.drain().map(|(_, task)| task).collect()
    }

    fn id_or_insert(&mut self, session: &WorkerSession, now: Instant) -> WorkerId {
        if let Some(id) = self.id(&session.worker) {
            return id;
        }
        let id = WorkerId(self.next_id);
        self.next_id += 1;
        self.ids.insert(session.worker.clone(), id);
        self.by_id.insert(id, Worker::new(session, now));
        id
    }

    fn find_available(&self, avoid: &[Name], waiting: usize, now: Instant) -> Option<WorkerId> {
        let avoided = |id: &WorkerId| avoid.contains(&self.by_id[id].name);
        let mut available = self.available.iter().map(|(_, _, id)| *id);
        let first = self.available.first().map(|(_, _, id)| *id);
        let id = available.find(|id| !avoided(id)).or_else(|| {
            let others = self.by_id.iter();
            let mut others = others.filter(|(id, w)| self.in_service(w) && !avoided(id));
            others.next().map_or(first, |_| None)
        })?;
        (!self.should_wait_for_faster(id, waiting, now)).then_some(id)
    }

    /// Returns true if a task is expected to end earlier by waiting for a faster worker.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a comparison needs no exact count"
    )]
    fn should_wait_for_faster(&self, id: WorkerId, waiting: usize, now: Instant) -> bool {
        let worker = &self.by_id[&id];
        let slowness = worker.speed.slowness();
        if self.rule != PlacementRule::SpeedAware || slowness < SLOW_THRESHOLD {
            return false;
        }
        if worker.next_speed_probe.is_none_or(|(due, _)| now >= due) {
            return false;
        }
        let others = self.by_id.values().filter(|w| self.in_service(w));
        let fast_slots: u32 = others
            .filter(|w| w.speed.slowness() < SLOW_THRESHOLD && !w.health.is_quarantined())
            .map(|w| w.slots)
            .sum();
        (waiting as f64) < (slowness - 1.0) * f64::from(fast_slots)
    }

    fn in_service(&self, worker: &Worker) -> bool {
        worker.session.is_some()
            && worker.slots > 0
            && !worker.draining
            && !self.zones_out.contains(&worker.zone)
    }

    fn update_session(
        &mut self,
        name: &Name,
        session: u64,
        now: Instant,
        update: impl FnOnce(&mut Worker),
    ) {
        let Some(id) = self.id(name) else {
            return;
        };
        if self.by_id[&id].session == Some(session) {
            self.update(id, now, update);
        }
    }

    /// Updates a worker, and then its position among the available workers.
    fn update(&mut self, id: WorkerId, now: Instant, update: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.by_id.get_mut(&id) else {
            return;
        };
        update(worker);
        let before = worker.selection_key.take();
        if let Some(selection_key) = before {
            self.available.remove(&selection_key);
        }
        let worker = &self.by_id[&id];
        let selection_key = self.is_available(worker, now).then(|| self.score(worker));
        let selection_key = selection_key.map(|score| (score, worker.last_used, id));
        let counted_concurrency = if self.in_service(worker) {
            (u64::from(worker.in_flight()) + worker.credits()).min(worker.slots.into())
        } else {
            0
        };
        self.update_time_dependent(id, now);
        self.set_selection_key(id, selection_key, counted_concurrency);
    }

    fn set_selection_key(
        &mut self,
        id: WorkerId,
        selection_key: Option<SelectionKey>,
        counted_concurrency: u64,
    ) {
        let selection_key = match (self.rule, selection_key) {
            (PlacementRule::Random, Some((_, used, id))) => Some((self.rng.random(), used, id)),
            (_, selection_key) => selection_key,
        };
        if let Some(selection_key) = selection_key {
            self.available.insert(selection_key);
        }
        if let Some(worker) = self.by_id.get_mut(&id) {
            self.concurrency = self.concurrency - worker.counted_concurrency + counted_concurrency;
            worker.counted_concurrency = counted_concurrency;
            worker.selection_key = selection_key;
        }
    }

    fn update_time_dependent(&mut self, id: WorkerId, now: Instant) {
        if self.by_id[&id].health.limit_changes_over_time(now) {
            self.time_dependent.insert(id);
        } else {
            self.time_dependent.remove(&id);
        }
    }

    fn is_available(&self, worker: &Worker, now: Instant) -> bool {
        self.in_service(worker)
            && !worker.paused
            && worker.credits() > 0
            && worker.in_flight() < worker.slots.min(worker.health.limit(now))
    }

    fn score(&self, worker: &Worker) -> u64 {
        match self.rule {
            PlacementRule::Random | PlacementRule::RoundRobin => 0,
            PlacementRule::LeastOutstanding => scaled(worker.load()),
            PlacementRule::SpeedAware => {
                let remote_zone_penalty = if worker.zone == self.zone { 0.0 } else { 0.01 };
                scaled(worker.speed.slowness() * (1.0 + worker.load()) + remote_zone_penalty)
            }
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "scores are small and not negative"
)]
fn scaled(score: f64) -> u64 {
    (score * 1000.0) as u64
}
