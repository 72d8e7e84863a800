//! Opens and closes partitions as the agreed state says who owns them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Epoch, Partition};
use masticcross_ledger::{AgreedState, Ownership};
use masticcross_log::LogError;
use masticcross_wire::JobRecord;
use tokio::time::{Instant, sleep, timeout_at};

use super::recovery::{Recovery, Registered};
use super::shard::{Phase, Shard};
use super::{AgentId, Owner};
use crate::admission::Recent;

/// Pause before the admissions are read again after the log failed.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Partitions acquired together.
type Acquired = Vec<(Partition, Epoch)>;

impl Owner {
    /// Follows the agreed state until the process ends.
    pub(super) async fn follow_ownership(&self) {
        let mut states = self.ledger.watch();
        loop {
            let state = states.borrow_and_update().clone();
            self.apply_ownership(&state);
            self.follow_registrations(&state);
            if states.changed().await.is_err() {
                return;
            }
        }
    }

    /// Looks for agents whose registration has ended.
    fn follow_registrations(&self, state: &AgreedState) {
        let registration_of =
            |agent: &AgentId| state.registered_at(&agent.worker, agent.incarnation);
        for partition in Partition::all() {
            self.decide(partition, |shard, cx| {
                shard.follow_registrations(registration_of, cx);
            });
        }
    }

    fn apply_ownership(&self, state: &AgreedState) {
        let mut to_recover = Acquired::new();
        for partition in Partition::all() {
            let mine = self.epoch_in(state, partition);
            let open = self.epoch_of(partition);
            if mine == open {
                continue;
            }
            if open.is_some() {
                self.release(partition);
            }
            if let Some(epoch) = mine
                && !self.acquire(partition, epoch, state.ownership(partition))
            {
                to_recover.push((partition, epoch));
            }
        }
        if to_recover.is_empty() {
            return;
        }
        if let Some(me) = self.me.upgrade() {
            tokio::spawn(me.recover(to_recover, Instant::now()));
        }
    }

    /// Returns the epoch under which a state names this entry as the owner.
    fn epoch_in(&self, state: &AgreedState, partition: Partition) -> Option<Epoch> {
        let me = self.ledger.identity();
        let ownership = state.ownership(partition);
        let (name, incarnation) = ownership.owner.as_ref()?;
        (*name == me.name && *incarnation == me.incarnation).then_some(ownership.epoch)
    }

    fn release(&self, partition: Partition) {
        self.decide(partition, Shard::close);
        self.phase_changed();
    }

    /// Becomes the owner of a partition. Returns false if it has to be recovered first.
    fn acquire(&self, partition: Partition, epoch: Epoch, ownership: &Ownership) -> bool {
        let previous = ownership.previous;
        let table = self.take_incoming(partition, previous);
        if let Some(jobs) = table.filter(|_| ownership.is_handed_over) {
            self.open_with(partition, epoch, jobs);
            return true;
        }
        let is_new = previous == Epoch::default();
        let phase = if is_new {
            Phase::Open
        } else {
            Phase::Recovering(Recovery::default())
        };
        self.decide(partition, |shard, cx| shard.open_empty(epoch, phase, cx));
        self.phase_changed();
        is_new
    }

    fn take_incoming(&self, partition: Partition, previous: Epoch) -> Option<Vec<JobRecord>> {
        let mut incoming = self.incoming.lock();
        let table = incoming.remove(&(partition, previous));
        incoming.retain(|(other, _), _| *other != partition);
        table.filter(|t| t.is_complete).map(|t| t.jobs)
    }

    fn open_with(&self, partition: Partition, epoch: Epoch, jobs: Vec<JobRecord>) {
        let holders = self.decide(partition, |shard, cx| {
            shard.open_empty(epoch, Phase::Open, cx);
            shard.import(jobs, cx)
        });
        self.phase_changed();
        for agent in holders {
            if !self.dispatch.gather_from(&agent, partition, epoch) {
                let registration = self.registration_of(&agent);
                self.decide(partition, |shard, _| shard.agent_lost(&agent, registration));
            }
        }
    }

    /// Finds out what the owners before left behind, then opens the partitions.
    async fn recover(self: Arc<Self>, acquired: Acquired, since: Instant) {
        for (partition, epoch) in &acquired {
            let asked = self.dispatch.gather(*partition, *epoch);
            log::debug!(partition = partition.index(), agents = asked.len(); "agents asked");
        }
        if self.settings.checks.fence {
            self.ledger.wait_for_fence(since).await;
        }
        self.wait_for_agents(&acquired, Instant::now() + self.settings.gather_grace)
            .await;
        let recent = self.read_recent(&acquired).await;
        let state = self.ledger.state();
        let connected: BTreeSet<AgentId> = self.connected_agents();
        let registered = Registered {
            agents: &state.agents,
            lost_at: state.agents_lost_at,
            connected: &connected,
        };
        for (partition, epoch) in acquired {
            let known = recent.get(&partition).map_or(&[][..], Vec::as_slice);
            self.decide(partition, |shard, cx| {
                if shard.epoch == epoch {
                    shard.recover(known, &registered, cx);
                }
            });
        }
        self.phase_changed();
    }

    /// Waits until all registered agents have answered, at most until a time.
    async fn wait_for_agents(&self, acquired: &Acquired, until: Instant) {
        let mut phases = self.phases.subscribe();
        while !self.have_answered(acquired) {
            if timeout_at(until, phases.changed()).await.is_err() {
                return;
            }
        }
    }

    fn have_answered(&self, acquired: &Acquired) -> bool {
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

    async fn read_recent(&self, acquired: &Acquired) -> BTreeMap<Partition, Vec<Recent>> {
        if !self.settings.checks.read_back {
            return BTreeMap::new();
        }
        let wanted: BTreeSet<Partition> = acquired.iter().map(|(p, _)| *p).collect();
        let entries = loop {
            match self.admissions.recent(self.rules().once_window).await {
                Ok(entries) => break entries,
                Err(LogError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(error) => {
                    log::warn!(error:%; "admissions cannot be read; partitions stay closed");
                    sleep(READ_PAUSE).await;
                }
            }
        };
        by_partition(entries, &wanted)
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

    pub(super) fn phase_changed(&self) {
        self.phases.send_modify(|generation| *generation += 1);
    }
}

fn registered_agents(state: &AgreedState) -> Vec<AgentId> {
    let agents = state.agents.iter();
    agents
        .map(|(worker, entry)| AgentId {
            worker: worker.clone(),
            incarnation: entry.incarnation,
        })
        .collect()
}

fn by_partition(
    entries: Vec<Recent>,
    wanted: &BTreeSet<Partition>,
) -> BTreeMap<Partition, Vec<Recent>> {
    let mut sorted: BTreeMap<Partition, Vec<Recent>> = BTreeMap::new();
    for entry in entries {
        let key = match &entry {
            Recent::Admitted(record) => &record.key,
            Recent::Ended(record) => &record.key,
        };
        let partition = key.partition();
        if wanted.contains(&partition) {
            sorted.entry(partition).or_default().push(entry);
        }
    }
    sorted
}
