//! Exchange of the operator view among processes.
//!
//! A view has up to megabytes, and links are as thin as 25 Mbit/s. Processes therefore announce a
//! summary, which is all that an agent needs for its decisions, and send the view itself only on
//! request and in parts: heartbeats wait behind one part at most, and a transfer that breaks continues
//! where it was, also on another session.
//!
//! - [`announcements`]: which views other processes have.
//! - [`encoded`]: a view in the form in which it is sent.
//! - [`freshness`]: how old a view is, and when an agent reads the operators' records itself.
//! - [`fetch`]: when and where a process requests the parts of a newer view.
//! - [`relay`]: requests that an agent passes on from one entry to another.

pub mod announcements;
pub mod encoded;
pub mod fetch;
pub mod freshness;
pub mod relay;

#[cfg(test)]
mod tests;

/// Session number, unique in this process.
pub type SessionId = u64;
