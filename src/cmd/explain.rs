//! `masticcross explain`: finds from the logs of all processes why jobs were late or lost.

use std::io::Read;
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use eyre::{Result, WrapErr, eyre};
use masticcross_timeline::explain::{Cause, LogLine, count_causes, lines_about};

use super::Command;

/// Fields that are not listed after the message: the time and the message come first, the level and
/// the target are omitted.
const UNLISTED_FIELDS: [&str; 4] = ["time", "message", "level", "target"];

/// Arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    job: Option<String>,
    files: Vec<PathBuf>,
}

/// Returns the parser of the command.
pub fn command() -> impl Parser<Command> {
    let job = long("job")
        .help("show the lines about this job and the cause of its end")
        .argument::<String>("ID")
        .optional();
    let files = positional::<PathBuf>("FILE")
        .help("logs of all processes as JSON lines; standard input if none is named")
        .many();
    construct!(Args { job, files })
        .to_options()
        .descr("Tell from logs why jobs were late or lost")
        .command("explain")
        .help("Tell from logs why jobs were late or lost")
        .map(Command::Explain)
}

/// Explains one job, or counts all jobs by cause.
///
/// # Errors
/// Fails if a log cannot be read or contains no line about the job.
pub fn execute(args: &Args) -> Result<()> {
    let text = read_logs(&args.files)?;
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    if let Some(job) = &args.job {
        return explain(&lines, job);
    }
    for (cause, jobs) in count_causes(&lines) {
        println!("{jobs:>8}  {}", cause.label());
    }
    Ok(())
}

fn explain(lines: &[LogLine], job: &str) -> Result<()> {
    let job_lines = lines_about(lines, job);
    if job_lines.is_empty() {
        return Err(eyre!(
            "no log line is about job {job}; check that the logs of all entries are given"
        ));
    }
    for line in &job_lines {
        println!("{}", format_line(line));
    }
    match job_lines
        .iter()
        .rev()
        .find_map(|line| Cause::from_line(line))
    {
        Some(cause) => println!("cause: {}", cause.label()),
        None => println!("cause: the entry ended before the job did"),
    }
    Ok(())
}

fn format_line(line: &LogLine) -> String {
    let (time, message) = (line.field("time"), line.field("message"));
    let other_fields = line.fields.iter();
    let other_fields = other_fields.filter(|(name, _)| !UNLISTED_FIELDS.contains(&name.as_str()));
    let other_fields: Vec<String> = other_fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!(
        "{time} {} {message}: {}",
        line.source,
        other_fields.join(" ")
    )
}

fn read_logs(files: &[PathBuf]) -> Result<String> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.wrap_err("cannot read standard input")?;
    }
    for file in files {
        let read = std::fs::read_to_string(file);
        text.push_str(&read.wrap_err_with(|| format!("cannot read {}", file.display()))?);
        text.push('\n');
    }
    Ok(text)
}
