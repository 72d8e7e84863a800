//! Appending changes, with lost replies settled by reading back.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticcross_log::{Log, LogError, Offset};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use twox_hash::XxHash3_64;

use crate::fold::Applied;
use crate::ledger::{LedgerIdentity, Result};
use crate::record::{PartitionsChange, PartitionsRecord};

/// Longest wait for the reply to an append.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for a record whose reply was lost to show up in the stream.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Times that a throttled append is repeated.
const THROTTLED_RETRIES: u32 = 10;

/// Longest wait between two repeats.
const LONGEST_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Appends records with unique numbers and learns from the reader which of them arrived.
#[derive(Debug)]
pub(crate) struct Appender {
    origin: u64,
    count: AtomicU64,
    waiting: Mutex<FxHashMap<u64, oneshot::Sender<Offset>>>,
}

impl Appender {
    /// Creates the appender of a process. Numbers differ between processes and their starts.
    pub(crate) fn new(identity: &LedgerIdentity, seed: u64) -> Self {
        let mut hash = XxHash3_64::with_seed(seed);
        std::hash::Hasher::write(&mut hash, identity.name.as_bytes());
        std::hash::Hasher::write(&mut hash, &identity.incarnation.to_le_bytes());
        Self {
            origin: std::hash::Hasher::finish(&hash),
            count: AtomicU64::new(0),
            waiting: Mutex::default(),
        }
    }

    fn next_id(&self) -> u64 {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        XxHash3_64::oneshot_with_seed(self.origin, &count.to_le_bytes())
    }

    /// Learns which records were read.
    pub(crate) fn seen(&self, applied: &[Applied]) {
        let mut waiting = self.waiting.lock();
        if waiting.is_empty() {
            return;
        }
        for record in applied {
            if let Some(tx) = record.id.and_then(|id| waiting.remove(&id)) {
                let _ = tx.send(record.offset);
            }
        }
    }

    /// Appends changes as one record and waits until it is certain that they are in the stream.
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
        self.waiting.lock().insert(id, tx);
        let _cleanup = Forget { appender: self, id };
        tokio::select! {
            biased;
            Ok(offset) = &mut rx => Ok(offset),
            result = append_patiently(log, stream, data) => match result {
                Err(LogError::Unknown(reason)) => settle(rx, reason).await,
                result => result,
            },
        }
    }
}

/// Takes an append off the list of awaited ones when its future ends or is dropped.
struct Forget<'a> {
    appender: &'a Appender,
    id: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.appender.waiting.lock().remove(&self.id);
    }
}

async fn settle(rx: oneshot::Receiver<Offset>, reason: String) -> Result<Offset> {
    match timeout(SETTLE_TIMEOUT, rx).await {
        Ok(Ok(offset)) => Ok(offset),
        _ => Err(LogError::Unknown(reason)),
    }
}

/// Encodes a record.
pub(crate) fn to_json(record: &impl serde::Serialize) -> Result<Arc<str>> {
    let text = serde_json::to_string(record)
        .map_err(|e| LogError::Unavailable(format!("record cannot be encoded: {e}")))?;
    Ok(Arc::from(text))
}

/// Appends a record. Waits and repeats while the log's rate is used up.
pub(crate) async fn append_patiently(
    log: &dyn Log,
    stream: &str,
    data: Arc<str>,
) -> Result<Offset> {
    let mut retries = 0;
    loop {
        match append_once(log, stream, data.clone()).await {
            Err(LogError::Throttled { retry_after }) if retries < THROTTLED_RETRIES => {
                retries += 1;
                sleep(retry_after.min(LONGEST_RETRY_WAIT)).await;
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
