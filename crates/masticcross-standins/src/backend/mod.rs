//! Backend server that sleeps instead of computing, and counts task starts.

mod announce;
mod behaviour;
mod counts;
mod handler;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use thiserror::Error;
use tokio::net::TcpListener;

pub use behaviour::Behaviour;
pub use counts::{Counts, StartKey, StartList, StartListError, start_key};

use crate::http::server::Server;
use announce::Announcer;
use handler::BackendHandler;

/// Why a backend server could not start.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The server cannot listen on the address.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
}

/// Result of starting a backend server.
pub type Result<T> = std::result::Result<T, BackendError>;

/// Settings of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendSettings {
    /// Worker name in the announcement.
    pub name: Name,
    /// Service whose tasks it runs.
    pub service: Name,
    /// Address to listen on; port 0 for any free port.
    pub listen: SocketAddr,
    /// Host and port of the agent; `None` disables the announcement.
    pub agent: Option<String>,
    /// Maximum number of tasks that run at once.
    pub slots: u16,
    /// Announced number of connections, enforced with [`Behaviour::limit_connections`].
    pub connections: u16,
    /// Time until the announcement expires unless renewed.
    pub ttl: Duration,
    /// Run time of a task whose payload sets none.
    pub default_run_time: Duration,
    /// Seed for the random choice of failing tasks.
    pub seed: u64,
    /// Initial behaviour.
    pub behaviour: Behaviour,
}

impl BackendSettings {
    /// Creates settings of a healthy backend server on any free port of the loopback address.
    #[must_use]
    pub fn new(name: &str, service: &str) -> Self {
        Self {
            name: Name::from(name),
            service: Name::from(service),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            agent: None,
            slots: 8,
            connections: 64,
            ttl: Duration::from_secs(3),
            default_run_time: Duration::from_millis(100),
            seed: 1,
            behaviour: Behaviour::default(),
        }
    }
}

/// A running backend server. Dropping it aborts all tasks and calls, as if the process had crashed.
#[derive(Debug)]
pub struct Backend {
    handler: Arc<BackendHandler>,
    server: Server,
    announcer: Option<Announcer>,
}

impl Backend {
    /// Starts listening, and announces the server if the settings name an agent.
    ///
    /// # Errors
    /// Fails if the server cannot listen on the address.
    pub async fn start(settings: BackendSettings) -> Result<Self> {
        let address = settings.listen;
        let listen_error = |cause| BackendError::Listen { address, cause };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let handler = BackendHandler::new(settings.clone());
        let server = Server::start(listener, handler.clone()).map_err(listen_error)?;
        let url = format!("http://{}", server.address());
        let announcer = settings
            .agent
            .as_deref()
            .map(|agent| Announcer::start(agent, &settings, url));
        Ok(Self {
            handler,
            server,
            announcer,
        })
    }

    /// Returns the address the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the task counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.handler.counts()
    }

    /// Returns the number of starts by task.
    #[must_use]
    pub fn starts(&self) -> StartList {
        self.handler.starts()
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.handler.set_behaviour(behaviour);
    }

    /// Withdraws the announcement, waits up to `grace` for running tasks, and stops.
    pub async fn close(self, grace: Duration) {
        if let Some(announcer) = self.announcer {
            announcer.close().await;
        }
        self.server.close(grace).await;
    }
}
