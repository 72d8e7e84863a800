//! Size classes of jobs, and the rate at which tasks of each class arrive.

use std::time::Duration;

use tokio::time::Instant;

/// Number of size classes. Each covers jobs twice as large as the one before; the last has no upper
/// bound.
pub const SIZE_CLASSES: usize = 8;

/// Time constant of the exponential average of arrivals.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Returns the size class of a job with this number of tasks.
#[must_use]
pub fn class_of(tasks: u16) -> usize {
    let class = tasks.max(1).ilog2() as usize;
    class.min(SIZE_CLASSES - 1)
}

/// Arrival rates in tasks per second, by size class.
#[derive(Debug, Default)]
pub struct ArrivalRates {
    tasks_per_second: [f64; SIZE_CLASSES],
    updated: Option<Instant>,
}

/// Arrival rates of one team.
#[derive(Debug, Default)]
pub struct TeamArrivals {
    /// All jobs that the team submits.
    pub offered: ArrivalRates,
    /// Jobs that passed the admission check.
    pub admitted: ArrivalRates,
}

impl ArrivalRates {
    /// Adds the tasks of a job that arrived.
    pub fn add(&mut self, tasks: u16, now: Instant) {
        self.decay(now);
        self.tasks_per_second[class_of(tasks)] += f64::from(tasks) / AVERAGING_TIME.as_secs_f64();
    }

    /// Returns the total arrival rate.
    pub fn total(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.tasks_per_second.iter().sum()
    }

    /// Returns the arrival rate of jobs that go ahead of a job of this class: all smaller classes,
    /// and half of the same class.
    pub fn ahead_of(&mut self, class: usize, now: Instant) -> f64 {
        self.decay(now);
        let below: f64 = self.tasks_per_second[..class].iter().sum();
        below + self.tasks_per_second[class] / 2.0
    }

    fn decay(&mut self, now: Instant) {
        let since = self.updated.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        let decay_factor = (-elapsed.div_duration_f64(AVERAGING_TIME)).exp();
        self.tasks_per_second
            .iter_mut()
            .for_each(|rate| *rate *= decay_factor);
    }
}
