//! The platform's append-only log: the trait through which processes use it, and an HTTP client.
//!
//! A stream contains records at consecutive offsets. Old records are dropped after some time. An
//! append whose reply is lost may have taken effect; it returns [`LogError::Unknown`], and the
//! caller reads the stream to find out.
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

/// Why a call to the log failed. Callers may receive the messages as detail of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// The log did not accept the call, which had no effect.
    #[error("log is unavailable: {0}")]
    Unavailable(String),
    /// There was no usable reply. An append may have taken effect.
    #[error("reply of the log is missing: {0}")]
    Unknown(String),
    /// The log throttled the call, which had no effect.
    #[error("log asks to wait {retry_after:?}")]
    Throttled {
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// The requested records were dropped.
    #[error("records before offset {first} are not kept any more")]
    Truncated {
        /// Offset of the first record in the stream.
        first: Offset,
    },
    /// The reply could not be parsed, or is inconsistent.
    #[error("reply of the log is malformed: {0}")]
    Malformed(String),
}

/// Result of a call to the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// A record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset of the record.
    pub offset: Offset,
    /// Content of the record.
    pub data: Arc<str>,
}

/// Records read from a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Offset of the first record that the stream still contains.
    pub first: Offset,
    /// Offset that the next append would get, at the time of the read.
    pub next: Offset,
    /// Records from the requested offset, without gaps. They may end before `next`.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns the offset after the last record of this batch, which was read from offset `from`.
    #[must_use]
    pub fn end_of_read(&self, from: Offset) -> Offset {
        self.records.last().map_or(from, |record| record.offset + 1)
    }
}

/// Range of the offsets in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Offset of the first record that the stream still contains.
    pub first: Offset,
    /// Offset that the next append would get.
    pub next: Offset,
}

/// The platform's log. A stream without appends is empty.
pub trait Log: Send + Sync + 'static {
    /// Appends a record and returns its offset.
    fn append<'a>(&'a self, stream: &'a str, data: Arc<str>) -> BoxFuture<'a, Result<Offset>>;

    /// Reads at most `limit` records from an offset. If the stream has no record at that offset
    /// yet, waits for one for up to `wait`, and returns an empty batch if none was appended.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch>>;

    /// Returns the range of the offsets in a stream.
    fn bounds<'a>(&'a self, stream: &'a str) -> BoxFuture<'a, Result<Bounds>>;
}
