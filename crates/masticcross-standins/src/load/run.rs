//! Runs the load generator.

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use masticcross_basics::NameError;
use thiserror::Error;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::args::LoadArgs;
use super::arrivals::Arrivals;
use super::caller::{CallOutcome, Caller};
use super::jobs::JobTable;
use super::report::{Recorder, Report};
use super::starts::Starts;
use super::submission::Submission;
use super::trace::{self, TraceError};

/// Delay above which a submission counts as sent later than scheduled.
const DELAY_TOLERANCE: Duration = Duration::from_millis(20);

/// Time to wait for the last answers after the longest deadline.
const FINAL_ANSWER_GRACE: Duration = Duration::from_secs(6);

/// Why a run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// No address of an entry is given.
    #[error("no entry is given; specify at least one --entry ADDRESS")]
    NoEntry,
    /// The name of the service or of a team is not valid.
    #[error("service or team: {0}")]
    Name(#[from] NameError),
    /// The trace cannot be read or written.
    #[error("{path}: {cause}", path = path.display())]
    Trace {
        /// Path of the file.
        path: PathBuf,
        /// What went wrong.
        cause: TraceError,
    },
    /// The report cannot be written.
    #[error("{path}: {cause}", path = path.display())]
    Report {
        /// Path of the file.
        path: PathBuf,
        /// What went wrong.
        cause: std::io::Error,
    },
    /// An answer or a start violated a guarantee.
    #[error("an answer or a start violated a guarantee")]
    GuaranteeViolated,
}

/// Result of a run.
pub type Result<T> = std::result::Result<T, RunError>;

/// Runs the load generator with the given flags, and prints the report.
///
/// # Errors
/// Fails if a name is not valid, if no entry is given, or if a file cannot be read or written; with
/// `--strict` also if a guarantee was violated.
pub async fn run(args: LoadArgs) -> Result<()> {
    let submissions = submissions(&args)?;
    if let Some(path) = &args.write_trace {
        let lines = write_trace(path, submissions)?;
        println!("{lines} submissions written to {}", path.display());
        return Ok(());
    }
    let report = send(&args, submissions).await?;
    print!("{report}");
    if let Some(path) = &args.json {
        write_report(path, &report)?;
    }
    if args.strict && report.has_violations() {
        return Err(RunError::GuaranteeViolated);
    }
    Ok(())
}

type Submissions = Box<dyn Iterator<Item = Submission> + Send>;

fn submissions(args: &LoadArgs) -> Result<Submissions> {
    let prefix = args.prefix.clone().unwrap_or_else(unique_prefix);
    if let Some(path) = &args.trace {
        let mut trace = read_trace(path)?;
        for submission in &mut trace {
            submission.job = format!("{prefix}.{}", submission.job);
        }
        return Ok(Box::new(trace.into_iter()));
    }
    Ok(Box::new(Arrivals::new(args.plan(&prefix)?)))
}

/// Returns a prefix that differs from those of earlier runs.
fn unique_prefix() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("load{}", since_epoch.unwrap_or_default().as_millis())
}

fn read_trace(path: &Path) -> Result<Vec<Submission>> {
    let read = || trace::read(BufReader::new(File::open(path)?));
    read().map_err(|cause| RunError::Trace {
        path: path.to_owned(),
        cause,
    })
}

fn write_trace(path: &Path, submissions: Submissions) -> Result<u64> {
    let write = || trace::write(&mut BufWriter::new(File::create(path)?), submissions);
    write().map_err(|cause| RunError::Trace {
        path: path.to_owned(),
        cause,
    })
}

fn write_report(path: &Path, report: &Report) -> Result<()> {
    let write = || {
        let file = BufWriter::new(File::create(path)?);
        serde_json::to_writer_pretty(file, report).map_err(std::io::Error::from)
    };
    write().map_err(|cause| RunError::Report {
        path: path.to_owned(),
        cause,
    })
}

/// Sends submissions at their scheduled times and collects the answers.
///
/// # Errors
/// Fails if no entry is given.
pub async fn send(
    args: &LoadArgs,
    submissions: impl Iterator<Item = Submission>,
) -> Result<Report> {
    if args.entry.is_empty() {
        return Err(RunError::NoEntry);
    }
    let mut sender = Sender::new(args);
    for submission in submissions {
        sender.submit(submission).await;
    }
    sender.finish(&args.backend).await
}

/// Sends submissions and records their outcomes.
struct Sender {
    caller: Caller,
    connections: Arc<Semaphore>,
    start: Instant,
    offered_period: Duration,
    longest_deadline: Duration,
    in_flight: JoinSet<(Submission, CallOutcome)>,
    recorder: Recorder,
    jobs: JobTable,
}

impl Sender {
    fn new(args: &LoadArgs) -> Self {
        Self {
            caller: Caller::new(Arc::from(args.entry.as_slice()), args.connections),
            connections: Arc::new(Semaphore::new(args.connections.max(1))),
            start: Instant::now(),
            offered_period: Duration::ZERO,
            longest_deadline: Duration::ZERO,
            in_flight: JoinSet::new(),
            recorder: Recorder::new(args.seed),
            jobs: JobTable::default(),
        }
    }

    /// Waits until a submission is due and a connection is free, and then sends it.
    async fn submit(&mut self, submission: Submission) {
        let due = self.start + submission.at;
        self.collect_until(due).await;
        let Ok(permit) = self.connections.clone().acquire_owned().await else {
            return;
        };
        let delayed = due.elapsed() > DELAY_TOLERANCE;
        self.recorder.record_submission(&submission, delayed);
        self.jobs.record_submission(&submission);
        self.offered_period = submission.at;
        self.longest_deadline = self.longest_deadline.max(submission.deadline);
        let caller = self.caller.clone();
        self.in_flight.spawn(async move {
            let outcome = caller.submit(&submission, due).await;
            drop(permit);
            (submission, outcome)
        });
    }

    async fn collect_until(&mut self, until: Instant) {
        loop {
            tokio::select! {
                biased;
                Some(Ok(done)) = self.in_flight.join_next() => self.record_outcome(&done),
                () = sleep_until(until) => return,
            }
        }
    }

    fn record_outcome(&mut self, (submission, outcome): &(Submission, CallOutcome)) {
        let agrees = self.jobs.record_answer(submission, &outcome.answer);
        self.recorder.record_outcome(submission, outcome, agrees);
    }

    async fn finish(mut self, backends: &[String]) -> Result<Report> {
        let end = Instant::now() + self.longest_deadline + FINAL_ANSWER_GRACE;
        while let Ok(Some(done)) = timeout_at(end, self.in_flight.join_next()).await {
            if let Ok(done) = done {
                self.record_outcome(&done);
            }
        }
        let elapsed = self.start.elapsed();
        self.recorder.record_unanswered(self.in_flight.len() as u64);
        self.in_flight.shutdown().await;
        let starts = match backends {
            [] => None,
            backends => Some(Starts::fetch(backends).await.compare(&self.jobs)),
        };
        let (jobs, untracked) = (self.jobs.len(), self.jobs.untracked());
        Ok(self
            .recorder
            .finish(self.offered_period, elapsed, jobs, untracked, starts))
    }
}
