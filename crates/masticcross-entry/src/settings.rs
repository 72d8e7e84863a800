//! Settings of an entry, from flags and environment variables.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use masticcross_basics::Name;
use masticcross_basics::logging::LogFormat;
use masticcross_basics::name::check_name;
use masticcross_basics::secret::secret;

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Stable name of the entry.
    pub name: Name,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the operators' port.
    pub operators: SocketAddr,
    /// Address of the port for agents and other entries.
    pub peers: SocketAddr,
    /// Address under which agents and other entries reach the peers port, if it differs from
    /// `peers`.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Secret shared by all processes of the installation.
    pub secret: String,
    /// Maximum number of concurrent callers' connections.
    pub max_connections: usize,
    /// Maximum number of concurrent submissions.
    pub max_requests: usize,
    /// Maximum wait for requests in progress at a planned stop.
    pub drain_limit: Duration,
    /// Number of events that the timeline retains.
    pub timeline_events: usize,
    /// Format of the log lines.
    pub log_format: LogFormat,
}

/// Returns the command-line parser of the settings.
#[must_use]
pub fn parser() -> impl Parser<Settings> {
    let name = name_option("name", "MASTICCROSS_NAME", "stable name of this entry");
    let region = name_option("region", "MASTICCROSS_REGION", "region of this entry");
    let zone = name_option(
        "zone",
        "MASTICCROSS_ZONE",
        "availability zone of this entry",
    );
    let callers = addr_option(
        "callers-listen",
        "MASTICCROSS_CALLERS_LISTEN",
        "IP and port for callers",
    )
    .fallback(SocketAddr::from(([127, 0, 0, 1], 7400)))
    .display_fallback();
    let operators = addr_option(
        "operators-listen",
        "MASTICCROSS_OPERATORS_LISTEN",
        "IP and port for operators",
    )
    .fallback(SocketAddr::from(([127, 0, 0, 1], 7401)))
    .display_fallback();
    let peers = addr_option(
        "peers-listen",
        "MASTICCROSS_PEERS_LISTEN",
        "IP and port for agents and other entries",
    )
    .fallback(SocketAddr::from(([127, 0, 0, 1], 7402)))
    .display_fallback();
    let advertise = addr_option(
        "peers-advertise",
        "MASTICCROSS_PEERS_ADVERTISE",
        "IP and port under which others reach the port for peers; default: the one listened on",
    )
    .optional();
    let log = addr_option(
        "log",
        "MASTICCROSS_LOG",
        "IP and port of the platform's log",
    );
    let secret = secret();
    let max_connections = long("max-connections")
        .env("MASTICCROSS_MAX_CONNECTIONS")
        .help("callers' connections at once")
        .argument::<usize>("COUNT")
        .guard(|n| *n >= 1, "must be at least 1")
        .fallback(4_096)
        .display_fallback();
    let max_requests = long("max-requests")
        .env("MASTICCROSS_MAX_REQUESTS")
        .help("submissions held at once")
        .argument::<usize>("COUNT")
        .guard(|n| *n >= 1, "must be at least 1")
        .fallback(20_000)
        .display_fallback();
    let drain_limit = long("drain-limit")
        .env("MASTICCROSS_DRAIN_LIMIT")
        .help("longest wait for requests in progress at a stop, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(60)
        .display_fallback()
        .map(Duration::from_secs);
    let timeline_events = long("timeline-events")
        .env("MASTICCROSS_TIMELINE_EVENTS")
        .help("events kept for the time line")
        .argument::<usize>("COUNT")
        .fallback(50_000)
        .display_fallback();
    let log_format = long("log-format")
        .env("MASTICCROSS_LOG_FORMAT")
        .help("form of the log lines: text or json")
        .argument::<LogFormat>("FORMAT")
        .fallback(LogFormat::Text);
    construct!(Settings {
        name,
        region,
        zone,
        callers,
        operators,
        peers,
        advertise,
        log,
        secret,
        max_connections,
        max_requests,
        drain_limit,
        timeline_events,
        log_format,
    })
}

fn name_option(flag: &'static str, env: &'static str, help: &'static str) -> impl Parser<Name> {
    long(flag)
        .env(env)
        .help(help)
        .argument::<String>("NAME")
        .parse(|text| check_name(&text))
}

fn addr_option(
    flag: &'static str,
    env: &'static str,
    help: &'static str,
) -> impl Parser<SocketAddr> {
    long(flag)
        .env(env)
        .help(help)
        .argument::<SocketAddr>("IP:PORT")
}
