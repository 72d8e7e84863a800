//! A client for small JSON calls.

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

/// Time allowed to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest accepted response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request could not be put together.
    #[error("request: {0}")]
    Request(#[from] http::Error),
    /// The request could not be written as JSON, or the response could not be read as such.
    #[error("JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// No connection, or it broke.
    #[error("connection: {0}")]
    Connection(#[from] legacy::Error),
    /// The response broke off or is over the limit.
    #[error("response broke off: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The response did not arrive in time.
    #[error("no response in time")]
    Timeout,
    /// The response has another status than a success.
    #[error("status {0}")]
    Status(StatusCode),
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

impl CallError {
    /// Returns true if the connection could not be made, so that the request was not sent.
    #[must_use]
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Connection(e) if e.is_connect())
    }
}

/// A response with its whole body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// A client that keeps connections open.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client which keeps up to `max_idle` idle connections to each server.
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
    /// Fails if no whole response arrives in time.
    pub async fn send(
        &self,
        method: Method,
        uri: &str,
        body: Bytes,
        time: Duration,
    ) -> Result<Response> {
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))?;
        match timeout(time, self.exchange(req)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout),
        }
    }

    /// Sends a JSON body and checks that the response is a success.
    ///
    /// # Errors
    /// Fails if no success arrives in time.
    pub async fn send_json(
        &self,
        method: Method,
        uri: &str,
        body: &impl Serialize,
        time: Duration,
    ) -> Result<Response> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        check(self.send(method, uri, body, time).await?)
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    /// Fails if no success of the expected shape arrives in time.
    pub async fn get_json<T: DeserializeOwned>(&self, uri: &str, time: Duration) -> Result<T> {
        let response = self.send(Method::GET, uri, Bytes::new(), time).await?;
        Ok(serde_json::from_slice(&check(response)?.body)?)
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

fn check(response: Response) -> Result<Response> {
    if response.status.is_success() {
        Ok(response)
    } else {
        Err(CallError::Status(response.status))
    }
}
