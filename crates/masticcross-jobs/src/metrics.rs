//! Metrics of entries and agents.

use std::time::Duration;

use masticcross_wire::pool::{RunEnd, RunResult};
use prometheus::{
    Counter, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

use crate::job::JobOutcome;
use crate::scheduler::{PlaceWaits, SchedulerGauges, ViewStatus};
use crate::supervisor::SupervisorGauges;

/// Result of registering metrics.
pub type Result<T> = prometheus::Result<T>;

/// Upper bounds of the histogram buckets for job durations, in seconds.
const JOB_SECONDS: [f64; 11] = [0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0];

/// Upper bounds of the histogram buckets for call durations, in seconds.
const CALL_SECONDS: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.06, 0.2];

/// Counters, gauges and histograms of an entry.
#[derive(Debug, Clone)]
pub struct EntryMetrics {
    registry: Registry,
    job_seconds: HistogramVec,
    refusals: IntCounterVec,
    callers_left: IntCounter,
    run_ends: IntCounterVec,
    jobs: IntGauge,
    waiting: IntGauge,
    workers: IntGauge,
    confined_queues: IntGauge,
    config_version: IntGauge,
    view_position: IntGauge,
    view_age: Gauge,
    view_reads: IntCounterVec,
    view_updates: IntCounterVec,
    session_ends: IntCounterVec,
    place_waits: IntCounterVec,
    place_wait_seconds: Counter,
}

/// Result of a read of the operators' records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewRead {
    /// There were new records.
    Changed,
    /// There were new records, and there are more.
    Behind,
    /// There were no new records.
    Unchanged,
    /// The records at the position are no longer stored; the newest ones are read next.
    Truncated,
    /// The connection could not be established or was closed.
    Disconnected,
    /// The time limit passed before the first byte of the answer's body.
    TimedOut,
    /// The time limit passed after a part of the answer's body.
    TimedOutInBody,
    /// The read was rejected.
    Refused,
    /// The answer could not be decoded.
    Malformed,
}

impl ViewRead {
    /// Returns true if the read has shown which records are the newest.
    #[must_use]
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Changed | Self::Unchanged)
    }

    fn label(self) -> &'static str {
        match self {
            Self::Changed => "changed",
            Self::Behind => "behind",
            Self::Unchanged => "unchanged",
            Self::Truncated => "truncated",
            Self::Disconnected => "disconnected",
            Self::TimedOut => "timed_out",
            Self::TimedOutInBody => "timed_out_in_body",
            Self::Refused => "refused",
            Self::Malformed => "malformed",
        }
    }
}

/// Where an operator view came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// The operators' records.
    Records,
    /// Another process.
    Session,
}

impl ViewSource {
    /// Returns the label for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Records => "records",
            Self::Session => "session",
        }
    }
}

/// Why an entry ended a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionEnd {
    /// The agent closed it or its connection broke.
    Closed,
    /// No frame was received in time.
    Silent,
    /// The queue of frames to the other process was full.
    QueueFull,
    /// A frame violated the protocol.
    Malformed,
    /// The session is not needed any more.
    Retired,
}

impl SessionEnd {
    /// Returns the label for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::QueueFull => "queue_full",
            Self::Malformed => "malformed",
            Self::Retired => "retired",
        }
    }
}

impl EntryMetrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    /// Fails if a name is registered twice.
    pub fn new() -> Result<Self> {
        let registry = Registry::new_custom(Some("masticcross_entry".to_owned()), None)?;
        let opts = HistogramOpts::new("job_seconds", "Time to a job's answer, by outcome");
        let job_seconds = HistogramVec::new(opts.buckets(JOB_SECONDS.to_vec()), &["outcome"])?;
        registry.register(Box::new(job_seconds.clone()))?;
        let callers_left = IntCounter::new("callers_left_total", "Jobs stopped, callers gone")?;
        registry.register(Box::new(callers_left.clone()))?;
        Ok(Self {
            job_seconds,
            refusals: counters(&registry, "refusals_total", "Refusals, by code", "code")?,
            callers_left,
            run_ends: counters(&registry, "run_ends_total", "Ends of runs", "result")?,
            jobs: gauge(&registry, "jobs_open", "Jobs that have not ended")?,
            waiting: gauge(
                &registry,
                "jobs_waiting",
                "Jobs with tasks that wait for room",
            )?,
            workers: gauge(&registry, "workers_usable", "Workers that can be used")?,
            confined_queues: gauge(
                &registry,
                "queues_confined",
                "Queues that get a part of the workers, as their tasks crash workers",
            )?,
            config_version: gauge(
                &registry,
                "config_version",
                "Version of the configuration in force",
            )?,
            view_position: gauge(
                &registry,
                "view_position",
                "Position of the operator view in force",
            )?,
            view_age: view_age(&registry)?,
            view_reads: counters(
                &registry,
                "view_reads_total",
                "Reads of the operators' records",
                "result",
            )?,
            view_updates: counters(
                &registry,
                "view_updates_total",
                "Operator views applied",
                "source",
            )?,
            session_ends: counters(&registry, "session_ends_total", "Sessions ended", "reason")?,
            place_waits: counters(
                &registry,
                "place_waits_total",
                "Waits of tasks for workers near their data: started, ended near it or elsewhere",
                "event",
            )?,
            place_wait_seconds: place_wait_seconds(&registry)?,
            registry,
        })
    }

    /// Returns the registry, for the metrics of other modules.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a job that was answered.
    pub fn answered(&self, outcome: &JobOutcome, took: Duration) {
        let label = match outcome {
            JobOutcome::Completed => "completed",
            JobOutcome::Failed => "failed",
            JobOutcome::Refused(refusal) => {
                let code = refusal.code.number().to_string();
                self.refusals.with_label_values(&[code.as_str()]).inc();
                "refused"
            }
        };
        let seconds = self.job_seconds.with_label_values(&[label]);
        seconds.observe(took.as_secs_f64());
    }

    /// Counts a job that was stopped because all its callers had disconnected.
    pub fn callers_left(&self) {
        self.callers_left.inc();
    }

    /// Counts ends of runs.
    pub fn runs_ended(&self, ends: &[RunEnd]) {
        count_ends(&self.run_ends, ends);
    }

    /// Counts a read of the operators' records.
    pub fn view_read(&self, read: ViewRead) {
        self.view_reads.with_label_values(&[read.label()]).inc();
    }

    /// Counts an operator view that was applied.
    pub fn view_updated(&self, source: ViewSource) {
        self.view_updates.with_label_values(&[source.label()]).inc();
    }

    /// Counts a session that has ended.
    pub fn session_ended(&self, end: SessionEnd) {
        self.session_ends.with_label_values(&[end.label()]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self, gauges: SchedulerGauges, view: ViewStatus) -> String {
        self.jobs.set(count(gauges.jobs));
        self.waiting.set(count(gauges.waiting));
        self.workers.set(count(gauges.workers));
        self.confined_queues.set(count(gauges.confined_queues));
        self.config_version.set(saturating(view.config_version));
        self.view_position.set(saturating(view.position));
        let age = view.age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.view_age.set(age);
        self.set_place_waits(gauges.place_waits);
        text(&self.registry)
    }
}

impl EntryMetrics {
    fn set_place_waits(&self, waits: PlaceWaits) {
        let events = [
            ("started", waits.started),
            ("near", waits.ended_near),
            ("elsewhere", waits.ended_elsewhere),
        ];
        for (event, total) in events {
            let counter = self.place_waits.with_label_values(&[event]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
        let seconds = waits.waited.as_secs_f64() - self.place_wait_seconds.get();
        self.place_wait_seconds.inc_by(seconds.max(0.0));
    }
}

/// Counters, gauges and histograms of an agent.
#[derive(Debug, Clone)]
pub struct AgentMetrics {
    registry: Registry,
    start_seconds: Histogram,
    unanswered: IntCounterVec,
    run_ends: IntCounterVec,
    runs: IntGauge,
    free_cpu: IntGauge,
    open: IntGauge,
    view_position: IntGauge,
    worker_crashes: IntGauge,
    demand_cpu: IntGauge,
    offers: IntGauge,
    offers_unused: IntGauge,
}

impl AgentMetrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    /// Fails if a name is registered twice.
    pub fn new() -> Result<Self> {
        let registry = Registry::new_custom(Some("masticcross_agent".to_owned()), None)?;
        let opts = HistogramOpts::new("start_seconds", "Time to the worker's answer to a start");
        let start_seconds = Histogram::with_opts(opts.buckets(CALL_SECONDS.to_vec()))?;
        registry.register(Box::new(start_seconds.clone()))?;
        Ok(Self {
            start_seconds,
            unanswered: counters(&registry, "calls_unanswered_total", "Calls lost", "call")?,
            run_ends: counters(&registry, "run_ends_total", "Ends of runs", "result")?,
            runs: gauge(&registry, "runs", "Runs that hold room")?,
            free_cpu: gauge(&registry, "free_cpu", "Free thousandths of a core")?,
            open: gauge(&registry, "worker_open", "1 while the worker takes runs")?,
            view_position: gauge(
                &registry,
                "view_position",
                "Position of the operator view in force",
            )?,
            worker_crashes: gauge(&registry, "worker_crashes", "Crashes of the worker")?,
            demand_cpu: gauge(
                &registry,
                "demand_cpu",
                "Thousandths of a core for which entries have work waiting",
            )?,
            offers: gauge(&registry, "offers", "Free resources offered to one entry")?,
            offers_unused: gauge(
                &registry,
                "offers_unused",
                "Offers that expired without a run",
            )?,
            registry,
        })
    }

    /// Counts a start that the worker answered.
    pub fn start_answered(&self, took: Duration) {
        self.start_seconds.observe(took.as_secs_f64());
    }

    /// Counts a call that the worker did not answer.
    pub fn unanswered(&self, call: &str) {
        self.unanswered.with_label_values(&[call]).inc();
    }

    /// Counts ends of runs.
    pub fn runs_ended(&self, ends: &[RunEnd]) {
        count_ends(&self.run_ends, ends);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self, gauges: SupervisorGauges) -> String {
        self.runs.set(count(gauges.runs));
        self.free_cpu.set(saturating(gauges.free.cpu));
        self.open.set(i64::from(gauges.open));
        self.view_position.set(saturating(gauges.view_position));
        self.worker_crashes.set(saturating(gauges.worker_crashes));
        self.demand_cpu.set(saturating(gauges.offers.demand_cpu));
        self.offers.set(saturating(gauges.offers.made));
        self.offers_unused.set(saturating(gauges.offers.unused));
        text(&self.registry)
    }
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn view_age(registry: &Registry) -> Result<Gauge> {
    let help = "Time since a read showed that the operator view in force is the newest";
    let gauge = Gauge::new("view_age_seconds", help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn place_wait_seconds(registry: &Registry) -> Result<Counter> {
    let help = "Time that tasks have waited for workers near their data";
    let counter = Counter::new("place_wait_seconds_total", help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn text(registry: &Registry) -> String {
    let text = TextEncoder::new().encode_to_string(&registry.gather());
    text.unwrap_or_else(|error| format!("# {error}\n"))
}

fn count_ends(counters: &IntCounterVec, ends: &[RunEnd]) {
    for end in ends {
        counters
            .with_label_values(&[result_label(end.result)])
            .inc();
    }
}

fn result_label(result: RunResult) -> &'static str {
    match result {
        RunResult::Done => "done",
        RunResult::Failed => "failed",
        RunResult::Stopped => "stopped",
        RunResult::Lost => "lost",
        RunResult::Stuck => "stuck",
        RunResult::NotStarted(reason) => reason.label(),
    }
}

fn count(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn saturating(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
