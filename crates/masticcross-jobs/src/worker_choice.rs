//! Choice of a worker among those that have room for a task. It answers a load on workers that differ
//! in speed: a task goes to a worker on which its job ends in time, and waits for a fast one while it
//! would end late on the free ones.
//!
//! In simulations, two further rules did not help: that jobs which end in time on slow workers leave the
//! fast ones to others while these are getting full, and a latest start for the fastest workers.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Ratio of the fastest and the slowest workers' run times from which the expected end counts.
const UNEVEN: f64 = 1.3;

/// Margin on the expected run time of a task on a slow worker. Nine in ten tasks end within it if the
/// logarithms of run times have a standard deviation of 0.4.
const MARGIN: f64 = 1.6;

/// Part of that deviation that is added for the longest of several tasks, and the deviation.
const LONGEST_WEIGHT: f64 = 0.4;
const DEVIATION: f64 = 0.4;

/// A worker with room for a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// True if the task has failed there.
    pub avoided: bool,
    /// Placement cost, lower is better.
    pub cost: f64,
    /// Factor on the expected run time.
    pub factor: f64,
}

/// What a task needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Expected run time on a worker of mean speed.
    pub run: Duration,
    /// Time left until the job is due.
    pub left: Duration,
    /// Tasks of the job that wait.
    pub tasks: u16,
    /// True if the task may wait for a faster worker.
    pub may_wait: bool,
}

impl Need {
    fn has_chance(&self, factor: f64) -> bool {
        self.run.mul_f64(factor) <= self.left
    }

    fn ends_in_time(&self, factor: f64) -> bool {
        let longest = (2.0 * f64::from(self.tasks.max(1)).ln()).sqrt();
        let margin = MARGIN * (DEVIATION * LONGEST_WEIGHT * longest).exp();
        self.has_chance(factor * margin)
    }
}

/// Speeds of the workers of a service that work as usual.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fleet {
    /// Factor on the run time on the fastest workers.
    pub fastest: f64,
    /// Factor on the run time on the slowest workers.
    pub slowest: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            fastest: 1.0,
            slowest: 1.0,
        }
    }
}

impl Fleet {
    /// Returns true if the workers differ in speed.
    #[must_use]
    pub fn is_uneven(&self) -> bool {
        self.slowest >= self.fastest * UNEVEN
    }

    fn is_fast(&self, factor: f64) -> bool {
        factor < self.fastest * UNEVEN
    }
}

/// Result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The offer with this index.
    Take(usize),
    /// The task waits for a fast worker, as its job may end in time there, but not on the free ones.
    Wait,
    /// No worker has room.
    NoRoom,
}

/// Chooses a worker. Among even workers, and for a job that is late on all of them, the cost decides.
#[must_use]
pub fn choose(offers: &[Offer], need: Need, fleet: Fleet) -> Choice {
    if !fleet.is_uneven() || !need.has_chance(fleet.fastest) {
        return cheapest(offers, |_| false);
    }
    let is_late = |offer: &Offer| !fleet.is_fast(offer.factor) && !need.ends_in_time(offer.factor);
    if need.may_wait && !offers.is_empty() && offers.iter().all(is_late) {
        return Choice::Wait;
    }
    cheapest(offers, is_late)
}

fn cheapest(offers: &[Offer], is_late: impl Fn(&Offer) -> bool) -> Choice {
    let order = |offer: &Offer| (offer.avoided, is_late(offer));
    let best = offers.iter().enumerate().min_by(|(_, a), (_, b)| {
        let by_cost = a.cost.total_cmp(&b.cost);
        order(a).cmp(&order(b)).then(by_cost)
    });
    best.map_or(Choice::NoRoom, |(index, _)| Choice::Take(index))
}
