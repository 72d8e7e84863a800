//! Settings from command-line flags and environment variables.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bpaf::{Bpaf, Parser};
use masticcross_basics::Name;
use masticcross_basics::logging::LogFormat;
use masticcross_basics::name::check_name;
use masticcross_basics::secret::secret;
use masticcross_wire::ws::SharedSecret;

use crate::Identity;

/// Limits on queued tasks and on memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentLimits {
    /// Tasks of a service that may be queued here in addition to the running ones.
    pub prefetch: u16,
    /// Memory for attempts and their results, in bytes.
    pub result_memory: usize,
    /// Maximum number of queued tasks of a service, regardless of the credits granted.
    pub queue: usize,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            prefetch: 0,
            result_memory: 64 * 1024 * 1024,
            queue: 4_096,
        }
    }
}

/// Settings of one agent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the worker.
    pub name: Name,
    /// Availability zone of the worker.
    pub zone: Name,
    /// Addresses of the entries to connect to first.
    pub entries: Vec<SocketAddr>,
    /// Maximum number of concurrent sessions with entries.
    pub max_sessions: usize,
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Time without a received frame after which a session ends.
    pub suspect_after: Duration,
    /// Longest wait for running tasks and unreleased results during a graceful shutdown.
    pub drain_limit: Duration,
    /// Limits on queued tasks and on memory.
    pub limits: AgentLimits,
    /// Incarnation of the process; larger than that of any earlier start.
    pub incarnation: u64,
    /// Seed of the jitter of reconnection backoffs.
    pub seed: u64,
}

impl Settings {
    /// Creates settings with default values.
    #[must_use]
    pub fn new(name: Name, zone: Name, entries: Vec<SocketAddr>, incarnation: u64) -> Self {
        Self {
            name,
            zone,
            entries,
            max_sessions: 16,
            heartbeat: Duration::from_millis(250),
            suspect_after: Duration::from_millis(1_250),
            drain_limit: Duration::from_mins(1),
            limits: AgentLimits::default(),
            incarnation,
            seed: incarnation,
        }
    }

    /// Returns the identity of the agent.
    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity {
            name: self.name.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
        }
    }
}

/// The agent: the process of masticcross beside a backend server.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Name of the worker, unique among all workers
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_NAME"),
        argument::<String>("NAME"),
        parse(parse_name)
    )]
    pub name: Name,
    /// Availability zone of the worker
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_ZONE"),
        argument::<String>("ZONE"),
        parse(parse_name)
    )]
    pub zone: Name,
    /// Entries to begin with, as IP:PORT, separated by commas
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_ENTRIES"),
        argument::<String>("IP:PORT,..."),
        parse(parse_addrs)
    )]
    pub entries: Vec<SocketAddr>,
    /// Where backend servers announce themselves [default: 127.0.0.1:7300]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_LISTEN"),
        argument::<String>("IP:PORT"),
        parse(parse_addr),
        fallback(default_addr(7300))
    )]
    pub listen: SocketAddr,
    /// Where operators ask for health, metrics and the time line [default: 127.0.0.1:7301]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_OPS_LISTEN"),
        argument::<String>("IP:PORT"),
        parse(parse_addr),
        fallback(default_addr(7301))
    )]
    pub ops_listen: SocketAddr,
    /// Secret shared by all processes.
    #[bpaf(external(shared_secret))]
    pub secret: SharedSecret,
    /// Most sessions with entries, 1 to 64 [default: 16]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_MAX_SESSIONS"),
        argument::<String>("COUNT"),
        parse(parse_max_sessions),
        fallback(16)
    )]
    pub max_sessions: usize,
    /// Memory for kept results in bytes, from 1048576 [default: 67108864]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_RESULT_MEMORY"),
        argument::<String>("BYTES"),
        parse(parse_result_memory),
        fallback(64 * 1024 * 1024)
    )]
    pub result_memory: usize,
    /// Tasks that wait here beside those that run, 0 to 4096 [default: 0]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_PREFETCH"),
        argument::<String>("COUNT"),
        parse(parse_prefetch),
        fallback(0)
    )]
    pub prefetch: u16,
    /// Interval of heartbeats in milliseconds, 10 to 5000 [default: 250]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_HEARTBEAT_MS"),
        argument::<String>("MS"),
        parse(parse_heartbeat),
        fallback(Duration::from_millis(250))
    )]
    pub heartbeat_ms: Duration,
    /// Silence in milliseconds after which a session ends, 50 to 60000 [default: 1250]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_SUSPECT_AFTER_MS"),
        argument::<String>("MS"),
        parse(parse_suspect_after),
        fallback(Duration::from_millis(1_250))
    )]
    pub suspect_after_ms: Duration,
    /// Longest time of a stop in order in milliseconds, up to 3600000 [default: 60000]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_DRAIN_LIMIT_MS"),
        argument::<String>("MS"),
        parse(parse_drain_limit),
        fallback(Duration::from_mins(1))
    )]
    pub drain_limit_ms: Duration,
    /// Form of the log lines: text or json [default: text]
    #[bpaf(
        long,
        env("MASTICCROSS_AGENT_LOG_FORMAT"),
        argument::<String>("FORMAT"),
        parse(parse_log_format),
        fallback(LogFormat::Text)
    )]
    pub log_format: LogFormat,
}

impl Options {
    /// Returns the settings, with a new incarnation taken from the current time.
    ///
    /// # Errors
    /// Returns a message that names the settings that contradict each other.
    pub fn settings(&self) -> Result<Settings> {
        if self.suspect_after_ms < self.heartbeat_ms * 2 {
            return Err(format!(
                "--suspect-after-ms is {}; it must be at least twice --heartbeat-ms, {}",
                self.suspect_after_ms.as_millis(),
                (self.heartbeat_ms * 2).as_millis()
            ));
        }
        let mut settings = Settings::new(
            self.name.clone(),
            self.zone.clone(),
            self.entries.clone(),
            incarnation_now(),
        );
        settings.max_sessions = self.max_sessions;
        settings.heartbeat = self.heartbeat_ms;
        settings.suspect_after = self.suspect_after_ms;
        settings.drain_limit = self.drain_limit_ms;
        settings.limits.prefetch = self.prefetch;
        settings.limits.result_memory = self.result_memory;
        Ok(settings)
    }
}

/// Result of reading a setting; the error is a message for the terminal.
pub type Result<T> = std::result::Result<T, String>;

fn incarnation_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).ok();
    since
        .and_then(|since| u64::try_from(since.as_micros()).ok())
        .unwrap_or(1)
}

fn default_addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "bpaf passes parsed values by value"
)]
fn parse_name(text: String) -> Result<Name> {
    check_name(&text).map_err(|error| format!("name {text:?} {error}"))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "bpaf passes parsed values by value"
)]
fn parse_addr(text: String) -> Result<SocketAddr> {
    let addr = text.trim().parse();
    addr.map_err(|_| format!("{text:?} is not an address; expected IP:PORT"))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "bpaf passes parsed values by value"
)]
fn parse_addrs(text: String) -> Result<Vec<SocketAddr>> {
    text.split(',')
        .map(|part| parse_addr(part.to_owned()))
        .collect()
}

fn shared_secret() -> impl Parser<SharedSecret> {
    secret().map(|text| SharedSecret::new(&text))
}

fn parse_max_sessions(text: String) -> Result<usize> {
    parse_number(text, 1, 64)
}

fn parse_result_memory(text: String) -> Result<usize> {
    parse_number(text, 1024 * 1024, 64 * 1024 * 1024 * 1024)
}

fn parse_prefetch(text: String) -> Result<u16> {
    parse_number(text, 0, 4_096)
}

fn parse_heartbeat(text: String) -> Result<Duration> {
    parse_number(text, 10, 5_000).map(Duration::from_millis)
}

fn parse_suspect_after(text: String) -> Result<Duration> {
    parse_number(text, 50, 60_000).map(Duration::from_millis)
}

fn parse_drain_limit(text: String) -> Result<Duration> {
    parse_number(text, 0, 3_600_000).map(Duration::from_millis)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "bpaf passes parsed values by value"
)]
fn parse_log_format(text: String) -> Result<LogFormat> {
    text.parse()
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "bpaf passes parsed values by value"
)]
fn parse_number<T>(text: String, min: u64, max: u64) -> Result<T>
where
    T: TryFrom<u64>,
{
    let number = text.parse::<u64>().ok();
    number
        .filter(|number| (min..=max).contains(number))
        .and_then(|number| T::try_from(number).ok())
        .ok_or_else(|| {
            format!("{text:?} is not valid; expected a whole number from {min} to {max}")
        })
}
