//! Start and stop of the stand-ins as processes.

use bpaf::{OptionParser, ParseFailure};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code after a bad flag.
const BAD_USAGE: i32 = 2;

/// Reads the command line; ends the process after help, or with code 2 after a bad flag.
#[must_use]
pub fn parse_options<T>(parser: &OptionParser<T>) -> T {
    match parser.run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            let code = match failure {
                ParseFailure::Stderr(_) => BAD_USAGE,
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => 0,
            };
            std::process::exit(code)
        }
    }
}

/// Waits until the process is asked to stop, by SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the signals cannot be received.
pub async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        biased;
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
