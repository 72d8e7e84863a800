//! Run times as observed. What callers declare is not used.

use std::time::Duration;

/// Samples over which the mean run time of a service is taken.
const SERVICE_SAMPLES: f64 = 256.0;

/// Samples over which the speed of one worker is taken.
const WORKER_SAMPLES: f64 = 16.0;

/// Samples before the speed of a worker counts.
const MIN_WORKER_SAMPLES: u32 = 3;

/// Deviation of a worker's speed that is taken for noise.
const SPEED_NOISE: f64 = 0.35;

/// Buckets of the histogram: four for each doubling, from a microsecond to 17 minutes.
const BUCKETS: usize = 120;
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Weight in the histogram at which all buckets are halved, so that old samples fade.
const MAX_WEIGHT: f64 = 4096.0;

/// A mean that follows the last samples, and all of them while they are few.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningMean {
    value: f64,
    samples: u32,
}

impl RunningMean {
    /// Takes over a sample; `window` is the number of samples that count in the long run.
    pub fn add(&mut self, sample: f64, window: f64) {
        self.samples = self.samples.saturating_add(1);
        let share = (1.0 / f64::from(self.samples)).max(1.0 / window);
        self.value += (sample - self.value) * share;
    }

    /// Returns the mean once there are enough samples.
    #[must_use]
    pub fn after(&self, min_samples: u32) -> Option<f64> {
        (self.samples >= min_samples).then_some(self.value)
    }
}

/// Run times of a service or of a team.
#[derive(Debug, Clone)]
pub struct RunTimes {
    mean: RunningMean,
    mean_ln: RunningMean,
    weights: Vec<f64>,
    total_weight: f64,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            mean: RunningMean::default(),
            mean_ln: RunningMean::default(),
            weights: vec![0.0; BUCKETS],
            total_weight: 0.0,
        }
    }
}

impl RunTimes {
    /// Takes over the run time of a task that ended.
    pub fn add(&mut self, run: Duration) {
        let secs = run.as_secs_f64().max(1e-6);
        self.mean.add(secs, SERVICE_SAMPLES);
        self.mean_ln.add(secs.ln(), SERVICE_SAMPLES);
        if self.total_weight >= MAX_WEIGHT {
            self.weights.iter_mut().for_each(|w| *w /= 2.0);
            self.total_weight /= 2.0;
        }
        self.weights[bucket_of(secs)] += 1.0;
        self.total_weight += 1.0;
    }

    /// Returns the mean run time; none before the first sample.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.mean.after(1).map(Duration::from_secs_f64)
    }

    /// Returns the run time that the longest of some tasks probably has; none before the first
    /// sample.
    #[must_use]
    pub fn longest_of(&self, tasks: u16) -> Option<Duration> {
        if self.total_weight == 0.0 {
            return None;
        }
        let quantile = 1.0 - 1.0 / (f64::from(tasks) + 1.0);
        let mut left = quantile * self.total_weight;
        let bucket = self.weights.iter().position(|weight| {
            left -= weight;
            left <= 0.0
        });
        Some(middle_of(bucket.unwrap_or(BUCKETS - 1)))
    }
}

/// Speed of one worker relative to the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    mean_ln_ratio: RunningMean,
}

impl Speed {
    /// Takes over the run time of a task, against what the service's tasks usually take.
    pub fn add(&mut self, run: Duration, service: &RunTimes) {
        let Some(usual) = service.mean_ln.after(1) else {
            return;
        };
        let ratio = run.as_secs_f64().max(1e-6).ln() - usual;
        self.mean_ln_ratio.add(ratio, WORKER_SAMPLES);
    }

    /// Returns how many times longer tasks take here than elsewhere; 1 within the noise.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        match self.mean_ln_ratio.after(MIN_WORKER_SAMPLES) {
            Some(ratio) if ratio.abs() > SPEED_NOISE => ratio.exp(),
            _ => 1.0,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the buckets"
)]
fn bucket_of(secs: f64) -> usize {
    let bucket = (secs * 1e6).log2() * BUCKETS_PER_DOUBLING;
    bucket.clamp(0.0, 119.0) as usize
}

#[expect(clippy::cast_precision_loss, reason = "there are few buckets")]
fn middle_of(bucket: usize) -> Duration {
    let exponent = (bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(exponent.exp2() * 1e-6)
}
