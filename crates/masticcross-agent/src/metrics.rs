//! Metrics of the agent.

use std::time::Duration;

use masticcross_wire::{Frame, TaskOutcome};
use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use crate::core::Stats;

/// Result of registering a metric.
pub type Result<T> = prometheus::Result<T>;

/// Counters and gauges of one agent, shared among clones.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    starts: IntCounter,
    ends: IntCounterVec,
    not_started: IntCounterVec,
    frames_sent: IntCounterVec,
    frames_received: IntCounterVec,
    running: IntGauge,
    queued: IntGauge,
    attempts: IntGauge,
    attempt_bytes: IntGauge,
    unreleased: IntGauge,
    sessions: IntGauge,
    backends: IntGauge,
    view_age: Gauge,
    view_fresh: IntGauge,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    /// Fails if a name is registered twice.
    pub fn new() -> Result<Self> {
        let registry = Registry::new_custom(Some("masticcross_agent".to_owned()), None)?;
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Result::Ok(counter)
        };
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Result::Ok(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Result::Ok(gauge)
        };
        let view_age = Gauge::new("view_age_seconds", "Age of the view; -1 without one")?;
        registry.register(Box::new(view_age.clone()))?;
        Ok(Self {
            starts: counter("task_starts_total", "Tasks started")?,
            ends: counters("task_ends_total", "Tasks ended, by outcome", "outcome")?,
            not_started: counters("tasks_not_started_total", "Tasks refused", "reason")?,
            frames_sent: counters("frames_sent_total", "Frames sent, by kind", "kind")?,
            frames_received: counters("frames_received_total", "Frames received", "kind")?,
            running: gauge("tasks_running", "Tasks that run")?,
            queued: gauge("tasks_queued", "Tasks that wait for a place")?,
            attempts: gauge("attempts_kept", "Attempts kept")?,
            attempt_bytes: gauge("attempt_bytes", "Memory of the attempts kept, in bytes")?,
            unreleased: gauge("results_unreleased", "Results that no owner has released")?,
            sessions: gauge("sessions", "Open sessions with entries")?,
            backends: gauge("backends", "Backend servers that get tasks")?,
            view_fresh: gauge("view_fresh", "1 while the view may be used to start tasks")?,
            view_age,
            registry,
        })
    }

    /// Counts the start of a task.
    pub fn started(&self) {
        self.starts.inc();
    }

    /// Counts the end of an attempt.
    pub fn ended(&self, outcome: &TaskOutcome) {
        let label = match outcome {
            TaskOutcome::Done(_) => "done",
            TaskOutcome::Failed(_) => "failed",
            TaskOutcome::Stopped => "stopped",
            TaskOutcome::ResultDropped => "result_dropped",
            TaskOutcome::NotStarted(reason) => {
                self.not_started.with_label_values(&[reason.label()]).inc();
                return;
            }
        };
        self.ends.with_label_values(&[label]).inc();
    }

    /// Counts a sent frame.
    pub fn frame_sent(&self, frame: &Frame) {
        let kind = frame.kind();
        self.frames_sent.with_label_values(&[kind]).inc();
    }

    /// Counts a received frame.
    pub fn frame_received(&self, frame: &Frame) {
        let kind = frame.kind();
        self.frames_received.with_label_values(&[kind]).inc();
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self, stats: &Stats) -> String {
        self.running.set(count(stats.running));
        self.queued.set(count(stats.queued));
        self.attempts.set(count(stats.attempts));
        self.attempt_bytes.set(count(stats.attempt_bytes));
        self.unreleased.set(count(stats.unreleased));
        self.sessions.set(count(stats.sessions));
        self.backends.set(count(stats.backends));
        self.view_fresh.set(i64::from(stats.view_fresh));
        let age = stats.view_age.as_ref().map_or(-1.0, Duration::as_secs_f64);
        self.view_age.set(age);
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.unwrap_or_else(|error| format!("# {error}\n"))
    }
}

fn count(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
