//! Counts of task starts, in total and by task.

use std::collections::HashMap;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use masticcross_basics::Digest;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of tasks whose starts are counted separately. Starts of further tasks only count
/// toward the total.
const MAX_TRACKED_TASKS: usize = 4_000_000;

/// Size of an encoded entry of a [`StartList`].
const ENTRY_BYTES: usize = 20;

/// Identifies a task by service, job and index. Equal for all attempts of the task.
pub type StartKey = Digest;

/// Returns the key of a task.
#[must_use]
pub fn start_key(service: &str, job: &str, index: u64) -> StartKey {
    Digest::of([service.as_bytes(), job.as_bytes(), &index.to_le_bytes()])
}

/// Task counts of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Task starts in total.
    pub starts: u64,
    /// Tasks started more than once, by service, job and index.
    pub started_more_than_once: u64,
    /// Tasks running now.
    pub running: u64,
    /// Tasks that returned a result.
    pub ended: u64,
    /// Tasks that returned an error.
    pub failed: u64,
    /// Tasks that were stopped, or whose connection was lost.
    pub stopped: u64,
    /// Tasks refused because all slots were in use.
    pub over_slots: u64,
    /// Starts that are only counted in total, because the table of tasks is full.
    pub untracked: u64,
}

/// Number of starts by task.
#[derive(Debug, Default)]
pub struct StartTable {
    starts: HashMap<StartKey, u32>,
}

impl StartTable {
    /// Counts a start.
    pub fn add(&mut self, key: StartKey, counts: &mut Counts) {
        counts.starts += 1;
        if self.starts.len() >= MAX_TRACKED_TASKS && !self.starts.contains_key(&key) {
            counts.untracked += 1;
            return;
        }
        let starts = self.starts.entry(key).or_default();
        *starts = starts.saturating_add(1);
        if *starts == 2 {
            counts.started_more_than_once += 1;
        }
    }

    /// Returns the number of starts of all tasks.
    pub fn list(&self) -> StartList {
        StartList(self.starts.iter().map(|(key, n)| (*key, *n)).collect())
    }
}

/// The length of an encoded [`StartList`] is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the list of starts has {0} bytes, which is not a multiple of {ENTRY_BYTES}")]
pub struct StartListError(pub usize);

/// Number of starts by task, in no particular order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StartList(pub Vec<(StartKey, u32)>);

impl StartList {
    /// Encodes the list in binary form.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut buf = BytesMut::with_capacity(self.0.len() * ENTRY_BYTES);
        for (key, starts) in &self.0 {
            buf.put_u64_le(key.0[0]);
            buf.put_u64_le(key.0[1]);
            buf.put_u32_le(*starts);
        }
        buf.freeze()
    }

    /// Decodes the binary form.
    ///
    /// # Errors
    /// Fails if the length is not a multiple of the size of an entry.
    pub fn decode(mut buf: Bytes) -> std::result::Result<Self, StartListError> {
        if !buf.len().is_multiple_of(ENTRY_BYTES) {
            return Err(StartListError(buf.len()));
        }
        let mut list = Vec::with_capacity(buf.len() / ENTRY_BYTES);
        while buf.has_remaining() {
            let key = Digest([buf.get_u64_le(), buf.get_u64_le()]);
            list.push((key, buf.get_u32_le()));
        }
        Ok(Self(list))
    }
}
