//! Durable admission: one append for many jobs.
//!
//! One append is in flight at a time; whatever waits goes into the next. A record may be in the
//! stream twice, or although its job was refused: a record alone starts nothing.

mod append;
mod pace;
mod read;

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use masticcross_ledger::{ADMISSIONS_STREAM, AdmissionRecord, EndedRecord, region_stream};
use masticcross_log::{Log, LogError, Offset};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::Identity;

/// Result of an admission.
pub type Result<T> = std::result::Result<T, LogError>;

/// Pace and limits of the writer.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// Time between the starts of two appends, on average.
    pub min_interval: Duration,
    /// Appends that may start without that distance after a pause.
    pub burst: u32,
    /// Most bytes in one append, about.
    pub max_batch_bytes: usize,
    /// Most jobs that wait for an append.
    pub max_queue: usize,
    /// How long a job waits for its append, read-back included.
    pub give_up_after: Duration,
    /// How long the end of a job may wait for an admission to travel with.
    pub ends_flush: Duration,
    /// False only in tests that show what the wait for the log is for.
    pub wait_for_log: bool,
    /// False only in tests that show what the read-back is for.
    pub read_back: bool,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            min_interval: Duration::from_millis(10),
            burst: 8,
            max_batch_bytes: 256 * 1024,
            max_queue: 32 * 1024,
            give_up_after: Duration::from_secs(1),
            ends_flush: Duration::from_millis(100),
            wait_for_log: true,
            read_back: true,
        }
    }
}

/// What waits for the next append.
enum Item {
    Admit(AdmissionRecord),
    End(EndedRecord),
}

struct Pending {
    item: Item,
    since: Instant,
    done: oneshot::Sender<Result<()>>,
}

/// What recovery reads from the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A job was admitted. A job may be admitted more than once.
    Admitted(AdmissionRecord),
    /// A job ended.
    Ended(EndedRecord),
}

/// Writes admissions to the log in groups, and reads them back for recovery.
pub struct Admissions {
    identity: Identity,
    log: Arc<dyn Log>,
    stream: String,
    settings: AdmissionSettings,
    queue: Mutex<VecDeque<Pending>>,
    wake: Notify,
    writer: Mutex<WriterState>,
}

/// State of the one writer.
#[derive(Debug, Default)]
struct WriterState {
    next_id: u64,
    known_end: Option<Offset>,
}

impl Admissions {
    /// Creates the writer.
    #[must_use]
    pub fn new(identity: Identity, log: Arc<dyn Log>) -> Arc<Self> {
        Self::with_settings(identity, log, AdmissionSettings::default())
    }

    /// Creates the writer with its own pace and limits.
    #[must_use]
    pub fn with_settings(
        identity: Identity,
        log: Arc<dyn Log>,
        settings: AdmissionSettings,
    ) -> Arc<Self> {
        let stream = region_stream(ADMISSIONS_STREAM, &identity.region);
        Arc::new(Self {
            identity,
            log,
            stream,
            settings,
            queue: Mutex::default(),
            wake: Notify::new(),
            writer: Mutex::default(),
        })
    }

    /// Writes groups until the process ends.
    pub async fn run(self: Arc<Self>) {
        self.write_groups().await;
    }

    /// Waits until the record is durable. A lost reply is settled by reading back. On an error the
    /// record may be in the log, but the caller must not start the job.
    ///
    /// # Errors
    /// Fails if the log does not take the record in time.
    pub async fn admit(&self, record: AdmissionRecord) -> Result<()> {
        let done = self.push(Item::Admit(record))?;
        if !self.settings.wait_for_log {
            return Ok(());
        }
        settle(done).await
    }

    /// Records that a job ended, and waits until that is durable.
    ///
    /// # Errors
    /// Fails if the log does not take the record in time.
    pub async fn end(&self, record: EndedRecord) -> Result<()> {
        let done = self.push(Item::End(record))?;
        settle(done).await
    }

    /// Reads what was admitted and what ended within the window, in the order of the stream and up to
    /// its end at the time of the call.
    ///
    /// # Errors
    /// Fails if the log cannot be read.
    pub async fn recent(&self, window: Duration) -> Result<Vec<AdmissionEvent>> {
        self.read_recent(window).await
    }

    fn push(&self, item: Item) -> Result<oneshot::Receiver<Result<()>>> {
        let (done, receiver) = oneshot::channel();
        let mut queue = self.queue.lock();
        if queue.len() >= self.settings.max_queue {
            return Err(LogError::Unavailable(
                "queue of admissions is full".to_owned(),
            ));
        }
        queue.push_back(Pending {
            item,
            since: Instant::now(),
            done,
        });
        drop(queue);
        self.wake.notify_one();
        Ok(receiver)
    }
}

async fn settle(done: oneshot::Receiver<Result<()>>) -> Result<()> {
    match done.await {
        Ok(result) => result,
        Err(_) => Err(LogError::Unknown("writer ended".to_owned())),
    }
}
