//! Opens and closes partitions according to the ownership in the replicated state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Epoch, Partition};
use masticcross_ledger::{Ownership, ReplicatedState};
use masticcross_log::LogError;
use masticcross_wire::JobRecord;
use tokio::time::{Instant, sleep, timeout_at};

use super::recovery::{Recovery, RegisteredAgents};
use super::shard::{Phase, Shard};
use super::{AgentId, Owner};
use crate::admission::AdmissionEvent;

/// Retry interval for reading the admissions after the log failed.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Partitions acquired at the same time, with their epochs.
type Acquired = Vec<(Partition, Epoch)>;

impl Owner {
    /// Applies changes of the replicated state until the process ends.
    pub(super) async fn watch_ownership(&self) {
        let mut states = self.ledger.watch();
        loop {
            let state = states.borrow_and_update().clone();
            self.apply_ownership(&state);
            self.check_registrations(&state);
            if states.changed().await.is_err() {
                return;
            }
        }
    }

    /// Applies the ends of agents' registrations to all partitions.
    fn check_registrations(&self, state: &ReplicatedState) {
        let registration_of =
            |agent: &AgentId| state.registered_at(&agent.worker, agent.incarnation);
        for partition in Partition::all() {
            self.decide(partition, |shard, cx| {
                shard.check_registrations(registration_of, cx);
            });
        }
    }

    fn apply_ownership(&self, state: &ReplicatedState) {
        let mut to_recover = Acquired::new();
        for partition in Partition::all() {
            let assigned = self.assigned_epoch(state, partition);
            let current = self.owned_epoch(partition);
            if assigned == current {
                continue;
            }
            if current.is_some() {
                self.release(partition);
            }
            if let Some(epoch) = assigned
                && !self.acquire(partition, epoch, state.ownership(partition))
            {
                to_recover.push((partition, epoch));
            }
        }
        if to_recover.is_empty() {
            return;
        }
        if let Some(owner) = self.weak_self.upgrade() {
            tokio::spawn(owner.recover(to_recover, Instant::now()));
        }
    }

    /// Returns the epoch under which this entry owns a partition in a state.
    fn assigned_epoch(&self, state: &ReplicatedState, partition: Partition) -> Option<Epoch> {
        let identity = self.ledger.identity();
        let ownership = state.ownership(partition);
        let (name, incarnation) = ownership.owner.as_ref()?;
        (*name == identity.name && *incarnation == identity.incarnation).then_some(ownership.epoch)
    }

    fn release(&self, partition: Partition) {
        self.decide(partition, Shard::close);
        self.notify_phase_change();
    }

    /// Becomes the owner of a partition. Returns false if the partition must be recovered first.
    fn acquire(&self, partition: Partition, epoch: Epoch, ownership: &Ownership) -> bool {
        let previous = ownership.previous;
        let table = self.take_incoming(partition, previous);
        if let Some(jobs) = table.filter(|_| ownership.is_handed_over) {
            self.open_with_jobs(partition, epoch, jobs);
            return true;
        }
        let is_new = previous == Epoch::default();
        let phase = if is_new {
            Phase::Open
        } else {
            Phase::Recovering(Recovery::default())
        };
        self.decide(partition, |shard, cx| shard.open_empty(epoch, phase, cx));
        self.notify_phase_change();
        is_new
    }

    fn take_incoming(&self, partition: Partition, previous: Epoch) -> Option<Vec<JobRecord>> {
        let mut incoming = self.incoming.lock();
        let table = incoming.remove(&(partition, previous));
        incoming.retain(|(other, _), _| *other != partition);
        table.filter(|t| t.is_complete).map(|t| t.jobs)
    }

    fn open_with_jobs(&self, partition: Partition, epoch: Epoch, jobs: Vec<JobRecord>) {
        let placed_agents = self.decide(partition, |shard, cx| {
            shard.open_empty(epoch, Phase::Open, cx);
            shard.import(jobs, cx)
        });
        self.notify_phase_change();
        for agent in placed_agents {
            if !self.dispatch.gather_from(&agent, partition, epoch) {
                let registration = self.registration_of(&agent);
                self.decide(partition, |shard, _| shard.disconnect(&agent, registration));
            }
        }
    }

    /// Recovers the state left by the previous owners, then opens the partitions.
    async fn recover(self: Arc<Self>, acquired: Acquired, since: Instant) {
        for (partition, epoch) in &acquired {
            let requested = self.dispatch.gather(*partition, *epoch);
            log::debug!(partition = partition.index(), agents = requested.len(); "requested reports from agents");
        }
        if self.settings.checks.fence {
            self.ledger.wait_for_fence(since).await;
        }
        self.wait_for_agents(&acquired, Instant::now() + self.settings.gather_timeout)
            .await;
        let recent = self.read_recent(&acquired).await;
        let state = self.ledger.state();
        let connected: BTreeSet<AgentId> = self.connected_agents();
        let registered = RegisteredAgents {
            agents: &state.agents,
            agents_lost_at: state.agents_lost_at,
            connected: &connected,
        };
        for (partition, epoch) in acquired {
            let logged = recent.get(&partition).map_or(&[][..], Vec::as_slice);
            self.decide(partition, |shard, cx| {
                if shard.epoch == epoch {
                    shard.recover(logged, &registered, cx);
                }
            });
        }
        self.notify_phase_change();
    }

    /// Waits until all registered agents have answered, or until the given time.
    async fn wait_for_agents(&self, acquired: &Acquired, until: Instant) {
        let mut phase_changes = self.phase_changes.subscribe();
        while !self.all_agents_answered(acquired) {
            if timeout_at(until, phase_changes.changed()).await.is_err() {
                return;
            }
        }
    }

    fn all_agents_answered(&self, acquired: &Acquired) -> bool {
        let agents = registered_agents(&self.ledger.state());
        acquired.iter().all(|(partition, epoch)| {
            let shard = self.shards[usize::from(partition.index())].lock();
            match &shard.phase {
                Phase::Recovering(recovery) if shard.epoch == *epoch => {
                    agents.iter().all(|agent| recovery.has_answered(agent))
                }
                _ => true,
            }
        })
    }

    async fn read_recent(&self, acquired: &Acquired) -> BTreeMap<Partition, Vec<AdmissionEvent>> {
        if !self.settings.checks.read_back {
            return BTreeMap::new();
        }
        let partitions: BTreeSet<Partition> = acquired.iter().map(|(p, _)| *p).collect();
        let entries = loop {
            match self.admissions.recent(self.rules().once_window).await {
                Ok(entries) => break entries,
                Err(LogError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(error) => {
                    log::warn!(error:%; "cannot read admissions, retrying; partitions stay unavailable");
                    sleep(READ_RETRY_INTERVAL).await;
                }
            }
        };
        group_by_partition(entries, &partitions)
    }

    fn connected_agents(&self) -> BTreeSet<AgentId> {
        let connected = self.connected.read();
        connected
            .iter()
            .map(|(worker, incarnation)| AgentId {
                worker: worker.clone(),
                incarnation: *incarnation,
            })
            .collect()
    }

    pub(super) fn notify_phase_change(&self) {
        self.phase_changes
            .send_modify(|generation| *generation += 1);
    }
}

fn registered_agents(state: &ReplicatedState) -> Vec<AgentId> {
    let agents = state.agents.iter();
    agents
        .map(|(worker, entry)| AgentId {
            worker: worker.clone(),
            incarnation: entry.incarnation,
        })
        .collect()
}

fn group_by_partition(
    entries: Vec<AdmissionEvent>,
    partitions: &BTreeSet<Partition>,
) -> BTreeMap<Partition, Vec<AdmissionEvent>> {
    let mut groups: BTreeMap<Partition, Vec<AdmissionEvent>> = BTreeMap::new();
    for entry in entries {
        let key = match &entry {
            AdmissionEvent::Admitted(record) => &record.key,
            AdmissionEvent::Ended(record) => &record.key,
        };
        let partition = key.partition();
        if partitions.contains(&partition) {
            groups.entry(partition).or_default().push(entry);
        }
    }
    groups
}
