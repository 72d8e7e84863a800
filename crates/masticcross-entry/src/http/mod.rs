//! HTTP interfaces for callers and operators.

pub mod callers;
pub mod operators;
pub mod submission;

#[cfg(test)]
mod tests;
