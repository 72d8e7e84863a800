//! Handlers for listing, announcing and withdrawing backend servers.

use std::pin::Pin;
use std::time::Duration;

use gotham::handler::HandlerFuture;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_empty_response;
use gotham::prelude::*;
use gotham::state::State;
use http::{Response, StatusCode};
use masticcross_basics::Code;
use masticcross_http::{Problem, read_body, read_json};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{AgentHandle, response};
use crate::Announcement;
use crate::announcement::AnnouncementBody;

/// Largest accepted body of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Longest wait for the body of an announcement.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Path parameters of one backend server.
#[derive(Deserialize, StateData, StaticResponseExtender)]
pub struct BackendPath {
    name: String,
}

/// A backend server as listed in the response.
#[derive(Serialize)]
struct ListedBackend {
    name: String,
    service: String,
    url: String,
    slots: u16,
    connections: u16,
    running: u16,
    in_service: bool,
    ttl_left_ms: u64,
}

/// Lists the backend servers.
pub fn list(mut state: State) -> (State, Response<Body>) {
    let AgentHandle(agent) = AgentHandle::take_from(&mut state);
    let now = Instant::now();
    let listed: Vec<ListedBackend> = agent
        .core()
        .backends()
        .iter()
        .map(|backend| ListedBackend {
            name: backend.announcement.name.to_string(),
            service: backend.announcement.service.to_string(),
            url: backend.announcement.url.to_string(),
            slots: backend.announcement.slots,
            connections: backend.announcement.connections,
            running: backend.running,
            in_service: backend.is_live(now),
            ttl_left_ms: millis(backend.expires_at.saturating_duration_since(now)),
        })
        .collect();
    let resp = response::json(&state, StatusCode::OK, &listed);
    (state, resp)
}

/// Adds or renews a backend server.
pub fn announce(mut state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        let AgentHandle(agent) = AgentHandle::take_from(&mut state);
        let BackendPath { name } = BackendPath::take_from(&mut state);
        let body = Body::take_from(&mut state);
        let resp = match read_announcement(&name, body).await {
            Ok(announcement) => {
                agent.announce(announcement);
                create_empty_response(&state, StatusCode::NO_CONTENT)
            }
            Err(problem) => problem.to_response(),
        };
        Ok((state, resp))
    })
}

/// Marks a backend server as withdrawn.
pub fn withdraw(mut state: State) -> (State, Response<Body>) {
    let AgentHandle(agent) = AgentHandle::take_from(&mut state);
    let BackendPath { name } = BackendPath::take_from(&mut state);
    let resp = if agent.withdraw(&name) {
        create_empty_response(&state, StatusCode::NO_CONTENT)
    } else {
        let detail = format!("no backend server {name:?} is announced here");
        Problem::new(Code::NoSuchResource, true, detail).to_response()
    };
    (state, resp)
}

type Result<T> = std::result::Result<T, Problem>;

async fn read_announcement(name: &str, body: Body) -> Result<Announcement> {
    let bytes = read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    let body: AnnouncementBody = read_json(&bytes)?;
    Announcement::check(name, &body)
        .map_err(|error| Problem::new(Code::InvalidField, true, error.to_string()))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
