//! Names of services, teams, workers, entries and availability zones.

use std::sync::Arc;

use thiserror::Error;

/// A shared immutable name.
pub type Name = Arc<str>;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a job id, in bytes.
pub const MAX_JOB_ID_BYTES: usize = 128;

/// Why a name is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The name is empty.
    #[error("must not be empty")]
    Empty,
    /// The name is too long.
    #[error("must have at most {max} bytes, has {len}")]
    TooLong {
        /// Maximum length in bytes.
        max: usize,
        /// Length of the name in bytes.
        len: usize,
    },
    /// The name contains a character that is not accepted.
    #[error("has the character {0:?}; accepted are a-z, A-Z, 0-9, '-', '_', '.' and ':'")]
    Character(char),
}

/// Result of checking a name.
pub type Result<T> = std::result::Result<T, NameError>;

/// Checks a name of a service, team, worker, entry or availability zone.
///
/// # Errors
/// Returns the rule that the text violates.
pub fn check_name(text: &str) -> Result<Name> {
    check(text, MAX_NAME_BYTES)
}

/// Checks a job id.
///
/// # Errors
/// Returns the rule that the text violates.
pub fn check_job_id(text: &str) -> Result<Name> {
    check(text, MAX_JOB_ID_BYTES)
}

fn check(text: &str, max: usize) -> Result<Name> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > max {
        return Err(NameError::TooLong {
            max,
            len: text.len(),
        });
    }
    match text.chars().find(|c| !is_accepted(*c)) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(Name::from(text)),
    }
}

fn is_accepted(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}
