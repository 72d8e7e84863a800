//! The workers of an entry, with what placement and admission need of them, which is updated with
//! each change instead of collected at each decision.
//!
//! Load: an entry with a tenth of a core and hundreds of jobs that wait. Each announcement of free
//! resources then concerns one worker, and the others have no room for the jobs at the head of the
//! queue. A job remembers the [`Stamp`] at which no worker had room for it, and only workers that
//! changed later are considered for it.

use std::collections::{BTreeMap, BTreeSet, Bound};
use std::ops::{AddAssign, SubAssign};
use std::sync::Arc;

use masticcross_basics::Name;
use masticcross_wire::pool::{OperatorView, Resources, WorkerInfo};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::worker::Worker;
use crate::crashes::confinement::Place;

/// Position in the sequence of changes of workers.
pub(super) type Stamp = u64;

/// A worker that can get runs now.
#[derive(Debug)]
pub(super) struct Candidate {
    pub name: Name,
    pub info: Arc<WorkerInfo>,
    pub free: Resources,
    pub slots: u32,
    /// Placement cost as of [`Worker::cost`].
    pub cost: f64,
    /// Position among the workers of the service, if a queue is confined.
    pub place: Option<Place>,
    /// Time until which no further run that may not start close to another one starts here.
    pub spaced_until: Option<Instant>,
}

/// Totals over workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct WorkerTotals {
    /// Workers that can be used and do not leave.
    pub usable: usize,
    /// CPU capacity of these, in thousandths of a core.
    pub usable_cpu: u128,
    /// Free CPU of all workers, in thousandths of a core.
    pub free_cpu: u128,
    /// Workers that can be used, including those that leave.
    pub present: usize,
    /// Workers of these that are quarantined.
    pub quarantined: usize,
}

impl WorkerTotals {
    pub fn of(worker: &Worker) -> Self {
        let usable = worker.info.as_ref().filter(|info| !info.leaving);
        let present = worker.info.is_some();
        Self {
            usable: usable.is_some().into(),
            usable_cpu: usable.map_or(0, |info| info.capacity.cpu.into()),
            free_cpu: worker.free().cpu.into(),
            present: present.into(),
            quarantined: (present && worker.health.is_quarantined()).into(),
        }
    }
}

impl AddAssign for WorkerTotals {
    fn add_assign(&mut self, other: Self) {
        self.usable += other.usable;
        self.usable_cpu += other.usable_cpu;
        self.free_cpu += other.free_cpu;
        self.present += other.present;
        self.quarantined += other.quarantined;
    }
}

impl SubAssign for WorkerTotals {
    fn sub_assign(&mut self, other: Self) {
        self.usable -= other.usable;
        self.usable_cpu -= other.usable_cpu;
        self.free_cpu -= other.free_cpu;
        self.present -= other.present;
        self.quarantined -= other.quarantined;
    }
}

#[derive(Debug)]
struct Tracked {
    worker: Worker,
    /// True from a mutable access to the next refresh. The totals do not include the worker then.
    touched: bool,
    counted: WorkerTotals,
    /// Service under which the worker is counted.
    service: Option<Name>,
    stamp: Stamp,
}

/// Workers by name.
#[derive(Debug)]
pub(super) struct Workers {
    /// Availability zone of the entry.
    zone: Name,
    all: FxHashMap<Name, Tracked>,
    names: BTreeSet<Name>,
    touched: Vec<Name>,
    totals: WorkerTotals,
    /// Numbers of workers by service.
    services: FxHashMap<Name, usize>,
    /// Workers whose limit of runs may change with time alone.
    unsettled: BTreeSet<Name>,
    candidates: FxHashMap<Name, Candidate>,
    last_stamp: Stamp,
    /// The last change of each worker.
    changes: BTreeMap<Stamp, Name>,
    /// Stamp up to which no remembered result holds.
    valid_after: Stamp,
    has_places: bool,
}

impl Workers {
    pub fn new(zone: Name) -> Self {
        Self {
            zone,
            all: FxHashMap::default(),
            names: BTreeSet::new(),
            touched: Vec::new(),
            totals: WorkerTotals::default(),
            services: FxHashMap::default(),
            unsettled: BTreeSet::new(),
            candidates: FxHashMap::default(),
            last_stamp: 0,
            changes: BTreeMap::new(),
            valid_after: 0,
            has_places: false,
        }
    }

    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.all.get(name).map(|tracked| &tracked.worker)
    }

    /// Returns a worker for a change.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Worker> {
        let tracked = self.all.get_mut(name)?;
        if !tracked.touched {
            tracked.touched = true;
            self.totals -= std::mem::take(&mut tracked.counted);
            if let Some(service) = tracked.service.take()
                && let Some(count) = self.services.get_mut(&service)
            {
                *count -= 1;
            }
            self.touched.push(tracked.worker.name.clone());
        }
        Some(&mut tracked.worker)
    }

    pub fn insert(&mut self, worker: Worker) {
        let name = worker.name.clone();
        if let Some(present) = self.get_mut(&name) {
            *present = worker;
            return;
        }
        let tracked = Tracked {
            worker,
            touched: true,
            counted: WorkerTotals::default(),
            service: None,
            stamp: 0,
        };
        self.all.insert(name.clone(), tracked);
        self.names.insert(name.clone());
        self.touched.push(name);
    }

    /// Returns the workers, ordered by name.
    pub fn values(&self) -> impl Iterator<Item = &Worker> + Clone {
        self.iter().map(|(_, worker)| worker)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Worker)> + Clone {
        self.names
            .iter()
            .filter_map(|name| Some((name, self.get(name)?)))
    }

    /// Returns the totals, including changes since the last refresh.
    pub fn totals(&self) -> WorkerTotals {
        let mut totals = self.totals;
        for worker in self.touched.iter().filter_map(|name| self.get(name)) {
            totals += WorkerTotals::of(worker);
        }
        totals
    }

    /// Returns true if there is a worker for a service that can be used.
    pub fn serve(&self, service: &Name) -> bool {
        let serves = |worker: &Worker| worker.info.as_ref().is_some_and(|i| i.service == *service);
        let mut touched = self.touched.iter().filter_map(|name| self.get(name));
        self.services.get(service).is_some_and(|count| *count > 0) || touched.any(serves)
    }

    /// Makes all remembered results invalid, and all workers subject to the next refresh.
    pub fn invalidate(&mut self) {
        self.valid_after = self.last_stamp + 1;
        let names: Vec<Name> = self.names.iter().cloned().collect();
        for name in names {
            self.get_mut(&name);
        }
    }

    /// Updates totals and candidates after changes of workers, and of those that may change with time.
    pub fn refresh(&mut self, view: Option<&OperatorView>, now: Instant) {
        let unsettled: Vec<Name> = self.unsettled.iter().cloned().collect();
        for name in unsettled {
            self.get_mut(&name);
        }
        for name in std::mem::take(&mut self.touched) {
            self.refresh_worker(&name, view, now);
        }
    }

    fn refresh_worker(&mut self, name: &Name, view: Option<&OperatorView>, now: Instant) {
        let Some(tracked) = self.all.get_mut(name) else {
            return;
        };
        let worker = &tracked.worker;
        tracked.touched = false;
        tracked.counted = WorkerTotals::of(worker);
        tracked.service = worker.info.as_ref().map(|info| info.service.clone());
        self.totals += tracked.counted;
        if let Some(service) = &tracked.service {
            *self.services.entry(service.clone()).or_default() += 1;
        }
        if worker.changes_over_time(now) {
            self.unsettled.insert(name.clone());
        } else {
            self.unsettled.remove(name);
        }
        self.last_stamp += 1;
        self.changes.remove(&tracked.stamp);
        tracked.stamp = self.last_stamp;
        match view.and_then(|view| candidate(worker, view, &self.zone, now)) {
            Some(candidate) => {
                self.changes.insert(tracked.stamp, name.clone());
                self.candidates.insert(name.clone(), candidate);
            }
            None => {
                self.candidates.remove(name);
            }
        }
    }

    /// Sets the positions of the candidates while a queue is confined. They change with time and with
    /// other workers, so that no result is remembered.
    pub fn set_places(&mut self, places: &BTreeMap<Name, Place>) {
        if places.is_empty() && !self.has_places {
            return;
        }
        self.has_places = !places.is_empty();
        self.valid_after = self.last_stamp + 1;
        for candidate in self.candidates.values_mut() {
            candidate.place = places.get(&candidate.name).copied();
        }
    }

    /// Applies a run that was sent to a candidate, which gets no further runs before the next refresh if
    /// it has no slots left, or no CPU and `needs_cpu`.
    pub fn run_sent(&mut self, name: &Name, resources: Resources, needs_cpu: bool) {
        let Some(candidate) = self.candidates.get_mut(name) else {
            return;
        };
        candidate.free = candidate.free.minus(resources);
        candidate.slots -= 1;
        if let Some(tracked) = self.all.get(name) {
            candidate.spaced_until = tracked.worker.spaced_until;
            candidate.cost = tracked.worker.cost(&self.zone, candidate.free);
        }
        if candidate.slots == 0 || needs_cpu && candidate.free.cpu == 0 {
            self.candidates.remove(name);
        }
    }

    /// Ends the runs that a worker can get, until the next refresh.
    pub fn close(&mut self, name: &Name) {
        self.candidates.remove(name);
    }

    /// Returns the workers that can get runs, in any order.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.values()
    }

    pub fn has_candidates(&self) -> bool {
        !self.candidates.is_empty()
    }

    /// Returns the candidates that changed after a stamp, or `None` if that is not known.
    pub fn candidates_after(&self, stamp: Stamp) -> Option<impl Iterator<Item = &Candidate>> {
        if stamp < self.valid_after {
            return None;
        }
        let changes = self
            .changes
            .range((Bound::Excluded(stamp), Bound::Unbounded));
        Some(changes.filter_map(|(_, name)| self.candidates.get(name)))
    }

    /// Returns the stamp of the last change.
    pub fn stamp(&self) -> Stamp {
        self.last_stamp
    }
}

/// Returns the worker as a candidate if it can get runs now.
fn candidate(worker: &Worker, view: &OperatorView, zone: &str, now: Instant) -> Option<Candidate> {
    let info = worker.info.as_ref()?;
    worker.session?;
    if info.leaving || view.zones_out.contains(&info.zone) {
        return None;
    }
    let slots = worker.slots(now);
    let free = worker.free();
    (slots > 0 && free.cpu > 0).then(|| Candidate {
        name: worker.name.clone(),
        info: info.clone(),
        free,
        slots,
        cost: worker.cost(zone, free),
        place: None,
        spaced_until: worker.spaced_until,
    })
}
