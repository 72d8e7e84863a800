//! The operators' interface of one process: health, readiness, status, metrics and timeline.

use std::panic::RefUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use gotham::handler::HandlerResult;
use gotham::helpers::http::response::create_response;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::Router as HttpRouter;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::StatusCode;
use masticcross_basics::ProcessStatus;
use masticcross_basics::timeline::Timeline;
use masticcross_ledger::Ledger;
use prometheus::{Registry, TextEncoder};
use serde::Serialize;

use crate::Identity;

/// State of the request handlers.
#[derive(Clone, StateData)]
pub struct Operators(Arc<Inner>);

struct Inner {
    identity: Identity,
    ledger: Arc<Ledger>,
    timeline: Timeline,
    registry: Registry,
    draining: Arc<AtomicBool>,
}

impl RefUnwindSafe for Operators {}

/// State of one entry, as reported to operators.
#[derive(Debug, Serialize)]
struct Status {
    #[serde(flatten)]
    process: ProcessStatus,
    region: String,
    incarnation: u64,
    members: Vec<String>,
    agents: Vec<AgentStatus>,
    partitions_owned: usize,
}

/// A registered agent, as reported to operators.
#[derive(Debug, Serialize)]
struct AgentStatus {
    worker: String,
    zone: String,
}

impl Operators {
    /// Creates the interface.
    #[must_use]
    pub fn new(
        identity: Identity,
        ledger: Arc<Ledger>,
        timeline: Timeline,
        registry: Registry,
        draining: Arc<AtomicBool>,
    ) -> Self {
        Self(Arc::new(Inner {
            identity,
            ledger,
            timeline,
            registry,
            draining,
        }))
    }

    /// Builds the HTTP router.
    #[must_use]
    pub fn into_router(self) -> HttpRouter {
        let middleware = single_middleware(StateMiddleware::new(self));
        let (chain, pipelines) = single_pipeline(middleware);
        build_router(chain, pipelines, |route| {
            route.get("/health").to_async(health);
            route.get("/ready").to_async(ready);
            route.get("/v1/status").to_async(status);
            route.get("/v1/timeline").to_async(timeline);
            route.get("/metrics").to_async(metrics);
        })
    }

    fn is_draining(&self) -> bool {
        self.0.draining.load(Ordering::Relaxed)
    }

    fn status(&self) -> Status {
        let inner = &self.0;
        let state = inner.ledger.state();
        let age = inner.ledger.view_age();
        let owned_here = |o: &&masticcross_ledger::Ownership| {
            o.owner
                .as_ref()
                .is_some_and(|(n, i)| *n == inner.identity.name && *i == inner.identity.incarnation)
        };
        let agents = state.agents.iter().map(|(worker, agent)| AgentStatus {
            worker: worker.to_string(),
            zone: agent.zone.to_string(),
        });
        Status {
            process: ProcessStatus {
                name: inner.identity.name.to_string(),
                zone: inner.identity.zone.to_string(),
                config_version: state.config.version,
                view_age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
                fresh: inner.ledger.is_fresh(),
                draining: self.is_draining(),
            },
            region: inner.identity.region.to_string(),
            incarnation: inner.identity.incarnation,
            members: state.members.keys().map(ToString::to_string).collect(),
            agents: agents.collect(),
            partitions_owned: state.partitions.iter().filter(owned_here).count(),
        }
    }
}

async fn health(state: State) -> HandlerResult {
    Ok(text(state, StatusCode::OK, "alive\n".to_owned()))
}

async fn ready(state: State) -> HandlerResult {
    let operators = Operators::borrow_from(&state);
    let (status, body) = if operators.is_draining() {
        (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else if operators.0.ledger.is_fresh() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "no fresh view\n")
    };
    Ok(text(state, status, body.to_owned()))
}

async fn status(state: State) -> HandlerResult {
    let body = serde_json::to_string(&Operators::borrow_from(&state).status());
    Ok(json(state, body.unwrap_or_default()))
}

async fn timeline(state: State) -> HandlerResult {
    let events = Operators::borrow_from(&state).0.timeline.events();
    Ok(json(
        state,
        serde_json::to_string(&events).unwrap_or_default(),
    ))
}

async fn metrics(state: State) -> HandlerResult {
    let families = Operators::borrow_from(&state).0.registry.gather();
    let body = TextEncoder::new().encode_to_string(&families);
    Ok(text(state, StatusCode::OK, body.unwrap_or_default()))
}

type HandlerResponse = (State, http::Response<gotham::helpers::http::Body>);

fn text(state: State, status: StatusCode, body: String) -> HandlerResponse {
    let resp = create_response(&state, status, gotham::mime::TEXT_PLAIN_UTF_8, body);
    (state, resp)
}

fn json(state: State, body: String) -> HandlerResponse {
    let resp = create_response(&state, StatusCode::OK, gotham::mime::APPLICATION_JSON, body);
    (state, resp)
}
