//! Sizes and run times of jobs.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Share of tasks that last several seconds.
const LONG_SHARE: f64 = 0.02;

/// Most tasks in one job.
const MAX_TASKS: f64 = 130.0;

/// A mix of jobs. Most tasks last 50 ms to 1 s, one in fifty 2 to 6 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Seven jobs in ten have 1 to 6 tasks, a quarter 7 to 24, one in twenty 25 to 130.
    Guild,
    /// From 1 to 130 tasks, each doubling of the size equally often.
    Wide,
    /// Every job has 130 tasks.
    Largest,
    /// Every job has one task.
    Single,
}

impl Mix {
    /// Draws the run times of the tasks of one job.
    pub fn job(self, rng: &mut SmallRng) -> Vec<Duration> {
        let tasks = self.tasks(rng);
        (0..tasks).map(|_| run_time(rng)).collect()
    }

    fn tasks(self, rng: &mut SmallRng) -> u32 {
        match self {
            Self::Guild => match rng.random_range(0..100) {
                0..70 => rng.random_range(1..=6),
                70..95 => rng.random_range(7..=24),
                _ => log_uniform(rng, 25.0, MAX_TASKS),
            },
            Self::Wide => log_uniform(rng, 1.0, MAX_TASKS),
            Self::Largest => 130,
            Self::Single => 1,
        }
    }
}

fn run_time(rng: &mut SmallRng) -> Duration {
    if rng.random_bool(LONG_SHARE) {
        return Duration::from_secs_f64(rng.random_range(2.0..6.0));
    }
    let exponent = rng.random_range(0.05_f64.ln()..0.0);
    Duration::from_secs_f64(exponent.exp())
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the bounds are small and positive"
)]
fn log_uniform(rng: &mut SmallRng, least: f64, most: f64) -> u32 {
    let exponent = rng.random_range(least.ln()..(most + 1.0).ln());
    (exponent.exp() as u32).min(most as u32)
}
