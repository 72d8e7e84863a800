//! The writer: groups what waits, appends it, and settles lost replies by reading back.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use masticcross_ledger::{AdmissionBatch, AdmissionRecord};
use masticcross_log::{LogError, Offset};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::pace::Pace;
use super::{Admissions, Item, Pending, Result};

/// Pause after the log refused a call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Most records in one read.
const READ_LIMIT: usize = 512;

/// Bytes of a record besides the names in it, about.
const RECORD_BYTES: usize = 160;

/// Bits of a record's id that number the records of one start of an entry.
const ID_BITS: u32 = 32;

/// Whether the queue asks for an append.
enum Due {
    Now,
    At(Instant),
    Idle,
}

impl Admissions {
    pub(super) async fn write_groups(&self) {
        let mut pace = Pace::new(self.settings.min_interval, self.settings.burst);
        loop {
            sleep_until(pace.earliest()).await;
            self.wait_for_work().await;
            pace.started(Instant::now());
            let group = self.take_group();
            let deadline = Instant::now() + self.settings.give_up_after;
            let batch = self.batch(&group);
            let result = self.append_by(&batch, deadline).await;
            for pending in group {
                // The submission may be gone; the record stays valid.
                let _ = pending.done.send(result.clone());
            }
        }
    }

    async fn wait_for_work(&self) {
        loop {
            match self.due() {
                Due::Now => return,
                Due::At(at) => {
                    tokio::select! {
                        biased;
                        () = self.wake.notified() => {}
                        () = sleep_until(at) => {}
                    }
                }
                Due::Idle => self.wake.notified().await,
            }
        }
    }

    fn due(&self) -> Due {
        let queue = self.queue.lock();
        let Some(first) = queue.front() else {
            return Due::Idle;
        };
        if queue.iter().any(|p| matches!(p.item, Item::Admit(_))) {
            return Due::Now;
        }
        let at = first.since + self.settings.ends_flush;
        if at <= Instant::now() {
            return Due::Now;
        }
        Due::At(at)
    }

    fn take_group(&self) -> Vec<Pending> {
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

    fn batch(&self, group: &[Pending]) -> AdmissionBatch {
        let mut jobs: Vec<AdmissionRecord> = Vec::new();
        let mut ended = Vec::new();
        for pending in group {
            match &pending.item {
                Item::Admit(record) => jobs.push(record.clone()),
                Item::End(record) => ended.push(record.clone()),
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
        (self.identity.incarnation << ID_BITS) ^ writer.next_id
    }

    async fn append_by(&self, batch: &AdmissionBatch, deadline: Instant) -> Result<()> {
        let data: Arc<str> = serde_json::to_string(batch)
            .map_err(|e| LogError::Malformed(e.to_string()))?
            .into();
        match timeout_at(deadline, self.append_until_settled(batch.id, &data)).await {
            Ok(result) => result,
            Err(_) => Err(LogError::Unknown("no reply in time".to_owned())),
        }
    }

    async fn append_until_settled(&self, id: u64, data: &Arc<str>) -> Result<()> {
        loop {
            let before = self.known_end().await?;
            match self.log.append(&self.stream, data.clone()).await {
                Ok(offset) => {
                    self.learn_end(offset + 1);
                    return Ok(());
                }
                Err(LogError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(LogError::Unavailable(_)) => sleep(RETRY_PAUSE).await,
                Err(LogError::Unknown(_)) if !self.settings.read_back => return Ok(()),
                Err(LogError::Unknown(_)) => {
                    if self.find(id, before).await {
                        return Ok(());
                    }
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns an offset at or before the place of the next append.
    async fn known_end(&self) -> Result<Offset> {
        loop {
            if let Some(end) = self.writer.lock().known_end {
                return Ok(end);
            }
            match self.log.bounds(&self.stream).await {
                Ok(bounds) => self.learn_end(bounds.next),
                Err(LogError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(LogError::Unavailable(_) | LogError::Unknown(_)) => sleep(RETRY_PAUSE).await,
                Err(error) => return Err(error),
            }
        }
    }

    fn learn_end(&self, end: Offset) {
        let mut writer = self.writer.lock();
        writer.known_end = Some(writer.known_end.map_or(end, |known| known.max(end)));
    }

    /// Looks for a record from an offset to the present end of the stream.
    async fn find(&self, id: u64, from: Offset) -> bool {
        let mut at = from;
        loop {
            let read = self
                .log
                .read(&self.stream, at, READ_LIMIT, Duration::ZERO)
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
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }
}

impl Pending {
    fn bytes(&self) -> usize {
        let key = match &self.item {
            Item::Admit(record) => &record.key,
            Item::End(record) => &record.key,
        };
        RECORD_BYTES + key.service.len() + key.job.len()
    }
}

fn has_id(data: &str, id: u64) -> bool {
    serde_json::from_str::<AdmissionBatch>(data).is_ok_and(|batch| batch.id == id)
}

/// Returns the wall clock, for ending the window only.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|d| u64::try_from(d.as_millis()).ok())
        .unwrap_or_default()
}
