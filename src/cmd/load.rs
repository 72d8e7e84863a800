//! `masticcross load`: sends jobs and reports what callers see.

use bpaf::Parser;
use masticcross_standins::load::{self, LoadArgs, load_args};

/// Parses the flags of the subcommand.
pub fn command() -> impl Parser<LoadArgs> {
    load_args()
}

/// Runs the subcommand.
///
/// # Errors
/// Fails if the run could not be made, or with `--strict` if a promise was broken.
pub async fn run(args: LoadArgs) -> eyre::Result<()> {
    Ok(load::run(args).await?)
}
