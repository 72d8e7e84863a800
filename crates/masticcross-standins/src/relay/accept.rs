//! Accepts connections and relays them.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::faults::{ConnectionFaults, Direction, RelayFaults};
use super::pump::pump;
use super::{OpenConnections, RelaySettings, Written};

/// Time allowed to connect to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after an error of accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections for ever. They end with this future.
pub async fn accept(
    listener: TcpListener,
    settings: RelaySettings,
    faults: RelayFaults,
    open: OpenConnections,
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
                    let guard = OpenGuard::new(last_id, open.clone());
                    connections.spawn(carry(client, settings.target, guard, faults.of(last_id)));
                }
                Ok((client, _)) => drop(client),
                Err(e) => {
                    log::warn!("accept failed: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// Carries one connection until both directions ended or it is cut.
async fn carry(client: TcpStream, target: SocketAddr, guard: OpenGuard, faults: ConnectionFaults) {
    tokio::select! {
        biased;
        () = faults.clone().until_cut() => {}
        result = carry_both(client, target, &guard.written, faults) => {
            if let Err(e) = result {
                log::debug!("connection {} ended: {e}", guard.id);
            }
        }
    }
}

async fn carry_both(
    client: TcpStream,
    target: SocketAddr,
    written: &Written,
    faults: ConnectionFaults,
) -> Result<()> {
    let target = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await??;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (client_reader, client_writer) = client.into_split();
    let (target_reader, target_writer) = target.into_split();
    let to_target = pump(
        client_reader,
        target_writer,
        Direction::ToTarget,
        faults.clone(),
        &written.to_target,
    );
    let to_client = pump(
        target_reader,
        client_writer,
        Direction::ToClient,
        faults,
        &written.to_client,
    );
    tokio::try_join!(to_target, to_client)?;
    Ok(())
}

/// Keeps a connection in the list of open ones.
struct OpenGuard {
    id: u64,
    written: Arc<Written>,
    open: OpenConnections,
}

impl OpenGuard {
    fn new(id: u64, open: OpenConnections) -> Self {
        let written = Arc::<Written>::default();
        open.0.lock().insert(id, written.clone());
        Self { id, written, open }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.0.lock().remove(&self.id);
    }
}
