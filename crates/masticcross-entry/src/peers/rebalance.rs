//! Planned moves of partitions: to newcomers, and away from an entry that stops.

use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Name, Partition};
use tokio::time::{Instant, sleep};

use super::Peers;
use crate::owner::Owner;

/// Interval at which an owner looks for partitions that should be elsewhere.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which members must not change before partitions are moved.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Partitions moved at each look, so that moves never fill the log's rate.
const MOVES_PER_LOOK: usize = 8;

/// Hands partitions to the members that should own them, until the process ends.
pub async fn rebalance(peers: Arc<Peers>, owner: Arc<Owner>) {
    let mut members = peers.agreement.state().members.clone();
    let mut settled_at = Instant::now();
    loop {
        sleep(LOOK_INTERVAL).await;
        let state = peers.agreement.state();
        if state.members != members {
            members.clone_from(&state.members);
            settled_at = Instant::now();
        }
        let is_settled = settled_at.elapsed() >= SETTLE_TIME;
        if !is_settled || !peers.agreement.is_fresh() || peers.is_shutting_down() {
            continue;
        }
        let misplaced = misplaced(&peers, &owner);
        let left = owner
            .hand_over(&peers, misplaced, |p| preferred_peer(&peers, p))
            .await;
        if !left.is_empty() {
            log::info!(partitions = left.len(); "partitions not moved");
        }
    }
}

/// Hands all partitions to other members before a stop. What is left has no other member to go to.
pub async fn hand_over_all(peers: &Peers, owner: &Owner) {
    let successor = |p| peers.successor(p).map(|member| member.name);
    owner.hand_over(peers, owner.owned(), successor).await;
}

fn misplaced(peers: &Peers, owner: &Owner) -> Vec<Partition> {
    let mut misplaced = owner.owned();
    misplaced.retain(|p| preferred_peer(peers, *p).is_some());
    misplaced.truncate(MOVES_PER_LOOK);
    misplaced
}

/// Returns the member that should own a partition, if it is another one and can be reached.
fn preferred_peer(peers: &Peers, partition: Partition) -> Option<Name> {
    let preferred = peers.preferred(partition)?;
    let is_other = preferred.name != peers.identity.name;
    (is_other && peers.session_to(&preferred).is_ok()).then_some(preferred.name)
}
