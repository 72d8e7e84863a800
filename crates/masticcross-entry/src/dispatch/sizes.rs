//! Classes of jobs by their number of tasks, and how fast tasks of each class arrive.

use std::time::Duration;

use tokio::time::Instant;

/// Number of classes; each holds twice the size of the one before.
pub const CLASSES: usize = 8;

/// Time over which arrivals are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Returns the class of a job by its number of tasks.
#[must_use]
pub fn class_of(tasks: u16) -> usize {
    let class = tasks.max(1).ilog2() as usize;
    class.min(CLASSES - 1)
}

/// Tasks that arrive a second, by class.
#[derive(Debug, Default)]
pub struct ArrivalRates {
    tasks_a_second: [f64; CLASSES],
    updated: Option<Instant>,
}

/// Tasks of one team that arrive.
#[derive(Debug, Default)]
pub struct TeamArrivals {
    /// All that the team submits.
    pub offered: ArrivalRates,
    /// What passed the check.
    pub admitted: ArrivalRates,
}

impl ArrivalRates {
    /// Counts the tasks of a job.
    pub fn add(&mut self, tasks: u16, now: Instant) {
        self.decay(now);
        self.tasks_a_second[class_of(tasks)] += f64::from(tasks) / AVERAGING_TIME.as_secs_f64();
    }

    /// Returns the tasks that arrive a second.
    pub fn all(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.tasks_a_second.iter().sum()
    }

    /// Returns the tasks that arrive a second in classes below one, and half of those in it.
    pub fn before(&mut self, class: usize, now: Instant) -> f64 {
        self.decay(now);
        let below: f64 = self.tasks_a_second[..class].iter().sum();
        below + self.tasks_a_second[class] / 2.0
    }

    fn decay(&mut self, now: Instant) {
        let since = self.updated.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        let left = (-elapsed.div_duration_f64(AVERAGING_TIME)).exp();
        self.tasks_a_second
            .iter_mut()
            .for_each(|rate| *rate *= left);
    }
}
