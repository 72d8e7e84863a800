//! TCP relay that closes, freezes and delays connections, for tests with separate processes.

mod accept;
pub mod faults;
mod forward;
mod handler;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use faults::{LinkFaults, RelayFaults};
pub use handler::RelayHandler;

/// Settings of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelaySettings {
    /// Address to listen on; port 0 for any free port.
    pub listen: SocketAddr,
    /// Address to relay connections to.
    pub target: SocketAddr,
    /// Maximum number of open connections; further ones are closed on arrival.
    pub max_connections: usize,
}

impl RelaySettings {
    /// Creates settings of a relay on any free port of the loopback address.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            target,
            max_connections: 1024,
        }
    }
}

/// An open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenConnection {
    /// Id, counted from 1 in order of arrival.
    pub id: u64,
    /// Number of bytes written to the target.
    pub to_target: u64,
    /// Number of bytes written to the client.
    pub to_client: u64,
}

/// Number of bytes written in each direction.
#[derive(Debug, Default)]
struct WrittenBytes {
    to_target: AtomicU64,
    to_client: AtomicU64,
}

/// Open connections by id.
#[derive(Debug, Clone, Default)]
struct OpenConnections(Arc<Mutex<BTreeMap<u64, Arc<WrittenBytes>>>>);

impl OpenConnections {
    fn list(&self) -> Vec<OpenConnection> {
        let open_connections = self.0.lock();
        let entry = |(id, written_bytes): (&u64, &Arc<WrittenBytes>)| OpenConnection {
            id: *id,
            to_target: written_bytes.to_target.load(Ordering::Relaxed),
            to_client: written_bytes.to_client.load(Ordering::Relaxed),
        };
        open_connections.iter().map(entry).collect()
    }
}

/// A running relay. Dropping it closes all its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: RelayFaults,
    open_connections: OpenConnections,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts listening.
    ///
    /// # Errors
    /// Fails if the relay cannot listen on the address.
    pub async fn start(settings: RelaySettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let faults = RelayFaults::default();
        let open_connections = OpenConnections::default();
        let accepting = accept::accept_connections(
            listener,
            settings,
            faults.clone(),
            open_connections.clone(),
        );
        Ok(Self {
            address,
            faults,
            open_connections,
            task: tokio::spawn(accepting),
        })
    }

    /// Returns the address the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle for setting faults.
    #[must_use]
    pub fn faults(&self) -> &RelayFaults {
        &self.faults
    }

    /// Lists the open connections.
    #[must_use]
    pub fn connections(&self) -> Vec<OpenConnection> {
        self.open_connections.list()
    }

    /// Stops listening and closes all connections.
    pub async fn close(mut self) {
        self.task.abort();
        // The result is the cancellation by the abort above.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}
