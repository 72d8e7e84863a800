//! Scheduling state of one service, under one lock: queue, workers, run times and admission check.
//! Nothing here blocks, and the current time is always an argument.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{AttemptId, JobKey, Name};
use masticcross_config::{Document, Service};
use masticcross_wire::{AttemptReport, NotStartedReason, TaskEnded, TaskOutcome};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::WaitingTask;
use super::arrivals::TeamArrivals;
use super::demand::DemandSignal;
use super::metrics::ServiceGauges;
use super::queue::{FairQueue, QueuePolicy};
use super::reservation::Reservations;
use super::usage::TeamUsage;
use super::workers::{OutstandingTask, PlacementRule, WorkerId, WorkerSession, Workers};
use masticcross_jobs::failure_attribution::{Attribution, FailureAttribution};
use masticcross_jobs::run_times::RunTimes;

/// Minimum number of samples for using a team's own mean run time. With fewer, the service's mean is
/// used.
const MIN_TEAM_SAMPLES: u32 = 8;

/// A task is a straggler if it runs longer than the longest of this many tasks is expected to.
const LONG_RUN_SAMPLE: u16 = 64;

/// Weight of the newest value in the smoothed concurrency estimate, applied at each tick.
const CONCURRENCY_SMOOTHING: f64 = 0.3;

/// Settings of a shard. The experiments vary the queue policy and the placement rule.
#[derive(Debug, Clone)]
pub struct ShardSettings {
    /// Policy that orders the waiting tasks.
    pub queue: QueuePolicy,
    /// Rule that selects the worker for a task.
    pub rule: PlacementRule,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A task and the worker chosen for it.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The task.
    pub task: WaitingTask,
    /// The worker.
    pub worker: WorkerId,
    /// Session of the worker whose credit was used.
    pub session: u64,
}

/// Queue, workers and admission check of one service.
pub struct Shard {
    service: Name,
    pub(super) queue: FairQueue,
    pub(super) workers: Workers,
    pub(super) run_times: RunTimes,
    pub(super) usage: Arc<TeamUsage>,
    pub(super) reservations: Reservations,
    pub(super) arrivals: BTreeMap<Name, TeamArrivals>,
    pub(super) config: Option<Service>,
    pub(super) quotas: FxHashMap<Name, u32>,
    config_version: u64,
    team_run_times: FxHashMap<Name, (RunTimes, u32)>,
    failure_attribution: FailureAttribution<JobKey, WorkerId>,
    demand: DemandSignal,
    concurrency: Option<f64>,
}

impl Shard {
    /// Creates the shard of a service, without workers or tasks.
    #[must_use]
    pub fn new(
        service: Name,
        settings: &ShardSettings,
        usage: Arc<TeamUsage>,
        now: Instant,
    ) -> Self {
        Self {
            service,
            queue: FairQueue::new(settings.queue, now),
            workers: Workers::new(settings.rule, settings.zone.clone(), settings.seed),
            run_times: RunTimes::default(),
            usage,
            reservations: Reservations::default(),
            arrivals: BTreeMap::new(),
            config: None,
            quotas: FxHashMap::default(),
            config_version: 0,
            team_run_times: FxHashMap::default(),
            failure_attribution: FailureAttribution::default(),
            demand: DemandSignal::default(),
            concurrency: None,
        }
    }

    /// Applies a configuration if it is newer than the current one.
    pub fn apply_config(&mut self, version: u64, document: &Document, now: Instant) {
        if version <= self.config_version {
            return;
        }
        self.config_version = version;
        self.config = document.services.get(&self.service).cloned();
        let zones_out = document.zones_out().into_iter().collect();
        self.workers.set_zones_out(zones_out, now);
        self.quotas.clear();
        for (team, settings) in &document.teams {
            self.queue.set_weight(team, settings.weight);
            if let Some(max) = settings.max_tasks {
                self.quotas.insert(team.clone(), max);
            }
        }
    }

    /// Returns the version of the configuration in use.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the values of the gauges.
    #[must_use]
    pub fn gauge_values(&self) -> ServiceGauges {
        let (workers, workers_quarantined) = self.workers.count_quarantined();
        ServiceGauges {
            waiting: self.queue.len(),
            outstanding: self.workers.outstanding(),
            credits: self.workers.credits(),
            workers,
            workers_quarantined,
        }
    }

    /// Returns the workers.
    #[must_use]
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Adds a worker's session, or updates its slots.
    pub fn connect(&mut self, session: &WorkerSession, now: Instant) {
        let lost = self.workers.connect(session, now);
        self.release_usage(lost);
    }

    /// Ends a worker's session.
    pub fn disconnect(&mut self, worker: &Name, session: u64, now: Instant) {
        self.workers.disconnect(worker, session, now);
    }

    /// Stores the total number of credits granted to a session. Returns false if the total did not
    /// increase.
    pub fn credit(&mut self, worker: &Name, session: u64, total: u64, now: Instant) -> bool {
        self.workers.credit(worker, session, total, now)
    }

    /// Marks a worker as draining: no new tasks are placed on it.
    pub fn drain(&mut self, worker: &Name, session: u64, now: Instant) {
        self.workers.drain(worker, session, now);
    }

    /// Pauses or resumes the placement of tasks on a worker.
    pub fn set_paused(&mut self, worker: &Name, paused: bool, now: Instant) {
        self.workers.set_paused(worker, paused, now);
    }

    /// Adds a task to the queue.
    pub fn push(&mut self, task: WaitingTask) {
        if !self.reservations.use_one(&task.key) {
            self.usage.add(&task.team, 1);
        }
        self.queue.push(task);
    }

    /// Removes the reservation and the waiting tasks of a job.
    pub fn remove(&mut self, key: &JobKey) {
        if let Some((team, tasks)) = self.reservations.cancel(key) {
            self.usage.release(&team, tasks);
        }
        let Some(team) = self.queue.team_of(key) else {
            return;
        };
        let removed = u32::try_from(self.queue.remove(key)).unwrap_or(u32::MAX);
        self.usage.release(&team, removed);
    }

    /// Takes the next task and picks a worker for it. Returns `None` if there is no task, or no
    /// worker for it now.
    pub fn next_placement(&mut self, now: Instant) -> Option<Placement> {
        let waiting = self.queue.len();
        let avoid = self.queue.peek()?.avoid.as_slice();
        let worker = self.workers.pick(avoid, waiting, now)?;
        let session = self.workers.get(worker)?.session()?;
        let task = self.queue.pop()?;
        Some(Placement {
            task,
            worker,
            session,
        })
    }

    /// Records a placed task as sent.
    pub fn confirm(&mut self, placement: &Placement, attempt: AttemptId, now: Instant) {
        let task = OutstandingTask {
            key: placement.task.key.clone(),
            team: Some(placement.task.team.clone()),
            since: now,
        };
        self.workers.confirm(placement.worker, attempt, task, now);
    }

    /// Drops a placed task that must no longer start.
    pub fn discard(&mut self, placement: &Placement, now: Instant) {
        self.workers
            .cancel_pick(placement.worker, placement.session, now);
        self.usage.release(&placement.task.team, 1);
    }

    /// Puts a placed task that could not be sent back into the queue.
    pub fn requeue(&mut self, placement: Placement, now: Instant) {
        self.workers
            .cancel_pick(placement.worker, placement.session, now);
        self.queue.push_front(placement.task);
    }

    /// Records an attempt that a new owner found at a worker as outstanding there.
    pub fn adopt(&mut self, worker: &Name, report: &AttemptReport, now: Instant) {
        let task = OutstandingTask {
            key: report.key.clone(),
            team: None,
            since: now,
        };
        self.workers.adopt(worker, report.attempt, task, now);
    }

    /// Processes the end of an attempt. Returns false if the attempt was not outstanding.
    pub fn ended(&mut self, worker: &Name, ended: &TaskEnded, now: Instant) -> bool {
        let Some(id) = self.workers.id(worker) else {
            return false;
        };
        let Some(task) = self.workers.ended(id, ended.attempt, now) else {
            return false;
        };
        if let Some(team) = &task.team {
            self.usage.release(team, 1);
        }
        match &ended.outcome {
            TaskOutcome::Done(_) => self.succeeded(id, &task, ended, now),
            TaskOutcome::Failed(_) => self.failed(id, &ended.key, now),
            TaskOutcome::NotStarted(reason) => self.not_started(id, *reason, &ended.key, now),
            TaskOutcome::Stopped => self.stopped(id, &task, &ended.key, now),
            TaskOutcome::ResultDropped => {}
        }
        true
    }

    /// Returns the number of waiting tasks if it should be reported to agents now.
    pub fn update_demand(&mut self, now: Instant) -> Option<usize> {
        let waiting = self.queue.len();
        self.demand.update(waiting, self.concurrency(), now)
    }

    /// Updates the state that depends on the passage of time.
    pub fn tick(&mut self, now: Instant) {
        let removed = self.workers.tick(now);
        self.release_usage(removed);
        for (team, tasks) in self.reservations.expire(now) {
            self.usage.release(&team, tasks);
        }
        self.estimate_concurrency();
    }

    /// Returns the estimated number of tasks that run at once while enough tasks wait.
    #[must_use]
    pub fn concurrency(&self) -> f64 {
        self.concurrency.unwrap_or_else(|| self.slots())
    }

    /// Updates the concurrency estimate. While tasks wait and no worker is available, it follows
    /// the observed concurrency. Otherwise it follows the number of slots, because agents grant
    /// credits by demand.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no exact count"
    )]
    fn estimate_concurrency(&mut self) {
        let saturated = !self.queue.is_empty() && !self.workers.any_available();
        let target = if saturated {
            self.workers.concurrency() as f64
        } else {
            self.slots()
        };
        let current = self.concurrency();
        let next = (current + (target - current) * CONCURRENCY_SMOOTHING).max(1.0);
        self.concurrency = Some(next);
        self.queue.set_concurrency(next);
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no exact count"
    )]
    fn slots(&self) -> f64 {
        self.workers.slots() as f64
    }

    fn succeeded(&mut self, id: WorkerId, task: &OutstandingTask, ended: &TaskEnded, now: Instant) {
        let run = Duration::from_micros(ended.run_us);
        self.run_times.add(run);
        self.workers.observe(id, run, &self.run_times, now);
        self.workers.update_health(id, now, |h| h.succeeded(now));
        let Some(team) = &task.team else {
            return;
        };
        let (run_times, samples) = self.team_run_times.entry(team.clone()).or_default();
        run_times.add(run);
        *samples = samples.saturating_add(1);
        let use_team_mean = *samples >= MIN_TEAM_SAMPLES;
        let mean = if use_team_mean {
            run_times.mean()
        } else {
            self.run_times.mean()
        };
        if let Some(mean) = mean {
            self.queue.set_mean_run(team, mean);
        }
    }

    /// Counts a stopped attempt as a failure of the worker if the task ran longer than most tasks
    /// and no task succeeded on the worker in that time.
    fn stopped(&mut self, id: WorkerId, task: &OutstandingTask, key: &JobKey, now: Instant) {
        let elapsed = now.saturating_duration_since(task.since);
        let long_run = self.run_times.longest_of(LONG_RUN_SAMPLE);
        if long_run.is_some_and(|long_run| elapsed > long_run)
            && self.workers.no_success_since(id, task.since)
        {
            self.failed(id, key, now);
        }
    }

    fn failed(&mut self, id: WorkerId, key: &JobKey, now: Instant) {
        match self.failure_attribution.failed(key, id) {
            Attribution::Worker => {
                let (connected, quarantined) = self.workers.count_quarantined();
                let may_quarantine = (quarantined + 1) * 2 <= connected;
                self.workers
                    .update_health(id, now, |h| h.failed(now, may_quarantine));
            }
            Attribution::Job(attributed) => {
                for (worker, failures) in attributed {
                    self.workers
                        .update_health(worker, now, |h| h.discount_failures(failures, now));
                }
            }
        }
    }

    fn not_started(&mut self, id: WorkerId, reason: NotStartedReason, key: &JobKey, now: Instant) {
        match reason {
            NotStartedReason::ConnectFailed => self.failed(id, key, now),
            NotStartedReason::ViewStale
            | NotStartedReason::OldEpoch
            | NotStartedReason::ZoneOut
            | NotStartedReason::NoBackend
            | NotStartedReason::NoRoom
            | NotStartedReason::Isolated
            | NotStartedReason::ShuttingDown => {
                self.workers.update_health(id, now, |h| h.pause(now));
            }
            NotStartedReason::Stopped
            | NotStartedReason::DeadlinePassed
            | NotStartedReason::AlreadyKnown => {}
        }
    }

    fn release_usage(&self, tasks: Vec<OutstandingTask>) {
        for team in tasks.into_iter().filter_map(|task| task.team) {
            self.usage.release(&team, 1);
        }
    }
}
