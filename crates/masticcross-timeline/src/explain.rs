//! Explains jobs by the JSON log lines of all processes.

use std::collections::BTreeMap;

use serde_json::Value;

/// A log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// What stood before the JSON object, such as the name of the process.
    pub source: String,
    /// Its fields.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line. None if it holds no JSON object.
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

    /// Returns a field; empty if there is none.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns true if the line tells of a job, or of a run of it.
    #[must_use]
    pub fn is_about(&self, job: &str) -> bool {
        let run_of = |run: &str| {
            run.strip_prefix(job)
                .is_some_and(|rest| rest.starts_with('/'))
        };
        self.field("job") == job || run_of(self.field("run"))
    }

    fn number(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }
}

/// Why a job was not answered in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was answered in time.
    InTime,
    /// It was refused for lack of room; nothing ran.
    NoRoom,
    /// It was refused at an entry that had no worker in contact; nothing ran.
    NoWorker,
    /// It was refused for what the caller asked, or without a configuration.
    NotAccepted,
    /// It was given up with a run that could not be repeated in time.
    RunLost,
    /// It was given up after it had begun, as there was no room for the rest.
    NoRoomForRest,
    /// Its tasks failed as often as allowed.
    TaskFailed,
    /// Its callers left, or cancelled it.
    CallersLeft,
    /// It was late after a run that was lost, stuck or failed.
    LateRerun,
    /// It was late after it had waited for room.
    LateRoom,
    /// It was late though it was begun at once.
    LateRun,
}

impl Cause {
    /// Names the cause for a table.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::NoRoom => "refused: no room in time",
            Self::NoWorker => "refused: no worker in contact",
            Self::NotAccepted => "refused: not accepted",
            Self::RunLost => "given up: a run was lost",
            Self::NoRoomForRest => "given up: no room for the rest",
            Self::TaskFailed => "failed: a task failed too often",
            Self::CallersLeft => "stopped: callers left or cancelled",
            Self::LateRerun => "late: a run had to be repeated",
            Self::LateRoom => "late: waited for room",
            Self::LateRun => "late: ran long",
        }
    }

    /// Judges a line that ends a job. None for any other line.
    #[must_use]
    pub fn of(line: &LogLine) -> Option<Self> {
        match line.field("message") {
            "job refused" => Some(Self::NotAccepted),
            "job ended" => Some(Self::of_end(line)),
            _ => None,
        }
    }

    fn of_end(line: &LogLine) -> Self {
        let (took, objective) = (line.number("took_ms"), line.number("objective_ms"));
        match (line.field("outcome"), line.field("code")) {
            ("not_run", "2004") => Self::NoWorker,
            ("not_run", _) => Self::NoRoom,
            ("given_up", "2001") => Self::NoRoomForRest,
            ("given_up", _) => Self::RunLost,
            ("failed", _) => Self::TaskFailed,
            ("stopped", _) => Self::CallersLeft,
            _ if took <= objective => Self::InTime,
            _ if line.number("bad_runs") > 0 => Self::LateRerun,
            _ if line.number("first_run_ms") * 2 > took.saturating_sub(objective) => Self::LateRoom,
            _ => Self::LateRun,
        }
    }
}

/// Counts the jobs of all lines by cause.
#[must_use]
pub fn count_causes<'a>(lines: impl IntoIterator<Item = &'a LogLine>) -> BTreeMap<Cause, usize> {
    let mut counts = BTreeMap::new();
    for cause in lines.into_iter().filter_map(Cause::of) {
        *counts.entry(cause).or_default() += 1;
    }
    counts
}

/// Returns the lines about a job in the order of their times.
#[must_use]
pub fn lines_about<'a>(lines: &'a [LogLine], job: &str) -> Vec<&'a LogLine> {
    let mut found: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(job)).collect();
    found.sort_by(|a, b| a.field("time").cmp(b.field("time")));
    found
}
