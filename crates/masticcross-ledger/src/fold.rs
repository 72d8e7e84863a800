//! The fold of one stream, without I/O: tracks which records have been applied, and recovers the
//! state from a snapshot if records were dropped before they were read.

use masticcross_config::Times;
use masticcross_log::{Batch, Offset, Record};
use serde::de::DeserializeOwned;

use crate::record::{ConfigRecord, PartitionsRecord};
use crate::state::ReplicatedState;

/// Maximum number of records buffered while waiting for a snapshot. Beyond it the older half is
/// dropped, and the recovery needs a later snapshot.
const MAX_BUFFERED_RECORDS: usize = 50_000;

/// One of the two streams that make up the replicated state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamKind {
    /// Configuration documents.
    Config,
    /// Members, owners and agents.
    Partitions,
}

/// Progress of a reader.
#[derive(Debug)]
enum Position {
    /// All records before the offset are applied.
    Complete(Offset),
    /// Records were dropped before they were read. All records from `first` on are buffered until
    /// a snapshot is found that was taken at or after `first`.
    Recovering {
        first: Offset,
        buffered: Vec<Record>,
    },
}

/// Outcome of a record that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordOutcome {
    /// Unique id of the record, if its kind has one.
    pub id: Option<u64>,
    /// Offset of the record.
    pub offset: Offset,
    /// True if the change in the record took effect.
    pub accepted: bool,
}

/// The fold of one stream.
#[derive(Debug)]
pub struct StreamFold {
    kind: StreamKind,
    position: Position,
    first: Offset,
    snapshot: Option<Offset>,
    changes: u64,
    skipped: u64,
    replaced: Vec<Times>,
}

impl StreamFold {
    /// Creates a fold to which no record was applied.
    #[must_use]
    pub fn new(kind: StreamKind) -> Self {
        Self {
            kind,
            position: Position::Complete(0),
            first: 0,
            snapshot: None,
            changes: 0,
            skipped: 0,
            replaced: Vec::new(),
        }
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next(&self) -> Offset {
        match &self.position {
            Position::Complete(applied) => *applied,
            Position::Recovering { first, buffered } => {
                buffered.last().map_or(*first, |record| record.offset + 1)
            }
        }
    }

    /// Returns true if all records before [`Self::next`] are applied to the state.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.position, Position::Complete(_))
    }

    /// Returns the offset before which the newest snapshot includes all records.
    #[must_use]
    pub fn snapshot(&self) -> Option<Offset> {
        self.snapshot
    }

    /// Returns true if a new reader could not build the state from the records left in the stream.
    #[must_use]
    pub fn needs_snapshot(&self) -> bool {
        self.first > 0 && self.snapshot.is_none_or(|at| at < self.first)
    }

    /// Returns the number of applied records that are not in any snapshot.
    #[must_use]
    pub fn changes_since_snapshot(&self) -> u64 {
        self.changes
    }

    /// Returns the number of records that could not be parsed.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Removes and returns the times of the configurations that were replaced since the last call.
    pub fn take_replaced(&mut self) -> Vec<Times> {
        std::mem::take(&mut self.replaced)
    }

    /// Handles the removal of the records before `first` from the stream.
    pub fn handle_truncation(&mut self, first: Offset) {
        self.first = self.first.max(first);
        if self.next() >= first {
            return;
        }
        self.position = Position::Recovering {
            first,
            buffered: Vec::new(),
        };
    }

    /// Returns true if the result of a read shows that all records of the stream are applied.
    #[must_use]
    pub fn is_caught_up(&self, batch: &Batch) -> bool {
        self.is_complete() && self.next() == batch.next
    }

    /// Applies the records of a read that starts at [`Self::next`] or before. Returns the outcomes
    /// of the records that were applied or skipped, in order.
    pub fn apply_batch(
        &mut self,
        state: &mut ReplicatedState,
        batch: &Batch,
    ) -> Vec<RecordOutcome> {
        let mut outcomes = Vec::new();
        for record in &batch.records {
            if record.offset == self.next() {
                self.process_record(state, record, &mut outcomes);
            }
        }
        outcomes
    }

    fn process_record(
        &mut self,
        state: &mut ReplicatedState,
        record: &Record,
        outcomes: &mut Vec<RecordOutcome>,
    ) {
        match &mut self.position {
            Position::Complete(applied) => {
                *applied = record.offset + 1;
                let outcome = self.apply(state, record);
                outcomes.push(outcome);
            }
            Position::Recovering { first, buffered } => {
                buffered.push(record.clone());
                if buffered.len() > MAX_BUFFERED_RECORDS {
                    buffered.drain(..MAX_BUFFERED_RECORDS / 2);
                    *first = buffered[0].offset;
                }
                self.try_recover(state, record, outcomes);
            }
        }
    }

    /// Ends the recovery if the newest record provides a complete state.
    fn try_recover(
        &mut self,
        state: &mut ReplicatedState,
        newest: &Record,
        outcomes: &mut Vec<RecordOutcome>,
    ) {
        let Position::Recovering { first, buffered } = &mut self.position else {
            return;
        };
        let Some(from) = restore_state(self.kind, state, newest, *first) else {
            return;
        };
        let remaining: Vec<Record> = std::mem::take(buffered)
            .into_iter()
            .filter(|record| record.offset >= from)
            .collect();
        self.position = Position::Complete(from);
        for record in &remaining {
            self.process_record(state, record, outcomes);
        }
    }

    fn apply(&mut self, state: &mut ReplicatedState, record: &Record) -> RecordOutcome {
        let (id, accepted) = match self.kind {
            StreamKind::Config => self.apply_config(state, record),
            StreamKind::Partitions => self.apply_partitions(state, record),
        };
        RecordOutcome {
            id,
            offset: record.offset,
            accepted,
        }
    }

    fn apply_config(
        &mut self,
        state: &mut ReplicatedState,
        record: &Record,
    ) -> (Option<u64>, bool) {
        state.version.config = record.offset + 1;
        match self.parse(record) {
            Some(ConfigRecord::Change(change)) => {
                let before = state.config.document.clone();
                let accepted = state.apply_config(record.offset, &change);
                if accepted && let Some(document) = before {
                    self.replaced.push(document.times.clone());
                }
                self.changes += u64::from(accepted);
                (Some(change.id), accepted)
            }
            Some(ConfigRecord::Snapshot(snapshot)) => {
                self.record_snapshot(snapshot.at, record.offset);
                (None, false)
            }
            None => (None, false),
        }
    }

    fn apply_partitions(
        &mut self,
        state: &mut ReplicatedState,
        record: &Record,
    ) -> (Option<u64>, bool) {
        state.version.partitions = record.offset + 1;
        match self.parse(record) {
            Some(PartitionsRecord::Changes { id, changes }) => {
                for change in &changes {
                    state.apply_partitions(record.offset, change);
                }
                self.changes += 1;
                (Some(id), true)
            }
            Some(PartitionsRecord::Snapshot(snapshot)) => {
                self.record_snapshot(snapshot.at, record.offset);
                (None, false)
            }
            Some(PartitionsRecord::Reset { at }) => {
                let accepted = at == record.offset;
                if accepted {
                    state.reset_partitions(at);
                    self.changes += 1;
                }
                (None, accepted)
            }
            None => (None, false),
        }
    }

    fn record_snapshot(&mut self, at: Offset, offset: Offset) {
        self.snapshot = self.snapshot.max(Some(at));
        self.changes = offset.saturating_sub(at);
    }

    fn parse<T: DeserializeOwned>(&mut self, record: &Record) -> Option<T> {
        match serde_json::from_str(&record.data) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.skipped += 1;
                log::warn!(offset = record.offset, error:%; "record skipped: cannot be parsed");
                None
            }
        }
    }
}

/// Restores the state if a record read during a recovery provides a complete one. Returns the
/// offset of the first record to apply to it.
fn restore_state(
    kind: StreamKind,
    state: &mut ReplicatedState,
    record: &Record,
    first: Offset,
) -> Option<Offset> {
    let range = first..=record.offset;
    match kind {
        StreamKind::Config => match serde_json::from_str(&record.data).ok()? {
            ConfigRecord::Snapshot(snapshot)
                if range.contains(&snapshot.at) && snapshot.version >= state.config.version =>
            {
                state.apply_config_snapshot(&snapshot);
                Some(snapshot.at)
            }
            ConfigRecord::Change(change) if change.restore_at == Some(record.offset) => {
                Some(record.offset)
            }
            _ => None,
        },
        StreamKind::Partitions => match serde_json::from_str(&record.data).ok()? {
            PartitionsRecord::Snapshot(snapshot) if range.contains(&snapshot.at) => {
                state.apply_partitions_snapshot(&snapshot);
                Some(snapshot.at)
            }
            PartitionsRecord::Reset { at } if at == record.offset => Some(at),
            _ => None,
        },
    }
}
