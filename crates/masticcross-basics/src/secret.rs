//! Setting for the shared secret. Unlike other settings that can come from the environment, its
//! help does not show the current value.

use bpaf::{Parser, long};
use thiserror::Error;

/// Minimum length of a secret, in characters.
pub const MIN_SECRET_CHARS: usize = 16;

/// Environment variable of the secret.
pub const SECRET_VARIABLE: &str = "MASTICCROSS_SECRET";

/// Why there is no usable secret. The message does not contain the value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SecretError {
    /// Neither the flag nor the variable is set.
    #[error("--secret or the environment variable {SECRET_VARIABLE} must be set")]
    Missing,
    /// The secret is too short, or cannot be sent in a header.
    #[error(
        "invalid secret; accepted are at least {MIN_SECRET_CHARS} printable ASCII characters \
         without spaces"
    )]
    NotAccepted,
}

/// Result of checking a secret.
pub type Result<T> = std::result::Result<T, SecretError>;

/// Returns the parser of the shared secret.
#[must_use]
pub fn secret() -> impl Parser<String> {
    long("secret")
        .help("Secret shared by all processes, at least 16 characters; usually from the environment variable MASTICCROSS_SECRET")
        .argument::<String>("TEXT")
        .parse(|text| check(Some(text)))
        .fallback_with(|| check(std::env::var(SECRET_VARIABLE).ok()))
}

/// Checks a secret.
///
/// # Errors
/// Fails if the secret is missing or not accepted.
pub fn check(value: Option<String>) -> Result<String> {
    let text = value.ok_or(SecretError::Missing)?;
    let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.len() < MIN_SECRET_CHARS || !is_printable {
        return Err(SecretError::NotAccepted);
    }
    Ok(text)
}
