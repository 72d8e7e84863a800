//! Speeds of workers: which are slow by their kind, and which have become slow. It answers a load on
//! workers that differ in speed: a slow kind is used for what ends in time there, and only a worker
//! that has become slower than it was is limited.
//!
//! All speeds are logarithms of factors on the run time. The sample of a run is the logarithm of its
//! run time relative to the caller's estimate, less the usual deviation of its queue
//! ([`crate::estimates`]), so that a wrong estimate does not count as a slow worker.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;

use crate::run_times::RunningMean;

/// Window of a worker's baseline speed, in samples.
const BASELINE_SAMPLES: f64 = 256.0;

/// Samples for which the speed of the worker's kind counts in its baseline speed.
const KIND_WEIGHT: f64 = 8.0;

/// Samples from which the mean of a worker counts for its kind.
const MIN_KIND_SAMPLES: u32 = 8;

/// Deviation of a worker from its kind that is ignored as noise: at least, and times the square root of
/// the number of its samples (4 standard errors at a standard deviation of 0.5).
const OWN_NOISE: f64 = 0.35;
const SAMPLE_NOISE: f64 = 2.0;

/// Largest deviation of a sample from the baseline that counts in it. Run times have a long tail.
const MAX_DEVIATION: f64 = 0.8;

/// Difference from which a label's workers count as another kind (a factor of 1.35), and its minimum
/// relative to the standard error.
const MIN_KIND_DIFFERENCE: f64 = 0.3;
const MIN_KIND_SIGNIFICANCE: f64 = 4.0;

/// Least standard deviation assumed among the workers of a label, as theirs can be equal by chance.
const MIN_SPREAD: f64 = 0.15;

/// Deviation above which a run speaks for a degraded worker (a factor of 2), the largest value of one
/// run, and the sum at which the worker counts as degraded. Two runs out of the tail do not suffice; a
/// worker that turns 5 times slower reaches it within 3 to 5 runs.
const SLOW_DEVIATION: f64 = 0.7;
const MAX_SLOW_DEVIATION: f64 = 1.6;
const DEGRADED_SUM: f64 = 2.6;

/// Runs near the baseline in a row after which a worker no longer counts as degraded.
const GOOD_RUNS: u32 = 3;

/// Weight of a sample in the slowness of a degraded worker, and its largest value.
const DEGRADED_WEIGHT: f64 = 0.25;
const MAX_DEGRADED: f64 = 2.5;

/// Decrease of the slowness of a degraded worker per second, so that a worker that gets no runs is tried
/// again, after at most 8 s.
const FADE_PER_SEC: f64 = 0.32;

/// One of so many workers of a service may count as degraded at a time. If more seem to be, their load
/// has changed.
const DEGRADED_PART: usize = 3;

/// Change of the state of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The worker has become slower than its baseline speed.
    Degraded,
    /// The worker runs at its baseline speed again.
    Restored,
}

/// Recent runs that were slow, relative to the baseline.
#[derive(Debug, Clone, Copy)]
enum Recent {
    Usual { slow_sum: f64 },
    Degraded { slowness: f64, good: u32 },
}

/// Speed of one worker.
#[derive(Debug, Clone, Copy)]
pub struct WorkerSpeed {
    mean: RunningMean,
    samples: u32,
    kind: Kind,
    recent: Recent,
    last_job: Option<u64>,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            mean: RunningMean::default(),
            samples: 0,
            kind: Kind::default(),
            recent: Recent::Usual { slow_sum: 0.0 },
            last_job: None,
        }
    }
}

impl WorkerSpeed {
    /// Adds the sample of a run. A job counts once in a row for the detection of a degraded worker, as
    /// all its tasks may be long. `may_degrade` tells whether one more worker may count as degraded.
    pub fn add(&mut self, sample: f64, job: u64, may_degrade: bool) -> Option<Change> {
        let baseline = self.baseline();
        let deviation = sample - baseline;
        let clipped = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.mean.add(baseline + clipped, BASELINE_SAMPLES);
        self.samples = self.samples.saturating_add(1);
        if self.last_job.replace(job) == Some(job) {
            return None;
        }
        match &mut self.recent {
            Recent::Usual { slow_sum } => {
                let slow = deviation.min(MAX_SLOW_DEVIATION) - SLOW_DEVIATION;
                *slow_sum = (*slow_sum + slow).clamp(0.0, DEGRADED_SUM);
                if *slow_sum < DEGRADED_SUM || !may_degrade {
                    return None;
                }
                self.recent = Recent::Degraded {
                    slowness: deviation.min(MAX_DEGRADED),
                    good: 0,
                };
                Some(Change::Degraded)
            }
            Recent::Degraded { slowness, good } => {
                let deviation = deviation.clamp(0.0, MAX_DEGRADED);
                *slowness += (deviation - *slowness) * DEGRADED_WEIGHT;
                *good = if deviation < SLOW_DEVIATION {
                    *good + 1
                } else {
                    0
                };
                if *good < GOOD_RUNS {
                    return None;
                }
                self.recent = Recent::Usual { slow_sum: 0.0 };
                Some(Change::Restored)
            }
        }
    }

    /// Lowers the slowness of a degraded worker, for the given time.
    pub fn fade(&mut self, time: Duration) {
        if let Recent::Degraded { slowness, .. } = &mut self.recent {
            *slowness = (*slowness - FADE_PER_SEC * time.as_secs_f64()).max(0.0);
        }
    }

    /// Sets the speed of the worker's kind.
    pub fn set_kind(&mut self, kind: Kind) {
        self.kind = kind;
    }

    /// Returns the speed of a worker of the same kind without samples.
    #[must_use]
    pub fn restarted(&self) -> Self {
        Self {
            kind: self.kind,
            ..Self::default()
        }
    }

    /// Returns true if the worker has become slower than its baseline speed.
    #[must_use]
    pub fn is_degraded(&self) -> bool {
        matches!(self.recent, Recent::Degraded { .. })
    }

    /// Returns the logarithm of the worker's baseline speed relative to the mean of its service. A
    /// deviation from its kind that is within the noise is ignored.
    #[must_use]
    pub fn relative(&self) -> f64 {
        let own = self.baseline() - self.kind.mean;
        let samples = f64::from(self.samples).min(BASELINE_SAMPLES);
        let noise = OWN_NOISE.max(SAMPLE_NOISE / samples.sqrt());
        let counts = own.abs() > noise;
        self.kind.relative + if counts { own } else { 0.0 }
    }

    /// Returns the factor by which tasks take longer on this worker now than on the mean of its service.
    #[must_use]
    pub fn factor(&self) -> f64 {
        let degradation = match &self.recent {
            Recent::Usual { .. } => 0.0,
            Recent::Degraded { slowness, .. } => *slowness,
        };
        (self.relative() + degradation).exp()
    }

    /// Returns the mean of the worker's samples if it shows the speed of its kind.
    fn sample_of_kind(&self) -> Option<f64> {
        let own = self.mean.after(MIN_KIND_SAMPLES)?;
        (!self.is_degraded()).then_some(own)
    }

    fn baseline(&self) -> f64 {
        let samples = f64::from(self.samples).min(BASELINE_SAMPLES);
        let own = self.mean.after(1).unwrap_or(0.0) * samples;
        (own + self.kind.mean * KIND_WEIGHT) / (samples + KIND_WEIGHT)
    }
}

/// Speed of a kind of workers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Kind {
    /// Mean of its samples.
    mean: f64,
    /// Mean relative to that of the service.
    relative: f64,
}

/// Sums over the workers with a label.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    workers: f64,
    sum: f64,
    squares: f64,
}

impl Sums {
    fn add(&mut self, value: f64) {
        self.workers += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    fn without(self, other: Self) -> Self {
        Self {
            workers: self.workers - other.workers,
            sum: self.sum - other.sum,
            squares: self.squares - other.squares,
        }
    }

    fn mean(&self) -> f64 {
        self.sum / self.workers.max(1.0)
    }

    fn squared_error(&self) -> f64 {
        let variance = self.squares / self.workers - self.mean() * self.mean();
        variance.max(MIN_SPREAD * MIN_SPREAD) / self.workers
    }
}

/// Speeds of the kinds of workers of a service. A label of workers is a kind if they differ from the
/// workers without it, so that names and labels of places need no interpretation.
#[derive(Debug, Clone, Default)]
pub struct Kinds {
    all: Sums,
    by_label: BTreeMap<Name, Sums>,
    found: BTreeMap<Name, (f64, Kind)>,
    workers: usize,
    degraded: usize,
}

impl Kinds {
    /// Adds a worker with its labels.
    pub fn add(&mut self, speed: &WorkerSpeed, labels: &[Name]) {
        self.workers += 1;
        self.degraded += usize::from(speed.is_degraded());
        let Some(sample) = speed.sample_of_kind() else {
            return;
        };
        self.all.add(sample);
        for label in labels {
            self.by_label.entry(label.clone()).or_default().add(sample);
        }
    }

    /// Finds the labels that are kinds, once all workers have been added.
    #[must_use]
    pub fn found(mut self) -> Self {
        let mean = self.all.mean();
        for (label, with) in &self.by_label {
            let without = self.all.without(*with);
            if with.workers < 2.0 || without.workers < 2.0 {
                continue;
            }
            let difference = (with.mean() - without.mean()).abs();
            let error = (with.squared_error() + without.squared_error()).sqrt();
            if difference >= MIN_KIND_DIFFERENCE && difference >= MIN_KIND_SIGNIFICANCE * error {
                let kind = Kind {
                    mean: with.mean(),
                    relative: with.mean() - mean,
                };
                self.found.insert(label.clone(), (difference / error, kind));
            }
        }
        self
    }

    /// Returns the speed of the most significant kind among the labels of a worker.
    #[must_use]
    pub fn of(&self, labels: &[Name]) -> Kind {
        let kinds = labels.iter().filter_map(|label| self.found.get(label));
        let kind = kinds.max_by(|a, b| a.0.total_cmp(&b.0));
        kind.map_or_else(|| self.mean_kind(), |(_, kind)| *kind)
    }

    /// Iterates over the labels that are kinds, with the logarithm of their speed relative to the mean.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.found
            .iter()
            .map(|(label, (_, kind))| (label, kind.relative))
    }

    /// Returns true if one more worker may count as degraded.
    #[must_use]
    pub fn may_degrade(&self) -> bool {
        (self.degraded + 1) * DEGRADED_PART <= self.workers.max(DEGRADED_PART)
    }

    /// Counts a change of a worker.
    pub fn changed(&mut self, change: Change) {
        self.degraded = match change {
            Change::Degraded => self.degraded + 1,
            Change::Restored => self.degraded.saturating_sub(1),
        };
    }

    fn mean_kind(&self) -> Kind {
        Kind {
            mean: self.all.mean(),
            relative: 0.0,
        }
    }
}
