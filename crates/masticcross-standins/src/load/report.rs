//! Metrics of a run.

mod table;

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use masticcross_basics::Code;
use serde::Serialize;

use super::caller::{Answer, CallOutcome};
use super::starts::StartCounts;
use super::submission::Submission;

/// Largest recorded value: an hour in microseconds, or a ratio of 3.6 million in thousandths.
const MAX_VALUE: u64 = 3_600_000_000;

/// Precision of recorded values, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Longest stored example of a refusal, in characters.
const MAX_EXAMPLE_CHARS: usize = 200;

/// Recorded values per reported unit: microseconds per millisecond, thousandths per ratio.
const VALUES_PER_UNIT: f64 = 1000.0;

/// Percentiles of a set of values.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

/// Refusals and failures with the same result code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusalSummary {
    /// Result code.
    pub code: u16,
    /// Title of the code.
    pub title: &'static str,
    /// Whether the answers stated that nothing ran.
    pub not_run: bool,
    /// Number of answers.
    pub count: u64,
    /// Explanation in the first of them.
    pub example: String,
}

/// What callers saw in one run.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Time from the first submission to the last answer, in seconds.
    pub seconds: f64,
    /// Jobs submitted.
    pub jobs: u64,
    /// Submissions, including resubmissions.
    pub submissions: u64,
    /// Resubmissions.
    pub resubmissions: u64,
    /// Tasks of the submitted jobs.
    pub tasks: u64,
    /// Average number of slots that the jobs need at the rate at which they were submitted.
    pub offered_slots: f64,
    /// Submissions with a complete and correct answer.
    pub complete: u64,
    /// Completed jobs per second, without resubmissions.
    pub jobs_per_second: f64,
    /// Tasks of these jobs per second.
    pub tasks_per_second: f64,
    /// Response time of first submissions divided by the ideal response time.
    pub over_ideal: Percentiles,
    /// Response time of first submissions minus the ideal response time, in milliseconds.
    pub beyond_ideal_ms: Percentiles,
    /// Refusals and failures by code.
    pub refused: Vec<RefusalSummary>,
    /// Answers whose number of results differs from the number of tasks.
    pub partial: u64,
    /// Answers with a value that does not belong to the task.
    pub wrong_values: u64,
    /// Answers that could not be parsed.
    pub malformed: u64,
    /// Complete answers that differ from an earlier one of the same job.
    pub differing: u64,
    /// Submissions without an answer.
    pub unanswered: u64,
    /// Complete answers after the deadline.
    pub late: u64,
    /// Connections that an entry refused; nothing was sent.
    pub refused_connections: u64,
    /// Connections that broke with a request in progress.
    pub broken_connections: u64,
    /// Submissions that were retried after a refused or broken connection.
    pub retried: u64,
    /// Submissions sent later than scheduled because all connections were in use.
    pub delayed: u64,
    /// Submissions of jobs beyond the number that is recorded and compared.
    pub untracked: u64,
    /// Task starts at the backend servers, if their addresses were given.
    pub starts: Option<StartCounts>,
}

impl Report {
    /// Returns true if an answer or a start violated a guarantee. Refusals are no violation.
    #[must_use]
    pub fn has_violations(&self) -> bool {
        let starts = self.starts.unwrap_or_default();
        let wrong = self.partial + self.wrong_values + self.malformed + self.differing;
        wrong + starts.doubled + starts.false_not_run > 0
    }
}

/// Counter of refusals and failures with the same result code.
#[derive(Debug, Default)]
struct RefusalCounter {
    count: u64,
    example: String,
}

/// Collects the metrics of a run.
#[derive(Debug)]
pub struct Recorder {
    report: Report,
    work: Duration,
    over_ideal: Histogram<u64>,
    beyond_ideal: Histogram<u64>,
    refused: BTreeMap<(u16, bool), RefusalCounter>,
    completed_jobs: u64,
    completed_tasks: u64,
}

impl Recorder {
    /// Creates an empty recorder.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            report: Report {
                seed,
                ..Report::default()
            },
            work: Duration::ZERO,
            over_ideal: new_histogram(),
            beyond_ideal: new_histogram(),
            refused: BTreeMap::new(),
            completed_jobs: 0,
            completed_tasks: 0,
        }
    }

    /// Records a sent submission.
    pub fn record_submission(&mut self, submission: &Submission, delayed: bool) {
        self.report.submissions += 1;
        self.report.delayed += u64::from(delayed);
        if submission.copy > 0 {
            self.report.resubmissions += 1;
            return;
        }
        self.report.tasks += submission.tasks.len() as u64;
        self.work += submission.work();
    }

    /// Records the outcome of a submission. `agrees` is false if the answer differs from an earlier
    /// one of the same job.
    pub fn record_outcome(&mut self, submission: &Submission, outcome: &CallOutcome, agrees: bool) {
        let report = &mut self.report;
        report.refused_connections += u64::from(outcome.failures.refused);
        report.broken_connections += u64::from(outcome.failures.broken);
        report.retried += u64::from(outcome.failures.total() > 0);
        report.differing += u64::from(!agrees);
        match &outcome.answer {
            Answer::Complete { .. } => self.record_complete(submission, outcome.elapsed),
            Answer::Partial => report.partial += 1,
            Answer::WrongValue => report.wrong_values += 1,
            Answer::Malformed { .. } => report.malformed += 1,
            Answer::None => report.unanswered += 1,
            Answer::Refused {
                code,
                not_run,
                detail,
            } => self.record_refusal(*code, *not_run, detail),
        }
    }

    fn record_refusal(&mut self, code: u16, not_run: bool, detail: &str) {
        let refusals = self.refused.entry((code, not_run)).or_default();
        if refusals.count == 0 {
            refusals.example = detail.chars().take(MAX_EXAMPLE_CHARS).collect();
        }
        refusals.count += 1;
    }

    /// Records submissions that were still unanswered at the end of the run.
    pub fn record_unanswered(&mut self, count: u64) {
        self.report.unanswered += count;
    }

    fn record_complete(&mut self, submission: &Submission, elapsed: Duration) {
        self.report.complete += 1;
        self.report.late += u64::from(elapsed > submission.deadline);
        if submission.copy > 0 {
            return;
        }
        self.completed_jobs += 1;
        self.completed_tasks += submission.tasks.len() as u64;
        let ideal = submission.ideal();
        let excess = elapsed.saturating_sub(ideal).as_micros();
        record_value(&mut self.beyond_ideal, excess);
        if !ideal.is_zero() {
            let ratio = elapsed.as_micros().saturating_mul(1000) / ideal.as_micros();
            record_value(&mut self.over_ideal, ratio);
        }
    }

    /// Returns the report of the run.
    #[must_use]
    pub fn finish(
        self,
        offered_period: Duration,
        elapsed: Duration,
        jobs: u64,
        untracked: u64,
        starts: Option<StartCounts>,
    ) -> Report {
        let refused = self.refused.into_iter();
        let per_second = |count: u64| as_f64(count) / elapsed.as_secs_f64().max(f64::EPSILON);
        Report {
            seconds: elapsed.as_secs_f64(),
            jobs,
            untracked,
            offered_slots: self.work.as_secs_f64() / offered_period.as_secs_f64().max(f64::EPSILON),
            jobs_per_second: per_second(self.completed_jobs),
            tasks_per_second: per_second(self.completed_tasks),
            over_ideal: percentiles(&self.over_ideal),
            beyond_ideal_ms: percentiles(&self.beyond_ideal),
            refused: refused
                .map(|((code, not_run), refusals)| RefusalSummary {
                    code,
                    title: Code::try_from(code).map_or("unknown code", Code::title),
                    not_run,
                    count: refusals.count,
                    example: refusals.example,
                })
                .collect(),
            starts,
            ..self.report
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_VALUE, SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!())
}

fn record_value(histogram: &mut Histogram<u64>, value: u128) {
    let value = u64::try_from(value).unwrap_or(MAX_VALUE);
    histogram.saturating_record(value);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| as_f64(histogram.value_at_quantile(quantile)) / VALUES_PER_UNIT;
    if histogram.is_empty() {
        return Percentiles::default();
    }
    Percentiles {
        count: histogram.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        p999: at(0.999),
        max: as_f64(histogram.max()) / VALUES_PER_UNIT,
    }
}

/// Converts a count; counts are far below the range in which `f64` loses precision.
#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
