//! Records of the log's streams.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticcross_log::{Batch, Bounds, LogError, Offset, Record, Result};
use tokio::sync::watch;
use tokio::time::Instant;

/// Size beyond which a read returns one record at most, in bytes.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// All streams with their retention.
#[derive(Debug)]
pub struct Store {
    retention: Duration,
    max_records: usize,
    appended: u64,
    streams: BTreeMap<String, Stream>,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<(Instant, Arc<str>)>,
    next: watch::Sender<Offset>,
}

impl Store {
    /// Creates a store without streams.
    pub fn new(retention: Duration, max_records: usize) -> Self {
        Self {
            retention,
            max_records,
            appended: 0,
            streams: BTreeMap::new(),
        }
    }

    /// Returns how many records were appended.
    pub fn appended(&self) -> u64 {
        self.appended
    }

    /// Appends a record and wakes up those who wait for it.
    pub fn append(&mut self, stream: &str, data: Arc<str>, now: Instant) -> Offset {
        let (retention, max_records) = (self.retention, self.max_records);
        let stream = self.stream(stream);
        let offset = stream.next();
        stream.records.push_back((now, data));
        stream.drop_old(retention, now);
        if stream.records.len() > max_records {
            stream.drop_first();
        }
        stream.next.send_replace(offset + 1);
        self.appended += 1;
        offset
    }

    /// Reads records that are there now.
    pub fn read(
        &mut self,
        stream: &str,
        from: Offset,
        limit: usize,
        now: Instant,
    ) -> Result<Batch> {
        let retention = self.retention;
        let stream = self.stream(stream);
        stream.drop_old(retention, now);
        if from < stream.first {
            return Err(LogError::Truncated {
                first: stream.first,
            });
        }
        let skipped = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = (from..)
            .zip(stream.records.range(skipped.min(stream.records.len())..))
            .take(limit)
            .take_while(|(_, (_, data))| {
                let is_first = bytes == 0;
                bytes += data.len().max(1);
                is_first || bytes <= MAX_BATCH_BYTES
            })
            .map(|(offset, (_, data))| Record {
                offset,
                data: data.clone(),
            })
            .collect();
        Ok(Batch {
            first: stream.first,
            next: stream.next(),
            records,
        })
    }

    /// Returns the bounds of a stream.
    pub fn bounds(&mut self, stream: &str, now: Instant) -> Bounds {
        let retention = self.retention;
        let stream = self.stream(stream);
        stream.drop_old(retention, now);
        Bounds {
            first: stream.first,
            next: stream.next(),
        }
    }

    /// Drops the records before an offset. An offset beyond the end drops all.
    pub fn cut(&mut self, stream: &str, first: Offset) {
        let stream = self.stream(stream);
        while stream.first < first && !stream.records.is_empty() {
            stream.drop_first();
        }
    }

    /// Returns a receiver that changes when the stream grows.
    pub fn subscribe(&mut self, stream: &str) -> watch::Receiver<Offset> {
        self.stream(stream).next.subscribe()
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        self.streams.entry(name.to_owned()).or_default()
    }
}

impl Stream {
    fn next(&self) -> Offset {
        self.first + self.records.len() as u64
    }

    fn drop_old(&mut self, retention: Duration, now: Instant) {
        while let Some((at, _)) = self.records.front() {
            if now.saturating_duration_since(*at) <= retention {
                break;
            }
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if self.records.pop_front().is_some() {
            self.first += 1;
        }
    }
}
