//! Members join, leave and fail; every partition has at most one owner at a time.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Partition;
use masticcross_basics::timeline::Timestamp;
use masticcross_wire::{Frame, Ping, Pong, ViewVersion, codec};
use support::cluster::Cluster;
use support::node::EntrySettings;
use tokio::time::{Instant, sleep};

/// Maximum time from a kill until all partitions are claimed again.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

async fn start(entries: usize) -> Cluster {
    let cluster = Cluster::start(entries, 0, EntrySettings::default()).await;
    cluster.wait_until_ready().await;
    sleep(Duration::from_secs(10)).await;
    cluster
}

/// Returns the owners of each partition among the running entries, according to each entry's own
/// view.
fn owners(cluster: &Cluster) -> BTreeMap<Partition, Vec<usize>> {
    let mut owners: BTreeMap<Partition, Vec<usize>> = BTreeMap::new();
    for (index, node) in &cluster.entries {
        for partition in Partition::all() {
            if node.ledger.owned_epoch(partition).is_some() {
                owners.entry(partition).or_default().push(*index);
            }
        }
    }
    owners
}

fn all_owned_once(cluster: &Cluster) -> bool {
    let owners = owners(cluster);
    owners.len() == Partition::all().count() && owners.values().all(|o| o.len() == 1)
}

fn share_of(cluster: &Cluster, index: usize) -> usize {
    let owners = owners(cluster);
    owners.values().filter(|o| o.contains(&index)).count()
}

async fn wait_until_claimed(cluster: &Cluster) -> Duration {
    let start = Instant::now();
    while !all_owned_once(cluster) {
        assert!(start.elapsed() < CLAIM_TIMEOUT, "not claimed in time");
        sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

fn cut(cluster: &Cluster, first: usize, second: usize) {
    let (first, second) = (&cluster.entries[&first], &cluster.entries[&second]);
    cluster.net.cut(&first.process, &second.process);
    cluster.net.cut(&second.process, &first.process);
}

#[tokio::test(start_paused = true)]
async fn members_that_start_together_share_the_partitions() {
    let cluster = start(3).await;
    assert!(all_owned_once(&cluster));
    for index in 0..3 {
        assert!(share_of(&cluster, index) >= 10);
    }
}

#[tokio::test(start_paused = true)]
async fn the_partitions_of_a_killed_member_are_claimed_in_time() {
    let mut cluster = start(3).await;
    let appended = cluster.log.append_count();
    cluster.kill_entry(0);
    let took = wait_until_claimed(&cluster).await;
    sleep(Duration::from_secs(5)).await;
    let appends = cluster.log.append_count() - appended;
    println!("from kill to claim: {took:?}, {appends} appends");
    assert!(all_owned_once(&cluster));
    assert!(appends <= 4);
}

#[tokio::test(start_paused = true)]
async fn the_partitions_of_two_members_killed_together_are_claimed_in_time() {
    let mut cluster = start(3).await;
    cluster.kill_entry(0);
    cluster.kill_entry(1);
    let took = wait_until_claimed(&cluster).await;
    println!("from two kills to claim: {took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_member_gets_its_share_back_by_handover() {
    let mut cluster = start(3).await;
    assert!(cluster.close_entry(0).await);
    assert!(all_owned_once(&cluster));
    cluster.start_entry(0);
    sleep(Duration::from_secs(20)).await;
    assert!(all_owned_once(&cluster));
    assert!(share_of(&cluster, 0) >= 10);
    let state = cluster.entries[&0].ledger.state();
    let handed_over = state.partitions.iter().filter(|o| o.is_handed_over);
    assert!(handed_over.count() >= share_of(&cluster, 0));
}

#[tokio::test(start_paused = true)]
async fn all_partitions_are_owned_after_a_member_is_killed_and_restarted_at_once() {
    let mut cluster = start(3).await;
    cluster.kill_entry(0);
    cluster.start_entry(0);
    let took = wait_until_claimed(&cluster).await;
    println!("from kill and start to claim: {took:?}");
    sleep(Duration::from_secs(10)).await;
    assert!(all_owned_once(&cluster));
}

#[tokio::test(start_paused = true)]
async fn a_member_cut_off_from_the_others_does_not_rejoin_repeatedly() {
    let cluster = start(3).await;
    let appended = cluster.log.append_count();
    cut(&cluster, 0, 1);
    cut(&cluster, 0, 2);
    sleep(Duration::from_mins(5)).await;
    let appends = cluster.log.append_count() - appended;
    println!("appends in 5 minutes: {appends}");
    assert!(appends < 60);
    cluster.net.heal();
    sleep(Duration::from_mins(2)).await;
    assert!(all_owned_once(&cluster));
    assert_eq!(cluster.entries[&0].ledger.state().members.len(), 3);
}

#[tokio::test(start_paused = true)]
async fn no_member_leaves_while_the_log_is_down() {
    let cluster = start(3).await;
    let before = cluster.entries[&0].ledger.state();
    cluster.log.faults().set_down(true);
    sleep(Duration::from_mins(10)).await;
    cluster.log.faults().clear();
    sleep(Duration::from_secs(10)).await;
    let after = cluster.entries[&0].ledger.state();
    assert_eq!(before.members, after.members);
    assert_eq!(before.partitions, after.partitions);
}

#[tokio::test(start_paused = true)]
async fn an_idle_cluster_appends_little() {
    let cluster = start(3).await;
    sleep(Duration::from_mins(1)).await;
    let appended = cluster.log.append_count();
    sleep(Duration::from_hours(1)).await;
    let appends = cluster.log.append_count() - appended;
    println!("appends an hour: {appends}");
    assert!(appends <= 60);
}

#[test]
fn a_heartbeat_between_entries_takes_at_most_160_bytes() {
    let timestamp = Timestamp {
        micros: 1_800_000_000_000_000,
        count: 3,
    };
    let request = Ping {
        nonce: 1_000_000,
        known: ViewVersion::default(),
        timestamp,
    };
    let answer = Pong {
        nonce: 1_000_000,
        age_ms: None,
        view: None,
        timestamp,
    };
    let size = |frame| codec::encode(&[frame]).expect("a frame").len();
    let bytes = size(Frame::Ping(request)) + size(Frame::Pong(answer));
    println!("bytes of a heartbeat: {bytes}");
    assert!(bytes <= 160);
}
