//! Appends changes. If the reply to an append is lost, the record is looked for in the stream.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticcross_log::{Log, LogError, Offset};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use twox_hash::XxHash3_64;

use crate::fold::RecordOutcome;
use crate::ledger::{LedgerIdentity, Result};
use crate::record::{PartitionsChange, PartitionsRecord};

/// Time limit for the reply to an append.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for a record to appear in the stream after the reply to its append was lost.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of retries of a throttled append.
const MAX_THROTTLED_RETRIES: u32 = 10;

/// Maximum delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Appends records with unique ids, and matches them with the records that the reader finds in the
/// stream.
#[derive(Debug)]
pub(crate) struct Appender {
    origin: u64,
    count: AtomicU64,
    pending: Mutex<FxHashMap<u64, oneshot::Sender<Offset>>>,
}

impl Appender {
    /// Creates the appender of a process. The ids differ between processes and their incarnations.
    pub(crate) fn new(identity: &LedgerIdentity, seed: u64) -> Self {
        let mut hash = XxHash3_64::with_seed(seed);
        std::hash::Hasher::write(&mut hash, identity.name.as_bytes());
        std::hash::Hasher::write(&mut hash, &identity.incarnation.to_le_bytes());
        Self {
            origin: std::hash::Hasher::finish(&hash),
            count: AtomicU64::new(0),
            pending: Mutex::default(),
        }
    }

    fn next_id(&self) -> u64 {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        XxHash3_64::oneshot_with_seed(self.origin, &count.to_le_bytes())
    }

    /// Completes the pending appends whose records were read.
    pub(crate) fn complete_pending(&self, outcomes: &[RecordOutcome]) {
        let mut pending = self.pending.lock();
        if pending.is_empty() {
            return;
        }
        for record in outcomes {
            if let Some(tx) = record.id.and_then(|id| pending.remove(&id)) {
                let _ = tx.send(record.offset);
            }
        }
    }

    /// Appends changes as one record, and returns its offset once the record is known to be in the
    /// stream.
    pub(crate) async fn append(
        &self,
        log: &dyn Log,
        stream: &str,
        changes: Vec<PartitionsChange>,
    ) -> Result<Offset> {
        let id = self.next_id();
        let record = PartitionsRecord::Changes { id, changes };
        let data = to_json(&record)?;
        let (tx, mut rx) = oneshot::channel();
        self.pending.lock().insert(id, tx);
        let _cleanup = PendingGuard { appender: self, id };
        tokio::select! {
            biased;
            Ok(offset) = &mut rx => Ok(offset),
            result = append_with_retries(log, stream, data) => match result {
                Err(LogError::Unknown(reason)) => await_read_back(rx, reason).await,
                result => result,
            },
        }
    }
}

/// Removes an append from the pending ones when its future completes or is dropped.
struct PendingGuard<'a> {
    appender: &'a Appender,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.appender.pending.lock().remove(&self.id);
    }
}

async fn await_read_back(rx: oneshot::Receiver<Offset>, reason: String) -> Result<Offset> {
    match timeout(READ_BACK_TIMEOUT, rx).await {
        Ok(Ok(offset)) => Ok(offset),
        _ => Err(LogError::Unknown(reason)),
    }
}

/// Encodes a record as JSON.
pub(crate) fn to_json(record: &impl serde::Serialize) -> Result<Arc<str>> {
    let text = serde_json::to_string(record)
        .map_err(|e| LogError::Unavailable(format!("record cannot be encoded: {e}")))?;
    Ok(Arc::from(text))
}

/// Appends a record. Retries while the log throttles the append.
pub(crate) async fn append_with_retries(
    log: &dyn Log,
    stream: &str,
    data: Arc<str>,
) -> Result<Offset> {
    let mut retries = 0;
    loop {
        match append_once(log, stream, data.clone()).await {
            Err(LogError::Throttled { retry_after }) if retries < MAX_THROTTLED_RETRIES => {
                retries += 1;
                sleep(retry_after.min(MAX_RETRY_DELAY)).await;
            }
            result => return result,
        }
    }
}

async fn append_once(log: &dyn Log, stream: &str, data: Arc<str>) -> Result<Offset> {
    let reply = timeout(REPLY_TIMEOUT, log.append(stream, data)).await;
    match reply {
        Err(_) => Err(LogError::Unknown("append timed out".to_owned())),
        Ok(Err(LogError::Malformed(reason))) => Err(LogError::Unknown(reason)),
        Ok(result) => result,
    }
}
