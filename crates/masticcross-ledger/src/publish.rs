//! Reading and publishing the configuration from an operator's tool, which follows no stream.

use std::time::Duration;

use masticcross_log::{Batch, Log, LogError, Offset, Record};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::CONFIG_STREAM;
use crate::append::{append_patiently, to_json};
use crate::fold::{StreamFold, StreamKind};
use crate::ledger::Result;
use crate::record::{ConfigChange, ConfigRecord};
use crate::state::{AgreedConfig, AgreedState};

/// Most records in one read.
const READ_LIMIT: usize = 1024;

/// Longest time for which the outcome of an append is looked for.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a snapshot if earlier records were dropped.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(10);

/// Pause between two looks.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// A proposed configuration that the stream still keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProposal {
    /// Position in the stream.
    pub offset: Offset,
    /// Unique number of the record.
    pub id: u64,
    /// Who published it.
    pub author: String,
    /// Version that it was made from.
    pub base: u64,
    /// Version that it became; none if it was refused.
    pub version: Option<u64>,
}

/// The configuration in force, and the proposals that the stream still keeps.
#[derive(Debug, Clone)]
pub struct ConfigHistory {
    /// The configuration in force.
    pub config: AgreedConfig,
    /// Proposals, oldest first.
    pub proposals: Vec<ConfigProposal>,
    /// Offset after the last record read.
    pub next: Offset,
    /// False if the stream's records were dropped and no snapshot was found: the configuration in
    /// force is then not known to anybody who has not seen it before.
    pub known: bool,
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The document is in force as this version.
    Accepted(u64),
    /// Another document was accepted on the same base first.
    Conflict {
        /// Who published the document in force.
        by: String,
        /// Its version.
        version: u64,
    },
    /// The log did not tell in time whether it took the record. It may still be accepted later.
    Unknown,
}

/// Reads the configuration from the log, to the end of the stream at the time of the call.
///
/// # Errors
/// Fails if the log cannot be read.
pub async fn read_config(log: &dyn Log) -> Result<ConfigHistory> {
    let mut reader = Reader::new();
    reader.read_to_end(log).await?;
    Ok(reader.into_history())
}

/// Publishes a document that was made from version `base`.
///
/// # Errors
/// Fails if the log cannot be read or did not take the record; then nothing was published.
pub async fn publish(
    log: &dyn Log,
    base: u64,
    author: &str,
    document: &str,
) -> Result<PublishOutcome> {
    let mut reader = Reader::new();
    reader.read_to_snapshot(log).await?;
    if reader.fold.is_known() && reader.state.config.version != base {
        return Ok(reader.conflict());
    }
    let change = ConfigChange {
        id: rand::random(),
        base,
        author: author.to_owned(),
        document: document.to_owned(),
        restore_at: (!reader.fold.is_known()).then(|| reader.fold.next()),
    };
    let id = change.id;
    let data = to_json(&ConfigRecord::Change(change))?;
    match append_patiently(log, CONFIG_STREAM, data).await {
        Ok(_) | Err(LogError::Unknown(_)) => Ok(reader.settle(log, id).await),
        Err(error) => Err(error),
    }
}

/// Reads the stream from its beginning.
struct Reader {
    fold: StreamFold,
    state: AgreedState,
    proposals: Vec<ConfigProposal>,
}

impl Reader {
    fn new() -> Self {
        Self {
            fold: StreamFold::new(StreamKind::Config),
            state: AgreedState::default(),
            proposals: Vec::new(),
        }
    }

    /// Reads to the end, and on until a running process has appended the snapshot that is missing.
    async fn read_to_snapshot(&mut self, log: &dyn Log) -> Result<()> {
        let deadline = Instant::now() + SNAPSHOT_WAIT;
        loop {
            self.read_to_end(log).await?;
            if self.fold.is_known() || Instant::now() >= deadline {
                return Ok(());
            }
            sleep(SETTLE_PAUSE).await;
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
                    self.take(&batch);
                    if self.fold.next() >= batch.next || batch.records.is_empty() {
                        return Ok(());
                    }
                }
                Err(LogError::Truncated { first }) => self.fold.truncated(first),
                Err(error) => return Err(error),
            }
        }
    }

    fn take(&mut self, batch: &Batch) {
        for record in &batch.records {
            let one = Batch {
                first: batch.first,
                next: record.offset + 1,
                records: vec![record.clone()],
            };
            let taken = self.fold.take(&mut self.state, &one);
            let accepted = taken
                .last()
                .is_some_and(|a| a.offset == record.offset && a.accepted);
            self.note(record, accepted);
        }
    }

    fn note(&mut self, record: &Record, accepted: bool) {
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

    /// Reads on until the record with the number shows up.
    async fn settle(mut self, log: &dyn Log, id: u64) -> PublishOutcome {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
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
            sleep(SETTLE_PAUSE).await;
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
            known: self.fold.is_known(),
        }
    }
}
