//! HTTP server of the in-memory log. `docs/platform-log.md` describes the protocol.

mod wire;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use masticcross_log::{Log, LogError};
use serde_json::json;

use super::MemoryLog;
use crate::http::server::{CloseConnection, Handler};
use crate::http::{self as http_util, HttpResponse};
use wire::{FaultsDocument, ReadQuery};

/// Header of a throttled response: time to wait before a retry, in milliseconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Maximum size of a [`FaultsDocument`].
const MAX_FAULTS_BYTES: usize = 64 * 1024;

/// Maximum time that a read waits for records.
const MAX_WAIT: Duration = Duration::from_mins(1);

type Result = std::result::Result<HttpResponse, CloseConnection>;

/// HTTP handler of an in-memory log.
#[derive(Debug)]
pub struct LogHandler {
    log: MemoryLog,
}

impl LogHandler {
    /// Creates a handler for a log.
    #[must_use]
    pub fn new(log: MemoryLog) -> Arc<Self> {
        Arc::new(Self { log })
    }

    async fn route(&self, request: Request<Incoming>) -> Result {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let client = self.log.client(user_agent(&request));
        match (request.method(), segments.as_slice()) {
            (&Method::POST, ["v1", "streams", stream, "records"]) => {
                self.append(&client, &stream_name(stream), request).await
            }
            (&Method::GET, ["v1", "streams", stream, "records"]) => {
                read(&client, &stream_name(stream), request.uri().query()).await
            }
            (&Method::GET, ["v1", "streams", stream]) => {
                bounds(&client, &stream_name(stream)).await
            }
            (&Method::PUT, ["v1", "faults"]) => Ok(self.set_faults(request).await),
            (&Method::GET, ["v1", "counts"]) => Ok(http_util::json(
                StatusCode::OK,
                &json!({ "appended": self.log.append_count() }),
            )),
            _ => Ok(http_util::error(StatusCode::NOT_FOUND, "no such resource")),
        }
    }

    async fn append(&self, client: &MemoryLog, stream: &str, request: Request<Incoming>) -> Result {
        let max = self.log.settings().max_record_bytes;
        let Ok(body) = http_util::read_body(request.into_body(), max).await else {
            let detail = format!("a record has at most {max} bytes");
            return Ok(http_util::error(StatusCode::PAYLOAD_TOO_LARGE, detail));
        };
        let Ok(text) = std::str::from_utf8(&body) else {
            return Ok(http_util::error(
                StatusCode::BAD_REQUEST,
                "record is not UTF-8",
            ));
        };
        match client.append(stream, Arc::from(text)).await {
            Ok(offset) => Ok(http_util::json(
                StatusCode::CREATED,
                &json!({ "offset": offset }),
            )),
            Err(e) => error_response(&e),
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> HttpResponse {
        let received = http_util::read_json(request.into_body(), MAX_FAULTS_BYTES).await;
        let document: FaultsDocument = match received {
            Ok(document) => document,
            Err(e) => return http_util::error(StatusCode::BAD_REQUEST, e),
        };
        for (stream, first) in &document.truncate {
            self.log.truncate(stream, *first);
        }
        document.apply_to(self.log.faults());
        http_util::empty(StatusCode::NO_CONTENT)
    }
}

impl Handler for LogHandler {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Result> {
        Box::pin(async move { self.route(request).await })
    }
}

async fn read(client: &MemoryLog, stream: &str, query: Option<&str>) -> Result {
    let query = match ReadQuery::parse(query.unwrap_or_default()) {
        Ok(query) => query,
        Err(e) => return Ok(http_util::error(StatusCode::BAD_REQUEST, e)),
    };
    let wait = query.wait.min(MAX_WAIT);
    match client.read(stream, query.from, query.limit, wait).await {
        Ok(batch) => Ok(http_util::json(StatusCode::OK, &batch)),
        Err(e) => error_response(&e),
    }
}

async fn bounds(client: &MemoryLog, stream: &str) -> Result {
    match client.bounds(stream).await {
        Ok(bounds) => Ok(http_util::json(StatusCode::OK, &bounds)),
        Err(e) => error_response(&e),
    }
}

fn error_response(error: &LogError) -> Result {
    match error {
        LogError::Unknown(_) => Err(CloseConnection),
        LogError::Unavailable(detail) => {
            Ok(http_util::error(StatusCode::SERVICE_UNAVAILABLE, detail))
        }
        LogError::Throttled { retry_after } => Ok(throttled_response(*retry_after)),
        LogError::Truncated { first } => Ok(http_util::json(
            StatusCode::GONE,
            &json!({ "first": first }),
        )),
        LogError::Malformed(detail) => Ok(http_util::error(StatusCode::BAD_REQUEST, detail)),
    }
}

fn throttled_response(retry_after: Duration) -> HttpResponse {
    let mut response =
        http_util::error(StatusCode::TOO_MANY_REQUESTS, "rate of appends is used up");
    let ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    response.headers_mut().insert(RETRY_AFTER_MS, ms.into());
    response
}

/// Decodes the name of a stream from its path segment, in which a slash is written as `%2F`.
fn stream_name(segment: &str) -> String {
    segment.replace("%2F", "/")
}

fn user_agent(request: &Request<Incoming>) -> &str {
    let header = request.headers().get(http::header::USER_AGENT);
    header.and_then(|v| v.to_str().ok()).unwrap_or_default()
}
