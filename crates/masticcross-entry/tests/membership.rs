//! Members come, go and fail; every partition has one owner at a time.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, Node};
use masticcross_basics::Partition;
use tokio::time::{Instant, sleep};

/// Longest time from a kill until all partitions are claimed again.
const CLAIM_BOUND: Duration = Duration::from_secs(3);

async fn time_until(mut done: impl FnMut() -> bool, limit: Duration) -> Duration {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < limit, "not done after {limit:?}");
        sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

fn owns_all(nodes: &[Node]) -> bool {
    let owned: usize = nodes.iter().map(|n| n.owned().len()).sum();
    owned == Partition::all().count()
}

#[tokio::test(start_paused = true)]
async fn members_that_start_together_share_the_partitions() {
    let cluster = Cluster::start(3).await;
    cluster.assert_all_owned();
    for node in &cluster.nodes {
        assert!(node.owned().len() >= 10);
        assert_eq!(node.agreement.state().members.len(), 3);
    }
}

#[tokio::test(start_paused = true)]
async fn the_partitions_of_a_killed_member_are_claimed_in_time() {
    let mut cluster = Cluster::start(3).await;
    let appended = cluster.log.appended();
    cluster.nodes.remove(0).kill().await;
    let took = time_until(|| owns_all(&cluster.nodes), CLAIM_BOUND).await;
    println!("from kill to claim: {took:?}");
    sleep(Duration::from_secs(5)).await;
    cluster.assert_all_owned();
    println!("appends: {}", cluster.log.appended() - appended);
    assert!(cluster.log.appended() - appended <= 4);
}

#[tokio::test(start_paused = true)]
async fn two_members_killed_together_are_both_replaced() {
    let mut cluster = Cluster::start(3).await;
    cluster.nodes.remove(0).kill().await;
    cluster.nodes.remove(0).kill().await;
    let took = time_until(|| owns_all(&cluster.nodes), CLAIM_BOUND).await;
    println!("from kill to claim: {took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_member_gets_its_share_back_by_handover() {
    let mut cluster = Cluster::start(3).await;
    let node = cluster.nodes.remove(0);
    node.stop().await;
    assert!(owns_all(&cluster.nodes));
    cluster
        .nodes
        .push(Node::start(&cluster.log, &cluster.network, 1, 2));
    sleep(Duration::from_secs(20)).await;
    cluster.assert_all_owned();
    assert!(cluster.nodes[2].owned().len() >= 10);
}

#[tokio::test(start_paused = true)]
async fn a_member_killed_and_started_at_once_serves_again() {
    let mut cluster = Cluster::start(3).await;
    cluster.nodes.remove(0).kill().await;
    cluster
        .nodes
        .push(Node::start(&cluster.log, &cluster.network, 1, 2));
    let took = time_until(|| owns_all(&cluster.nodes), CLAIM_BOUND).await;
    println!("from kill to claim: {took:?}");
    sleep(Duration::from_secs(10)).await;
    cluster.assert_all_owned();
}

#[tokio::test(start_paused = true)]
async fn a_member_cut_off_from_the_others_does_not_flap() {
    let cluster = Cluster::start(3).await;
    let appended = cluster.log.appended();
    for other in ["entry-2", "entry-3"] {
        cluster.network.cut("entry-1", other, true);
        cluster.network.cut(other, "entry-1", true);
    }
    sleep(Duration::from_mins(5)).await;
    let appends = cluster.log.appended() - appended;
    println!("appends in 5 minutes: {appends}");
    assert!(appends < 100);
    for other in ["entry-2", "entry-3"] {
        cluster.network.cut("entry-1", other, false);
        cluster.network.cut(other, "entry-1", false);
    }
    sleep(Duration::from_mins(1)).await;
    cluster.assert_all_owned();
}

#[tokio::test(start_paused = true)]
async fn silence_of_the_log_makes_nobody_leave() {
    let cluster = Cluster::start(3).await;
    let before = cluster.nodes[0].agreement.state();
    cluster.log.faults().set_down(true);
    sleep(Duration::from_mins(10)).await;
    cluster.log.faults().clear();
    sleep(Duration::from_secs(10)).await;
    let after = cluster.nodes[0].agreement.state();
    assert_eq!(before.members, after.members);
    assert_eq!(before.partitions, after.partitions);
}

#[tokio::test(start_paused = true)]
async fn an_idle_cluster_appends_and_sends_little() {
    let cluster = Cluster::start(3).await;
    sleep(Duration::from_mins(1)).await;
    let (appended, before) = (cluster.log.appended(), cluster.network.traffic());
    sleep(Duration::from_mins(60)).await;
    let (appends, after) = (cluster.log.appended() - appended, cluster.network.traffic());
    let per_session = (after.bytes - before.bytes) / 3600 / 6;
    println!("appends an hour: {appends}; bytes a second and session: {per_session}");
    assert!(appends <= 60);
    assert!(per_session < 2_000);
}
