//! The two HTTP ports of an agent: one for its backend servers and one for operators.

mod backends;
mod operators;
mod response;

use std::panic::RefUnwindSafe;
use std::sync::Arc;

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::builder::build_router;
use masticcross_http::HttpLimits;
pub use masticcross_http::HttpServer;
use tokio::net::TcpListener;

use crate::Agent;

/// Maximum number of concurrent connections to each port.
const MAX_CONNECTIONS: usize = 64;

/// Handle to the agent in the state of a request.
#[derive(Clone, StateData)]
struct AgentHandle(Arc<Agent>);

impl RefUnwindSafe for AgentHandle {}

/// Result of starting an HTTP server.
pub type Result<T> = std::io::Result<T>;

/// Serves the port for backend servers.
///
/// # Errors
/// Fails if the address of the listener cannot be read.
pub fn serve_backends(listener: TcpListener, agent: Arc<Agent>) -> Result<HttpServer> {
    HttpServer::start(listener, backends_router(agent), limits())
}

/// Serves the port for operators.
///
/// # Errors
/// Fails if the address of the listener cannot be read.
pub fn serve_operators(listener: TcpListener, agent: Arc<Agent>) -> Result<HttpServer> {
    HttpServer::start(listener, operators_router(agent), limits())
}

fn limits() -> HttpLimits {
    HttpLimits {
        max_connections: MAX_CONNECTIONS,
        ..HttpLimits::default()
    }
}

fn backends_router(agent: Arc<Agent>) -> Router {
    let middleware = StateMiddleware::new(AgentHandle(agent));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/v1/backends").to(backends::list);
        route.associate("/v1/backends/:name", |route| {
            let mut route = route.with_path_extractor::<backends::BackendPath>();
            route.put().to(backends::announce);
            route.delete().to(backends::withdraw);
        });
    })
}

fn operators_router(agent: Arc<Agent>) -> Router {
    let middleware = StateMiddleware::new(AgentHandle(agent));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/health").to(operators::health);
        route.get("/ready").to(operators::ready);
        route.get("/metrics").to(operators::metrics);
        route.get("/v1/status").to(operators::status);
        route.get("/v1/timeline").to(operators::timeline);
    })
}
