//! Problem documents as defined by RFC 9457.

use crate::body::full_body;
use gotham::handler::IntoResponse;
use gotham::helpers::http::Body;
use gotham::state::State;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

use masticcross_basics::Code;
use serde::{Deserialize, Serialize};

/// Milliseconds in a second.
const MS_PER_SECOND: u32 = 1_000;

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URI that identifies the result code.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short title of the code.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Number of the result code.
    pub code: Code,
    /// True only if no part of the request has run and none can still run later.
    pub not_run: bool,
    /// Time after which the client may retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u32>,
    /// Human-readable explanation.
    pub detail: String,
}

impl Problem {
    /// Creates a problem document.
    #[must_use]
    pub fn new(code: Code, not_run: bool, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("urn:masticcross:code:{}", code.number()),
            title: code.title().to_owned(),
            status: code.http_status(),
            code,
            not_run,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Sets the time after which the client may retry, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, ms: Option<u32>) -> Self {
        self.retry_after_ms = ms;
        self
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Returns the document as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Numbers, booleans and strings can always be serialized.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the HTTP response, with a `Retry-After` header if there is a retry time.
    #[must_use]
    pub fn to_response(&self) -> Response<Body> {
        let mut resp = Response::new(full_body(self.to_json()));
        *resp.status_mut() = self.status();
        let headers = resp.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(ms) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(MS_PER_SECOND)));
        }
        resp
    }
}

impl IntoResponse for Problem {
    fn into_response(self, _state: &State) -> Response<Body> {
        self.to_response()
    }
}
