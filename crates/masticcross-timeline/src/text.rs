//! Events as human-readable lines and as JSON lines.

use std::fmt::Write;

use masticcross_basics::timeline::Event;

use crate::kind;

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Seconds in a day.
const SECONDS_PER_DAY: u64 = 86_400;

/// Formats an event as one line: time of day in UTC, process, kind, and the fields that are set.
#[must_use]
pub fn line(event: &Event) -> String {
    let mut line = format!(
        "{} {:<12} {:<14}",
        time_of_day(event.at.micros),
        event.process,
        kind::name(event.kind)
    );
    let mut field = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            // Writing to a string cannot fail.
            let _ = write!(line, " {name}={value}");
        }
    };
    field("job", event.job.as_ref().map(ToString::to_string));
    field("task", event.task.map(|task| task.to_string()));
    field("attempt", event.attempt.map(|attempt| attempt.to_string()));
    field("worker", event.worker.as_ref().map(ToString::to_string));
    field("zone", event.zone.as_ref().map(ToString::to_string));
    field("partition", event.partition.map(|p| p.index().to_string()));
    let code = event
        .code
        .map(|code| format!("{} ({})", code.number(), code.title()));
    field("code", code);
    if let Some(detail) = &event.detail {
        line.push_str(": ");
        line.push_str(detail);
    }
    line
}

/// Formats an event as one line of JSON.
#[must_use]
pub fn json_line(event: &Event) -> String {
    // Numbers and strings can always be serialized.
    serde_json::to_string(event).unwrap_or_default()
}

/// Formats the time of day in UTC, with microseconds.
#[must_use]
pub fn time_of_day(micros: u64) -> String {
    let seconds = micros / MICROS_PER_SECOND % SECONDS_PER_DAY;
    format!(
        "{:02}:{:02}:{:02}.{:06}",
        seconds / 3_600,
        seconds / 60 % 60,
        seconds % 60,
        micros % MICROS_PER_SECOND
    )
}
