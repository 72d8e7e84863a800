//! The entry process and the operators' command line of masticcross.

mod cmd;
mod demo;

#[cfg(test)]
mod tests;

use std::process::ExitCode;

use bpaf::{Args, Parser, construct};

use cmd::Command;

/// Exit code for invalid arguments.
const EXIT_INVALID_ARGUMENTS: u8 = 2;

/// Width of messages about arguments, in columns.
const MESSAGE_WIDTH_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let options = command().to_options().version(env!("CARGO_PKG_VERSION"));
    let command = match options.run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MESSAGE_WIDTH_COLUMNS);
            let is_help = failure.exit_code() == 0;
            return if is_help {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_INVALID_ARGUMENTS)
            };
        }
    };
    match command.execute() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("Error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> impl Parser<Command> {
    let serve = cmd::serve::command();
    let demo = cmd::demo::command();
    let load = cmd::load::command();
    let check = cmd::check::check_command();
    let diff = cmd::check::diff_command();
    let publish = cmd::publish::publish_command();
    let drain = cmd::publish::drain_command();
    let restore = cmd::publish::restore_command();
    let status = cmd::status::command();
    let timeline = cmd::timeline::command();
    let explain = cmd::explain::command();
    construct!([
        serve, demo, load, check, diff, publish, drain, restore, status, timeline, explain
    ])
}
