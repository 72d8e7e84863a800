//! Explains from the JSON log lines of all processes why jobs were late or lost.

use std::collections::BTreeMap;

use serde_json::Value;

/// A log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Text before the JSON object, such as the name of the process.
    pub source: String,
    /// Fields of the JSON object.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it contains no JSON object.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let (source, _) = line.split_once('{')?;
        let Ok(Value::Object(object)) = serde_json::from_str(&line[source.len()..]) else {
            return None;
        };
        let text = |value: Value| match value {
            Value::String(text) => text,
            other => other.to_string(),
        };
        let fields = object.into_iter().map(|(key, value)| (key, text(value)));
        Some(Self {
            source: source.trim().to_owned(),
            fields: fields.collect(),
        })
    }

    /// Returns the value of a field, or an empty string if the line does not have it.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns true if the line is about a job or one of its runs.
    #[must_use]
    pub fn is_about(&self, job: &str) -> bool {
        let is_run_of_job = |run: &str| {
            run.strip_prefix(job)
                .is_some_and(|rest| rest.starts_with('/'))
        };
        self.field("job") == job || is_run_of_job(self.field("run"))
    }

    fn number(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }
}

/// Reason for which a job was refused, failed or late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was answered in time.
    InTime,
    /// It was refused because no worker had free resources in time; no task ran.
    NoCapacity,
    /// It was refused by an entry that had no contact to any worker; no task ran.
    NoWorker,
    /// It was refused because the request was not acceptable or there was no configuration.
    NotAccepted,
    /// It was refused because the entry got more jobs than it could process; no task ran.
    EntryAtLimit,
    /// Contact to the entry that it was transferred to was lost; it may have run.
    TransferLost,
    /// It was abandoned because a run was lost and could not be repeated in time.
    RunLost,
    /// It was abandoned after some tasks had started, because no worker had free resources for the
    /// others.
    NoCapacityForRest,
    /// A task failed as often as allowed.
    TaskFailed,
    /// All callers disconnected or canceled it.
    CallersLeft,
    /// It was late because a run was lost, stalled or failed.
    LateRerun,
    /// It was late after a task had waited for a worker near its data.
    LatePlaceWait,
    /// It was late because it waited for free resources.
    LateWaiting,
    /// It was late although it started without a long wait.
    LateRun,
}

impl Cause {
    /// Returns the name of the cause for tables.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::NoCapacity => "refused: no room in time",
            Self::NoWorker => "refused: no worker in contact",
            Self::NotAccepted => "refused: not accepted",
            Self::EntryAtLimit => "refused: entry at its limit",
            Self::TransferLost => "unknown: contact lost after transfer",
            Self::RunLost => "given up: a run was lost",
            Self::NoCapacityForRest => "given up: no room for the rest",
            Self::TaskFailed => "failed: a task failed too often",
            Self::CallersLeft => "stopped: callers left or cancelled",
            Self::LateRerun => "late: a run had to be repeated",
            Self::LatePlaceWait => "late: waited for a worker near its data",
            Self::LateWaiting => "late: waited for room",
            Self::LateRun => "late: ran long",
        }
    }

    /// Returns the cause from a line that reports the end of a job, and `None` for any other line.
    #[must_use]
    pub fn from_line(line: &LogLine) -> Option<Self> {
        match line.field("message") {
            "job refused" if line.field("code") == "2001" => Some(Self::EntryAtLimit),
            "job refused" => Some(Self::NotAccepted),
            "transferred job lost" => Some(Self::TransferLost),
            // The entry that transferred the job reports the loss of contact.
            "job ended" if line.field("outcome") == "origin_lost" => None,
            "job ended" => Some(Self::from_job_ended(line)),
            _ => None,
        }
    }

    fn from_job_ended(line: &LogLine) -> Self {
        let (took, objective) = (line.number("took_ms"), line.number("objective_ms"));
        match (line.field("outcome"), line.field("code")) {
            ("not_run", "2004") => Self::NoWorker,
            ("not_run", _) => Self::NoCapacity,
            ("given_up", "2001") => Self::NoCapacityForRest,
            ("given_up", _) => Self::RunLost,
            ("failed", _) => Self::TaskFailed,
            ("stopped", _) => Self::CallersLeft,
            _ if took <= objective => Self::InTime,
            _ if line.number("bad_runs") > 0 => Self::LateRerun,
            _ if line.number("place_wait_ms") * 2 > took.saturating_sub(objective) => {
                Self::LatePlaceWait
            }
            _ if line.number("first_run_ms") * 2 > took.saturating_sub(objective) => {
                Self::LateWaiting
            }
            _ => Self::LateRun,
        }
    }
}

/// Counts the jobs of all lines by cause.
#[must_use]
pub fn count_causes<'a>(lines: impl IntoIterator<Item = &'a LogLine>) -> BTreeMap<Cause, usize> {
    let mut counts = BTreeMap::new();
    for cause in lines.into_iter().filter_map(Cause::from_line) {
        *counts.entry(cause).or_default() += 1;
    }
    counts
}

/// Returns the lines about a job in the order of their timestamps.
#[must_use]
pub fn lines_about<'a>(lines: &'a [LogLine], job: &str) -> Vec<&'a LogLine> {
    let mut found: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(job)).collect();
    found.sort_by(|a, b| a.field("time").cmp(b.field("time")));
    found
}
