//! Corrections of the run times that callers estimate, by queue. They answer a load in which the
//! estimates of a queue are wrong by a similar factor (up to 40% on the deployments).
//!
//! The objective that is promised to a caller is computed from its own estimate.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use masticcross_basics::Name;

use crate::run_times::RunningMean;

/// Window of a queue's ratio, in samples.
const SAMPLES: f64 = 64.0;

/// Samples for which a ratio of 1 counts, so that a few runs do not change a decision.
const PRIOR_SAMPLES: f64 = 16.0;

/// Deviation of a ratio (its logarithm) that is ignored as noise.
const NOISE: f64 = 0.15;

/// Largest deviation of a sample that counts. Run times have a long tail.
const MAX_DEVIATION: f64 = 0.8;

/// Number of queues for which ratios are kept.
const MAX_QUEUES: usize = 1_024;

/// Ratio of the run times of a queue to their estimates.
#[derive(Debug, Clone, Copy, Default)]
struct Ratio {
    mean_ln: RunningMean,
    samples: u32,
}

impl Ratio {
    fn ln(&self) -> f64 {
        let samples = f64::from(self.samples).min(SAMPLES);
        self.mean_ln.after(1).unwrap_or(0.0) * samples / (samples + PRIOR_SAMPLES)
    }
}

/// Ratios of run times to their estimates, by queue.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    queues: BTreeMap<Name, Ratio>,
}

impl Estimates {
    /// Adds the logarithm of a run time relative to its estimate, less that of the worker's speed.
    pub fn add(&mut self, queue: &Name, sample: f64) {
        if self.queues.len() >= MAX_QUEUES && !self.queues.contains_key(queue) {
            self.queues.pop_first();
        }
        let ratio = self.queues.entry(queue.clone()).or_default();
        let usual = ratio.mean_ln.after(1).unwrap_or(sample);
        let deviation = (sample - usual).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        ratio.mean_ln.add(usual + deviation, SAMPLES);
        ratio.samples = ratio.samples.saturating_add(1);
    }

    /// Returns the logarithm of the usual ratio of a queue's run times to their estimates.
    #[must_use]
    pub fn ln_ratio(&self, queue: &str) -> f64 {
        self.queues.get(queue).map_or(0.0, Ratio::ln)
    }

    /// Returns the factor on a queue's estimates, 1 if the deviation is within the noise.
    #[must_use]
    pub fn factor(&self, queue: &str) -> f64 {
        let ln = self.ln_ratio(queue);
        if ln.abs() > NOISE { ln.exp() } else { 1.0 }
    }
}
