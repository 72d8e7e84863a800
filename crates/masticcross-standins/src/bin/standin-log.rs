//! Runs the stand-in of the platform's log as a process.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use masticcross_basics::logging::{self, LogFormat};
use masticcross_standins::http::server::Server;
use masticcross_standins::log::server::LogHandler;
use masticcross_standins::log::{MemoryLog, MemoryLogSettings};
use masticcross_standins::signal;
use tokio::net::TcpListener;

/// Time that calls in progress get to end on shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// Keeps the streams of the platform's log in memory and serves them over HTTP.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to listen at, host and port; port 0 for any
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7070))), display_fallback)]
    listen: SocketAddr,
    /// Appends a second that the log takes
    #[bpaf(argument("COUNT"), fallback(400), display_fallback)]
    appends_per_second: u32,
    /// Time that an append takes, in milliseconds
    #[bpaf(argument("MS"), fallback(5), display_fallback)]
    append_latency_ms: u64,
    /// Age after which a record is dropped, in seconds
    #[bpaf(argument("S"), fallback(3600), display_fallback)]
    retention_s: u64,
    /// Seed of the random choice of faulty calls
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Form of log lines, text or json
    #[bpaf(argument("FORMAT"), fallback(LogFormat::Text))]
    log_format: LogFormat,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = signal::parse_options(&options());
    logging::init(options.log_format);
    let log = MemoryLog::new(MemoryLogSettings {
        appends_per_second: options.appends_per_second,
        burst: options.appends_per_second,
        append_latency: Duration::from_millis(options.append_latency_ms),
        retention: Duration::from_secs(options.retention_s),
        seed: options.seed,
        ..MemoryLogSettings::default()
    });
    let listener = TcpListener::bind(options.listen).await?;
    let server = Server::start(listener, LogHandler::new(log))?;
    log::info!("log listens at {}", server.address());
    signal::wait_for_stop_signal().await?;
    server.close(SHUTDOWN_GRACE).await;
    Ok(())
}
