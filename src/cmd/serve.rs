//! `masticcross serve`: runs an entry until it receives a shutdown signal.

use std::sync::Arc;

use bpaf::Parser;
use eyre::Result;
use masticcross_basics::logging;
use masticcross_entry::{Entry, Settings, settings};
use masticcross_log::{HttpLog, HttpLogSettings};

use super::{Command, runtime, stop_signal};

/// Arguments of the command.
pub type Args = Settings;

/// Returns the parser of the command.
pub fn command() -> impl Parser<Command> {
    settings::parser()
        .to_options()
        .descr("Run an entry until SIGTERM")
        .command("serve")
        .help("Run an entry until SIGTERM")
        .map(Command::Serve)
}

/// Runs the entry.
///
/// # Errors
/// Fails with the name of the port that cannot be bound.
pub fn execute(settings: Args) -> Result<()> {
    logging::init(settings.log_format);
    runtime()?.block_on(async {
        let log = HttpLogSettings::new(settings.log.to_string(), settings.name.clone());
        let log = Arc::new(HttpLog::new(log));
        let entry = Entry::start(settings, log).await?;
        stop_signal().await?;
        entry.close().await;
        Ok(())
    })
}
