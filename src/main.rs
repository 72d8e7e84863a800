//! The entry process and the operators' command line of masticcross.

mod cmd;
mod demo;

use bpaf::{Parser, construct};

use cmd::Command;

fn main() -> eyre::Result<()> {
    let command = command()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .run();
    command.execute()
}

fn command() -> impl Parser<Command> {
    let serve = cmd::serve::command();
    let demo = cmd::demo::command();
    construct!([serve, demo])
}
