//! `masticcross load`: sends jobs and reports what callers see.

use bpaf::Parser;
use eyre::Result;
use masticcross_basics::logging::{self, LogFormat};
use masticcross_standins::load::{self, LoadArgs, load_args};

use super::{Command, runtime};

/// Returns the parser of the command.
pub fn command() -> impl Parser<Command> {
    load_args()
        .to_options()
        .descr("Send jobs and report what callers see")
        .command("load")
        .help("Send jobs and report what callers see")
        .map(Command::Load)
}

/// Sends the jobs and prints the report.
///
/// # Errors
/// Fails if the load could not be generated, or with `--strict` if a guarantee was violated.
pub fn execute(args: LoadArgs) -> Result<()> {
    logging::init_with_default(LogFormat::Text, "warn");
    Ok(runtime()?.block_on(load::run(args))?)
}
