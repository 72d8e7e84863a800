//! The interfaces over HTTP: callers' and operators'.

pub mod callers;
pub mod operators;
pub mod submission;

#[cfg(test)]
mod tests;
