//! Runs the TCP relay as a process.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use masticcross_basics::logging::{self, LogFormat};
use masticcross_standins::http::server::Server;
use masticcross_standins::relay::{Relay, RelayHandler, RelaySettings};
use masticcross_standins::signal;
use tokio::net::TcpListener;

/// Time that calls in progress get to end on shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// Relays TCP connections, and cuts, freezes or delays them as told over HTTP.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to relay from, host and port; port 0 for any
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    listen: SocketAddr,
    /// Address to relay to, host and port
    #[bpaf(argument("ADDRESS"))]
    target: SocketAddr,
    /// Address at which faults are set, host and port; port 0 for any
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    control: SocketAddr,
    /// Connections relayed at once
    #[bpaf(argument("COUNT"), fallback(1024), display_fallback)]
    max_connections: usize,
    /// Form of log lines, text or json
    #[bpaf(argument("FORMAT"), fallback(LogFormat::Text))]
    log_format: LogFormat,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = signal::parse_options(&options());
    logging::init(options.log_format);
    let relay = Relay::start(RelaySettings {
        listen: options.listen,
        target: options.target,
        max_connections: options.max_connections,
    })
    .await?;
    let listener = TcpListener::bind(options.control).await?;
    let control = Server::start(listener, RelayHandler::new(&relay))?;
    log::info!(
        "relay listens at {}, control at {}",
        relay.address(),
        control.address()
    );
    signal::wait_for_stop_signal().await?;
    control.close(SHUTDOWN_GRACE).await;
    relay.close().await;
    Ok(())
}
