//! A run of the load generator.

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
use super::caller::{Answered, Caller};
use super::jobs::JobTable;
use super::report::{Recorder, Report};
use super::starts::Starts;
use super::submission::Submission;
use super::trace::{self, TraceError};

/// Delay beyond which a submission counts as sent later than due.
const DELAY_TOLERANCE: Duration = Duration::from_millis(20);

/// Wait for the last answers beyond the longest deadline.
const END_SLACK: Duration = Duration::from_secs(6);

/// Why a run could not be made.
#[derive(Debug, Error)]
pub enum RunError {
    /// There is nobody to send to.
    #[error("no entry is given; accepted is one --entry ADDRESS or more")]
    NoEntry,
    /// A name is not valid.
    #[error("service or team: {0}")]
    Name(#[from] NameError),
    /// The trace cannot be read or written.
    #[error("{path}: {cause}", path = path.display())]
    Trace {
        /// The file.
        path: PathBuf,
        /// Why not.
        cause: TraceError,
    },
    /// The report cannot be written.
    #[error("{path}: {cause}", path = path.display())]
    Report {
        /// The file.
        path: PathBuf,
        /// Why not.
        cause: std::io::Error,
    },
    /// An answer or a start broke a promise.
    #[error("an answer or a start broke a promise")]
    BrokenPromise,
}

/// Result of a run.
pub type Result<T> = std::result::Result<T, RunError>;

/// Runs the load generator as the flags say, and prints the report.
///
/// # Errors
/// Fails if the run could not be made, or with `--strict` if a promise was broken.
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
        return Err(RunError::BrokenPromise);
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

/// Returns a prefix that no earlier run had.
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

/// Sends submissions at their times and collects the answers.
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

/// Sends submissions and keeps what is known of them.
struct Sender {
    caller: Caller,
    connections: Arc<Semaphore>,
    start: Instant,
    offered_for: Duration,
    longest_deadline: Duration,
    running: JoinSet<(Submission, Answered)>,
    recorder: Recorder,
    jobs: JobTable,
}

impl Sender {
    fn new(args: &LoadArgs) -> Self {
        Self {
            caller: Caller::new(Arc::from(args.entry.as_slice()), args.connections),
            connections: Arc::new(Semaphore::new(args.connections.max(1))),
            start: Instant::now(),
            offered_for: Duration::ZERO,
            longest_deadline: Duration::ZERO,
            running: JoinSet::new(),
            recorder: Recorder::new(args.seed),
            jobs: JobTable::default(),
        }
    }

    /// Waits until a submission is due and a connection is free, and sends it.
    async fn submit(&mut self, submission: Submission) {
        let due = self.start + submission.at;
        self.collect_until(due).await;
        let Ok(permit) = self.connections.clone().acquire_owned().await else {
            return;
        };
        let delayed = due.elapsed() > DELAY_TOLERANCE;
        self.recorder.sent(&submission, delayed);
        self.jobs.sent(&submission);
        self.offered_for = submission.at;
        self.longest_deadline = self.longest_deadline.max(submission.deadline);
        let caller = self.caller.clone();
        self.running.spawn(async move {
            let answered = caller.submit(&submission, due).await;
            drop(permit);
            (submission, answered)
        });
    }

    async fn collect_until(&mut self, moment: Instant) {
        loop {
            tokio::select! {
                biased;
                Some(Ok(done)) = self.running.join_next() => self.record(&done),
                () = sleep_until(moment) => return,
            }
        }
    }

    fn record(&mut self, (submission, answered): &(Submission, Answered)) {
        let agrees = self.jobs.answered(submission, &answered.answer);
        self.recorder.answered(submission, answered, agrees);
    }

    async fn finish(mut self, backends: &[String]) -> Result<Report> {
        let end = Instant::now() + self.longest_deadline + END_SLACK;
        while let Ok(Some(done)) = timeout_at(end, self.running.join_next()).await {
            if let Ok(done) = done {
                self.record(&done);
            }
        }
        let elapsed = self.start.elapsed();
        self.recorder.given_up(self.running.len() as u64);
        self.running.shutdown().await;
        let starts = match backends {
            [] => None,
            backends => Some(Starts::gather(backends).await.compare(&self.jobs)),
        };
        let (jobs, untracked) = (self.jobs.len(), self.jobs.untracked());
        Ok(self
            .recorder
            .finish(self.offered_for, elapsed, jobs, untracked, starts))
    }
}
