//! Figures of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use masticcross_basics::Code;

/// Unit in which ratios are kept: thousandths.
const RATIO_UNIT: f64 = 1000.0;

/// Largest ratio that is kept.
const MAX_RATIO: u64 = 10_000_000;

/// Length of the slices in which starts are counted.
pub const SLICE: Duration = Duration::from_millis(100);

/// A complete job.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Number of tasks.
    pub tasks: usize,
    /// Response time over the ideal.
    pub ratio: f64,
    /// Run time of all tasks.
    pub work: Duration,
}

/// Figures of an experiment.
#[derive(Debug, Clone)]
pub struct Report {
    ratios: Histogram<u64>,
    /// Complete jobs, in the order of their ends.
    pub samples: Vec<Sample>,
    /// Jobs that were answered completely.
    pub completed: u64,
    /// Jobs that were admitted and failed, by code.
    pub failed: BTreeMap<Code, u64>,
    /// Jobs that were refused as not run, by code.
    pub refused: BTreeMap<Code, u64>,
    /// Refusals without a retry time.
    pub refused_without_retry: u64,
    /// Run time of the tasks of complete jobs, in seconds.
    pub useful_secs: f64,
    /// Work of the jobs that arrived, in seconds.
    pub offered_secs: f64,
    /// Work of those of them that were answered completely, in seconds.
    pub answered_secs: f64,
    /// Time measured, in seconds.
    pub measured_secs: f64,
    /// Slots of all workers.
    pub slots: f64,
    /// Tasks sent.
    pub starts: u64,
    /// Tasks sent again.
    pub retries: u64,
    /// Tasks that failed, by worker.
    pub task_failures: BTreeMap<u32, u64>,
    /// Starts by zone, in slices of [`SLICE`].
    pub starts_by_slice: Vec<Vec<u32>>,
    /// Longest time from arrival to the start of a task, by team.
    pub longest_wait: BTreeMap<usize, Duration>,
    /// Work done by team, in seconds.
    pub work_by_team: BTreeMap<usize, f64>,
    /// Demand frames that agents would have been sent.
    pub demands: u64,
}

impl Report {
    /// Creates an empty report.
    ///
    /// # Panics
    /// Never: the bounds of the histogram are valid.
    #[must_use]
    pub fn new(slots: f64, measured: Duration) -> Self {
        let ratios = Histogram::new_with_bounds(1, MAX_RATIO, 3);
        Self {
            ratios: ratios.expect("the bounds are valid"),
            samples: Vec::new(),
            completed: 0,
            failed: BTreeMap::new(),
            refused: BTreeMap::new(),
            refused_without_retry: 0,
            useful_secs: 0.0,
            offered_secs: 0.0,
            answered_secs: 0.0,
            measured_secs: measured.as_secs_f64(),
            slots,
            starts: 0,
            retries: 0,
            task_failures: BTreeMap::new(),
            starts_by_slice: Vec::new(),
            longest_wait: BTreeMap::new(),
            work_by_team: BTreeMap::new(),
            demands: 0,
        }
    }

    /// Counts a complete job with its response time over the ideal.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "ratios are small and positive"
    )]
    pub fn complete(&mut self, sample: Sample) {
        self.completed += 1;
        self.useful_secs += sample.work.as_secs_f64();
        let ratio = (sample.ratio * RATIO_UNIT) as u64;
        self.ratios.saturating_record(ratio);
        self.samples.push(sample);
    }

    /// Returns a quantile of response time over the ideal.
    #[expect(clippy::cast_precision_loss, reason = "ratios are small")]
    #[must_use]
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratios.value_at_quantile(quantile) as f64 / RATIO_UNIT
    }

    /// Returns the share of all slots that did work of complete jobs.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.useful_secs / self.measured_secs / self.slots
    }

    /// Returns the share of the work that arrived which was answered completely.
    #[must_use]
    pub fn answered_share(&self) -> f64 {
        self.answered_secs / self.offered_secs
    }

    /// Returns the number of failed jobs.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Returns the number of refused jobs.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Counts starts of a zone in a span of time.
    #[must_use]
    pub fn starts_in(&self, zone: usize, from: Duration, to: Duration) -> u64 {
        let slice = |at: Duration| (at.as_millis() / SLICE.as_millis()).try_into();
        let (from, to) = (slice(from).unwrap_or(0), slice(to).unwrap_or(0));
        let slices = self.starts_by_slice.iter().take(to).skip(from);
        slices
            .filter_map(|zones| zones.get(zone))
            .map(|n| u64::from(*n))
            .sum()
    }
}
