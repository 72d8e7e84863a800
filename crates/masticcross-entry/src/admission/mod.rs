//! Durable admission: records admissions and ends of jobs in the log, many in one append.
//!
//! One append is in flight at a time; records that arrive meanwhile go into the next one. The stream
//! may contain a record twice, or a record of a job that was refused. This is safe because a record
//! alone starts no task.

mod append;
mod rate_limit;
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

/// Result of a call to the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// Rate and limits of the writer.
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// Average interval between the starts of two appends.
    pub min_interval: Duration,
    /// Appends that may start without that interval after an idle period.
    pub burst: u32,
    /// Approximate maximum size of one append, in bytes.
    pub max_batch_bytes: usize,
    /// Maximum number of records that wait for an append.
    pub max_queue: usize,
    /// Timeout of an append, including retries and reading back.
    pub append_timeout: Duration,
    /// How long the end of a job may wait to be batched with an admission.
    pub max_end_delay: Duration,
    /// Wait for the append before admitting a job. False only in tests that show that it is needed.
    pub wait_for_log: bool,
    /// Read back after a lost reply. False only in tests that show that it is needed.
    pub read_back: bool,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            min_interval: Duration::from_millis(10),
            burst: 8,
            max_batch_bytes: 256 * 1024,
            max_queue: 32 * 1024,
            append_timeout: Duration::from_secs(1),
            max_end_delay: Duration::from_millis(100),
            wait_for_log: true,
            read_back: true,
        }
    }
}

/// A record that waits for the next append.
enum QueuedRecord {
    Admit(AdmissionRecord),
    End(EndedRecord),
}

struct Pending {
    record: QueuedRecord,
    queued_at: Instant,
    reply: oneshot::Sender<Result<()>>,
}

/// An event that recovery reads from the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A job was admitted. A job may be admitted more than once.
    Admitted(AdmissionRecord),
    /// A job ended.
    Ended(EndedRecord),
}

/// Writes admissions to the log in batches, and reads them back for recovery.
pub struct Admissions {
    identity: Identity,
    log: Arc<dyn Log>,
    stream: String,
    settings: AdmissionSettings,
    queue: Mutex<VecDeque<Pending>>,
    wake: Notify,
    writer: Mutex<WriterState>,
}

/// State of the single writer task.
#[derive(Debug, Default)]
struct WriterState {
    next_id: u64,
    known_end: Option<Offset>,
}

impl Admissions {
    /// Creates a writer with default settings.
    #[must_use]
    pub fn new(identity: Identity, log: Arc<dyn Log>) -> Arc<Self> {
        Self::with_settings(identity, log, AdmissionSettings::default())
    }

    /// Creates a writer with the given settings.
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

    /// Writes batches until the process ends.
    pub async fn run(self: Arc<Self>) {
        self.write_batches().await;
    }

    /// Writes an admission and waits until it is durable. A lost reply is resolved by reading back.
    /// After an error the record may still be in the log, but the caller must not start the job.
    ///
    /// # Errors
    /// Fails if the log does not accept the record in time.
    pub async fn admit(&self, record: AdmissionRecord) -> Result<()> {
        let receiver = self.enqueue(QueuedRecord::Admit(record))?;
        if !self.settings.wait_for_log {
            return Ok(());
        }
        await_reply(receiver).await
    }

    /// Writes the end of a job and waits until it is durable.
    ///
    /// # Errors
    /// Fails if the log does not accept the record in time.
    pub async fn end(&self, record: EndedRecord) -> Result<()> {
        let receiver = self.enqueue(QueuedRecord::End(record))?;
        await_reply(receiver).await
    }

    /// Reads the admissions and ends within the window, in the order of the stream and up to its end at
    /// the time of the call.
    ///
    /// # Errors
    /// Fails if the log cannot be read.
    pub async fn recent(&self, window: Duration) -> Result<Vec<AdmissionEvent>> {
        self.read_recent(window).await
    }

    fn enqueue(&self, record: QueuedRecord) -> Result<oneshot::Receiver<Result<()>>> {
        let (reply, receiver) = oneshot::channel();
        let mut queue = self.queue.lock();
        if queue.len() >= self.settings.max_queue {
            return Err(LogError::Unavailable(
                "queue of admissions is full".to_owned(),
            ));
        }
        queue.push_back(Pending {
            record,
            queued_at: Instant::now(),
            reply,
        });
        drop(queue);
        self.wake.notify_one();
        Ok(receiver)
    }
}

async fn await_reply(receiver: oneshot::Receiver<Result<()>>) -> Result<()> {
    match receiver.await {
        Ok(result) => result,
        Err(_) => Err(LogError::Unknown("writer ended".to_owned())),
    }
}
