//! Distributions of the sizes and run times of jobs.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Share of tasks that run for 2 to 6 s.
const LONG_TASK_SHARE: f64 = 0.02;

/// Most tasks in one job.
const MAX_TASKS: f64 = 130.0;

/// Distribution of job sizes. Most tasks run for 50 ms to 1 s, and one in fifty for 2 to 6 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// 70% of jobs have 1 to 6 tasks, 25% have 7 to 24, and 5% have 25 to 130.
    Guild,
    /// Jobs have 1 to 130 tasks, with a log-uniform distribution.
    Wide,
    /// Every job has 130 tasks.
    Largest,
    /// Every job has one task.
    Single,
}

impl Mix {
    /// Draws the run times of the tasks of one job.
    pub fn draw_run_times(self, rng: &mut SmallRng) -> Vec<Duration> {
        let tasks = self.draw_task_count(rng);
        (0..tasks).map(|_| draw_run_time(rng)).collect()
    }

    fn draw_task_count(self, rng: &mut SmallRng) -> u32 {
        match self {
            Self::Guild => match rng.random_range(0..100) {
                0..70 => rng.random_range(1..=6),
                70..95 => rng.random_range(7..=24),
                _ => draw_log_uniform(rng, 25.0, MAX_TASKS),
            },
            Self::Wide => draw_log_uniform(rng, 1.0, MAX_TASKS),
            Self::Largest => 130,
            Self::Single => 1,
        }
    }
}

fn draw_run_time(rng: &mut SmallRng) -> Duration {
    if rng.random_bool(LONG_TASK_SHARE) {
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
fn draw_log_uniform(rng: &mut SmallRng, min_value: f64, max_value: f64) -> u32 {
    let exponent = rng.random_range(min_value.ln()..(max_value + 1.0).ln());
    (exponent.exp() as u32).min(max_value as u32)
}
