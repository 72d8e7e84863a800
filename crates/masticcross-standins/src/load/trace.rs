//! Trace files: one submission per line as a JSON object, ordered by time. `docs/traces.md`
//! describes the fields.

use std::io::{BufRead, Read, Write};
use std::time::Duration;

use masticcross_basics::name::{NameError, check_job_id, check_name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::submission::{Submission, TaskSpec, task_value};

/// Longest accepted line, in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// Most accepted lines.
const MAX_LINES: usize = 1_000_000;

/// Largest accepted time, in milliseconds.
const MAX_MS: u64 = 7 * 24 * 3600 * 1000;

/// Why a trace cannot be read or written.
#[derive(Debug, Error)]
pub enum TraceError {
    /// An I/O operation on the file failed.
    #[error("cannot read or write the trace: {0}")]
    Io(#[from] std::io::Error),
    /// A line is not valid.
    #[error("line {line}: {cause}")]
    Line {
        /// Number of the line, counted from 1.
        line: usize,
        /// Why the line is not valid.
        cause: LineError,
    },
    /// The file has too many lines.
    #[error("trace has more than {MAX_LINES} lines")]
    TooLong,
}

/// Why a line is not valid.
#[derive(Debug, Error)]
pub enum LineError {
    /// It is not a JSON object with the documented fields.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A name is not valid.
    #[error("field {field:?}: {cause}")]
    Name {
        /// Name of the field.
        field: &'static str,
        /// Why the name is not valid.
        cause: NameError,
    },
    /// It is earlier than the previous line.
    #[error("field \"at_ms\": must not be less than in the previous line")]
    Order,
    /// A time is too large.
    #[error("field {0:?}: must be at most {MAX_MS} ms")]
    Time(&'static str),
    /// The job has no task.
    #[error("field \"tasks\": must not be empty")]
    NoTask,
    /// The line is too long.
    #[error("is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
}

/// Result of reading or writing a trace.
pub type Result<T> = std::result::Result<T, TraceError>;

/// JSON object of one line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: u64,
    job: String,
    #[serde(default)]
    copy: u32,
    service: String,
    team: String,
    #[serde(default = "default_repeatable")]
    repeatable: bool,
    deadline_ms: u64,
    tasks: Vec<LineTask>,
}

fn default_repeatable() -> bool {
    true
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LineTask {
    ms: u32,
    /// Absent if it is the value that [`task_value`] returns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<u64>,
}

impl From<&Submission> for Line {
    fn from(submission: &Submission) -> Self {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let task = |(index, task): (usize, &TaskSpec)| LineTask {
            ms: task.run_ms,
            value: (task.value != task_value(&submission.job, index)).then_some(task.value),
        };
        Self {
            at_ms: ms(submission.at),
            job: submission.job.clone(),
            copy: submission.copy,
            service: submission.service.to_string(),
            team: submission.team.to_string(),
            repeatable: submission.repeatable,
            deadline_ms: ms(submission.deadline),
            tasks: submission.tasks.iter().enumerate().map(task).collect(),
        }
    }
}

impl TryFrom<Line> for Submission {
    type Error = LineError;

    fn try_from(line: Line) -> std::result::Result<Self, LineError> {
        let invalid_name = |field| move |cause| LineError::Name { field, cause };
        check_job_id(&line.job).map_err(invalid_name("job"))?;
        if line.tasks.is_empty() {
            return Err(LineError::NoTask);
        }
        let task = |(index, task): (usize, &LineTask)| TaskSpec {
            run_ms: task.ms,
            value: task.value.unwrap_or_else(|| task_value(&line.job, index)),
        };
        let tasks = line.tasks.iter().enumerate().map(task).collect();
        Ok(Self {
            at: checked_time("at_ms", line.at_ms)?,
            copy: line.copy,
            service: check_name(&line.service).map_err(invalid_name("service"))?,
            team: check_name(&line.team).map_err(invalid_name("team"))?,
            repeatable: line.repeatable,
            deadline: checked_time("deadline_ms", line.deadline_ms)?,
            tasks,
            job: line.job,
        })
    }
}

fn checked_time(field: &'static str, ms: u64) -> std::result::Result<Duration, LineError> {
    if ms > MAX_MS {
        return Err(LineError::Time(field));
    }
    Ok(Duration::from_millis(ms))
}

/// Writes a trace and returns the number of its lines.
///
/// # Errors
/// Fails if the writer fails.
pub fn write(writer: &mut impl Write, trace: impl Iterator<Item = Submission>) -> Result<u64> {
    let mut lines = 0;
    for submission in trace {
        let line = serde_json::to_string(&Line::from(&submission)).map_err(std::io::Error::from)?;
        writeln!(writer, "{line}")?;
        lines += 1;
    }
    writer.flush()?;
    Ok(lines)
}

/// Reads a trace. Empty lines are skipped.
///
/// # Errors
/// Fails if the reader fails or a line is not valid, and names the first such line.
pub fn read(mut reader: impl BufRead) -> Result<Vec<Submission>> {
    let mut trace: Vec<Submission> = Vec::new();
    let mut text = String::new();
    for number in 1.. {
        text.clear();
        let read = reader
            .by_ref()
            .take(MAX_LINE_BYTES + 1)
            .read_line(&mut text)?;
        if read == 0 {
            break;
        }
        if text.trim().is_empty() {
            continue;
        }
        if trace.len() >= MAX_LINES {
            return Err(TraceError::TooLong);
        }
        let earliest = trace.last().map_or(Duration::ZERO, |last| last.at);
        let submission = read_line(&text, earliest).map_err(|cause| TraceError::Line {
            line: number,
            cause,
        })?;
        trace.push(submission);
    }
    Ok(trace)
}

fn read_line(text: &str, earliest: Duration) -> std::result::Result<Submission, LineError> {
    if text.len() as u64 > MAX_LINE_BYTES {
        return Err(LineError::TooLong);
    }
    let submission = Submission::try_from(serde_json::from_str::<Line>(text)?)?;
    if submission.at < earliest {
        return Err(LineError::Order);
    }
    Ok(submission)
}
