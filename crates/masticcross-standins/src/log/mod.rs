//! The platform's log in memory, on the runtime's clock.
//!
//! All handles made by [`MemoryLog::client`] share the records and the rate; each has faults of its
//! own beside those of all clients.

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

/// Properties of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct MemoryLogSettings {
    /// Appends a second that the log takes.
    pub appends_per_second: u32,
    /// Appends that may come at once after a pause.
    pub burst: u32,
    /// Time that an append takes.
    pub append_latency: Duration,
    /// Time that a read takes.
    pub read_latency: Duration,
    /// Age after which a record is dropped.
    pub retention: Duration,
    /// Records of one stream beyond which the oldest is dropped.
    pub max_records: usize,
    /// Longest accepted record, in bytes.
    pub max_record_bytes: usize,
    /// Seed of the random choice of faulty calls.
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

/// The platform's log in memory. Clones share everything.
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

    /// Creates a handle on the same log for a client with faults of its own.
    #[must_use]
    pub fn client(&self, name: &str) -> Self {
        Self {
            shared: self.shared.clone(),
            client: Name::from(name),
        }
    }

    /// Returns the handle by which faults are set.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Returns the properties of the log.
    #[must_use]
    pub fn settings(&self) -> &MemoryLogSettings {
        &self.shared.settings
    }

    /// Drops the records of a stream before an offset.
    pub fn truncate(&self, stream: &str, first: Offset) {
        self.shared.store.lock().cut(stream, first);
    }

    /// Returns how many appends took effect, over all streams.
    #[must_use]
    pub fn append_count(&self) -> u64 {
        self.shared.store.lock().appended()
    }

    async fn append_record(&self, stream: &str, data: Arc<str>) -> Result<Offset> {
        let latency = self.latency(self.shared.settings.append_latency);
        let start = Instant::now();
        sleep_until(start + latency / 2).await;
        self.arrive().await?;
        self.check_record(&data)?;
        self.shared.rate.lock().take(Instant::now())?;
        let fault = self.shared.faults.next_append(&self.client);
        if let AppendFault::Late { delay, hang } = fault {
            self.append_later(stream, data, delay);
            return self.lose_reply(hang).await;
        }
        let offset = self.store_record(stream, data);
        if let AppendFault::ReplyLost { hang } = fault {
            return self.lose_reply(hang).await;
        }
        sleep_until(start + latency).await;
        match self.arrive().await {
            Ok(()) => Ok(offset),
            Err(e) => Err(LogError::Unknown(e.to_string())),
        }
    }

    fn check_record(&self, data: &str) -> Result<()> {
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
        let mut faults_changed = self.shared.faults.subscribe();
        let batch = loop {
            self.arrive().await?;
            let mut grown = self.shared.store.lock().subscribe(stream);
            let now = Instant::now();
            let batch = self.shared.store.lock().read(stream, from, limit, now)?;
            if !batch.records.is_empty() || now >= deadline {
                break batch;
            }
            tokio::select! {
                biased;
                _ = faults_changed.changed() => {}
                _ = grown.changed() => {}
                () = sleep_until(deadline) => {}
            }
        };
        sleep(latency / 2).await;
        self.arrive().await?;
        Ok(batch)
    }

    async fn read_bounds(&self, stream: &str) -> Result<Bounds> {
        let latency = self.latency(self.shared.settings.read_latency);
        let start = Instant::now();
        sleep_until(start + latency / 2).await;
        self.arrive().await?;
        let bounds = self.shared.store.lock().bounds(stream, Instant::now());
        sleep_until(start + latency).await;
        self.arrive().await?;
        Ok(bounds)
    }

    /// Returns the time that a call takes now.
    fn latency(&self, usual: Duration) -> Duration {
        self.shared.faults.of(&self.client).latency(usual)
    }

    /// Fails if the client and the log do not reach each other now.
    async fn arrive(&self) -> Result<()> {
        let faults = self.shared.faults.of(&self.client);
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
