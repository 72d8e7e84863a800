//! The operators' configuration document, in TOML, and its validator.
//!
//! ```
//! use masticcross_config::Document;
//!
//! let text = masticcross_config::samples::GUILD;
//! let doc = Document::parse(text).expect("the sample is valid");
//! assert!(doc.services.contains_key("quote-desk"));
//! ```

pub mod check;
pub mod document;
pub mod edit;
pub mod samples;
pub mod schema;

#[cfg(test)]
mod tests;

pub use check::{Finding, Report, Severity, check};
pub use document::{Document, Limits, Service, Team, Times, Zone};
