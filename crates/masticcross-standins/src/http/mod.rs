//! HTTP server and client shared by the stand-ins, and helpers for request and response bodies.

pub mod client;
pub mod server;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A response with its complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Why the body of a request could not be read.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The body is not valid JSON of the expected type.
    #[error("body: {0}")]
    Body(#[from] serde_json::Error),
    /// The body is incomplete or exceeds the size limit.
    #[error("body broke off or is over the limit: {0}")]
    Receive(Box<dyn std::error::Error + Send + Sync>),
}

/// Result of reading the body of a request.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
/// Fails if the body is incomplete or exceeds the limit.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes> {
    let collected = Limited::new(body, max_bytes).collect().await;
    Ok(collected.map_err(RequestError::Receive)?.to_bytes())
}

/// Reads and parses a JSON body of at most `max_bytes`.
///
/// # Errors
/// Fails if the body is incomplete, exceeds the limit or cannot be parsed.
pub async fn read_json<T: DeserializeOwned>(body: Incoming, max_bytes: usize) -> Result<T> {
    let bytes = read_body(body, max_bytes).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> HttpResponse {
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
pub fn empty(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Creates an error response with a description as JSON.
pub fn error(status: StatusCode, detail: impl std::fmt::Display) -> HttpResponse {
    json(status, &serde_json::json!({ "error": detail.to_string() }))
}
