//! Answers in JSON, and problem documents.

use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::state::State;
use http::{Response, StatusCode};
use masticcross_basics::Code;
use serde::Serialize;

/// A problem document.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    code: u16,
    detail: &'a str,
}

/// Creates an answer in JSON.
pub fn json(state: &State, status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => create_response(state, status, gotham::mime::APPLICATION_JSON, body),
        Err(error) => text(state, StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates an answer in plain text.
pub fn text(state: &State, status: StatusCode, text: String) -> Response<Body> {
    create_response(state, status, gotham::mime::TEXT_PLAIN_UTF_8, text)
}

/// Creates a problem document.
pub fn problem(state: &State, code: Code, detail: &str) -> Response<Body> {
    let problem = Problem {
        title: code.title(),
        status: code.http_status(),
        code: code.number(),
        detail,
    };
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_REQUEST);
    let mut resp = json(state, status, &problem);
    let kind = http::HeaderValue::from_static("application/problem+json");
    resp.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    resp
}
