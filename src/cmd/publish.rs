//! `masticcross publish`, `drain` and `restore`: publish a configuration and wait until it is in
//! force.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Parser, construct, long, positional};
use eyre::{Result, bail};
use masticcross_basics::Name;
use masticcross_config::check;
use masticcross_config::edit::set_zone_in_service;
use masticcross_ledger::publish::{PublishOutcome, publish, read_config};
use masticcross_log::{HttpLog, HttpLogSettings};

use super::check::{print_findings, read_document};
use super::status::{operators_option, wait_until_in_force};
use super::{Command, runtime};

/// Timeout for a version to be in force at all processes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

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

/// Log and author of a publication, and the operators' ports at which to check it.
#[derive(Debug, Clone)]
struct Target {
    log: SocketAddr,
    author: String,
    operators: Vec<SocketAddr>,
}

impl Target {
    /// Publishes a document that was made from version `base`, and waits until it is in force.
    async fn publish(&self, base: u64, text: &str) -> Result<()> {
        let log = log_client(self.log);
        let version = accepted_version(publish(&log, base, &self.author, text).await?)?;
        println!("Accepted as version {version}.");
        if self.operators.is_empty() {
            return Ok(());
        }
        wait_until_in_force(&self.operators, version, IN_FORCE_TIMEOUT).await
    }
}

/// Creates an operator's client of the platform's log.
pub fn log_client(log: SocketAddr) -> HttpLog {
    let client = Name::from("operator");
    HttpLog::new(HttpLogSettings::new(log.to_string(), client))
}

fn target_parser() -> impl Parser<Target> {
    let log = long("log")
        .env("MASTICCROSS_LOG")
        .help("IP and port of the platform's log")
        .argument::<SocketAddr>("IP:PORT");
    let author = long("author")
        .env("USER")
        .help("who publishes")
        .argument::<String>("NAME")
        .fallback("operator".to_owned());
    let operators = operators_option().many();
    construct!(Target {
        log,
        author,
        operators,
    })
}

/// Returns the parser of `publish`.
pub fn publish_command() -> impl Parser<Command> {
    let target = target_parser();
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
    zone_args_parser()
        .to_options()
        .descr("Take an availability zone out of service")
        .command("drain")
        .help("Take an availability zone out of service")
        .map(Command::Drain)
}

/// Returns the parser of `restore`.
pub fn restore_command() -> impl Parser<Command> {
    zone_args_parser()
        .to_options()
        .descr("Bring an availability zone back into service")
        .command("restore")
        .help("Bring an availability zone back into service")
        .map(Command::Restore)
}

fn zone_args_parser() -> impl Parser<ZoneArgs> {
    let target = target_parser();
    let zone = positional::<String>("ZONE").help("availability zone");
    construct!(ZoneArgs { target, zone })
}

/// Publishes a file.
///
/// # Errors
/// Fails if the document is not valid, was not accepted, or is not in force in time.
pub fn execute(args: &PublishArgs) -> Result<()> {
    let text = read_document(&args.file)?;
    let report = check(&text);
    print_findings(&report);
    if report.document.is_none() {
        bail!("{} is not valid", args.file.display());
    }
    runtime()?.block_on(async {
        let base = match args.base {
            Some(base) => base,
            None => {
                read_config(&log_client(args.target.log))
                    .await?
                    .config
                    .version
            }
        };
        args.target.publish(base, &text).await
    })
}

/// Publishes the configuration in force with one zone taken out of service or brought back.
///
/// # Errors
/// Fails if the zone is not configured, the document was not accepted, or it is not in force in
/// time.
pub fn execute_zone(args: &ZoneArgs, in_service: bool) -> Result<()> {
    runtime()?.block_on(async {
        let config = read_config(&log_client(args.target.log)).await?.config;
        let text = set_zone_in_service(&config.text, &args.zone, in_service)?;
        print_findings(&check(&text));
        args.target.publish(config.version, &text).await
    })
}

fn accepted_version(outcome: PublishOutcome) -> Result<u64> {
    match outcome {
        PublishOutcome::Accepted(version) => Ok(version),
        PublishOutcome::Conflict { by, version } => {
            bail!("not accepted: {by} published version {version} on the same base")
        }
        PublishOutcome::Unknown => {
            bail!(
                "the log did not answer; the document may still be accepted: \
                 check with masticcross status"
            )
        }
    }
}
