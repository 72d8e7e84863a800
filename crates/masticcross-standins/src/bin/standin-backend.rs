//! Runs the stand-in of a backend server as a process.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use masticcross_basics::logging::{self, LogFormat};
use masticcross_standins::backend::{Backend, BackendSettings, Behaviour};
use masticcross_standins::signal;

/// Time that running tasks get to end on shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(10);

/// Takes tasks from an agent, waits as long as each task says, and counts starts.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Name under which it announces itself
    #[bpaf(argument("NAME"))]
    name: String,
    /// Service that it serves
    #[bpaf(argument("SERVICE"))]
    service: String,
    /// Host and port of its agent; it stays unannounced without
    #[bpaf(argument("ADDRESS"))]
    agent: Option<String>,
    /// Address to listen at, host and port; port 0 for any
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    listen: SocketAddr,
    /// Tasks that it runs at once
    #[bpaf(argument("COUNT"), fallback(8), display_fallback)]
    slots: u16,
    /// Connections that it accepts at once
    #[bpaf(argument("COUNT"), fallback(64), display_fallback)]
    connections: u16,
    /// Time until its announcement ends unless renewed, in milliseconds
    #[bpaf(argument("MS"), fallback(3000), display_fallback)]
    ttl_ms: u64,
    /// Run time of a task whose payload names none, in milliseconds
    #[bpaf(argument("MS"), fallback(100), display_fallback)]
    default_ms: u64,
    /// Share of tasks that fail at once, from 0 to 1
    #[bpaf(
        argument("SHARE"),
        guard(|value| is_share(*value), "accepted is a number from 0 to 1"),
        fallback(0.0),
        display_fallback
    )]
    fail_share: f64,
    /// Factor on run times
    #[bpaf(
        argument("FACTOR"),
        guard(|value| is_factor(*value), "accepted is a number from 0 to 10000"),
        fallback(1.0),
        display_fallback
    )]
    slow_factor: f64,
    /// Let tasks never end by themselves
    hang: bool,
    /// Close connections above the announced number
    limit_connections: bool,
    /// Seed of the random choice of failing tasks
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Form of log lines, text or json
    #[bpaf(argument("FORMAT"), fallback(LogFormat::Text))]
    log_format: LogFormat,
}

impl From<&Options> for BackendSettings {
    fn from(options: &Options) -> Self {
        Self {
            listen: options.listen,
            agent: options.agent.clone(),
            slots: options.slots,
            connections: options.connections,
            ttl: Duration::from_millis(options.ttl_ms),
            default_run_time: Duration::from_millis(options.default_ms),
            seed: options.seed,
            behaviour: Behaviour {
                fail_share: options.fail_share,
                slow_factor: options.slow_factor,
                hang: options.hang,
                limit_connections: options.limit_connections,
            },
            ..Self::new(&options.name, &options.service)
        }
    }
}

fn is_share(share: f64) -> bool {
    (0.0..=1.0).contains(&share)
}

fn is_factor(factor: f64) -> bool {
    (0.0..=10_000.0).contains(&factor)
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = signal::parse_options(&options());
    logging::init(options.log_format);
    let backend = Backend::start(BackendSettings::from(&options)).await?;
    log::info!(worker = options.name.as_str(); "backend server listens at {}", backend.address());
    signal::wait_for_stop_signal().await?;
    backend.close(SHUTDOWN_GRACE).await;
    Ok(())
}
