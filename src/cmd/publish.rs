//! `masticcross publish`, `drain` and `restore`: put a configuration into force.

use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use eyre::{Result, WrapErr, bail};
use masticcross_basics::Name;
use masticcross_config::Document;
use masticcross_config::edit::set_zone_in_service;
use masticcross_ledger::publish::{PublishOutcome, publish, read_config};
use masticcross_log::{HttpLog, HttpLogSettings};

use super::{Command, runtime};

/// Arguments of `publish`.
#[derive(Debug, Clone)]
pub struct PublishArgs {
    target: Target,
    base: Option<u64>,
    file: PathBuf,
}

/// Arguments of `drain` and `restore`.
#[derive(Debug, Clone)]
pub struct ZoneArgs {
    target: Target,
    zone: String,
}

/// Where and as whom to publish.
#[derive(Debug, Clone)]
struct Target {
    log: std::net::SocketAddr,
    author: String,
}

impl Target {
    fn open(&self) -> HttpLog {
        let client = Name::from("operator");
        HttpLog::new(HttpLogSettings::new(self.log.to_string(), client))
    }
}

fn target() -> impl Parser<Target> {
    let log = long("log")
        .env("MASTICCROSS_LOG")
        .help("IP and port of the platform's log")
        .argument::<std::net::SocketAddr>("IP:PORT");
    let author = long("author")
        .env("USER")
        .help("who publishes")
        .argument::<String>("NAME")
        .fallback("operator".to_owned());
    construct!(Target { log, author })
}

/// Returns the parser of `publish`.
pub fn publish_command() -> impl Parser<Command> {
    let target = target();
    let base = long("base")
        .help("version that the document was made from; default: the one in force")
        .argument::<u64>("VERSION")
        .optional();
    let file = positional::<PathBuf>("FILE").help("document in TOML");
    construct!(PublishArgs { target, base, file })
        .to_options()
        .descr("Publish a configuration document")
        .command("publish")
        .help("Publish a configuration document")
        .map(Command::Publish)
}

/// Returns the parser of `drain`.
pub fn drain_command() -> impl Parser<Command> {
    zone_args()
        .to_options()
        .descr("Take an availability zone out of service")
        .command("drain")
        .help("Take an availability zone out of service")
        .map(Command::Drain)
}

/// Returns the parser of `restore`.
pub fn restore_command() -> impl Parser<Command> {
    zone_args()
        .to_options()
        .descr("Bring an availability zone back into service")
        .command("restore")
        .help("Bring an availability zone back into service")
        .map(Command::Restore)
}

fn zone_args() -> impl Parser<ZoneArgs> {
    let target = target();
    let zone = positional::<String>("ZONE").help("availability zone");
    construct!(ZoneArgs { target, zone })
}

/// Publishes a file.
///
/// # Errors
/// Fails if the document is not valid or was not accepted.
pub fn execute(args: &PublishArgs) -> Result<()> {
    let text = std::fs::read_to_string(&args.file)
        .wrap_err_with(|| format!("cannot read {}", args.file.display()))?;
    Document::parse(&text).wrap_err_with(|| format!("{} is not valid", args.file.display()))?;
    runtime()?.block_on(async {
        let log = args.target.open();
        let base = match args.base {
            Some(base) => base,
            None => read_config(&log).await?.config.version,
        };
        report(publish(&log, base, &args.target.author, &text).await?)
    })
}

/// Publishes the configuration in force with one zone taken out or brought back.
///
/// # Errors
/// Fails if the zone is not configured or the document was not accepted.
pub fn execute_zone(args: &ZoneArgs, in_service: bool) -> Result<()> {
    runtime()?.block_on(async {
        let log = args.target.open();
        let config = read_config(&log).await?.config;
        let text = set_zone_in_service(&config.text, &args.zone, in_service)?;
        report(publish(&log, config.version, &args.target.author, &text).await?)
    })
}

fn report(outcome: PublishOutcome) -> Result<()> {
    match outcome {
        PublishOutcome::Accepted(version) => {
            println!("Accepted as version {version}.");
            Ok(())
        }
        PublishOutcome::Conflict { by, version } => {
            bail!("not accepted: {by} published version {version} on the same base")
        }
        PublishOutcome::Unknown => {
            bail!("the log did not answer; the document may still be accepted: run status")
        }
    }
}
