//! The writer: batches queued records, appends them, and resolves lost replies by reading back.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use masticcross_ledger::{AdmissionBatch, AdmissionRecord};
use masticcross_log::{LogError, Offset};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::rate_limit::RateLimiter;
use super::{Admissions, Pending, QueuedRecord, Result};

/// Retry interval while the log is unavailable.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 512;

/// Approximate size of a record besides the names in it, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 160;

/// Bits of a batch id that number the batches of one incarnation of an entry.
const SEQUENCE_BITS: u32 = 32;

/// When the queue needs an append.
enum AppendDue {
    Now,
    At(Instant),
    Idle,
}

impl Admissions {
    pub(super) async fn write_batches(&self) {
        let mut limiter = RateLimiter::new(self.settings.min_interval, self.settings.burst);
        loop {
            sleep_until(limiter.earliest()).await;
            self.wait_for_work().await;
            limiter.record_start(Instant::now());
            let records = self.take_records();
            let deadline = Instant::now() + self.settings.append_timeout;
            let batch = self.batch(&records);
            let result = self.append_before(&batch, deadline).await;
            for pending in records {
                // The task that waits for the reply may have ended; the record stays valid.
                let _ = pending.reply.send(result.clone());
            }
        }
    }

    async fn wait_for_work(&self) {
        loop {
            match self.due() {
                AppendDue::Now => return,
                AppendDue::At(at) => {
                    tokio::select! {
                        biased;
                        () = self.wake.notified() => {}
                        () = sleep_until(at) => {}
                    }
                }
                AppendDue::Idle => self.wake.notified().await,
            }
        }
    }

    fn due(&self) -> AppendDue {
        let queue = self.queue.lock();
        let Some(first) = queue.front() else {
            return AppendDue::Idle;
        };
        if queue
            .iter()
            .any(|p| matches!(p.record, QueuedRecord::Admit(_)))
        {
            return AppendDue::Now;
        }
        let at = first.queued_at + self.settings.max_end_delay;
        if at <= Instant::now() {
            return AppendDue::Now;
        }
        AppendDue::At(at)
    }

    fn take_records(&self) -> Vec<Pending> {
        let mut queue = self.queue.lock();
        let mut bytes = 0;
        let mut count = 0;
        for pending in queue.iter() {
            bytes += pending.bytes();
            if count > 0 && bytes > self.settings.max_batch_bytes {
                break;
            }
            count += 1;
        }
        queue.drain(..count).collect()
    }

    fn batch(&self, records: &[Pending]) -> AdmissionBatch {
        let mut jobs: Vec<AdmissionRecord> = Vec::new();
        let mut ended = Vec::new();
        for pending in records {
            match &pending.record {
                QueuedRecord::Admit(record) => jobs.push(record.clone()),
                QueuedRecord::End(record) => ended.push(record.clone()),
            }
        }
        AdmissionBatch {
            id: self.next_id(),
            at_ms: unix_millis(),
            jobs,
            ended,
        }
    }

    fn next_id(&self) -> u64 {
        let mut writer = self.writer.lock();
        writer.next_id += 1;
        (self.identity.incarnation << SEQUENCE_BITS) ^ writer.next_id
    }

    async fn append_before(&self, batch: &AdmissionBatch, deadline: Instant) -> Result<()> {
        let data: Arc<str> = serde_json::to_string(batch)
            .map_err(|e| LogError::Malformed(e.to_string()))?
            .into();
        match timeout_at(deadline, self.append_until_resolved(batch.id, &data)).await {
            Ok(result) => result,
            Err(_) => Err(LogError::Unknown("no reply in time".to_owned())),
        }
    }

    async fn append_until_resolved(&self, id: u64, data: &Arc<str>) -> Result<()> {
        loop {
            let start = self.known_end().await?;
            match self.log.append(&self.stream, data.clone()).await {
                Ok(offset) => {
                    self.advance_known_end(offset + 1);
                    return Ok(());
                }
                Err(LogError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(LogError::Unavailable(_)) => sleep(RETRY_INTERVAL).await,
                Err(LogError::Unknown(_)) if !self.settings.read_back => return Ok(()),
                Err(LogError::Unknown(_)) => {
                    if self.contains_batch(id, start).await {
                        return Ok(());
                    }
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns an offset at or before that of the next append.
    async fn known_end(&self) -> Result<Offset> {
        loop {
            if let Some(end) = self.writer.lock().known_end {
                return Ok(end);
            }
            match self.log.bounds(&self.stream).await {
                Ok(bounds) => self.advance_known_end(bounds.next),
                Err(LogError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(LogError::Unavailable(_) | LogError::Unknown(_)) => sleep(RETRY_INTERVAL).await,
                Err(error) => return Err(error),
            }
        }
    }

    fn advance_known_end(&self, end: Offset) {
        let mut writer = self.writer.lock();
        writer.known_end = Some(writer.known_end.map_or(end, |known| known.max(end)));
    }

    /// Returns true if a batch is in the stream between an offset and the current end.
    async fn contains_batch(&self, id: u64, from: Offset) -> bool {
        let mut at = from;
        loop {
            let read = self
                .log
                .read(&self.stream, at, MAX_READ_RECORDS, Duration::ZERO)
                .await;
            match read {
                Ok(batch) => {
                    if batch.records.iter().any(|r| has_id(&r.data, id)) {
                        return true;
                    }
                    let end = batch.end_of_read(at);
                    if end >= batch.next || end == at {
                        return false;
                    }
                    at = end;
                }
                Err(LogError::Truncated { first }) => at = first,
                Err(LogError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
    }
}

impl Pending {
    fn bytes(&self) -> usize {
        let key = match &self.record {
            QueuedRecord::Admit(record) => &record.key,
            QueuedRecord::End(record) => &record.key,
        };
        RECORD_OVERHEAD_BYTES + key.service.len() + key.job.len()
    }
}

fn has_id(data: &str, id: u64) -> bool {
    serde_json::from_str::<AdmissionBatch>(data).is_ok_and(|batch| batch.id == id)
}

/// Returns the wall-clock time, used only to limit the window of recovery.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|d| u64::try_from(d.as_millis()).ok())
        .unwrap_or_default()
}
