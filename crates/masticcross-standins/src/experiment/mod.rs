//! Experiments with the scheduling policy: simulations of an entry's real queue, placement and
//! limits with simulated workers, in virtual time and with seeded random numbers.
//!
//! A run is deterministic: the same setup always gives the same report. `cargo run --release -p
//! masticcross-standins --example policy` prints the tables of `docs/design/dispatch.md`.

pub mod mix;
pub mod model;
pub mod report;
pub mod setup;
pub mod worker;

pub use mix::Mix;
pub use model::run;
pub use report::Report;
pub use setup::{Action, Behaviour, Setup};

#[cfg(test)]
mod tests;
