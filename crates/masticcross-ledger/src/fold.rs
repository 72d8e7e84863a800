//! The fold of one stream, without input or output: which records have been applied, and how a
//! reader that missed records finds its way back.

use masticcross_config::Times;
use masticcross_log::{Batch, Offset, Record};
use serde::de::DeserializeOwned;

use crate::record::{ConfigRecord, PartitionsRecord};
use crate::state::AgreedState;

/// Records held at most while waiting for a snapshot. Beyond it the oldest are let go; a later
/// snapshot then serves.
const MAX_HELD_RECORDS: usize = 50_000;

/// One of the two streams that make up the agreed state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamKind {
    /// Configuration documents.
    Config,
    /// Members, owners and agents.
    Partitions,
}

/// How far a reader has come.
#[derive(Debug)]
enum Position {
    /// All records before the offset are applied.
    Known(Offset),
    /// Records were dropped unread. All records from `first` on are held until a snapshot of an
    /// offset not before `first` is found.
    Recovering { first: Offset, held: Vec<Record> },
}

/// A record that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// Unique number of the record, if its kind has one.
    pub id: Option<u64>,
    /// Its position.
    pub offset: Offset,
    /// True if it had the effect that it asked for.
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
    /// Creates the fold before the first record.
    #[must_use]
    pub fn new(kind: StreamKind) -> Self {
        Self {
            kind,
            position: Position::Known(0),
            first: 0,
            snapshot: None,
            changes: 0,
            skipped: 0,
            replaced: Vec::new(),
        }
    }

    /// Returns the offset from which to read next.
    #[must_use]
    pub fn next(&self) -> Offset {
        match &self.position {
            Position::Known(applied) => *applied,
            Position::Recovering { first, held } => {
                held.last().map_or(*first, |record| record.offset + 1)
            }
        }
    }

    /// Returns true if the state holds all records up to [`Self::next`].
    #[must_use]
    pub fn is_known(&self) -> bool {
        matches!(self.position, Position::Known(_))
    }

    /// Returns the offset up to which the newest snapshot goes.
    #[must_use]
    pub fn snapshot(&self) -> Option<Offset> {
        self.snapshot
    }

    /// Returns true if a new reader could not build the state from what the stream still keeps.
    #[must_use]
    pub fn needs_snapshot(&self) -> bool {
        self.first > 0 && self.snapshot.is_none_or(|at| at < self.first)
    }

    /// Returns how many records that are in no snapshot were applied.
    #[must_use]
    pub fn changes_since_snapshot(&self) -> u64 {
        self.changes
    }

    /// Returns how many records could not be parsed.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Takes out the times of the configurations that were replaced since the last call.
    pub fn take_replaced(&mut self) -> Vec<Times> {
        std::mem::take(&mut self.replaced)
    }

    /// Learns that records before `first` are not kept any more.
    pub fn truncated(&mut self, first: Offset) {
        self.first = self.first.max(first);
        if self.next() >= first {
            return;
        }
        self.position = Position::Recovering {
            first,
            held: Vec::new(),
        };
    }

    /// Returns true if a read's reply shows that the state holds all that the log held.
    #[must_use]
    pub fn is_caught_up(&self, batch: &Batch) -> bool {
        self.is_known() && self.next() == batch.next
    }

    /// Applies the records of a read that began at [`Self::next`] or before. Returns the records
    /// applied or passed over, in order.
    pub fn take(&mut self, state: &mut AgreedState, batch: &Batch) -> Vec<Applied> {
        let mut taken = Vec::new();
        for record in &batch.records {
            if record.offset == self.next() {
                self.take_record(state, record, &mut taken);
            }
        }
        taken
    }

    fn take_record(&mut self, state: &mut AgreedState, record: &Record, taken: &mut Vec<Applied>) {
        match &mut self.position {
            Position::Known(applied) => {
                *applied = record.offset + 1;
                let outcome = self.apply(state, record);
                taken.push(outcome);
            }
            Position::Recovering { first, held } => {
                held.push(record.clone());
                if held.len() > MAX_HELD_RECORDS {
                    held.drain(..MAX_HELD_RECORDS / 2);
                    *first = held[0].offset;
                }
                self.try_recover(state, record, taken);
            }
        }
    }

    /// Ends the recovery if the newest record carries or makes a whole state.
    fn try_recover(&mut self, state: &mut AgreedState, newest: &Record, taken: &mut Vec<Applied>) {
        let Position::Recovering { first, held } = &mut self.position else {
            return;
        };
        let Some(from) = whole_state(self.kind, state, newest, *first) else {
            return;
        };
        let rest: Vec<Record> = std::mem::take(held)
            .into_iter()
            .filter(|record| record.offset >= from)
            .collect();
        self.position = Position::Known(from);
        for record in &rest {
            self.take_record(state, record, taken);
        }
    }

    fn apply(&mut self, state: &mut AgreedState, record: &Record) -> Applied {
        let (id, accepted) = match self.kind {
            StreamKind::Config => self.apply_config(state, record),
            StreamKind::Partitions => self.apply_partitions(state, record),
        };
        Applied {
            id,
            offset: record.offset,
            accepted,
        }
    }

    fn apply_config(&mut self, state: &mut AgreedState, record: &Record) -> (Option<u64>, bool) {
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
                self.note_snapshot(snapshot.at, record.offset);
                (None, false)
            }
            None => (None, false),
        }
    }

    fn apply_partitions(
        &mut self,
        state: &mut AgreedState,
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
                self.note_snapshot(snapshot.at, record.offset);
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

    fn note_snapshot(&mut self, at: Offset, offset: Offset) {
        self.snapshot = self.snapshot.max(Some(at));
        self.changes = offset.saturating_sub(at);
    }

    fn parse<T: DeserializeOwned>(&mut self, record: &Record) -> Option<T> {
        match serde_json::from_str(&record.data) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.skipped += 1;
                log::warn!(offset = record.offset, error:%; "record skipped");
                None
            }
        }
    }
}

/// Puts a whole state in place if a record found during a recovery carries one, and returns the
/// offset from which records are to be applied to it.
fn whole_state(
    kind: StreamKind,
    state: &mut AgreedState,
    record: &Record,
    first: Offset,
) -> Option<Offset> {
    let range = first..=record.offset;
    match kind {
        StreamKind::Config => match serde_json::from_str(&record.data).ok()? {
            ConfigRecord::Snapshot(snapshot)
                if range.contains(&snapshot.at) && snapshot.version >= state.config.version =>
            {
                state.adopt_config(&snapshot);
                Some(snapshot.at)
            }
            ConfigRecord::Change(change) if change.restore_at == Some(record.offset) => {
                Some(record.offset)
            }
            _ => None,
        },
        StreamKind::Partitions => match serde_json::from_str(&record.data).ok()? {
            PartitionsRecord::Snapshot(snapshot) if range.contains(&snapshot.at) => {
                state.adopt_partitions(&snapshot);
                Some(snapshot.at)
            }
            PartitionsRecord::Reset { at } if at == record.offset => Some(at),
            _ => None,
        },
    }
}
