//! The two HTTP ports of an agent: for its backend servers, and for operators.

mod answer;
mod backends;
mod operators;

use std::convert::Infallible;
use std::future::{Ready, ready};
use std::panic::RefUnwindSafe;
use std::sync::Arc;

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::builder::build_router;
use tokio::net::{TcpListener, TcpStream};

use crate::Agent;

/// The agent, as requests find it.
#[derive(Clone, StateData)]
struct AgentHandle(Arc<Agent>);

impl RefUnwindSafe for AgentHandle {}

/// Serves the port for backend servers.
pub async fn serve_backends(listener: TcpListener, agent: Arc<Agent>) -> Infallible {
    serve(listener, backends_router(agent)).await
}

/// Serves the port for operators.
pub async fn serve_operators(listener: TcpListener, agent: Arc<Agent>) -> Infallible {
    serve(listener, operators_router(agent)).await
}

async fn serve(listener: TcpListener, router: Router) -> Infallible {
    gotham::bind_server(listener, router, accept).await
}

fn accept(stream: TcpStream) -> Ready<Result<TcpStream, ()>> {
    // Without it answers are only slower.
    let _ = stream.set_nodelay(true);
    ready(Ok(stream))
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
        route.get("/v1/timeline").to(operators::timeline);
    })
}
