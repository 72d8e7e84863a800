//! Planned handover: moves partitions to other members, one at a time.

use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Epoch, Partition};
use masticcross_ledger::{PartitionClaim, PartitionsChange};
use masticcross_log::LogError;
use masticcross_wire::Member;
use tokio::time::{Instant, sleep, timeout};

use super::Owner;
use crate::peers::Peers;

/// Interval at which a move looks whether all admissions are settled.
const SETTLE_INTERVAL: Duration = Duration::from_millis(5);

/// Longest wait for the admissions of a partition that moves.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// How long members must not have changed before partitions move to balance the load.
const STABLE_FOR: Duration = Duration::from_secs(1);

/// Pause before a transfer is appended again.
const TRANSFER_PAUSE: Duration = Duration::from_millis(100);

impl Owner {
    /// Hands all partitions to other members. Without another member, waits for the jobs to end.
    /// Returns when nothing is owned any more, or no job runs.
    pub async fn close(&self, peers: &Peers) {
        let owned = self.owned();
        let left = self.hand_over(peers, owned, |p| peers.successor(p)).await;
        for partition in left {
            self.wait_for_jobs(partition).await;
        }
    }

    /// Moves partitions to the members that are preferred for them, one at a time, whenever the
    /// members have not changed for some time. Runs until the process ends.
    pub async fn keep_balanced(self: Arc<Self>, peers: Arc<Peers>) {
        let mut states = self.ledger.watch();
        loop {
            let members = states.borrow_and_update().members.clone();
            let stable = states.wait_for(|state| state.members != members);
            if timeout(STABLE_FOR, stable).await.is_ok() {
                continue;
            }
            let me = self.ledger.identity().name.clone();
            let wanted = |p| peers.preferred(p).filter(|m| m.name != me);
            let owned = self.owned().into_iter();
            let moving = owned.filter(|p| wanted(*p).is_some()).collect();
            self.hand_over(&peers, moving, wanted).await;
        }
    }

    /// Lists the partitions that this entry owns.
    #[must_use]
    pub fn owned(&self) -> Vec<Partition> {
        Partition::all()
            .filter(|p| self.epoch_of(*p).is_some())
            .collect()
    }

    /// Hands partitions to other members. `choose` names the next owner of a partition; none if
    /// there is no other member. Returns the partitions that could not be handed over.
    pub async fn hand_over(
        &self,
        peers: &Peers,
        partitions: Vec<Partition>,
        choose: impl Fn(Partition) -> Option<Member>,
    ) -> Vec<Partition> {
        let mut left = Vec::new();
        for partition in partitions {
            let Some(to) = choose(partition) else {
                left.push(partition);
                continue;
            };
            if !self.move_partition(peers, partition, &to).await {
                left.push(partition);
            }
        }
        left
    }

    async fn move_partition(&self, peers: &Peers, partition: Partition, to: &Member) -> bool {
        let Some(epoch) = self.epoch_of(partition) else {
            return true;
        };
        if !self.decide(partition, |shard, _| shard.begin_move()) {
            return false;
        }
        let moved = self.try_move(peers, partition, epoch, to).await;
        if !moved {
            self.decide(partition, |shard, cx| {
                if shard.epoch == epoch {
                    shard.cancel_move(cx);
                }
            });
            self.phase_changed();
        }
        moved
    }

    async fn try_move(
        &self,
        peers: &Peers,
        partition: Partition,
        epoch: Epoch,
        to: &Member,
    ) -> bool {
        if !self.wait_until_settled(partition).await {
            return false;
        }
        let frames = self.decide(partition, |shard, cx| shard.export(cx.now));
        for frame in frames {
            if let Err(error) = peers.hand_over(&to.name, frame).await {
                log::warn!(partition = partition.index(), to:% = to.name, error:%; "handover failed");
                return false;
            }
        }
        self.transfer(partition, epoch, to).await
    }

    /// Makes the next owner the owner. Returns false once it is certain that it never will be.
    async fn transfer(&self, partition: Partition, epoch: Epoch, to: &Member) -> bool {
        let change = PartitionsChange::Transfer {
            owner: to.name.clone(),
            incarnation: to.incarnation,
            claim: PartitionClaim {
                partition,
                previous: epoch,
            },
        };
        let mut may_appear = false;
        loop {
            match self.ledger.append(change.clone()).await {
                Ok(offset) => {
                    if self.is_released_at(partition, epoch, offset).await {
                        return true;
                    }
                    if !may_appear {
                        return false;
                    }
                }
                Err(LogError::Unknown(_)) => may_appear = true,
                Err(error) if !may_appear => {
                    log::warn!(partition = partition.index(), to:% = to.name, error:%; "transfer failed");
                    return false;
                }
                Err(_) => {}
            }
            // A record that may still appear binds: going on as the owner would break its table.
            sleep(TRANSFER_PAUSE).await;
            if self.epoch_of(partition) != Some(epoch) {
                return true;
            }
        }
    }

    async fn wait_until_settled(&self, partition: Partition) -> bool {
        let limit = Instant::now() + SETTLE_LIMIT;
        while Instant::now() < limit {
            if self.decide(partition, |shard, _| shard.is_settled()) {
                return true;
            }
            sleep(SETTLE_INTERVAL).await;
        }
        false
    }

    /// Waits until the record at an offset has been applied, and returns true if the table is closed
    /// here. It is not if the next owner has left in the meantime.
    async fn is_released_at(&self, partition: Partition, epoch: Epoch, offset: u64) -> bool {
        let mut states = self.ledger.watch();
        let applied = states.wait_for(|state| state.version.partitions > offset);
        let still_owner = match applied.await {
            Ok(state) => state.ownership(partition).epoch == epoch,
            Err(_) => return true,
        };
        if still_owner {
            return false;
        }
        let mut phases = self.phases.subscribe();
        while self.epoch_of(partition) == Some(epoch) {
            if phases.changed().await.is_err() {
                return true;
            }
        }
        true
    }

    async fn wait_for_jobs(&self, partition: Partition) {
        let is_idle = || {
            let shard = self.shards[usize::from(partition.index())].lock();
            shard.jobs.is_empty()
        };
        while !is_idle() {
            sleep(SETTLE_INTERVAL).await;
        }
    }
}
