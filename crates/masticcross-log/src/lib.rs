//! The platform's append-only log: the trait at the edge of a process, and its HTTP client.
//!
//! A stream holds records at offsets that grow by one. Old records are dropped after a time. An
//! append whose reply is lost may have taken effect; [`LogError::Unknown`] says so, and the caller
//! finds out by reading back.
//!
//! ```
//! use masticcross_log::{Batch, Record};
//!
//! let batch = Batch { first: 0, next: 1, records: vec![Record { offset: 0, data: "x".into() }] };
//! assert_eq!(batch.end_of_read(0), 1);
//! ```

pub mod http;

use std::sync::Arc;
use std::time::Duration;

pub use crate::http::{HttpLog, HttpLogSettings};

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Position of a record in its stream.
pub type Offset = u64;

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// The log did not take the call; it had no effect.
    #[error("log is unavailable: {0}")]
    Unavailable(String),
    /// The reply is missing; an append may have taken effect.
    #[error("reply of the log is missing: {0}")]
    Unknown(String),
    /// The log's rate is used up; the call had no effect.
    #[error("log asks to wait {retry_after:?}")]
    Throttled {
        /// Time to wait.
        retry_after: Duration,
    },
    /// The records asked for were dropped.
    #[error("records before offset {first} are not kept any more")]
    Truncated {
        /// First offset still kept.
        first: Offset,
    },
    /// The reply could not be understood.
    #[error("reply of the log is malformed: {0}")]
    Malformed(String),
}

/// Result of a call to the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its position.
    pub offset: Offset,
    /// Its text.
    pub data: Arc<str>,
}

/// Records read from a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// First offset that the stream still keeps.
    pub first: Offset,
    /// Offset that the next append will get, at the time of the read.
    pub next: Offset,
    /// Records from the offset asked for, without gaps; perhaps not up to `next`.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns the offset after the last record of this read, which began at `from`.
    #[must_use]
    pub fn end_of_read(&self, from: Offset) -> Offset {
        self.records.last().map_or(from, |record| record.offset + 1)
    }
}

/// Bounds of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// First offset that the stream still keeps.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
}

/// The platform's log. A stream that was never written to is empty.
pub trait Log: Send + Sync + 'static {
    /// Appends a record and returns its offset.
    fn append<'a>(&'a self, stream: &'a str, data: Arc<str>) -> BoxFuture<'a, Result<Offset>>;

    /// Reads at most `limit` records from an offset. Waits up to `wait` for the first one if the
    /// stream has none yet at that offset; then the result is empty.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch>>;

    /// Returns the bounds of a stream.
    fn bounds<'a>(&'a self, stream: &'a str) -> BoxFuture<'a, Result<Bounds>>;
}
