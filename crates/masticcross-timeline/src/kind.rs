//! Names of the kinds of events, as used on the command line and in JSON.

use masticcross_basics::timeline::EventKind;
use thiserror::Error;

/// Error for a text that is not the name of a kind of event.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{0:?} is not a kind of event; kinds are written as in the timeline, such as placed or started"
)]
pub struct KindError(String);

/// Result of parsing a kind.
pub type Result<T> = std::result::Result<T, KindError>;

/// Returns the name of a kind.
#[must_use]
pub fn name(kind: EventKind) -> String {
    // The kinds are serialized as plain strings.
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// Parses the name of a kind.
///
/// # Errors
/// Fails if no kind has the name.
pub fn parse(text: &str) -> Result<EventKind> {
    serde_json::from_value(text.into()).map_err(|_| KindError(text.to_owned()))
}
