//! Names of the kinds of events, as the command line and JSON write them.

use masticcross_basics::timeline::EventKind;
use thiserror::Error;

/// A text that names no kind of event.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{0:?} is no kind of event; kinds are written as in the time line, such as placed or started"
)]
pub struct KindError(String);

/// Result of reading a kind.
pub type Result<T> = std::result::Result<T, KindError>;

/// Returns the name of a kind.
#[must_use]
pub fn name(kind: EventKind) -> String {
    // The kinds serialise as plain strings.
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// Reads the name of a kind.
///
/// # Errors
/// Fails if no kind has the name.
pub fn parse(text: &str) -> Result<EventKind> {
    serde_json::from_value(text.into()).map_err(|_| KindError(text.to_owned()))
}
