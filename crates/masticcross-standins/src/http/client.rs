//! HTTP client for small JSON requests.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request is invalid, for example because of its URI.
    #[error("invalid request: {0}")]
    Request(#[from] http::Error),
    /// The request body could not be serialized, or the response body could not be parsed.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The connection could not be established, or was lost.
    #[error("connection failed: {0}")]
    Connection(#[from] legacy::Error),
    /// The response body is incomplete or exceeds the size limit.
    #[error("response body could not be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response did not arrive within the time limit.
    #[error("request timed out")]
    Timeout,
    /// The status of the response is not a success.
    #[error("unexpected status {0}")]
    Status(StatusCode),
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

impl CallError {
    /// Returns true if no connection could be established, so the request was never sent.
    #[must_use]
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Connection(e) if e.is_connect())
    }
}

/// A response with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// An HTTP client with a connection pool. Clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client that keeps up to `max_idle` idle connections per server.
    #[must_use]
    pub fn new(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response, whatever its status.
    ///
    /// # Errors
    /// Fails if no complete response arrives within the time limit.
    pub async fn send(
        &self,
        method: Method,
        uri: &str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Response> {
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        match timeout(time_limit, self.exchange(req)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout),
        }
    }

    /// Sends a JSON body and returns the response if its status is a success.
    ///
    /// # Errors
    /// Fails if no successful response arrives within the time limit.
    pub async fn send_json(
        &self,
        method: Method,
        uri: &str,
        body: &impl Serialize,
        time_limit: Duration,
    ) -> Result<Response> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        ensure_success(self.send(method, uri, body, time_limit).await?)
    }

    /// Fetches a JSON document and parses it.
    ///
    /// # Errors
    /// Fails if no successful response arrives within the time limit or its body cannot be parsed.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        uri: &str,
        time_limit: Duration,
    ) -> Result<T> {
        let response = self
            .send(Method::GET, uri, Bytes::new(), time_limit)
            .await?;
        Ok(serde_json::from_slice(&ensure_success(response)?.body)?)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Response> {
        let (parts, body) = self.inner.request(req).await?.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(CallError::Body)?
            .to_bytes();
        Ok(Response {
            status: parts.status,
            body,
        })
    }
}

fn ensure_success(response: Response) -> Result<Response> {
    if response.status.is_success() {
        Ok(response)
    } else {
        Err(CallError::Status(response.status))
    }
}
