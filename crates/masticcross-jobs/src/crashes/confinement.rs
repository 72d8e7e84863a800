//! Queues whose jobs crash workers get only a part of the workers, which run nothing else meanwhile. The
//! jobs of other queues keep the rest.
//!
//! A queue regains the workers when its runs have ended well for a while: all of them if there was only
//! evidence, in two steps if it was proved that one of its tasks crashed workers.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

use masticcross_basics::Name;
use tokio::time::Instant;
use twox_hash::XxHash3_64;

use super::suspects::Evidence;

/// Share of a service's workers that run only confined queues, in percent.
const EXCLUSIVE_PERCENT: usize = 20;

/// Share of a service's workers that a confined queue may use after its first step back, in percent.
const RELAXED_PERCENT: usize = 50;

/// Number of workers of a service from which some run only confined queues.
const MIN_WORKERS_FOR_EXCLUSION: usize = 4;

/// Time for which runs must end well until a queue without proof gets all workers.
const RELAX_TIME_WITHOUT_PROOF: Duration = Duration::from_millis(1_500);

/// Time for which runs must end well until a queue with proof gets more workers. It doubles with each
/// crash, up to the maximum.
const MIN_RELAX_TIME: Duration = Duration::from_millis(500);
const MAX_RELAX_TIME: Duration = Duration::from_millis(1_500);

/// Number of runs that must end well in that time.
const RELAX_RUNS: u32 = 20;

/// Time without a crash after which a queue gets more workers in any case.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Part of the workers that a queue may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limit {
    /// The workers that run only confined queues.
    Exclusive,
    /// Half of the workers.
    Relaxed,
}

/// Runs of a queue that ended well without a crash in between.
#[derive(Debug, Clone, Copy)]
struct GoodRuns {
    /// When the first of them ended.
    since: Instant,
    count: u32,
}

#[derive(Debug, Clone, Copy)]
struct Confined {
    limit: Limit,
    /// When a worker with runs of the queue crashed last.
    crashed_at: Instant,
    good_runs: Option<GoodRuns>,
    /// Time after which a task of the queue crashed a worker that ran nothing else.
    crash_delay: Option<Duration>,
    /// Crashes of workers with runs of the queue since it was confined.
    crashes: u32,
}

/// The confined queues.
#[derive(Debug, Default)]
pub struct Confinement {
    queues: BTreeMap<Name, Confined>,
}

impl Confinement {
    /// Returns true if no queue is confined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Returns the number of confined queues.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Returns the part of the workers that a queue may use, or `None` if it is not confined.
    #[must_use]
    pub fn limit(&self, queue: &str) -> Option<Limit> {
        self.queues.get(queue).map(|confined| confined.limit)
    }

    /// Returns the time after which a task of the queue crashes its worker, if it is known.
    #[must_use]
    pub fn crash_delay(&self, queue: &str) -> Option<Duration> {
        self.queues.get(queue)?.crash_delay
    }

    /// Applies evidence against a queue from a crash at the given time.
    pub fn add_evidence(&mut self, queue: &Name, evidence: Evidence, at: Instant, now: Instant) {
        let known = self.queues.get(queue);
        let crash_delay = match evidence {
            Evidence::Proof(delay) => Some(delay),
            Evidence::Strong => known.and_then(|known| known.crash_delay),
        };
        let confined = Confined {
            limit: Limit::Exclusive,
            crashed_at: known.map_or(at, |known| known.crashed_at.max(at)),
            good_runs: None,
            crash_delay,
            crashes: known.map_or(0, |known| known.crashes),
        };
        if self.queues.insert(queue.clone(), confined).is_none() {
            log::warn!(queue:%, evidence:?; "queue confined: its tasks crash workers");
        }
        self.relax(now);
    }

    /// Records a crash of a worker with runs of a queue. Without proof the queue's runs may have been
    /// there by chance.
    pub fn crashed(&mut self, queue: &str, at: Instant) {
        let confined = self.queues.get_mut(queue);
        if let Some(confined) = confined.filter(|confined| confined.is_proven()) {
            confined.limit = Limit::Exclusive;
            confined.crashed_at = confined.crashed_at.max(at);
            confined.good_runs = None;
            confined.crashes = confined.crashes.saturating_add(1);
        }
    }

    /// Records a run of a queue that ended well.
    pub fn succeeded(&mut self, queue: &str, now: Instant) {
        if let Some(confined) = self.queues.get_mut(queue) {
            let runs = GoodRuns {
                since: now,
                count: 0,
            };
            confined.good_runs.get_or_insert(runs).count += 1;
        }
    }

    /// Gives queues more workers whose runs have ended well for a while.
    pub fn relax(&mut self, now: Instant) {
        self.queues.retain(|queue, confined| {
            let keep = confined.relax(now);
            if !keep {
                log::info!(queue:%; "queue no longer confined");
            }
            keep
        });
    }
}

impl Confined {
    fn relax_time(&self) -> Duration {
        if !self.is_proven() {
            return RELAX_TIME_WITHOUT_PROOF;
        }
        let doublings = self.crashes.saturating_sub(1).min(16);
        (MIN_RELAX_TIME * (1 << doublings)).min(MAX_RELAX_TIME)
    }

    fn is_proven(&self) -> bool {
        self.crash_delay.is_some()
    }

    /// Returns false if the queue is no longer confined.
    fn relax(&mut self, now: Instant) -> bool {
        let is_good = |runs: GoodRuns| {
            let time = now.saturating_duration_since(runs.since);
            time >= self.relax_time() && runs.count >= RELAX_RUNS
        };
        let is_idle = now.saturating_duration_since(self.crashed_at) >= IDLE_TIME;
        if !is_idle && !self.good_runs.is_some_and(is_good) {
            return true;
        }
        if !self.is_proven() || self.limit == Limit::Relaxed {
            return false;
        }
        self.limit = Limit::Relaxed;
        self.crashed_at = now;
        self.good_runs = None;
        true
    }
}

/// Position of a worker among those of its service, by which entries choose the same workers for
/// confined queues without an exchange of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of workers before it.
    pub rank: usize,
    /// Number of workers of the service.
    pub workers: usize,
}

impl Place {
    /// Returns true if the worker runs only confined queues.
    #[must_use]
    pub fn is_exclusive(self) -> bool {
        self.workers >= MIN_WORKERS_FOR_EXCLUSION && self.rank < self.count(EXCLUSIVE_PERCENT)
    }

    /// Returns true if a queue with the given limit may use the worker.
    #[must_use]
    pub fn is_within(self, limit: Limit) -> bool {
        let percent = match limit {
            Limit::Exclusive => EXCLUSIVE_PERCENT,
            Limit::Relaxed => RELAXED_PERCENT,
        };
        self.rank < self.count(percent)
    }

    fn count(self, percent: usize) -> usize {
        (self.workers * percent / 100).max(1)
    }
}

/// Returns the sort key of a worker among those of its service.
#[must_use]
pub fn sort_key(worker: &str) -> u64 {
    let mut hasher = XxHash3_64::with_seed(0);
    hasher.write(worker.as_bytes());
    hasher.finish()
}
