//! The agent program.

use std::process::ExitCode;

use masticcross_agent::{program, settings};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = match settings::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            let is_error = failure.exit_code() != 0;
            return ExitCode::from(if is_error { EXIT_INVALID_SETTINGS } else { 0 });
        }
    };
    let settings = match options.settings() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("Error: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let result = runtime
        .map_err(eyre::Report::from)
        .and_then(|runtime| runtime.block_on(program::run(options, settings)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("Error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
