//! Everything that decides about the tasks of one service, under one lock: queue, workers, run
//! times and limits. Nothing here waits, and all of it takes the time as an argument.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{AttemptId, JobKey, Name};
use masticcross_config::{Document, Service};
use masticcross_wire::{AttemptReport, NotStartedReason, TaskEnded, TaskOutcome};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::Waiting;
use super::demand::DemandSignal;
use super::metrics::Levels;
use super::queue::{FairQueue, QueuePolicy};
use super::reservation::Reservations;
use super::sizes::TeamArrivals;
use super::usage::TeamUsage;
use super::workers::{Connected, Outstanding, PlacementRule, WorkerId, Workers};
use masticcross_jobs::failure_attribution::{Attribution, FailureAttribution};
use masticcross_jobs::run_times::RunTimes;

/// Run times of the tasks of a team are its own after so many; before, the service's.
const MIN_TEAM_SAMPLES: u32 = 8;

/// A task that runs longer than the longest of so many is a straggler.
const LONG_RUN_OF: u16 = 64;

/// Part by which the estimate of concurrency moves with each tick.
const CONCURRENCY_STEP: f64 = 0.3;

/// What the experiments vary, and what the entry brings along.
#[derive(Debug, Clone)]
pub struct ShardSettings {
    /// Order of tasks.
    pub queue: QueuePolicy,
    /// Choice of workers.
    pub rule: PlacementRule,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A task and the worker chosen for it.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The task.
    pub waiting: Waiting,
    /// The worker.
    pub worker: WorkerId,
    /// Session of the worker whose credit is used.
    pub session: u64,
}

/// Queue, workers and limits of one service.
pub struct Shard {
    service: Name,
    pub(super) queue: FairQueue,
    pub(super) workers: Workers,
    pub(super) runs: RunTimes,
    pub(super) usage: Arc<TeamUsage>,
    pub(super) reservations: Reservations,
    pub(super) arrivals: BTreeMap<Name, TeamArrivals>,
    pub(super) config: Option<Service>,
    pub(super) quotas: FxHashMap<Name, u32>,
    config_version: u64,
    team_runs: FxHashMap<Name, (RunTimes, u32)>,
    blame: FailureAttribution<JobKey, WorkerId>,
    demand: DemandSignal,
    concurrency: Option<f64>,
}

impl Shard {
    /// Creates the shard of a service with no worker and no task.
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
            runs: RunTimes::default(),
            usage,
            reservations: Reservations::default(),
            arrivals: BTreeMap::new(),
            config: None,
            quotas: FxHashMap::default(),
            config_version: 0,
            team_runs: FxHashMap::default(),
            blame: FailureAttribution::default(),
            demand: DemandSignal::default(),
            concurrency: None,
        }
    }

    /// Takes over a configuration if it is newer.
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

    /// Returns the figures for the metrics.
    #[must_use]
    pub fn levels(&self) -> Levels {
        let (workers, workers_out) = self.workers.count_out();
        Levels {
            waiting: self.queue.len(),
            outstanding: self.workers.outstanding(),
            credits: self.workers.credits(),
            workers,
            workers_out,
        }
    }

    /// Returns the workers.
    #[must_use]
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Enters a worker's session, or changes its slots.
    pub fn connect(&mut self, session: &Connected, now: Instant) {
        let lost = self.workers.connect(session, now);
        self.release_all(lost);
    }

    /// Ends a worker's session.
    pub fn disconnect(&mut self, worker: &Name, session: u64, now: Instant) {
        self.workers.disconnect(worker, session, now);
    }

    /// Takes over the total of credits of a session. Returns false if it was not raised.
    pub fn credit(&mut self, worker: &Name, session: u64, total: u64, now: Instant) -> bool {
        self.workers.credit(worker, session, total, now)
    }

    /// Sends nothing new to a worker that leaves.
    pub fn drain(&mut self, worker: &Name, session: u64, now: Instant) {
        self.workers.drain(worker, session, now);
    }

    /// Sends nothing new to a worker for a while, or again.
    pub fn hold(&mut self, worker: &Name, held: bool, now: Instant) {
        self.workers.hold(worker, held, now);
    }

    /// Queues a task.
    pub fn push(&mut self, waiting: Waiting) {
        if !self.reservations.take_one(&waiting.key) {
            self.usage.add(&waiting.team, 1);
        }
        self.queue.push(waiting);
    }

    /// Takes out what waits of a job.
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

    /// Chooses the next task and its worker.
    pub fn next(&mut self, now: Instant) -> Option<Placement> {
        let waiting = self.queue.len();
        let avoid = self.queue.peek()?.avoid.as_slice();
        let worker = self.workers.pick(avoid, waiting, now)?;
        let session = self.workers.get(worker)?.session()?;
        let waiting = self.queue.pop()?;
        Some(Placement {
            waiting,
            worker,
            session,
        })
    }

    /// Counts a chosen task as sent.
    pub fn confirm(&mut self, placement: &Placement, attempt: AttemptId, now: Instant) {
        let task = Outstanding {
            key: placement.waiting.key.clone(),
            team: Some(placement.waiting.team.clone()),
            since: now,
        };
        self.workers.confirm(placement.worker, attempt, task, now);
    }

    /// Drops a chosen task that must not start any more.
    pub fn discard(&mut self, placement: &Placement, now: Instant) {
        self.workers
            .unpick(placement.worker, placement.session, now);
        self.usage.release(&placement.waiting.team, 1);
    }

    /// Puts a chosen task back that could not be sent.
    pub fn give_back(&mut self, placement: Placement, now: Instant) {
        self.workers
            .unpick(placement.worker, placement.session, now);
        self.queue.push_front(placement.waiting);
    }

    /// Counts an attempt that a new owner found at a worker.
    pub fn adopt(&mut self, worker: &Name, report: &AttemptReport, now: Instant) {
        let task = Outstanding {
            key: report.key.clone(),
            team: None,
            since: now,
        };
        self.workers.adopt(worker, report.attempt, task, now);
    }

    /// Takes over the end of an attempt. Returns false if it was not outstanding.
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

    /// Returns the number of waiting tasks if agents are to be told of it now.
    pub fn update_demand(&mut self, now: Instant) -> Option<usize> {
        let waiting = self.queue.len();
        self.demand.update(waiting, self.concurrency(), now)
    }

    /// Updates what changes by time alone.
    pub fn tick(&mut self, now: Instant) {
        let forgotten = self.workers.tick(now);
        self.release_all(forgotten);
        for (team, tasks) in self.reservations.expire(now) {
            self.usage.release(&team, tasks);
        }
        self.estimate_concurrency();
    }

    /// Returns how many tasks probably run at once while enough wait.
    #[must_use]
    pub fn concurrency(&self) -> f64 {
        self.concurrency.unwrap_or_else(|| self.slots())
    }

    /// Follows the tasks that run while others wait for a credit. Without waiting tasks all slots
    /// count, as agents give credits by need.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no exact count"
    )]
    fn estimate_concurrency(&mut self) {
        let saturated = !self.queue.is_empty() && !self.workers.any_ready();
        let target = if saturated {
            self.workers.concurrency() as f64
        } else {
            self.slots()
        };
        let current = self.concurrency();
        let next = (current + (target - current) * CONCURRENCY_STEP).max(1.0);
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

    fn succeeded(&mut self, id: WorkerId, task: &Outstanding, ended: &TaskEnded, now: Instant) {
        let run = Duration::from_micros(ended.run_us);
        self.runs.add(run);
        self.workers.observe(id, run, &self.runs, now);
        self.workers.change_health(id, now, |h| h.succeeded(now));
        let Some(team) = &task.team else {
            return;
        };
        let (runs, samples) = self.team_runs.entry(team.clone()).or_default();
        runs.add(run);
        *samples = samples.saturating_add(1);
        let own = *samples >= MIN_TEAM_SAMPLES;
        let mean = if own { runs.mean() } else { self.runs.mean() };
        if let Some(mean) = mean {
            self.queue.set_mean_run(team, mean);
        }
    }

    /// Counts a stop as a failure of the worker if the task ran longer than most do, and the worker
    /// ended nothing well in that time.
    fn stopped(&mut self, id: WorkerId, task: &Outstanding, key: &JobKey, now: Instant) {
        let ran = now.saturating_duration_since(task.since);
        let long = self.runs.longest_of(LONG_RUN_OF);
        if long.is_some_and(|long| ran > long) && self.workers.is_stuck_since(id, task.since) {
            self.failed(id, key, now);
        }
    }

    fn failed(&mut self, id: WorkerId, key: &JobKey, now: Instant) {
        match self.blame.failed(key, id) {
            Attribution::Worker => {
                let (connected, out) = self.workers.count_out();
                let may_leave = (out + 1) * 2 <= connected;
                self.workers
                    .change_health(id, now, |h| h.failed(now, may_leave));
            }
            Attribution::Job(counted) => {
                for (worker, failures) in counted {
                    self.workers
                        .change_health(worker, now, |h| h.discount_failures(failures, now));
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
            | NotStartedReason::ShuttingDown => {
                self.workers.change_health(id, now, |h| h.pause(now));
            }
            NotStartedReason::Stopped
            | NotStartedReason::DeadlinePassed
            | NotStartedReason::AlreadyKnown => {}
        }
    }

    fn release_all(&self, tasks: Vec<Outstanding>) {
        for team in tasks.into_iter().filter_map(|task| task.team) {
            self.usage.release(&team, 1);
        }
    }
}
