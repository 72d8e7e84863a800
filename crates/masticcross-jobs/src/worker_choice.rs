//! Choice of a worker among those that have room for a task. It answers a load on workers that differ
//! in speed: a task goes to a worker on which its job ends in time, and waits for a fast one while its
//! chance is better there, after the tasks of its priority that wait already.
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

/// Factor by which a logistic distribution is closest to the normal one.
const LOGISTIC: f64 = 1.702;

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
    /// Expected wait for a fast worker, or `None` if the task may not wait.
    pub wait: Option<Duration>,
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

    /// Returns the chance that the job ends in time if its tasks start after a wait.
    fn chance(&self, factor: f64, wait: Duration) -> f64 {
        let left = self.left.saturating_sub(wait).as_secs_f64();
        let run = self.run.mul_f64(factor).as_secs_f64();
        // Approximates the normal distribution by the logistic one.
        let task = 1.0 / (1.0 + (left / run).powf(-LOGISTIC / DEVIATION));
        task.powi(self.tasks.into())
    }

    /// Returns true if the task waits for a fast worker instead of taking one with the given factor. At a
    /// chance below the inverse ratio of the run times, the capacity serves more jobs on other tasks.
    fn waits(&self, factor: f64, fleet: Fleet) -> bool {
        let Some(wait) = self.wait else {
            return false;
        };
        let chance = self.chance(factor, Duration::ZERO);
        chance < self.chance(fleet.fastest, wait) || chance < fleet.fastest / factor
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

    /// Returns true if a worker with the given factor is one of the fast ones.
    #[must_use]
    pub fn is_fast(&self, factor: f64) -> bool {
        factor < self.fastest * UNEVEN
    }
}

/// Result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice<T = usize> {
    /// The offer with this index, or its worker.
    Take(T),
    /// The task waits for a fast worker, where its chance is better than on the free ones.
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
    let waits = |offer: &Offer| is_late(offer) && need.waits(offer.factor, fleet);
    if !offers.is_empty() && offers.iter().all(waits) {
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
