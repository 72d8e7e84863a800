//! In-memory storage of the log's records, by stream.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticcross_log::{Batch, Bounds, LogError, Offset, Record, Result};
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum size of the records that a read returns, in bytes. A larger record is returned alone.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// All streams, and the limits of their retention.
#[derive(Debug)]
pub struct Store {
    retention: Duration,
    max_records: usize,
    append_count: u64,
    streams: BTreeMap<String, Stream>,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<(Instant, Arc<str>)>,
    next_offset: watch::Sender<Offset>,
}

impl Store {
    /// Creates a store without streams.
    pub fn new(retention: Duration, max_records: usize) -> Self {
        Self {
            retention,
            max_records,
            append_count: 0,
            streams: BTreeMap::new(),
        }
    }

    /// Returns how many records were appended.
    pub fn append_count(&self) -> u64 {
        self.append_count
    }

    /// Appends a record, wakes up waiting readers and returns the offset.
    pub fn append(&mut self, stream: &str, data: Arc<str>, now: Instant) -> Offset {
        let (retention, max_records) = (self.retention, self.max_records);
        let stream = self.stream(stream);
        let offset = stream.next_offset();
        stream.records.push_back((now, data));
        stream.drop_expired(retention, now);
        if stream.records.len() > max_records {
            stream.drop_oldest();
        }
        stream.next_offset.send_replace(offset + 1);
        self.append_count += 1;
        offset
    }

    /// Reads at most `limit` stored records from an offset.
    pub fn read(
        &mut self,
        stream: &str,
        from: Offset,
        limit: usize,
        now: Instant,
    ) -> Result<Batch> {
        let retention = self.retention;
        let stream = self.stream(stream);
        stream.drop_expired(retention, now);
        if from < stream.first {
            return Err(LogError::Truncated {
                first: stream.first,
            });
        }
        let start = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = (from..)
            .zip(stream.records.range(start.min(stream.records.len())..))
            .take(limit)
            .take_while(|(_, (_, data))| {
                let is_first_record = bytes == 0;
                bytes += data.len().max(1);
                is_first_record || bytes <= MAX_BATCH_BYTES
            })
            .map(|(offset, (_, data))| Record {
                offset,
                data: data.clone(),
            })
            .collect();
        Ok(Batch {
            first: stream.first,
            next: stream.next_offset(),
            records,
        })
    }

    /// Returns the bounds of a stream.
    pub fn bounds(&mut self, stream: &str, now: Instant) -> Bounds {
        let retention = self.retention;
        let stream = self.stream(stream);
        stream.drop_expired(retention, now);
        Bounds {
            first: stream.first,
            next: stream.next_offset(),
        }
    }

    /// Drops the records before `first`. Drops all records if `first` is beyond the end.
    pub fn truncate(&mut self, stream: &str, first: Offset) {
        let stream = self.stream(stream);
        while stream.first < first && !stream.records.is_empty() {
            stream.drop_oldest();
        }
    }

    /// Returns a receiver that is notified when a record is appended to the stream.
    pub fn subscribe(&mut self, stream: &str) -> watch::Receiver<Offset> {
        self.stream(stream).next_offset.subscribe()
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        self.streams.entry(name.to_owned()).or_default()
    }
}

impl Stream {
    fn next_offset(&self) -> Offset {
        self.first + self.records.len() as u64
    }

    fn drop_expired(&mut self, retention: Duration, now: Instant) {
        while let Some((appended_at, _)) = self.records.front() {
            if now.saturating_duration_since(*appended_at) <= retention {
                break;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if self.records.pop_front().is_some() {
            self.first += 1;
        }
    }
}
