//! Observed run times. Run times declared by callers are not used.

use std::time::Duration;

/// Window of a service's mean run time, in samples.
const SERVICE_SAMPLES: f64 = 256.0;

/// Window of a worker's speed, in samples.
const WORKER_SAMPLES: f64 = 16.0;

/// Samples before the speed of a worker is used.
const MIN_WORKER_SAMPLES: u32 = 3;

/// Deviation of a worker's speed (logarithm of the ratio) that is ignored as noise.
const SPEED_NOISE: f64 = 0.35;

/// Buckets of the histogram: four per doubling, from 1 µs to 17 minutes.
const BUCKETS: usize = 120;
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Total weight of the histogram at which all buckets are halved, so that old samples lose weight.
const MAX_WEIGHT: f64 = 4096.0;

/// Mean of all samples while there are few, and a moving average after that.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningMean {
    value: f64,
    samples: u32,
}

impl RunningMean {
    /// Adds a sample. `window` is the number of samples that the moving average covers.
    pub fn add(&mut self, sample: f64, window: f64) {
        self.samples = self.samples.saturating_add(1);
        let share = (1.0 / f64::from(self.samples)).max(1.0 / window);
        self.value += (sample - self.value) * share;
    }

    /// Returns the mean once there are at least `min_samples` samples.
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
    /// Adds the run time of a task that has ended.
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

    /// Returns the mean run time, or `None` before the first sample.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.mean.after(1).map(Duration::from_secs_f64)
    }

    /// Returns the share of the runs that took no longer than the given time, or `None` before the first
    /// sample.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "there are few buckets")]
    pub fn share_within(&self, time: Duration) -> Option<f64> {
        if self.total_weight == 0.0 {
            return None;
        }
        let position = (time.as_secs_f64().max(1e-6) * 1e6).log2() * BUCKETS_PER_DOUBLING;
        let share =
            |(bucket, weight): (usize, &f64)| weight * (position - bucket as f64).clamp(0.0, 1.0);
        let within: f64 = self.weights.iter().enumerate().map(share).sum();
        Some(within / self.total_weight)
    }

    /// Returns the expected run time of the longest of a number of tasks, or `None` before the first
    /// sample.
    #[must_use]
    pub fn longest_of(&self, tasks: u16) -> Option<Duration> {
        if self.total_weight == 0.0 {
            return None;
        }
        let quantile = 1.0 - 1.0 / (f64::from(tasks) + 1.0);
        let mut remaining_weight = quantile * self.total_weight;
        let bucket = self.weights.iter().position(|weight| {
            remaining_weight -= weight;
            remaining_weight <= 0.0
        });
        Some(bucket_midpoint(bucket.unwrap_or(BUCKETS - 1)))
    }
}

/// Speed of one worker relative to the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    mean_ln_ratio: RunningMean,
}

impl Speed {
    /// Adds the run time of a task, relative to the mean of the service.
    pub fn add(&mut self, run: Duration, service: &RunTimes) {
        let Some(service_mean_ln) = service.mean_ln.after(1) else {
            return;
        };
        let ratio = run.as_secs_f64().max(1e-6).ln() - service_mean_ln;
        self.mean_ln_ratio.add(ratio, WORKER_SAMPLES);
    }

    /// Returns the factor by which tasks take longer on this worker than elsewhere, or 1 if the
    /// deviation is within the noise.
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
fn bucket_midpoint(bucket: usize) -> Duration {
    let exponent = (bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(exponent.exp2() * 1e-6)
}
