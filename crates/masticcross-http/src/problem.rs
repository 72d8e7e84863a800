//! Problem documents after RFC 9457.

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
    /// Reference that identifies the code in the docs.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short title of the code.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Number of the result code.
    pub code: Code,
    /// True only if nothing of the request ran and nothing of it can still run later.
    pub not_run: bool,
    /// When it makes sense to try again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u32>,
    /// A sentence for people.
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

    /// Adds the time after which it makes sense to try again, in milliseconds.
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

    /// Writes the document as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        // The fields are numbers, booleans and text, which always serialise.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Writes the HTTP response.
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
