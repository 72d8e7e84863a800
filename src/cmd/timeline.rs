//! `masticcross timeline`: shows the events of all processes in one order.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::{Result, WrapErr};
use masticcross_basics::timeline::Event;
use masticcross_standins::http::client::Client;
use masticcross_timeline::{Filter, chart, filter, merge, text};

use super::status::operators_option;
use super::{Command, runtime};

/// Timeout for fetching the events of one process.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    operators: Vec<SocketAddr>,
    filter: Filter,
    json: bool,
    html: Option<PathBuf>,
}

/// Returns the parser of the command.
pub fn command() -> impl Parser<Command> {
    let operators = operators_option().some("name at least one --operators IP:PORT");
    let filter = filter::filter();
    let json = long("json").help("write JSON lines").switch();
    let html = long("html")
        .help("write a page with a picture to this file")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Args {
        operators,
        filter,
        json,
        html,
    })
    .to_options()
    .descr("Show the events of all processes in one order")
    .command("timeline")
    .help("Show the events of all processes in one order")
    .map(Command::Timeline)
}

/// Fetches and shows the events. Processes that do not answer are reported on standard error.
///
/// # Errors
/// Fails if the page cannot be written.
pub fn execute(args: &Args) -> Result<()> {
    let timelines = runtime()?.block_on(fetch_all(&args.operators));
    let mut events = merge(timelines);
    events.retain(|event| args.filter.accepts(event));
    if let Some(file) = &args.html {
        let page = chart::page("Time line", &events);
        return std::fs::write(file, page)
            .wrap_err_with(|| format!("cannot write {}", file.display()));
    }
    for event in &events {
        if args.json {
            println!("{}", text::json_line(event));
        } else {
            println!("{}", text::line(event));
        }
    }
    Ok(())
}

async fn fetch_all(operators: &[SocketAddr]) -> Vec<Vec<Event>> {
    let client = Client::new(1);
    let mut timelines = Vec::new();
    for addr in operators {
        let uri = format!("http://{addr}/v1/timeline");
        match client.get_json(&uri, FETCH_TIMEOUT).await {
            Ok(events) => timelines.push(events),
            Err(error) => eprintln!("no events from {addr}: {error}"),
        }
    }
    timelines
}
