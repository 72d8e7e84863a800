//! HTTP interface of the relay.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::{OpenConnections, Relay, RelayFaults};
use crate::http::server::{CloseConnection, Handler};
use crate::http::{self as http_util, HttpResponse};

/// Maximum size of a [`FaultTable`](super::faults::FaultTable) document.
const MAX_FAULTS_BYTES: usize = 64 * 1024;

/// HTTP handler that lists a relay's connections and sets its faults.
#[derive(Debug)]
pub struct RelayHandler {
    faults: RelayFaults,
    open_connections: OpenConnections,
}

impl RelayHandler {
    /// Creates a handler for a relay.
    #[must_use]
    pub fn new(relay: &Relay) -> Arc<Self> {
        Arc::new(Self {
            faults: relay.faults.clone(),
            open_connections: relay.open_connections.clone(),
        })
    }

    async fn route(&self, request: Request<Incoming>) -> HttpResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/connections") => {
                http_util::json(StatusCode::OK, &self.open_connections.list())
            }
            (&Method::PUT, "/v1/faults") => self.set_faults(request).await,
            _ => http_util::error(StatusCode::NOT_FOUND, "no such resource"),
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> HttpResponse {
        match http_util::read_json(request.into_body(), MAX_FAULTS_BYTES).await {
            Ok(table) => {
                self.faults.replace(table);
                http_util::empty(StatusCode::NO_CONTENT)
            }
            Err(e) => http_util::error(StatusCode::BAD_REQUEST, e),
        }
    }
}

impl Handler for RelayHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, std::result::Result<HttpResponse, CloseConnection>> {
        Box::pin(async move { Ok(self.route(request).await) })
    }
}
