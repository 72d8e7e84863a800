//! Reading of request bodies with limits on size and time.

use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use masticcross_basics::Code;
use serde::Deserialize;
use thiserror::Error;
use tokio::time::timeout;

use crate::problem::Problem;

/// Reason for which a body was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is larger than the limit in bytes.
    #[error("body is over the limit of {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive in time.
    #[error("body did not arrive within {0:?}")]
    Timeout(Duration),
    /// The connection failed.
    #[error("body could not be read: {0}")]
    Broken(String),
    /// The body is not JSON of the documented structure.
    #[error("{path}: {reason}")]
    Malformed {
        /// Path of the field.
        path: String,
        /// Reason and position in the text.
        reason: String,
    },
}

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

impl BodyError {
    /// Returns the result code.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::TooLarge(_) => Code::BodyTooLarge,
            Self::Timeout(_) => Code::BodyTimeout,
            Self::Broken(_) | Self::Malformed { .. } => Code::MalformedBody,
        }
    }
}

impl From<BodyError> for Problem {
    fn from(error: BodyError) -> Self {
        Self::new(error.code(), true, error.to_string())
    }
}

/// Creates a body from a complete buffer.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Reads a complete body.
///
/// # Errors
/// Fails if the body is larger than `max_bytes`, does not arrive within `limit`, or the connection
/// fails.
pub async fn read_body(body: Body, max_bytes: usize, limit: Duration) -> Result<Bytes> {
    let collected = timeout(limit, Limited::new(body, max_bytes).collect())
        .await
        .map_err(|_| BodyError::Timeout(limit))?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge(max_bytes)),
        Err(error) => Err(BodyError::Broken(error.to_string())),
    }
}

/// Deserializes JSON. The error contains the path of the field.
///
/// # Errors
/// Fails if the bytes are not JSON, do not have the structure of `T`, or continue after the value.
pub fn read_json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|e| malformed(&e))?;
    reader.end().map_err(|e| BodyError::Malformed {
        path: "body".to_owned(),
        reason: e.to_string(),
    })?;
    Ok(value)
}

fn malformed(error: &serde_path_to_error::Error<serde_json::Error>) -> BodyError {
    let path = error.path().to_string();
    let path = if path == "." { "body".to_owned() } else { path };
    BodyError::Malformed {
        path,
        reason: error.inner().to_string(),
    }
}
