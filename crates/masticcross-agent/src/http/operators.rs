//! Handlers for health, readiness, status, metrics and the timeline.

use gotham::helpers::http::Body;
use gotham::prelude::*;
use gotham::state::State;
use http::{Response, StatusCode};

use masticcross_basics::ProcessStatus;

use super::{AgentHandle, response};
use crate::core::Stats;

/// Responds that the process is running.
pub fn health(state: State) -> (State, Response<Body>) {
    let resp = response::text(&state, StatusCode::OK, "running\n".to_owned());
    (state, resp)
}

/// Responds whether the agent is ready to start tasks, and if not, with the reason.
pub fn ready(mut state: State) -> (State, Response<Body>) {
    let AgentHandle(agent) = AgentHandle::take_from(&mut state);
    let (status, reason) = match not_ready_reason(&agent.stats()) {
        None => (StatusCode::OK, "ready"),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
    };
    let resp = response::text(&state, status, format!("{reason}\n"));
    (state, resp)
}

fn not_ready_reason(stats: &Stats) -> Option<&'static str> {
    if stats.draining {
        return Some("shutting down");
    }
    if stats.sessions == 0 {
        return Some("no session with an entry");
    }
    if !stats.view_fresh {
        return Some("no fresh view of the configuration");
    }
    if !stats.registered {
        return Some("not registered in the log yet");
    }
    if stats.backends == 0 {
        return Some("no backend server is announced");
    }
    None
}

/// Responds with the status of the agent.
pub fn status(mut state: State) -> (State, Response<Body>) {
    let AgentHandle(agent) = AgentHandle::take_from(&mut state);
    let current = agent.stats();
    let identity = agent.core().identity();
    let view = agent.core().view().view();
    let body = ProcessStatus {
        name: identity.name.to_string(),
        zone: identity.zone.to_string(),
        config_version: view.map_or(0, |view| view.config_version),
        view_age_ms: current
            .view_age
            .and_then(|age| u64::try_from(age.as_millis()).ok()),
        fresh: current.view_fresh,
        draining: current.draining,
    };
    let resp = response::json(&state, StatusCode::OK, &body);
    (state, resp)
}

/// Responds with the metrics in the Prometheus text format.
pub fn metrics(mut state: State) -> (State, Response<Body>) {
    let AgentHandle(agent) = AgentHandle::take_from(&mut state);
    let text = agent.core().metrics().text(&agent.stats());
    let resp = response::text(&state, StatusCode::OK, text);
    (state, resp)
}

/// Responds with the events stored in the timeline, oldest first.
pub fn timeline(mut state: State) -> (State, Response<Body>) {
    let AgentHandle(agent) = AgentHandle::take_from(&mut state);
    let events = agent.core().timeline().events();
    let resp = response::json(&state, StatusCode::OK, &events);
    (state, resp)
}
