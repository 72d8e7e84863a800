//! Metrics of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use masticcross_basics::Code;

/// Recorded values per unit of a ratio: ratios are recorded in thousandths.
const VALUES_PER_RATIO: f64 = 1000.0;

/// Largest recorded ratio, in thousandths.
const MAX_RATIO: u64 = 10_000_000;

/// Duration of the time slices in which starts are counted.
pub const SLICE: Duration = Duration::from_millis(100);

/// A completed job.
#[derive(Debug, Clone, Copy)]
pub struct CompletedJob {
    /// Number of tasks.
    pub tasks: usize,
    /// Response time divided by the ideal response time.
    pub ratio: f64,
    /// Total run time of its tasks.
    pub work: Duration,
}

/// Metrics of an experiment.
#[derive(Debug, Clone)]
pub struct Report {
    ratios: Histogram<u64>,
    /// Completed jobs, in the order of their ends.
    pub completed_jobs: Vec<CompletedJob>,
    /// Number of completed jobs.
    pub completed: u64,
    /// Number of admitted jobs that failed, by result code.
    pub failed: BTreeMap<Code, u64>,
    /// Number of jobs that were refused before they ran, by result code.
    pub refused: BTreeMap<Code, u64>,
    /// Refusals without a retry-after time.
    pub refused_without_retry_after: u64,
    /// Work of the completed jobs, in seconds.
    pub useful_secs: f64,
    /// Work of all jobs that arrived in the measured time, in seconds.
    pub offered_secs: f64,
    /// Work of those of these jobs that completed, in seconds.
    pub answered_secs: f64,
    /// Duration of the measurement, in seconds.
    pub measured_secs: f64,
    /// Total number of slots of all workers.
    pub slots: f64,
    /// Number of task starts that were sent to workers.
    pub starts: u64,
    /// Number of retried tasks.
    pub retries: u64,
    /// Number of failed tasks, by worker.
    pub task_failures: BTreeMap<u32, u64>,
    /// Starts per time slice of [`SLICE`], and in each slice by zone.
    pub starts_by_slice: Vec<Vec<u32>>,
    /// Longest time from the arrival of a job to the start of one of its tasks, by team.
    pub longest_wait: BTreeMap<usize, Duration>,
    /// Run time of completed tasks by team, in seconds.
    pub work_by_team: BTreeMap<usize, f64>,
    /// Number of demand frames that would have been sent to agents.
    pub demand_frames: u64,
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
            completed_jobs: Vec::new(),
            completed: 0,
            failed: BTreeMap::new(),
            refused: BTreeMap::new(),
            refused_without_retry_after: 0,
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
            demand_frames: 0,
        }
    }

    /// Records a completed job.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "ratios are small and positive"
    )]
    pub fn record_complete(&mut self, job: CompletedJob) {
        self.completed += 1;
        self.useful_secs += job.work.as_secs_f64();
        let ratio = (job.ratio * VALUES_PER_RATIO) as u64;
        self.ratios.saturating_record(ratio);
        self.completed_jobs.push(job);
    }

    /// Returns a quantile of the response times, each divided by the job's ideal response time.
    #[expect(clippy::cast_precision_loss, reason = "ratios are small")]
    #[must_use]
    pub fn ratio(&self, quantile: f64) -> f64 {
        self.ratios.value_at_quantile(quantile) as f64 / VALUES_PER_RATIO
    }

    /// Returns the share of the capacity of all slots that was spent on completed jobs.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.useful_secs / self.measured_secs / self.slots
    }

    /// Returns the share of the arrived work that completed.
    #[must_use]
    pub fn answered_share(&self) -> f64 {
        self.answered_secs / self.offered_secs
    }

    /// Returns the number of admitted jobs that failed.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Returns the number of refused jobs.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns the number of starts in a zone between two times.
    #[must_use]
    pub fn starts_between(&self, zone: usize, from: Duration, to: Duration) -> u64 {
        let slice = |at: Duration| (at.as_millis() / SLICE.as_millis()).try_into();
        let (from, to) = (slice(from).unwrap_or(0), slice(to).unwrap_or(0));
        let slices = self.starts_by_slice.iter().take(to).skip(from);
        slices
            .filter_map(|zones| zones.get(zone))
            .map(|n| u64::from(*n))
            .sum()
    }
}
