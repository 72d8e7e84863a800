//! Dispatch metrics.

use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::Frame;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
};

/// Result of registering a metric.
pub type Result<T> = prometheus::Result<T>;

/// Upper bounds of the buckets for run times, in seconds.
const RUN_SECONDS_BUCKETS: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Values of the gauges of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceGauges {
    /// Number of tasks that wait for a credit.
    pub waiting: usize,
    /// Number of tasks sent that have not ended.
    pub outstanding: usize,
    /// Number of unused credits.
    pub credits: u64,
    /// Number of connected workers.
    pub workers: usize,
    /// Number of connected workers that are quarantined.
    pub workers_quarantined: usize,
}

/// Dispatch counters, gauges and histograms.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    messages: IntCounterVec,
    wasted: IntCounterVec,
    starts: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounter,
    run_seconds: HistogramVec,
    waiting: IntGaugeVec,
    outstanding: IntGaugeVec,
    credits: IntGaugeVec,
    workers: IntGaugeVec,
    workers_quarantined: IntGaugeVec,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    /// Fails if a name is registered twice.
    pub fn new() -> Result<Self> {
        let registry = Registry::new_custom(Some("masticcross".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Result::Ok(counters)
        };
        let gauges = |name: &str, help: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &["service"])?;
            registry.register(Box::new(gauges.clone()))?;
            Result::Ok(gauges)
        };
        let retries = IntCounter::new("retries_total", "Retries that the budget allowed")?;
        registry.register(Box::new(retries.clone()))?;
        let runs = HistogramOpts::new("task_run_seconds", "Run time of tasks that ended well");
        let run_seconds =
            HistogramVec::new(runs.buckets(RUN_SECONDS_BUCKETS.to_vec()), &["service"])?;
        registry.register(Box::new(run_seconds.clone()))?;
        Ok(Self {
            messages: counters(
                "agent_messages_total",
                "Frames to and from agents",
                &["kind", "direction"],
            )?,
            wasted: counters(
                "wasted_messages_total",
                "Frames to and from agents that did no work",
                &["kind"],
            )?,
            starts: counters("task_starts_total", "Tasks sent, by zone", &["zone"])?,
            refusals: counters("refusals_total", "Jobs refused by the check", &["code"])?,
            retries,
            run_seconds,
            waiting: gauges("waiting_tasks", "Tasks that wait for a credit")?,
            outstanding: gauges("outstanding_tasks", "Tasks sent and not ended")?,
            credits: gauges("credits", "Credits not used")?,
            workers: gauges("workers", "Workers connected")?,
            workers_quarantined: gauges("workers_out", "Workers taken out after failures")?,
            registry,
        })
    }

    /// Returns the registry with all metrics.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a frame that was sent.
    pub fn sent(&self, frame: &Frame) {
        self.messages
            .with_label_values(&[frame.kind(), "sent"])
            .inc();
    }

    /// Counts a frame that was received.
    pub fn received(&self, frame: &Frame) {
        self.messages
            .with_label_values(&[frame.kind(), "received"])
            .inc();
    }

    /// Counts frames of a kind that led to no work.
    pub fn wasted(&self, kind: &str, frames: u64) {
        self.wasted.with_label_values(&[kind]).inc_by(frames);
    }

    /// Counts tasks that were sent.
    pub fn started(&self, zone: &Name, tasks: usize) {
        let tasks = u64::try_from(tasks).unwrap_or(u64::MAX);
        self.starts.with_label_values(&[&**zone]).inc_by(tasks);
    }

    /// Counts a job that the admission check refused.
    pub fn refused(&self, code: Code) {
        let code = code.number().to_string();
        self.refusals.with_label_values(&[code.as_str()]).inc();
    }

    /// Counts a retry that the budget allowed.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Records the run time of a task that succeeded.
    pub fn observe_run(&self, service: &Name, run: Duration) {
        let histogram = self.run_seconds.with_label_values(&[&**service]);
        histogram.observe(run.as_secs_f64());
    }

    /// Sets the gauges of a service.
    pub fn set_gauges(&self, service: &Name, gauge_values: &ServiceGauges) {
        let set = |gauge: &IntGaugeVec, value: u64| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauge.with_label_values(&[&**service]).set(value);
        };
        set(&self.waiting, gauge_values.waiting as u64);
        set(&self.outstanding, gauge_values.outstanding as u64);
        set(&self.credits, gauge_values.credits);
        set(&self.workers, gauge_values.workers as u64);
        set(
            &self.workers_quarantined,
            gauge_values.workers_quarantined as u64,
        );
    }
}
