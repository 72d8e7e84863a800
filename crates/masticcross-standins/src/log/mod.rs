//! In-memory implementation of the platform's log, with fault injection.
//!
//! It uses the clock of the Tokio runtime, so tests can pause time. All handles made by
//! [`MemoryLog::client`] share the records and the rate limit. Faults can be set for all clients
//! and for a single one.

pub mod faults;
mod rate;
pub mod server;
mod store;

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_basics::Name;
use masticcross_log::{Batch, Bounds, Log, LogError, Offset, Result};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep, sleep_until};

pub use faults::{ClientFaults, Faults, Hang, Occurrence};

use faults::AppendFault;
use rate::RateLimit;
use store::Store;

/// Settings of the in-memory log.
#[derive(Debug, Clone, PartialEq)]
pub struct MemoryLogSettings {
    /// Average rate limit of appends, per second.
    pub appends_per_second: u32,
    /// Maximum number of appends at once after an idle period.
    pub burst: u32,
    /// Latency of an append.
    pub append_latency: Duration,
    /// Latency of a read.
    pub read_latency: Duration,
    /// Age after which a record is dropped.
    pub retention: Duration,
    /// Maximum number of records in a stream; the oldest is dropped beyond it.
    pub max_records: usize,
    /// Maximum size of a record, in bytes.
    pub max_record_bytes: usize,
    /// Seed for the random choice of faulty calls.
    pub seed: u64,
}

impl Default for MemoryLogSettings {
    fn default() -> Self {
        Self {
            appends_per_second: 400,
            burst: 400,
            append_latency: Duration::from_millis(5),
            read_latency: Duration::from_micros(500),
            retention: Duration::from_hours(1),
            max_records: 1_000_000,
            max_record_bytes: 1024 * 1024,
            seed: 1,
        }
    }
}

/// A handle on an in-memory log. Clones share the log and the client name.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    shared: Arc<Shared>,
    client: Name,
}

#[derive(Debug)]
struct Shared {
    settings: MemoryLogSettings,
    store: Mutex<Store>,
    rate: Mutex<RateLimit>,
    faults: Faults,
}

impl MemoryLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new(settings: MemoryLogSettings) -> Self {
        let shared = Shared {
            store: Mutex::new(Store::new(settings.retention, settings.max_records)),
            rate: Mutex::new(RateLimit::new(settings.appends_per_second, settings.burst)),
            faults: Faults::new(settings.seed),
            settings,
        };
        Self {
            shared: Arc::new(shared),
            client: Name::from(""),
        }
    }

    /// Creates a handle on the same log for a named client, for which separate faults can be set.
    #[must_use]
    pub fn client(&self, name: &str) -> Self {
        Self {
            shared: self.shared.clone(),
            client: Name::from(name),
        }
    }

    /// Returns the handle for setting faults.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Returns the settings of the log.
    #[must_use]
    pub fn settings(&self) -> &MemoryLogSettings {
        &self.shared.settings
    }

    /// Drops the records of a stream before `first`.
    pub fn truncate(&self, stream: &str, first: Offset) {
        self.shared.store.lock().truncate(stream, first);
    }

    /// Returns how many records were appended to all streams together.
    #[must_use]
    pub fn append_count(&self) -> u64 {
        self.shared.store.lock().append_count()
    }

    async fn append_record(&self, stream: &str, data: Arc<str>) -> Result<Offset> {
        let latency = self.latency(self.shared.settings.append_latency);
        let start = Instant::now();
        sleep_until(start + latency / 2).await;
        self.check_reachable().await?;
        self.check_size(&data)?;
        self.shared.rate.lock().take(Instant::now())?;
        let fault = self.shared.faults.next_append_fault(&self.client);
        if let AppendFault::Late { delay, hang } = fault {
            self.append_later(stream, data, delay);
            return self.lose_reply(hang).await;
        }
        let offset = self.store_record(stream, data);
        if let AppendFault::ReplyLost { hang } = fault {
            return self.lose_reply(hang).await;
        }
        sleep_until(start + latency).await;
        match self.check_reachable().await {
            Ok(()) => Ok(offset),
            Err(e) => Err(LogError::Unknown(e.to_string())),
        }
    }

    fn check_size(&self, data: &str) -> Result<()> {
        let max = self.shared.settings.max_record_bytes;
        if data.len() > max {
            return Err(LogError::Malformed(format!(
                "record has {} bytes; accepted are {max}",
                data.len()
            )));
        }
        Ok(())
    }

    fn store_record(&self, stream: &str, data: Arc<str>) -> Offset {
        let now = Instant::now();
        self.shared.store.lock().append(stream, data, now)
    }

    fn append_later(&self, stream: &str, data: Arc<str>, delay: Duration) {
        let log = self.clone();
        let stream = stream.to_owned();
        tokio::spawn(async move {
            sleep(delay).await;
            log.store_record(&stream, data);
        });
    }

    async fn lose_reply(&self, hang: Hang) -> Result<Offset> {
        sleep(hang.0).await;
        Err(LogError::Unknown("the reply was lost".to_owned()))
    }

    async fn read_records(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Batch> {
        let latency = self.latency(self.shared.settings.read_latency);
        sleep(latency / 2).await;
        let deadline = Instant::now() + wait;
        let mut fault_changes = self.shared.faults.subscribe();
        let batch = loop {
            self.check_reachable().await?;
            let mut appends = self.shared.store.lock().subscribe(stream);
            let now = Instant::now();
            let batch = self.shared.store.lock().read(stream, from, limit, now)?;
            if !batch.records.is_empty() || now >= deadline {
                break batch;
            }
            tokio::select! {
                biased;
                _ = fault_changes.changed() => {}
                _ = appends.changed() => {}
                () = sleep_until(deadline) => {}
            }
        };
        sleep(latency / 2).await;
        self.check_reachable().await?;
        Ok(batch)
    }

    async fn read_bounds(&self, stream: &str) -> Result<Bounds> {
        let latency = self.latency(self.shared.settings.read_latency);
        let start = Instant::now();
        sleep_until(start + latency / 2).await;
        self.check_reachable().await?;
        let bounds = self.shared.store.lock().bounds(stream, Instant::now());
        sleep_until(start + latency).await;
        self.check_reachable().await?;
        Ok(bounds)
    }

    /// Returns the latency of a call with the faults of the client applied.
    fn latency(&self, base: Duration) -> Duration {
        self.shared.faults.for_client(&self.client).latency(base)
    }

    /// Fails if the log is down, or unreachable for the client; hangs first if such a fault is set.
    async fn check_reachable(&self) -> Result<()> {
        let faults = self.shared.faults.for_client(&self.client);
        if let Some(hang) = faults.unreachable {
            sleep(hang.0).await;
            return Err(LogError::Unavailable(
                "the log cannot be reached".to_owned(),
            ));
        }
        if faults.down {
            return Err(LogError::Unavailable("the log is down".to_owned()));
        }
        Ok(())
    }
}

impl Log for MemoryLog {
    fn append<'a>(&'a self, stream: &'a str, data: Arc<str>) -> BoxFuture<'a, Result<Offset>> {
        Box::pin(self.append_record(stream, data))
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch>> {
        Box::pin(self.read_records(stream, from, limit, wait))
    }

    fn bounds<'a>(&'a self, stream: &'a str) -> BoxFuture<'a, Result<Bounds>> {
        Box::pin(self.read_bounds(stream))
    }
}
