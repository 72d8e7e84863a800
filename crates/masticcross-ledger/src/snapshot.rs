//! Appends snapshots regularly, so that the state survives when the log drops old records.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_log::Offset;
use tokio::time::{Instant, sleep};

use crate::append::{append_with_retries, to_json};
use crate::fold::{StreamFold, StreamKind};
use crate::ledger::{Ledger, Result};
use crate::record::{ConfigRecord, PartitionsRecord};

/// Interval at which each process checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Additional delay of each process, by its rank among the members, before it appends a snapshot
/// that is due. It gives the processes of lower rank time to append the snapshot first.
const DELAY_PER_RANK: Duration = Duration::from_secs(2);

/// State of the snapshots of one stream.
struct SnapshotState {
    kind: StreamKind,
    newest: Option<Offset>,
    newest_since: Instant,
    due_since: Option<Instant>,
    incomplete_since: Option<Instant>,
}

impl SnapshotState {
    fn new(kind: StreamKind) -> Self {
        Self {
            kind,
            newest: None,
            newest_since: Instant::now(),
            due_since: None,
            incomplete_since: None,
        }
    }

    /// Updates the newest snapshot that the reader has found.
    fn set_newest(&mut self, newest: Option<Offset>) {
        if newest != self.newest {
            self.newest = newest;
            self.newest_since = Instant::now();
        }
    }
}

/// Appends snapshots of both streams when they are due, until the process ends.
pub(crate) async fn run(ledger: &Ledger) {
    let mut config = SnapshotState::new(StreamKind::Config);
    let mut partitions = SnapshotState::new(StreamKind::Partitions);
    loop {
        sleep(CHECK_INTERVAL).await;
        check_stream(ledger, &mut config).await;
        check_stream(ledger, &mut partitions).await;
    }
}

async fn check_stream(ledger: &Ledger, snapshots: &mut SnapshotState) {
    let kind = snapshots.kind;
    snapshots.set_newest(ledger.with_fold(kind, StreamFold::snapshot));
    if !ledger.with_fold(kind, StreamFold::is_complete) {
        reset_if_lost(ledger, snapshots).await;
        return;
    }
    snapshots.incomplete_since = None;
    if !is_due(ledger, snapshots) {
        snapshots.due_since = None;
        return;
    }
    let due_since = *snapshots.due_since.get_or_insert_with(Instant::now);
    if due_since.elapsed() < DELAY_PER_RANK * rank(ledger) {
        return;
    }
    if let Err(error) = append_snapshot(ledger, kind).await {
        log::warn!(stream = ledger.stream_name(kind), error:%; "cannot append a snapshot");
    }
}

fn is_due(ledger: &Ledger, snapshots: &SnapshotState) -> bool {
    let settings = ledger.settings();
    let age = snapshots.newest_since.elapsed();
    ledger.with_fold(snapshots.kind, |fold| {
        let changed = fold.changes_since_snapshot() > 0 && age >= settings.snapshot_interval;
        let old = fold.next() > 0 && age >= settings.snapshot_refresh;
        changed || old || fold.needs_snapshot()
    })
}

/// Returns the number of members whose names come before that of this process.
fn rank(ledger: &Ledger) -> u32 {
    let state = ledger.state();
    let before = state.members.range::<Name, _>(..&ledger.identity().name);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

async fn append_snapshot(ledger: &Ledger, kind: StreamKind) -> Result<Offset> {
    let state = ledger.state();
    let data = match kind {
        StreamKind::Config => to_json(&ConfigRecord::Snapshot(state.config_snapshot())),
        StreamKind::Partitions => to_json(&PartitionsRecord::Snapshot(state.partitions_snapshot())),
    };
    append_with_retries(ledger.log(), ledger.stream_name(kind), data?).await
}

/// Resets stream `partitions` if all its records were dropped and no process has appended a
/// snapshot for some time. A lost configuration must be restored by the operators.
async fn reset_if_lost(ledger: &Ledger, snapshots: &mut SnapshotState) {
    if snapshots.kind != StreamKind::Partitions {
        return;
    }
    let since = *snapshots.incomplete_since.get_or_insert_with(Instant::now);
    if since.elapsed() < ledger.settings().reset_after {
        return;
    }
    let stream = ledger.stream_name(snapshots.kind);
    let Ok(bounds) = ledger.log().bounds(stream).await else {
        return;
    };
    if bounds.next != ledger.next(snapshots.kind) {
        return;
    }
    let reset = to_json(&PartitionsRecord::Reset { at: bounds.next });
    if let Ok(data) = reset {
        let result = append_with_retries(ledger.log(), stream, data).await;
        log::warn!(stream, result:?; "stream reset");
    }
    snapshots.incomplete_since = None;
}
