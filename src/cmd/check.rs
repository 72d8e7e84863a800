//! `masticcross check` and `diff`: examine a document before it is published.

use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long, positional};
use eyre::{Result, WrapErr, bail};
use masticcross_config::{Report, check};
use masticcross_ledger::publish::read_config;
use similar::TextDiff;

use super::publish::log_client;
use super::{Command, runtime};

/// Unchanged lines shown around a difference.
const CONTEXT_LINES: usize = 3;

/// Arguments of `check`.
#[derive(Debug, Clone)]
pub struct CheckArgs {
    json: bool,
    file: PathBuf,
}

/// Arguments of `diff`.
#[derive(Debug, Clone)]
pub struct DiffArgs {
    log: std::net::SocketAddr,
    file: PathBuf,
}

/// Returns the parser of `check`.
pub fn check_command() -> impl Parser<Command> {
    let json = long("json").help("write the findings as JSON").switch();
    let file = positional::<PathBuf>("FILE").help("document in TOML");
    construct!(CheckArgs { json, file })
        .to_options()
        .descr("Check a configuration document")
        .command("check")
        .help("Check a configuration document")
        .map(Command::Check)
}

/// Returns the parser of `diff`.
pub fn diff_command() -> impl Parser<Command> {
    let log = long("log")
        .env("MASTICCROSS_LOG")
        .help("IP and port of the platform's log")
        .argument::<std::net::SocketAddr>("IP:PORT");
    let file = positional::<PathBuf>("FILE").help("document in TOML");
    construct!(DiffArgs { log, file })
        .to_options()
        .descr("Compare a document with the one in force")
        .command("diff")
        .help("Compare a document with the one in force")
        .map(Command::Diff)
}

/// Checks a file and prints the findings.
///
/// # Errors
/// Fails if the file cannot be read or the document is not valid.
pub fn execute_check(args: &CheckArgs) -> Result<()> {
    let report = check(&read_document(&args.file)?);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report.findings)?);
    } else {
        print_findings(&report);
    }
    if report.document.is_none() {
        bail!("{} is not valid", args.file.display());
    }
    Ok(())
}

/// Prints the differences between the document in force and a file.
///
/// # Errors
/// Fails if the file or the log cannot be read.
pub fn execute_diff(args: &DiffArgs) -> Result<()> {
    let new = read_document(&args.file)?;
    let config = runtime()?
        .block_on(read_config(&log_client(args.log)))?
        .config;
    let diff = TextDiff::from_lines(&*config.text, new.as_str());
    let from = format!("version {}", config.version);
    let to = args.file.display().to_string();
    print!(
        "{}",
        diff.unified_diff()
            .context_radius(CONTEXT_LINES)
            .header(&from, &to)
    );
    Ok(())
}

/// Prints the findings of the validator, errors first.
pub fn print_findings(report: &Report) {
    for finding in report.errors() {
        println!("error: {finding}");
    }
    for finding in report.warnings() {
        println!("warning: {finding}");
    }
}

/// Reads the file of a document.
///
/// # Errors
/// Fails with the file's path if the file cannot be read.
pub fn read_document(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))
}
