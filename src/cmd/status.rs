//! `masticcross status`: shows the version in force at each process.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::{Result, bail};
use masticcross_basics::ProcessStatus;
use masticcross_standins::http::client::Client;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::{Command, runtime};

/// Timeout for fetching the status of one process.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between checks whether a version is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    operators: Vec<SocketAddr>,
    json: bool,
}

/// Status of one process; `None` if it did not answer.
#[derive(Debug, Clone, Serialize)]
struct Row {
    addr: SocketAddr,
    status: Option<ProcessStatus>,
}

/// Returns the parser of the command.
pub fn command() -> impl Parser<Command> {
    let operators = operators_option().some("name at least one --operators IP:PORT");
    let json = long("json").help("write JSON").switch();
    construct!(Args { operators, json })
        .to_options()
        .descr("Show the version in force at each process")
        .command("status")
        .help("Show the version in force at each process")
        .map(Command::Status)
}

/// Returns the parser of the option for an operators' port.
pub fn operators_option() -> impl Parser<SocketAddr> {
    long("operators")
        .help("IP and port of a process's operators' port, entry or agent; may be repeated")
        .argument::<SocketAddr>("IP:PORT")
}

/// Prints the status of each process.
///
/// # Errors
/// Fails if a process does not answer.
pub fn execute(args: &Args) -> Result<()> {
    let rows = runtime()?.block_on(fetch_all(&args.operators));
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print_table(&rows);
    }
    let unresponsive = rows.iter().filter(|row| row.status.is_none()).count();
    if unresponsive > 0 {
        bail!("{unresponsive} processes do not answer");
    }
    Ok(())
}

fn print_table(rows: &[Row]) {
    println!(
        "{:<22} {:<16} {:<14} {:>7} {:>8}  state",
        "address", "name", "zone", "version", "age ms"
    );
    for row in rows {
        match &row.status {
            Some(status) => println!(
                "{:<22} {:<16} {:<14} {:>7} {:>8}  {}",
                row.addr,
                status.name,
                status.zone,
                status.config_version,
                status
                    .view_age_ms
                    .map_or("-".to_owned(), |age| age.to_string()),
                state_text(status)
            ),
            None => println!("{:<22} does not answer", row.addr),
        }
    }
}

fn state_text(status: &ProcessStatus) -> &'static str {
    if status.draining {
        "draining"
    } else if status.fresh {
        "ready"
    } else {
        "no fresh view"
    }
}

async fn fetch_all(operators: &[SocketAddr]) -> Vec<Row> {
    let client = Client::new(1);
    let mut rows = Vec::new();
    for addr in operators {
        let uri = format!("http://{addr}/v1/status");
        let status = client.get_json(&uri, FETCH_TIMEOUT).await.ok();
        rows.push(Row {
            addr: *addr,
            status,
        });
    }
    rows
}

/// Waits until a version is in force at each process, and prints the count when it changes.
///
/// # Errors
/// Fails if `limit` has passed. The error lists the processes at which the version is not in force.
pub async fn wait_until_in_force(
    operators: &[SocketAddr],
    version: u64,
    limit: Duration,
) -> Result<()> {
    let end = Instant::now() + limit;
    let mut last_reported = usize::MAX;
    loop {
        let lagging = find_lagging(operators, version).await;
        if lagging.len() != last_reported {
            last_reported = lagging.len();
            let total = operators.len();
            println!(
                "In force at {} of {total} processes.",
                total - last_reported
            );
        }
        if lagging.is_empty() {
            return Ok(());
        }
        if Instant::now() >= end {
            let names: Vec<String> = lagging.iter().map(ToString::to_string).collect();
            bail!("version {version} is not in force at {}", names.join(", "));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the processes at which the version is not in force, or that do not answer.
async fn find_lagging(operators: &[SocketAddr], version: u64) -> Vec<SocketAddr> {
    let rows = fetch_all(operators).await;
    rows.iter()
        .filter(|row| {
            row.status
                .as_ref()
                .is_none_or(|s| s.config_version < version)
        })
        .map(|row| row.addr)
        .collect()
}
