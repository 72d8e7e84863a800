//! A TCP relay that cuts, freezes and delays connections, for tests with separate processes.

mod accept;
pub mod faults;
mod handler;
mod pump;

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
    /// Address at which it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Address to which it connects.
    pub target: SocketAddr,
    /// Connections relayed at once; others are closed when they arrive.
    pub max_connections: usize,
}

impl RelaySettings {
    /// Creates settings of a relay on any port of the loopback address.
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
    /// Its number, from 1 in the order of arrival.
    pub id: u64,
    /// Bytes written to the target.
    pub to_target: u64,
    /// Bytes written to the client.
    pub to_client: u64,
}

/// Bytes written in each direction.
#[derive(Debug, Default)]
struct Written {
    to_target: AtomicU64,
    to_client: AtomicU64,
}

/// Open connections by number.
#[derive(Debug, Clone, Default)]
struct OpenConnections(Arc<Mutex<BTreeMap<u64, Arc<Written>>>>);

impl OpenConnections {
    fn list(&self) -> Vec<OpenConnection> {
        let open = self.0.lock();
        let entry = |(id, written): (&u64, &Arc<Written>)| OpenConnection {
            id: *id,
            to_target: written.to_target.load(Ordering::Relaxed),
            to_client: written.to_client.load(Ordering::Relaxed),
        };
        open.iter().map(entry).collect()
    }
}

/// A running relay. Dropping it closes all its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: RelayFaults,
    open: OpenConnections,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts to listen.
    ///
    /// # Errors
    /// Fails if the address cannot be listened at.
    pub async fn start(settings: RelaySettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let faults = RelayFaults::default();
        let open = OpenConnections::default();
        let accepting = accept::accept(listener, settings, faults.clone(), open.clone());
        Ok(Self {
            address,
            faults,
            open,
            task: tokio::spawn(accepting),
        })
    }

    /// Returns the address at which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle by which faults are set.
    #[must_use]
    pub fn faults(&self) -> &RelayFaults {
        &self.faults
    }

    /// Lists the open connections.
    #[must_use]
    pub fn connections(&self) -> Vec<OpenConnection> {
        self.open.list()
    }

    /// Stops listening and closes all connections.
    pub async fn close(mut self) {
        self.task.abort();
        // It was aborted just now.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}
