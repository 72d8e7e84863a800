//! Workers of one service as this entry sees them, and the choice among them.

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
use worker::{Place, SLOW};

pub use worker::{Connected, Outstanding, Worker, WorkerId};

/// Time after the end of its session for which a worker's tasks count as outstanding.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Rule by which a worker with room is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementRule {
    /// Any one.
    Random,
    /// The one used least recently.
    RoundRobin,
    /// The one with the fewest outstanding tasks for its slots.
    LeastOutstanding,
    /// By observed speed and outstanding tasks; a near zone breaks ties, and a task waits rather
    /// than to run on a slow worker.
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
    ready: BTreeSet<Place>,
    unsettled: BTreeSet<WorkerId>,
    concurrency: u64,
    next_id: u64,
    uses: u64,
}

impl Workers {
    /// Creates an empty set for an entry in a zone.
    #[must_use]
    pub fn new(rule: PlacementRule, zone: Name, seed: u64) -> Self {
        Self {
            rule,
            zone,
            rng: SmallRng::seed_from_u64(seed),
            zones_out: BTreeSet::new(),
            ids: FxHashMap::default(),
            by_id: BTreeMap::new(),
            ready: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            concurrency: 0,
            next_id: 0,
            uses: 0,
        }
    }

    /// Returns a worker.
    #[must_use]
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.by_id.get(&id)
    }

    /// Returns the number of a worker.
    #[must_use]
    pub fn id(&self, name: &Name) -> Option<WorkerId> {
        self.ids.get(name).copied()
    }

    /// Returns how many tasks run, or could with the credits given, on workers in service.
    #[must_use]
    pub fn concurrency(&self) -> u64 {
        self.concurrency
    }

    /// Returns the slots of workers in service that are not taken out.
    #[must_use]
    pub fn slots(&self) -> u64 {
        let in_service = self.by_id.values().filter(|w| self.in_service(w));
        let healthy = in_service.filter(|w| !w.health.is_quarantined());
        healthy.map(|w| u64::from(w.slots)).sum()
    }

    /// Returns true if a worker has room.
    #[must_use]
    pub fn any_ready(&self) -> bool {
        !self.ready.is_empty()
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

    /// Counts connected workers, and those of them that are taken out.
    #[must_use]
    pub fn count_out(&self) -> (usize, usize) {
        let connected = || self.by_id.values().filter(|w| w.session.is_some());
        let out = connected().filter(|w| w.health.is_quarantined()).count();
        (connected().count(), out)
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

    /// Takes zones out of service and back. Workers of a zone that comes back start with few tasks.
    pub fn set_zones_out(&mut self, zones_out: BTreeSet<Name>, now: Instant) {
        let before = std::mem::replace(&mut self.zones_out, zones_out);
        let ids: Vec<WorkerId> = self.by_id.keys().copied().collect();
        for id in ids {
            let zone = &self.by_id[&id].zone;
            let is_back = before.contains(zone) && !self.zones_out.contains(zone);
            self.change(id, now, |w| {
                if is_back {
                    w.health.restart_ramp(now);
                }
            });
        }
    }

    /// Enters a worker's session with its slots, or changes its slots. Returns the tasks of an older
    /// incarnation, which run no more.
    pub fn connect(&mut self, session: &Connected, now: Instant) -> Vec<Outstanding> {
        let id = self.enter(session, now);
        let mut lost = Vec::new();
        self.change(id, now, |w| {
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
        self.change_session(name, session, now, |w| {
            w.session = None;
            w.gone_since = Some(now);
        });
    }

    /// Takes over the total of credits of a session.
    pub fn credit(&mut self, name: &Name, session: u64, total: u64, now: Instant) -> bool {
        let mut raised = false;
        self.change_session(name, session, now, |w| {
            raised = total > w.credit_total;
            w.credit_total = w.credit_total.max(total);
            w.most_credits = w.most_credits.max(w.credits());
        });
        raised
    }

    /// Sends nothing new to a worker that leaves.
    pub fn drain(&mut self, name: &Name, session: u64, now: Instant) {
        self.change_session(name, session, now, |w| w.draining = true);
    }

    /// Sends nothing new to a worker for a while, or again.
    pub fn hold(&mut self, name: &Name, held: bool, now: Instant) {
        if let Some(id) = self.id(name) {
            self.change(id, now, |w| w.held = held);
        }
    }

    /// Chooses a worker with room, and uses one of its credits. Workers to avoid are chosen only if
    /// no other one is in service. `waiting` is the number of waiting tasks.
    pub fn pick(&mut self, avoid: &[Name], waiting: usize, now: Instant) -> Option<WorkerId> {
        let id = self.find(avoid, waiting, now)?;
        self.uses += 1;
        let uses = self.uses;
        self.change(id, now, |w| {
            w.credit_used += 1;
            w.pending += 1;
            w.last_used = uses;
            w.health.sent();
            w.postpone_trial(now);
        });
        Some(id)
    }

    /// Gives back a credit that was not used after all.
    pub fn unpick(&mut self, id: WorkerId, session: u64, now: Instant) {
        self.change(id, now, |w| {
            w.pending = w.pending.saturating_sub(1);
            if w.session == Some(session) {
                w.credit_used = w.credit_used.saturating_sub(1);
            }
        });
    }

    /// Counts a chosen task as outstanding.
    pub fn confirm(&mut self, id: WorkerId, attempt: AttemptId, task: Outstanding, now: Instant) {
        self.change(id, now, |w| {
            w.pending = w.pending.saturating_sub(1);
            w.outstanding.insert(attempt, task);
        });
    }

    /// Counts an attempt that was found at a worker as outstanding.
    pub fn adopt(&mut self, name: &Name, attempt: AttemptId, task: Outstanding, now: Instant) {
        if let Some(id) = self.id(name) {
            self.change(id, now, |w| {
                w.outstanding.entry(attempt).or_insert(task);
            });
        }
    }

    /// Takes out an outstanding task. Returns none if it was not outstanding.
    pub fn ended(&mut self, id: WorkerId, attempt: AttemptId, now: Instant) -> Option<Outstanding> {
        let mut task = None;
        self.change(id, now, |w| task = w.outstanding.remove(&attempt));
        task
    }

    /// Takes over the run time of a task.
    pub fn observe(&mut self, id: WorkerId, run: Duration, service: &RunTimes, now: Instant) {
        self.change(id, now, |w| {
            w.speed.add(run, service);
            w.last_success = Some(now);
            if w.speed.slowness() < SLOW {
                w.next_trial = None;
            }
        });
    }

    /// Returns true if a worker has ended no task well since a moment.
    #[must_use]
    pub fn is_stuck_since(&self, id: WorkerId, since: Instant) -> bool {
        let worker = self.by_id.get(&id);
        worker.is_some_and(|w| w.last_success.is_none_or(|at| at < since))
    }

    /// Changes the standing of a worker.
    pub fn change_health(&mut self, id: WorkerId, now: Instant, change: impl FnOnce(&mut Health)) {
        self.change(id, now, |w| change(&mut w.health));
    }

    /// Updates what changes by time alone. Returns the tasks of workers that were forgotten.
    pub fn tick(&mut self, now: Instant) -> Vec<Outstanding> {
        for id in self.unsettled.clone() {
            self.change(id, now, |_| {});
        }
        let forgotten = |w: &Worker| {
            let gone = w.gone_since.filter(|_| w.session.is_none());
            gone.is_some_and(|since| now.saturating_duration_since(since) >= FORGET_AFTER)
        };
        let ids: Vec<WorkerId> = self
            .by_id
            .iter()
            .filter(|(_, w)| forgotten(w))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter().flat_map(|id| self.forget(id)).collect()
    }

    fn forget(&mut self, id: WorkerId) -> Vec<Outstanding> {
        self.unsettled.remove(&id);
        let Some(mut worker) = self.by_id.remove(&id) else {
            return Vec::new();
        };
        self.ids.remove(&worker.name);
        worker.outstanding.drain().map(|(_, task)| task).collect()
    }

    fn enter(&mut self, session: &Connected, now: Instant) -> WorkerId {
        if let Some(id) = self.id(&session.worker) {
            return id;
        }
        let id = WorkerId(self.next_id);
        self.next_id += 1;
        self.ids.insert(session.worker.clone(), id);
        self.by_id.insert(id, Worker::new(session, now));
        id
    }

    fn find(&self, avoid: &[Name], waiting: usize, now: Instant) -> Option<WorkerId> {
        let avoided = |id: &WorkerId| avoid.contains(&self.by_id[id].name);
        let mut ready = self.ready.iter().map(|(_, _, id)| *id);
        let first = self.ready.first().map(|(_, _, id)| *id);
        let id = ready.find(|id| !avoided(id)).or_else(|| {
            let others = self.by_id.iter();
            let mut others = others.filter(|(id, w)| self.in_service(w) && !avoided(id));
            others.next().map_or(first, |_| None)
        })?;
        (!self.is_worth_waiting(id, waiting, now)).then_some(id)
    }

    /// Returns true if a task is done earlier by waiting for another worker.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a comparison needs no exact count"
    )]
    fn is_worth_waiting(&self, id: WorkerId, waiting: usize, now: Instant) -> bool {
        let worker = &self.by_id[&id];
        let slowness = worker.speed.slowness();
        if self.rule != PlacementRule::SpeedAware || slowness < SLOW {
            return false;
        }
        if worker.next_trial.is_none_or(|(due, _)| now >= due) {
            return false;
        }
        let others = self.by_id.values().filter(|w| self.in_service(w));
        let fast_slots: u32 = others
            .filter(|w| w.speed.slowness() < SLOW && !w.health.is_quarantined())
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

    fn change_session(
        &mut self,
        name: &Name,
        session: u64,
        now: Instant,
        change: impl FnOnce(&mut Worker),
    ) {
        let Some(id) = self.id(name) else {
            return;
        };
        if self.by_id[&id].session == Some(session) {
            self.change(id, now, change);
        }
    }

    /// Changes a worker and moves it to its place among those with room.
    fn change(&mut self, id: WorkerId, now: Instant, change: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.by_id.get_mut(&id) else {
            return;
        };
        change(worker);
        let before = worker.place.take();
        if let Some(place) = before {
            self.ready.remove(&place);
        }
        let worker = &self.by_id[&id];
        let place = self.has_room(worker, now).then(|| self.score(worker));
        let place = place.map(|score| (score, worker.last_used, id));
        let counted = if self.in_service(worker) {
            (u64::from(worker.in_flight()) + worker.credits()).min(worker.slots.into())
        } else {
            0
        };
        self.settle(id, now);
        self.place(id, place, counted);
    }

    fn place(&mut self, id: WorkerId, place: Option<Place>, counted: u64) {
        let place = match (self.rule, place) {
            (PlacementRule::Random, Some((_, used, id))) => Some((self.rng.random(), used, id)),
            (_, place) => place,
        };
        if let Some(place) = place {
            self.ready.insert(place);
        }
        if let Some(worker) = self.by_id.get_mut(&id) {
            self.concurrency = self.concurrency - worker.counted + counted;
            worker.counted = counted;
            worker.place = place;
        }
    }

    fn settle(&mut self, id: WorkerId, now: Instant) {
        if self.by_id[&id].health.limit_changes_over_time(now) {
            self.unsettled.insert(id);
        } else {
            self.unsettled.remove(&id);
        }
    }

    fn has_room(&self, worker: &Worker, now: Instant) -> bool {
        self.in_service(worker)
            && !worker.held
            && worker.credits() > 0
            && worker.in_flight() < worker.slots.min(worker.health.limit(now))
    }

    fn score(&self, worker: &Worker) -> u64 {
        match self.rule {
            PlacementRule::Random | PlacementRule::RoundRobin => 0,
            PlacementRule::LeastOutstanding => scaled(worker.load()),
            PlacementRule::SpeedAware => {
                let far = if worker.zone == self.zone { 0.0 } else { 0.01 };
                scaled(worker.speed.slowness() * (1.0 + worker.load()) + far)
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
