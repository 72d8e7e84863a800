//! Experiments with the policy: the real queue, placement and limits of an entry against a small
//! model of workers, in virtual time and with seeded random numbers.
//!
//! Each run gives the same figures every time. `cargo run --release -p masticcross-standins
//! --example policy` prints the tables of `docs/design/dispatch.md`.

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
