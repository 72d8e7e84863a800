//! Speeds of the workers, and what follows from them for the placement.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::Queue;
use tokio::time::Instant;

use crate::worker_choice::Fleet;
use crate::worker_speed::{Change, Kinds};

use super::Scheduler;
use super::table::JobNumber;
use super::worker::Worker;

/// Interval at which the kinds of workers are found again.
const KINDS_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of workers of which the speed is shown.
const MAX_OUTLYING: usize = 32;

/// A worker whose speed differs from the mean of its service.
#[derive(Debug, Clone, PartialEq)]
pub struct OutlyingWorker {
    /// Name of its agent.
    pub name: Name,
    /// Baseline speed, as the factor on the run time.
    pub baseline: f64,
    /// True if it is slower than its baseline speed.
    pub degraded: bool,
}

/// Weight of the last interval in the rate of starts.
const RATE_WEIGHT: f64 = 0.25;

/// Least rate of starts, in 1/s.
const MIN_RATE: f64 = 0.001;

/// Starts on fast workers.
#[derive(Debug, Clone, Copy, Default)]
struct Starts {
    in_interval: u32,
    per_second: f64,
}

/// Speeds of the workers, by service.
#[derive(Debug, Default)]
pub struct Speeds {
    kinds: BTreeMap<Name, Kinds>,
    fleets: BTreeMap<Name, Fleet>,
    /// By service and priority.
    starts: BTreeMap<(Name, u32), Starts>,
    /// Tasks that wait for a fast worker, as found in the present pass over the waiting jobs.
    waiting: BTreeMap<(Name, u32), u32>,
    refreshed: Option<Instant>,
}

impl Speeds {
    /// Begins a pass over the waiting jobs.
    pub(super) fn begin_pass(&mut self) {
        self.waiting.clear();
    }

    /// Adds tasks that wait for a fast worker.
    pub(super) fn add_waiting(&mut self, queue: &Queue, tasks: u32) {
        let key = (queue.service.clone(), queue.priority);
        *self.waiting.entry(key).or_default() += tasks;
    }

    /// Adds a start on a worker with the given factor.
    pub(super) fn add_start(&mut self, queue: &Queue, factor: f64) {
        if self.fleet(&queue.service).is_fast(factor) {
            let key = (queue.service.clone(), queue.priority);
            self.starts.entry(key).or_default().in_interval += 1;
        }
    }

    /// Returns the expected wait of a queue's task for a fast worker: the tasks of its priority that wait
    /// already, at the rate of the starts that were left to this priority or less urgent ones.
    pub(super) fn expected_wait(&self, queue: &Queue) -> Duration {
        let key = (queue.service.clone(), queue.priority);
        let waiting = self.waiting.get(&key).copied().unwrap_or(0);
        let left = self.starts.range(key..=(queue.service.clone(), u32::MAX));
        let rate: f64 = left.map(|(_, starts)| starts.per_second).sum();
        let secs = f64::from(waiting) / rate.max(MIN_RATE);
        Duration::from_secs_f64(secs)
    }

    /// Returns the speeds of the workers of a service.
    pub(super) fn fleet(&self, service: &Name) -> Fleet {
        self.fleets.get(service).copied().unwrap_or_default()
    }

    fn measure_starts(&mut self) {
        for starts in self.starts.values_mut() {
            let started = f64::from(std::mem::take(&mut starts.in_interval));
            let rate = started / KINDS_INTERVAL.as_secs_f64();
            starts.per_second += (rate - starts.per_second) * RATE_WEIGHT;
        }
        self.starts
            .retain(|_, starts| starts.per_second >= MIN_RATE);
    }
}

impl Scheduler {
    /// Adds the ratio of a run time to the caller's estimate to the speed of the worker and the ratio of
    /// the queue.
    pub(super) fn observe_run(&mut self, name: &Name, job: JobNumber, queue: &Name, ratio: f64) {
        self.ratios.add(Duration::from_secs_f64(ratio));
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(service) = worker.service().cloned() else {
            return;
        };
        let kinds = self.speeds.kinds.entry(service).or_default();
        let sample = ratio.ln();
        let usual = self.estimates.ln_ratio(queue);
        if !worker.speed.is_degraded() {
            let speed = worker.speed.relative();
            self.estimates.add(queue, sample - speed);
        }
        let change = worker.speed.add(sample - usual, job, kinds.may_degrade());
        let Some(change) = change else {
            return;
        };
        kinds.changed(change);
        let (factor, baseline) = (worker.slowness(), worker.speed.relative().exp());
        match change {
            Change::Degraded => {
                log::warn!(worker:% = name, factor, baseline; "worker is degraded, gets one run at a time");
            }
            Change::Restored => {
                log::info!(worker:% = name, factor, baseline; "worker is no longer degraded");
            }
        }
    }

    /// Finds the kinds of workers at intervals.
    pub(super) fn refresh_speeds(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < KINDS_INTERVAL;
        if !self.speeds.refreshed.is_some_and(is_recent) {
            self.speeds.refreshed = Some(now);
            self.find_kinds();
            self.measure_fleets();
            self.speeds.measure_starts();
        }
    }

    fn find_kinds(&mut self) {
        let mut kinds: BTreeMap<Name, Kinds> = BTreeMap::new();
        for worker in self.workers.values() {
            if let Some(info) = &worker.info {
                let kinds = kinds.entry(info.service.clone()).or_default();
                kinds.add(&worker.speed, &info.labels);
            }
        }
        let kinds = kinds
            .into_iter()
            .map(|(service, kinds)| (service, kinds.found()));
        let earlier = std::mem::replace(&mut self.speeds.kinds, kinds.collect());
        for (service, kinds) in &self.speeds.kinds {
            log_new_kinds(service, earlier.get(service), kinds);
        }
        let updated = |(name, worker): (&Name, &Worker)| {
            let info = worker.info.as_ref()?;
            let kinds = self.speeds.kinds.get(&info.service)?;
            let mut speed = worker.speed;
            speed.set_kind(kinds.of(&info.labels));
            speed.fade(KINDS_INTERVAL);
            Some((name.clone(), speed))
        };
        let updated: Vec<_> = self.workers.iter().filter_map(updated).collect();
        for (name, speed) in updated {
            self.workers.set_speed(&name, speed);
        }
    }

    /// Finds the speeds of the workers that a task can wait for.
    fn measure_fleets(&mut self) {
        let mut fleets: BTreeMap<Name, Fleet> = BTreeMap::new();
        let zones_out = self.view.as_ref().map(|view| &view.zones_out);
        for worker in self.workers.values() {
            let works = !worker.health.is_quarantined() && !worker.speed.is_degraded();
            let Some(info) = worker.info.as_ref().filter(|info| !info.leaving && works) else {
                continue;
            };
            if zones_out.is_some_and(|zones| zones.contains(&info.zone)) {
                continue;
            }
            let factor = worker.slowness();
            let only = Fleet {
                fastest: factor,
                slowest: factor,
            };
            let fleet = fleets.entry(info.service.clone()).or_insert(only);
            fleet.fastest = fleet.fastest.min(factor);
            fleet.slowest = fleet.slowest.max(factor);
        }
        self.speeds.fleets = fleets;
    }

    /// Returns the states of the workers that differ most from the mean of their service, degraded ones
    /// first. Their number is limited, as each becomes a series of metrics.
    #[must_use]
    pub fn outlying_workers(&self) -> Vec<OutlyingWorker> {
        let state = |worker: &Worker| OutlyingWorker {
            name: worker.name.clone(),
            baseline: worker.speed.relative().exp(),
            degraded: worker.speed.is_degraded(),
        };
        let workers = self.workers.values().filter(|w| w.info.is_some());
        let mut workers: Vec<OutlyingWorker> = workers.map(state).collect();
        let distance = |w: &OutlyingWorker| w.baseline.ln().abs();
        workers.retain(|worker| worker.degraded || distance(worker) > 0.0);
        workers.sort_by(|a, b| {
            let by_distance = distance(b).total_cmp(&distance(a));
            b.degraded.cmp(&a.degraded).then(by_distance)
        });
        workers.truncate(MAX_OUTLYING);
        workers
    }
}

fn log_new_kinds(service: &Name, earlier: Option<&Kinds>, kinds: &Kinds) {
    for (label, relative) in kinds.iter() {
        let is_known = earlier.is_some_and(|earlier| earlier.iter().any(|(l, _)| l == label));
        if !is_known {
            log::info!(service:%, label:%, factor = relative.exp(); "workers with the label differ in speed");
        }
    }
}
