//! HTTP plumbing that the stand-ins share: a bounded server and a client for small JSON calls.

pub mod client;
pub mod server;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A response with its whole body.
pub type Answer = Response<Full<Bytes>>;

/// Why a request could not be served.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The body is not of the expected shape.
    #[error("body: {0}")]
    Body(#[from] serde_json::Error),
    /// The body broke off or is over the limit.
    #[error("body broke off or is over the limit: {0}")]
    Receive(Box<dyn std::error::Error + Send + Sync>),
}

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Receives a whole body up to a limit.
///
/// # Errors
/// Fails if the body breaks off or is over the limit.
pub async fn receive(body: Incoming, max_bytes: usize) -> Result<Bytes> {
    let collected = Limited::new(body, max_bytes).collect().await;
    Ok(collected.map_err(RequestError::Receive)?.to_bytes())
}

/// Receives a JSON body up to a limit.
///
/// # Errors
/// Fails if the body breaks off, is over the limit or has another shape.
pub async fn receive_json<T: DeserializeOwned>(body: Incoming, max_bytes: usize) -> Result<T> {
    let bytes = receive(body, max_bytes).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Creates a response without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Answer {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Creates a response that says what is wrong with the request.
pub fn error(status: StatusCode, detail: impl std::fmt::Display) -> Answer {
    json(status, &serde_json::json!({ "error": detail.to_string() }))
}
