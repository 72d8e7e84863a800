//! Command-line parsing and stop signals of the stand-in processes.

use bpaf::{OptionParser, ParseFailure};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for an invalid command line.
const USAGE_ERROR_CODE: i32 = 2;

/// Parses the command line. Exits the process with code 0 after printing help, or with code 2 if
/// the command line is invalid.
#[must_use]
pub fn parse_options<T>(parser: &OptionParser<T>) -> T {
    match parser.run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            let code = match failure {
                ParseFailure::Stderr(_) => USAGE_ERROR_CODE,
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => 0,
            };
            std::process::exit(code)
        }
    }
}

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        biased;
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
