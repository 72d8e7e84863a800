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

/// Interval between checks whether a partition is ready for its handover or has no job left.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum wait for a partition to become ready for its handover.
const HANDOVER_READY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the members must be unchanged before partitions are rebalanced.
const MEMBERS_STABLE_FOR: Duration = Duration::from_secs(1);

/// Retry interval for appending a transfer.
const TRANSFER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl Owner {
    /// Hands over all partitions to other members. Waits for the jobs of partitions that cannot be
    /// handed over, for example without another member. Returns once this entry owns no partition
    /// or no job runs.
    pub async fn close(&self, peers: &Peers) {
        let owned = self.owned();
        let remaining = self.hand_over(peers, owned, |p| peers.successor(p)).await;
        for partition in remaining {
            self.wait_for_jobs(partition).await;
        }
    }

    /// Hands over partitions to their preferred members, one at a time, whenever the members have
    /// been unchanged for a while. Runs until the process ends.
    pub async fn rebalance_partitions(self: Arc<Self>, peers: Arc<Peers>) {
        let mut states = self.ledger.watch();
        loop {
            let members = states.borrow_and_update().members.clone();
            let changed = states.wait_for(|state| state.members != members);
            if timeout(MEMBERS_STABLE_FOR, changed).await.is_ok() {
                continue;
            }
            let own_name = self.ledger.identity().name.clone();
            let preferred = |p| peers.preferred(p).filter(|m| m.name != own_name);
            let owned = self.owned().into_iter();
            let to_hand_over = owned.filter(|p| preferred(*p).is_some()).collect();
            self.hand_over(&peers, to_hand_over, preferred).await;
        }
    }

    /// Lists the partitions that this entry owns.
    #[must_use]
    pub fn owned(&self) -> Vec<Partition> {
        Partition::all()
            .filter(|p| self.owned_epoch(*p).is_some())
            .collect()
    }

    /// Hands over partitions to other members. `choose` returns the next owner of a partition, or
    /// `None` if there is no suitable member. Returns the partitions that were not handed over.
    pub async fn hand_over(
        &self,
        peers: &Peers,
        partitions: Vec<Partition>,
        choose: impl Fn(Partition) -> Option<Member>,
    ) -> Vec<Partition> {
        let mut remaining = Vec::new();
        for partition in partitions {
            let Some(to) = choose(partition) else {
                remaining.push(partition);
                continue;
            };
            if !self.hand_over_partition(peers, partition, &to).await {
                remaining.push(partition);
            }
        }
        remaining
    }

    async fn hand_over_partition(&self, peers: &Peers, partition: Partition, to: &Member) -> bool {
        let Some(epoch) = self.owned_epoch(partition) else {
            return true;
        };
        if !self.decide(partition, |shard, _| shard.begin_handover()) {
            return false;
        }
        let handed_over = self.try_hand_over(peers, partition, epoch, to).await;
        if !handed_over {
            self.decide(partition, |shard, cx| {
                if shard.epoch == epoch {
                    shard.cancel_handover(cx);
                }
            });
            self.notify_phase_change();
        }
        handed_over
    }

    async fn try_hand_over(
        &self,
        peers: &Peers,
        partition: Partition,
        epoch: Epoch,
        to: &Member,
    ) -> bool {
        if !self.wait_until_ready(partition).await {
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

    /// Transfers the ownership to the next owner. Returns false once it is certain that the transfer
    /// will never take effect.
    async fn transfer(&self, partition: Partition, epoch: Epoch, to: &Member) -> bool {
        let change = PartitionsChange::Transfer {
            owner: to.name.clone(),
            incarnation: to.incarnation,
            claim: PartitionClaim {
                partition,
                previous: epoch,
            },
        };
        let mut may_be_appended = false;
        loop {
            match self.ledger.append(change.clone()).await {
                Ok(offset) => {
                    if self.wait_for_release(partition, epoch, offset).await {
                        return true;
                    }
                    if !may_be_appended {
                        return false;
                    }
                }
                Err(LogError::Unknown(_)) => may_be_appended = true,
                Err(error) if !may_be_appended => {
                    log::warn!(partition = partition.index(), to:% = to.name, error:%; "transfer failed");
                    return false;
                }
                Err(_) => {}
            }
            // The transfer may still appear in the log and make the other member the owner. This
            // entry must not reopen the partition, as the table that it sent would be out of date.
            sleep(TRANSFER_RETRY_INTERVAL).await;
            if self.owned_epoch(partition) != Some(epoch) {
                return true;
            }
        }
    }

    async fn wait_until_ready(&self, partition: Partition) -> bool {
        let deadline = Instant::now() + HANDOVER_READY_TIMEOUT;
        while Instant::now() < deadline {
            if self.decide(partition, |shard, _| shard.is_ready_for_handover()) {
                return true;
            }
            sleep(HANDOVER_CHECK_INTERVAL).await;
        }
        false
    }

    /// Waits until the record at an offset has been applied. Returns true if the table is closed here,
    /// and false if this entry is still the owner because the next owner has left in the meantime.
    async fn wait_for_release(&self, partition: Partition, epoch: Epoch, offset: u64) -> bool {
        let mut states = self.ledger.watch();
        let applied = states.wait_for(|state| state.version.partitions > offset);
        let still_owner = match applied.await {
            Ok(state) => state.ownership(partition).epoch == epoch,
            Err(_) => return true,
        };
        if still_owner {
            return false;
        }
        let mut phase_changes = self.phase_changes.subscribe();
        while self.owned_epoch(partition) == Some(epoch) {
            if phase_changes.changed().await.is_err() {
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
            sleep(HANDOVER_CHECK_INTERVAL).await;
        }
    }
}
