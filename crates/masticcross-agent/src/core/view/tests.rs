//! Freshness and growth of the view.

use std::time::Duration;

use masticcross_basics::{Epoch, Partition};
use masticcross_wire::{AgentView, NotStartedReason, PartitionOwner, ViewVersion};
use tokio::time::Instant;

use super::{StartTerms, ViewKeeper};

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

fn check(keeper: &ViewKeeper, now: Instant) -> super::Result<()> {
    let terms = StartTerms {
        partition: Partition(0),
        epoch: Epoch(9),
        registered_at: 1,
    };
    keeper.check(now, &"z1".into(), terms)
}

#[test]
fn a_view_is_fresh_until_its_time_is_over() {
    let keeper = ViewKeeper::default();
    let at = Instant::now();
    keeper.offer(Some(view(1, 1)), Some(at));
    assert_eq!(check(&keeper, at + 1_999 * MS), Ok(()));
    let stale = Err(NotStartedReason::ViewStale);
    assert_eq!(check(&keeper, at + 2_000 * MS), stale);
}

#[test]
fn an_older_answer_does_not_take_freshness_back() {
    let keeper = ViewKeeper::default();
    let at = Instant::now();
    keeper.offer(Some(view(2, 2)), Some(at + 1_000 * MS));
    keeper.offer(Some(view(1, 1)), Some(at));
    assert_eq!(check(&keeper, at + 2_900 * MS), Ok(()));
    assert_eq!(keeper.version(), view(2, 2).version);
}

#[test]
fn an_answer_without_age_brings_its_view_but_no_freshness() {
    let keeper = ViewKeeper::default();
    let at = Instant::now();
    keeper.offer(Some(view(1, 1)), Some(at));
    keeper.offer(Some(view(2, 1)), None);
    assert_eq!(keeper.version(), view(2, 1).version);
    let stale = Err(NotStartedReason::ViewStale);
    assert_eq!(check(&keeper, at + 2_000 * MS), stale);
}

#[test]
fn views_that_go_further_in_different_streams_are_joined() {
    let keeper = ViewKeeper::default();
    let at = Instant::now();
    keeper.offer(Some(view(5, 10)), Some(at));
    keeper.offer(Some(view(6, 9)), Some(at + MS));
    let joined = keeper.view().expect("a view");
    assert_eq!(joined.version, view(6, 10).version);
    assert_eq!(joined.zones_out, view(6, 10).zones_out);
    assert_eq!(joined.partitions, view(6, 10).partitions);
}
