//! A backend server that waits instead of working, and counts what it starts.

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
    /// The address cannot be listened at.
    #[error("cannot listen at {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Reason from the system.
        cause: std::io::Error,
    },
}

/// Result of starting a backend server.
pub type Result<T> = std::result::Result<T, BackendError>;

/// Settings of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendSettings {
    /// Name under which it announces itself.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Address at which it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Host and port of its agent; none to stay unannounced.
    pub agent: Option<String>,
    /// Tasks that it runs at once.
    pub slots: u16,
    /// Connections that it accepts at once.
    pub connections: u16,
    /// Time until its announcement ends unless renewed.
    pub ttl: Duration,
    /// Run time of a task whose payload names none.
    pub default_run: Duration,
    /// Seed of the random choice of failing tasks.
    pub seed: u64,
    /// How it behaves at first.
    pub behaviour: Behaviour,
}

impl BackendSettings {
    /// Creates settings of a healthy backend server on any port of the loopback address.
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
            default_run: Duration::from_millis(100),
            seed: 1,
            behaviour: Behaviour::default(),
        }
    }
}

/// A running backend server. Dropping it breaks off everything, as if the process had died.
#[derive(Debug)]
pub struct Backend {
    handler: Arc<BackendHandler>,
    server: Server,
    announcer: Option<Announcer>,
}

impl Backend {
    /// Starts to listen, and announces itself if it has an agent.
    ///
    /// # Errors
    /// Fails if the address cannot be listened at.
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

    /// Returns the address at which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it has counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.handler.counts()
    }

    /// Returns how often each task was started.
    #[must_use]
    pub fn starts(&self) -> StartList {
        self.handler.starts()
    }

    /// Changes how it behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.handler.set_behaviour(behaviour);
    }

    /// Leaves its agent, waits for running tasks up to a time and stops.
    pub async fn close(self, grace: Duration) {
        if let Some(announcer) = self.announcer {
            announcer.close().await;
        }
        self.server.close(grace).await;
    }
}
