//! The subcommands, one module each.

pub mod check;
pub mod demo;
pub mod explain;
pub mod load;
pub mod publish;
pub mod serve;
pub mod status;
pub mod timeline;

use eyre::{Result, WrapErr};
use masticcross_standins::load::LoadArgs;

/// A parsed command line.
#[derive(Debug, Clone)]
pub enum Command {
    /// Run an entry.
    Serve(serve::Args),
    /// Run the whole system in one process.
    Demo(demo::Args),
    /// Send jobs and report what callers see.
    Load(LoadArgs),
    /// Check a configuration document.
    Check(check::CheckArgs),
    /// Compare a document with the one in force.
    Diff(check::DiffArgs),
    /// Publish a configuration document.
    Publish(publish::PublishArgs),
    /// Take an availability zone out of service.
    Drain(publish::ZoneArgs),
    /// Bring an availability zone back into service.
    Restore(publish::ZoneArgs),
    /// Show the version in force at each process.
    Status(status::Args),
    /// Show the events of all processes in one order.
    Timeline(timeline::Args),
    /// Find from logs why jobs were late or lost.
    Explain(explain::Args),
}

impl Command {
    /// Runs the command.
    ///
    /// # Errors
    /// Returns the error of the command, with the step that failed as context.
    pub fn execute(self) -> Result<()> {
        match self {
            Self::Serve(args) => serve::execute(args),
            Self::Demo(args) => demo::execute(args),
            Self::Load(args) => load::execute(args),
            Self::Check(args) => check::execute_check(&args),
            Self::Diff(args) => check::execute_diff(&args),
            Self::Publish(args) => publish::execute(&args),
            Self::Drain(args) => publish::execute_zone(&args, false),
            Self::Restore(args) => publish::execute_zone(&args, true),
            Self::Status(args) => status::execute(&args),
            Self::Timeline(args) => timeline::execute(&args),
            Self::Explain(args) => explain::execute(&args),
        }
    }
}

/// Creates the async runtime of a command.
///
/// # Errors
/// Fails if the operating system cannot create the threads.
pub fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")
}

/// Waits for a shutdown signal: SIGTERM or an interrupt from the terminal.
///
/// # Errors
/// Fails if the signal handlers cannot be installed.
pub async fn stop_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        biased;
        _ = terminate.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => Ok(interrupted?),
    }
}
