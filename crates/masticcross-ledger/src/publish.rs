//! Reads and publishes the configuration for an operator's tool, which does not follow the stream.

use std::time::Duration;

use masticcross_log::{Batch, Log, LogError, Offset, Record};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::CONFIG_STREAM;
use crate::append::{append_with_retries, to_json};
use crate::fold::{StreamFold, StreamKind};
use crate::ledger::Result;
use crate::record::{ConfigChange, ConfigRecord};
use crate::state::{ReplicatedConfig, ReplicatedState};

/// Maximum number of records in one read.
const READ_LIMIT: usize = 1024;

/// Time limit for finding the outcome of an append in the stream.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for a snapshot to appear if earlier records were dropped.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay between two reads of the end of the stream.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A proposed configuration that the stream still contains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProposal {
    /// Offset of the record.
    pub offset: Offset,
    /// Unique id of the record.
    pub id: u64,
    /// Author of the document.
    pub author: String,
    /// Version on which the document is based.
    pub base: u64,
    /// Version that the document became; `None` if it was refused.
    pub version: Option<u64>,
}

/// The configuration in force, and the proposals that the stream still contains.
#[derive(Debug, Clone)]
pub struct ConfigHistory {
    /// The configuration in force.
    pub config: ReplicatedConfig,
    /// Proposals, oldest first.
    pub proposals: Vec<ConfigProposal>,
    /// Offset after the last record read.
    pub next: Offset,
    /// False if records of the stream were dropped and no snapshot was found. The configuration in
    /// force can then not be determined from the stream.
    pub is_complete: bool,
}

/// Outcome of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The document is in force as this version.
    Accepted(u64),
    /// Another document that is based on the same version was accepted first.
    Conflict {
        /// Author of the document in force.
        by: String,
        /// Its version.
        version: u64,
    },
    /// The record was not found in the stream in time. It may still be accepted later.
    Unknown,
}

/// Reads the configuration from the log, up to the end of the stream at the time of the call.
///
/// # Errors
/// Fails if the log cannot be read.
pub async fn read_config(log: &dyn Log) -> Result<ConfigHistory> {
    let mut reader = Reader::new();
    reader.read_to_end(log).await?;
    Ok(reader.into_history())
}

/// Publishes a document that is based on version `base`.
///
/// # Errors
/// Fails if the log cannot be read or did not accept the record. In both cases nothing was
/// published.
pub async fn publish(
    log: &dyn Log,
    base: u64,
    author: &str,
    document: &str,
) -> Result<PublishOutcome> {
    let mut reader = Reader::new();
    reader.read_to_snapshot(log).await?;
    if reader.fold.is_complete() && reader.state.config.version != base {
        return Ok(reader.conflict());
    }
    let change = ConfigChange {
        id: rand::random(),
        base,
        author: author.to_owned(),
        document: document.to_owned(),
        restore_at: (!reader.fold.is_complete()).then(|| reader.fold.next()),
    };
    let id = change.id;
    let data = to_json(&ConfigRecord::Change(change))?;
    match append_with_retries(log, CONFIG_STREAM, data).await {
        Ok(_) | Err(LogError::Unknown(_)) => Ok(reader.await_outcome(log, id).await),
        Err(error) => Err(error),
    }
}

/// Reads the stream from its beginning.
struct Reader {
    fold: StreamFold,
    state: ReplicatedState,
    proposals: Vec<ConfigProposal>,
}

impl Reader {
    fn new() -> Self {
        Self {
            fold: StreamFold::new(StreamKind::Config),
            state: ReplicatedState::default(),
            proposals: Vec::new(),
        }
    }

    /// Reads to the end. If records were dropped, reads on until a running process has appended a
    /// snapshot, or the time limit has passed.
    async fn read_to_snapshot(&mut self, log: &dyn Log) -> Result<()> {
        let deadline = Instant::now() + SNAPSHOT_TIMEOUT;
        loop {
            self.read_to_end(log).await?;
            if self.fold.is_complete() || Instant::now() >= deadline {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn read_to_end(&mut self, log: &dyn Log) -> Result<()> {
        loop {
            let from = self.fold.next();
            match log
                .read(CONFIG_STREAM, from, READ_LIMIT, Duration::ZERO)
                .await
            {
                Ok(batch) => {
                    self.apply_batch(&batch);
                    if self.fold.next() >= batch.next || batch.records.is_empty() {
                        return Ok(());
                    }
                }
                Err(LogError::Truncated { first }) => self.fold.handle_truncation(first),
                Err(error) => return Err(error),
            }
        }
    }

    fn apply_batch(&mut self, batch: &Batch) {
        for record in &batch.records {
            let single = Batch {
                first: batch.first,
                next: record.offset + 1,
                records: vec![record.clone()],
            };
            let outcomes = self.fold.apply_batch(&mut self.state, &single);
            let accepted = outcomes
                .last()
                .is_some_and(|o| o.offset == record.offset && o.accepted);
            self.record_proposal(record, accepted);
        }
    }

    fn record_proposal(&mut self, record: &Record, accepted: bool) {
        let Ok(ConfigRecord::Change(change)) = serde_json::from_str(&record.data) else {
            return;
        };
        self.proposals.push(ConfigProposal {
            offset: record.offset,
            id: change.id,
            author: change.author,
            base: change.base,
            version: accepted.then_some(self.state.config.version),
        });
    }

    /// Reads on until the record with the id is found, or the time limit has passed.
    async fn await_outcome(mut self, log: &dyn Log, id: u64) -> PublishOutcome {
        let deadline = Instant::now() + READ_BACK_TIMEOUT;
        loop {
            let _ = self.read_to_end(log).await;
            if let Some(proposal) = self.proposals.iter().find(|p| p.id == id) {
                return proposal
                    .version
                    .map_or_else(|| self.conflict(), PublishOutcome::Accepted);
            }
            if Instant::now() >= deadline {
                return PublishOutcome::Unknown;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn conflict(&self) -> PublishOutcome {
        PublishOutcome::Conflict {
            by: self.state.config.author.clone(),
            version: self.state.config.version,
        }
    }

    fn into_history(self) -> ConfigHistory {
        ConfigHistory {
            config: self.state.config,
            proposals: self.proposals,
            next: self.fold.next(),
            is_complete: self.fold.is_complete(),
        }
    }
}
