//! Replies of the log and their conversion to results.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

use crate::{Batch, Bounds, LogError, Offset};

/// Header of a throttled reply with the time to wait before a retry, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Time to wait after a throttled reply without a valid header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum time to wait after a throttled reply.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Why no reply was received.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection could not be established, or was lost before or after the request was sent.
    #[error("{0}")]
    Connection(#[from] legacy::Error),
    /// The body of the reply is incomplete or over the size limit.
    #[error("reply broke off: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No byte of the reply arrived for the given time.
    #[error("no byte of the reply for {0:?}")]
    Idle(Duration),
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, ExchangeError>;

impl ExchangeError {
    /// Returns the error for an append.
    pub fn into_append_error(self) -> LogError {
        match self {
            Self::Connection(e) if e.is_connect() => LogError::Unavailable(e.to_string()),
            other => LogError::Unknown(other.to_string()),
        }
    }

    /// Returns the error for a read.
    pub fn into_read_error(self) -> LogError {
        LogError::Unavailable(self.to_string())
    }
}

/// A completely received reply.
#[derive(Debug)]
pub struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Truncated {
    first: Offset,
}

impl Reply {
    /// Receives the body of a response, up to a size limit. `idle` is the longest time without a byte.
    pub async fn receive(
        response: Response<Incoming>,
        max_bytes: usize,
        idle: Duration,
    ) -> Result<Self> {
        let (parts, body) = response.into_parts();
        let mut body = Limited::new(body, max_bytes);
        let mut buf = BytesMut::new();
        loop {
            let frame = timeout(idle, body.frame()).await;
            match frame.map_err(|_| ExchangeError::Idle(idle))? {
                Some(frame) => {
                    let frame = frame.map_err(ExchangeError::Body)?;
                    buf.extend_from_slice(&frame.into_data().unwrap_or_default());
                }
                None => break,
            }
        }
        let body = buf.freeze();
        Ok(Self {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Converts the reply to an append. If the reply cannot be parsed, the append may have taken
    /// effect.
    pub fn into_offset(self) -> crate::Result<Offset> {
        match self.status {
            StatusCode::CREATED => match self.json::<Appended>() {
                Ok(appended) => Ok(appended.offset),
                Err(e) => Err(LogError::Unknown(e.to_string())),
            },
            status if is_refusal(status) => Err(self.refusal()),
            status => Err(LogError::Unknown(format!("status {status}"))),
        }
    }

    /// Converts the reply to a read of at most `limit` records from an offset.
    pub fn into_batch(self, from: Offset, limit: usize) -> crate::Result<Batch> {
        match self.status {
            StatusCode::OK => check_batch(self.json()?, from, limit),
            StatusCode::GONE => {
                let first = self.json::<Truncated>()?.first;
                Err(LogError::Truncated { first })
            }
            _ => Err(self.refusal()),
        }
    }

    /// Converts the reply to a request for the bounds.
    pub fn into_bounds(self) -> crate::Result<Bounds> {
        match self.status {
            StatusCode::OK => {
                let bounds: Bounds = self.json()?;
                check_bounds(bounds.first, bounds.next)?;
                Ok(bounds)
            }
            _ => Err(self.refusal()),
        }
    }

    fn json<T: DeserializeOwned>(&self) -> crate::Result<T> {
        serde_json::from_slice(&self.body).map_err(|e| LogError::Malformed(e.to_string()))
    }

    /// Returns the error for a call that had no effect.
    fn refusal(&self) -> LogError {
        match self.status {
            StatusCode::TOO_MANY_REQUESTS => LogError::Throttled {
                retry_after: self.retry_after(),
            },
            status if status.is_server_error() => LogError::Unavailable(format!("status {status}")),
            status => LogError::Malformed(format!("status {status}")),
        }
    }

    fn retry_after(&self) -> Duration {
        self.headers
            .get(RETRY_AFTER_MS)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)
            .min(MAX_RETRY_AFTER)
    }
}

/// Returns true if an append with this status certainly had no effect.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT
        || status == StatusCode::SERVICE_UNAVAILABLE
}

fn check_batch(batch: Batch, from: Offset, limit: usize) -> crate::Result<Batch> {
    check_bounds(batch.first, batch.next)?;
    let in_order = (from..).zip(&batch.records).all(|(o, r)| o == r.offset);
    if !in_order || batch.records.len() > limit {
        return Err(malformed("records are not those asked for"));
    }
    if !batch.records.is_empty() && batch.end_of_read(from) > batch.next {
        return Err(malformed("a record lies beyond the end of the stream"));
    }
    Ok(batch)
}

fn check_bounds(first: Offset, next: Offset) -> crate::Result<()> {
    if first > next {
        return Err(malformed("the stream begins after its end"));
    }
    Ok(())
}

fn malformed(text: &str) -> LogError {
    LogError::Malformed(text.to_owned())
}
