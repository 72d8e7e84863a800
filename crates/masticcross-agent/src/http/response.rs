//! Responses in JSON and in plain text.

use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::state::State;
use http::{Response, StatusCode};
use serde::Serialize;

/// Creates a response in JSON.
pub fn json(state: &State, status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => create_response(state, status, gotham::mime::APPLICATION_JSON, body),
        Err(error) => text(state, StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates a response in plain text.
pub fn text(state: &State, status: StatusCode, text: String) -> Response<Body> {
    create_response(state, status, gotham::mime::TEXT_PLAIN_UTF_8, text)
}
