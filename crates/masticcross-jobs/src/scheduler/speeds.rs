//! Speeds of the workers, and what follows from them for the placement.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
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

/// Speeds of the workers, by service.
#[derive(Debug, Default)]
pub struct Speeds {
    kinds: BTreeMap<Name, Kinds>,
    fleets: BTreeMap<Name, Fleet>,
    refreshed: Option<Instant>,
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
        for worker in self.workers.values_mut() {
            if let Some(info) = &worker.info
                && let Some(kinds) = self.speeds.kinds.get(&info.service)
            {
                worker.speed.set_kind(kinds.of(&info.labels));
                worker.speed.fade(KINDS_INTERVAL);
            }
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

    /// Returns the speeds of the workers of a service.
    pub(super) fn fleet(&self, service: &Name) -> Fleet {
        self.speeds.fleets.get(service).copied().unwrap_or_default()
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
