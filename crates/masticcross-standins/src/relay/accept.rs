//! Accepts connections and relays each one to the target.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::faults::{ConnectionFaults, Direction, RelayFaults};
use super::forward::forward;
use super::{OpenConnections, RelaySettings, WrittenBytes};

/// Timeout of the connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the next `accept` after an error such as too many open files.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections until the future is dropped, which also closes all connections.
pub async fn accept_connections(
    listener: TcpListener,
    settings: RelaySettings,
    faults: RelayFaults,
    open_connections: OpenConnections,
) {
    let mut connections = JoinSet::new();
    let mut last_id = 0;
    loop {
        tokio::select! {
            biased;
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((client, _)) if connections.len() < settings.max_connections => {
                    last_id += 1;
                    let guard = OpenGuard::new(last_id, open_connections.clone());
                    connections.spawn(relay_connection(
                        client,
                        settings.target,
                        guard,
                        faults.for_connection(last_id),
                    ));
                }
                Ok((client, _)) => drop(client),
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}");
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Relays one connection until both directions have ended or it is cut.
async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    guard: OpenGuard,
    faults: ConnectionFaults,
) {
    tokio::select! {
        biased;
        () = faults.clone().wait_until_cut() => {}
        result = relay_both_directions(client, target, &guard.written_bytes, faults) => {
            if let Err(e) = result {
                log::debug!("connection {} ended with an error: {e}", guard.id);
            }
        }
    }
}

async fn relay_both_directions(
    client: TcpStream,
    target: SocketAddr,
    written_bytes: &WrittenBytes,
    faults: ConnectionFaults,
) -> Result<()> {
    let target = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await??;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (client_reader, client_writer) = client.into_split();
    let (target_reader, target_writer) = target.into_split();
    let to_target = forward(
        client_reader,
        target_writer,
        Direction::ToTarget,
        faults.clone(),
        &written_bytes.to_target,
    );
    let to_client = forward(
        target_reader,
        client_writer,
        Direction::ToClient,
        faults,
        &written_bytes.to_client,
    );
    tokio::try_join!(to_target, to_client)?;
    Ok(())
}

/// Lists a connection as open until dropped.
struct OpenGuard {
    id: u64,
    written_bytes: Arc<WrittenBytes>,
    open_connections: OpenConnections,
}

impl OpenGuard {
    fn new(id: u64, open_connections: OpenConnections) -> Self {
        let written_bytes = Arc::<WrittenBytes>::default();
        open_connections.0.lock().insert(id, written_bytes.clone());
        Self {
            id,
            written_bytes,
            open_connections,
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open_connections.0.lock().remove(&self.id);
    }
}
