//! Freshness of the view, and merging of views.

use std::time::Duration;

use masticcross_basics::{Epoch, Partition};
use masticcross_wire::{AgentView, NotStartedReason, PartitionOwner, ViewVersion};
use tokio::time::Instant;

use super::{StartConditions, ViewStore};

const MS: Duration = Duration::from_millis(1);

fn view(config: u64, partitions: u64) -> AgentView {
    AgentView {
        version: ViewVersion { config, partitions },
        config_version: config,
        zones_out: vec![format!("out-{config}").as_str().into()],
        freshness_ms: 2_000,
        members: Vec::new(),
        partitions: vec![PartitionOwner {
            member: None,
            epoch: Epoch(partitions),
        }],
        registered: true,
        registered_at: 1,
    }
}

fn check_start(store: &ViewStore, now: Instant) -> super::Result<()> {
    let conditions = StartConditions {
        partition: Partition(0),
        epoch: Epoch(9),
        registered_at: 1,
    };
    store.check_start(now, &"z1".into(), conditions)
}

#[test]
fn view_is_fresh_until_freshness_ms_has_passed() {
    let store = ViewStore::default();
    let at = Instant::now();
    store.apply(Some(view(1, 1)), Some(at));
    assert_eq!(check_start(&store, at + 1_999 * MS), Ok(()));
    let stale = Err(NotStartedReason::ViewStale);
    assert_eq!(check_start(&store, at + 2_000 * MS), stale);
}

#[test]
fn older_answer_does_not_reduce_freshness() {
    let store = ViewStore::default();
    let at = Instant::now();
    store.apply(Some(view(2, 2)), Some(at + 1_000 * MS));
    store.apply(Some(view(1, 1)), Some(at));
    assert_eq!(check_start(&store, at + 2_900 * MS), Ok(()));
    assert_eq!(store.version(), view(2, 2).version);
}

#[test]
fn answer_without_age_updates_the_view_but_not_its_freshness() {
    let store = ViewStore::default();
    let at = Instant::now();
    store.apply(Some(view(1, 1)), Some(at));
    store.apply(Some(view(2, 1)), None);
    assert_eq!(store.version(), view(2, 1).version);
    let stale = Err(NotStartedReason::ViewStale);
    assert_eq!(check_start(&store, at + 2_000 * MS), stale);
}

#[test]
fn views_ahead_in_different_streams_are_merged() {
    let store = ViewStore::default();
    let at = Instant::now();
    store.apply(Some(view(5, 10)), Some(at));
    store.apply(Some(view(6, 9)), Some(at + MS));
    let merged = store.view().expect("a view");
    assert_eq!(merged.version, view(6, 10).version);
    assert_eq!(merged.zones_out, view(6, 10).zones_out);
    assert_eq!(merged.partitions, view(6, 10).partitions);
}
