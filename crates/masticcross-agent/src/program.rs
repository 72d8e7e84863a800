//! The agent program: listeners, signals and graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use masticcross_basics::logging;
use masticcross_basics::timeline::Timeline;
use masticcross_wire::ws::WsDialer;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::settings::Options;
use crate::{Agent, HyperBackendClient, Settings, http};

/// Maximum number of events stored in the timeline.
const TIMELINE_EVENTS: usize = 10_000;

/// Longest wait for requests in progress on the two HTTP ports during shutdown.
const HTTP_CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// Result of running the program.
pub type Result<T> = eyre::Result<T>;

/// Runs the agent until SIGTERM or SIGINT arrives, then shuts it down gracefully.
///
/// # Errors
/// Fails if an address cannot be listened on.
pub async fn run(options: Options, settings: Settings) -> Result<()> {
    logging::init(options.log_format);
    let backends = bind(options.listen).await?;
    let ops = bind(options.ops_listen).await?;
    let timeline = Timeline::new(settings.name.clone(), TIMELINE_EVENTS);
    let agent = Agent::new(
        settings,
        Arc::new(WsDialer::new(options.secret)),
        Arc::new(HyperBackendClient::new()),
        timeline,
    )?;
    log::info!(
        listen:% = backends.local_addr()?,
        ops:% = ops.local_addr()?;
        "agent started"
    );
    let servers = [
        http::serve_backends(backends, agent.clone())?,
        http::serve_operators(ops, agent.clone())?,
    ];
    let running = tokio::spawn(agent.clone().run());
    wait_for_stop().await?;
    log::info!("agent stops in order");
    agent.close().await;
    running.await?;
    for server in servers {
        server.close(HTTP_CLOSE_LIMIT).await;
    }
    log::info!("agent stopped");
    Ok(())
}

async fn bind(addr: std::net::SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.wrap_err_with(|| format!("cannot listen on {addr}"))
}

async fn wait_for_stop() -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        biased;
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
