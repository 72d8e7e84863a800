//! Snapshots, appended again and again so that the log's retention never takes the whole state.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_log::Offset;
use tokio::time::{Instant, sleep};

use crate::append::{append_patiently, to_json};
use crate::fold::{StreamFold, StreamKind};
use crate::ledger::{Ledger, Result};
use crate::record::{ConfigRecord, PartitionsRecord};

/// Interval at which each process looks whether a snapshot is due.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Time that each process leaves to the one before it to append a snapshot that is due.
const TURN_TIME: Duration = Duration::from_secs(2);

/// What is known about the snapshots of one stream.
struct Watch {
    kind: StreamKind,
    newest: Option<Offset>,
    since: Instant,
    due_since: Option<Instant>,
    unknown_since: Option<Instant>,
}

impl Watch {
    fn new(kind: StreamKind) -> Self {
        Self {
            kind,
            newest: None,
            since: Instant::now(),
            due_since: None,
            unknown_since: None,
        }
    }

    /// Takes over the newest snapshot seen by the reader.
    fn observe(&mut self, newest: Option<Offset>) {
        if newest != self.newest {
            self.newest = newest;
            self.since = Instant::now();
        }
    }
}

/// Keeps snapshots of both streams until the process ends.
pub(crate) async fn keep(ledger: &Ledger) {
    let mut config = Watch::new(StreamKind::Config);
    let mut partitions = Watch::new(StreamKind::Partitions);
    loop {
        sleep(LOOK_INTERVAL).await;
        look(ledger, &mut config).await;
        look(ledger, &mut partitions).await;
    }
}

async fn look(ledger: &Ledger, watch: &mut Watch) {
    let kind = watch.kind;
    watch.observe(ledger.with_fold(kind, StreamFold::snapshot));
    if !ledger.with_fold(kind, StreamFold::is_known) {
        reset_if_lost(ledger, watch).await;
        return;
    }
    watch.unknown_since = None;
    if !is_due(ledger, watch) {
        watch.due_since = None;
        return;
    }
    let due_since = *watch.due_since.get_or_insert_with(Instant::now);
    if due_since.elapsed() < TURN_TIME * rank(ledger) {
        return;
    }
    if let Err(error) = append_snapshot(ledger, kind).await {
        log::warn!(stream = ledger.stream_name(kind), error:%; "snapshot not appended");
    }
}

fn is_due(ledger: &Ledger, watch: &Watch) -> bool {
    let settings = ledger.settings();
    let age = watch.since.elapsed();
    ledger.with_fold(watch.kind, |fold| {
        let changed = fold.changes_since_snapshot() > 0 && age >= settings.snapshot_interval;
        let old = fold.next() > 0 && age >= settings.snapshot_refresh;
        changed || old || fold.needs_snapshot()
    })
}

/// Returns how many members come before this process in the order of names.
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
    append_patiently(ledger.log(), ledger.stream_name(kind), data?).await
}

/// Starts stream `partitions` anew if all its records were dropped and no process has appended a
/// snapshot for some time. A configuration that was lost is left to the operators.
async fn reset_if_lost(ledger: &Ledger, watch: &mut Watch) {
    if watch.kind != StreamKind::Partitions {
        return;
    }
    let since = *watch.unknown_since.get_or_insert_with(Instant::now);
    if since.elapsed() < ledger.settings().reset_after {
        return;
    }
    let stream = ledger.stream_name(watch.kind);
    let Ok(bounds) = ledger.log().bounds(stream).await else {
        return;
    };
    if bounds.next != ledger.next(watch.kind) {
        return;
    }
    let reset = to_json(&PartitionsRecord::Reset { at: bounds.next });
    if let Ok(data) = reset {
        let result = append_patiently(ledger.log(), stream, data).await;
        log::warn!(stream, result:?; "stream started anew");
    }
    watch.unknown_since = None;
}
