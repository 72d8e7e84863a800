//! The subcommands, one module each.

pub mod demo;
pub mod serve;

use eyre::Result;

/// A parsed command line.
#[derive(Debug, Clone)]
pub enum Command {
    /// Run an entry.
    Serve(serve::Args),
    /// Run the whole system in one process.
    Demo(demo::Args),
}

impl Command {
    /// Runs the command to its end.
    ///
    /// # Errors
    /// Says what failed, with the context of each step.
    pub fn execute(self) -> Result<()> {
        match self {
            Self::Serve(args) => serve::execute(args),
            Self::Demo(args) => demo::execute(args),
        }
    }
}

/// Waits for the signal to stop: SIGTERM or an interrupt from the terminal.
///
/// # Errors
/// Fails if the signals cannot be watched.
pub async fn stop_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        biased;
        _ = terminate.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => Ok(interrupted?),
    }
}
