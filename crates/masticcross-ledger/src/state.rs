//! The replicated state, and the rules by which records change it.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticcross_basics::{Epoch, Name, PARTITIONS, Partition};
use masticcross_config::Document;
use masticcross_wire::{AgentView, Incarnation, Member, PartitionOwner, ViewVersion};
use serde::{Deserialize, Serialize};

use crate::record::{
    ConfigChange, ConfigSnapshot, PartitionClaim, PartitionsChange, PartitionsSnapshot,
};

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicatedConfig {
    /// Version; 0 before the first document.
    pub version: u64,
    /// Who published it.
    pub author: String,
    /// Text of the document as published.
    pub text: Arc<str>,
    /// The parsed document; `None` before the first.
    pub document: Option<Arc<Document>>,
}

impl Default for ReplicatedConfig {
    fn default() -> Self {
        Self {
            version: 0,
            author: String::new(),
            text: Arc::from(""),
            document: None,
        }
    }
}

/// Owner and epoch of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Ownership {
    /// Name and incarnation of the owner; `None` if the partition has no owner.
    pub owner: Option<(Name, Incarnation)>,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// The previous epoch; zero if the partition had no owner before.
    #[serde(default)]
    pub previous: Epoch,
    /// True if the previous owner has handed its job table over to this owner.
    #[serde(default)]
    pub is_handed_over: bool,
}

/// An agent that is registered, so that it may start tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredAgent {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Offset after the record that registered it.
    #[serde(default)]
    pub registered_at: u64,
    /// Availability zone of the worker.
    pub zone: Name,
}

/// The state that is the same at all entries that have applied the same records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicatedState {
    /// Positions after the last applied records.
    pub version: ViewVersion,
    /// The configuration in force.
    pub config: ReplicatedConfig,
    /// Entries that can own partitions, by name.
    pub members: BTreeMap<Name, Member>,
    /// Ownership, by index of the partition.
    pub partitions: Vec<Ownership>,
    /// Agents that may start tasks, by worker.
    pub agents: BTreeMap<Name, RegisteredAgent>,
    /// Offset after the last record that replaced or removed an agent. Which tasks such an agent
    /// started can no longer be determined.
    pub agents_lost_at: u64,
}

impl Default for ReplicatedState {
    fn default() -> Self {
        Self {
            version: ViewVersion::default(),
            config: ReplicatedConfig::default(),
            members: BTreeMap::new(),
            partitions: vec![Ownership::default(); usize::from(PARTITIONS)],
            agents: BTreeMap::new(),
            agents_lost_at: 0,
        }
    }
}

impl ReplicatedState {
    /// Returns the ownership of a partition.
    #[must_use]
    pub fn ownership(&self, partition: Partition) -> &Ownership {
        &self.partitions[usize::from(partition.index())]
    }

    /// Returns the owner of a partition, if it is still a member.
    #[must_use]
    pub fn owner(&self, partition: Partition) -> Option<&Member> {
        let (name, incarnation) = self.ownership(partition).owner.as_ref()?;
        let member = self.members.get(name)?;
        (member.incarnation == *incarnation).then_some(member)
    }

    /// Applies a change from the given offset of stream `config`. Returns true if it was accepted.
    pub fn apply_config(&mut self, offset: u64, change: &ConfigChange) -> bool {
        self.version.config = offset + 1;
        let version = if change.restore_at == Some(offset) {
            // Earlier versions are smaller, as each of them took at least one record.
            offset + 1
        } else if change.base == self.config.version {
            change.base + 1
        } else {
            return false;
        };
        self.activate_config(version, &change.author, &change.document)
    }

    /// Replaces the configuration by that of a snapshot, if it is newer.
    pub fn apply_config_snapshot(&mut self, snapshot: &ConfigSnapshot) {
        self.version.config = snapshot.at;
        if snapshot.version > self.config.version {
            self.activate_config(snapshot.version, &snapshot.author, &snapshot.document);
        }
    }

    fn activate_config(&mut self, version: u64, author: &str, text: &str) -> bool {
        let Ok(document) = Document::parse(text) else {
            return false;
        };
        self.config = ReplicatedConfig {
            version,
            author: author.to_owned(),
            text: Arc::from(text),
            document: Some(Arc::new(document)),
        };
        true
    }

    /// Returns a snapshot of the configuration in force.
    #[must_use]
    pub fn config_snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            at: self.version.config,
            version: self.config.version,
            author: self.config.author.clone(),
            document: self.config.text.to_string(),
        }
    }

    /// Replaces members, owners and agents by those of a snapshot.
    pub fn apply_partitions_snapshot(&mut self, snapshot: &PartitionsSnapshot) {
        self.version.partitions = snapshot.at;
        self.members.clone_from(&snapshot.members);
        self.partitions.clone_from(&snapshot.partitions);
        self.partitions
            .resize(usize::from(PARTITIONS), Ownership::default());
        self.agents.clone_from(&snapshot.agents);
        self.agents_lost_at = snapshot.agents_lost_at;
    }

    /// Returns a snapshot of members, owners and agents.
    #[must_use]
    pub fn partitions_snapshot(&self) -> PartitionsSnapshot {
        PartitionsSnapshot {
            at: self.version.partitions,
            members: self.members.clone(),
            partitions: self.partitions.clone(),
            agents: self.agents.clone(),
            agents_lost_at: self.agents_lost_at,
        }
    }

    /// Clears members, owners and agents at an offset of stream `partitions`. Epochs continue to
    /// increase.
    pub fn reset_partitions(&mut self, offset: u64) {
        self.version.partitions = offset + 1;
        self.members.clear();
        self.agents.clear();
        self.agents_lost_at = offset + 1;
        let vacant = Ownership {
            epoch: Epoch(offset + 1),
            ..Ownership::default()
        };
        self.partitions = vec![vacant; usize::from(PARTITIONS)];
    }

    /// Applies a change from the given offset of stream `partitions`.
    pub fn apply_partitions(&mut self, offset: u64, change: &PartitionsChange) {
        self.version.partitions = offset + 1;
        match change {
            PartitionsChange::Join { member } => self.join(member),
            PartitionsChange::Leave { name, incarnation } => self.leave(name, *incarnation),
            PartitionsChange::Claim {
                owner,
                incarnation,
                partitions,
            } => self.claim(offset, owner, *incarnation, partitions, false),
            PartitionsChange::Transfer {
                owner,
                incarnation,
                claim,
            } => self.claim(offset, owner, *incarnation, &[*claim], true),
            PartitionsChange::AgentUp {
                worker,
                incarnation,
                zone,
            } => self.agent_up(offset, worker, *incarnation, zone),
            PartitionsChange::AgentDown {
                worker,
                incarnation,
            } => self.agent_down(offset, worker, *incarnation),
        }
    }

    fn leave(&mut self, name: &Name, incarnation: Incarnation) {
        let current = self.members.get(name).map(|m| m.incarnation);
        if current == Some(incarnation) {
            self.members.remove(name);
        }
    }

    fn claim(
        &mut self,
        offset: u64,
        owner: &Name,
        incarnation: Incarnation,
        claims: &[PartitionClaim],
        is_handed_over: bool,
    ) {
        let current = self.members.get(owner).map(|m| m.incarnation);
        if current != Some(incarnation) {
            return;
        }
        for claim in claims {
            let index = usize::from(claim.partition.index());
            let Some(ownership) = self.partitions.get_mut(index) else {
                continue;
            };
            if ownership.epoch == claim.previous {
                *ownership = Ownership {
                    owner: Some((owner.clone(), incarnation)),
                    epoch: Epoch(offset + 1),
                    previous: claim.previous,
                    is_handed_over,
                };
            }
        }
    }

    fn agent_up(&mut self, offset: u64, worker: &Name, incarnation: Incarnation, zone: &Name) {
        let current = self.agents.get(worker).map(|a| a.incarnation);
        if current.is_none_or(|c| c < incarnation) {
            if current.is_some() {
                self.agents_lost_at = offset + 1;
            }
            let agent = RegisteredAgent {
                incarnation,
                registered_at: offset + 1,
                zone: zone.clone(),
            };
            self.agents.insert(worker.clone(), agent);
        }
    }

    fn agent_down(&mut self, offset: u64, worker: &Name, incarnation: Incarnation) {
        let current = self.agents.get(worker).map(|a| a.incarnation);
        if current == Some(incarnation) {
            self.agents.remove(worker);
            self.agents_lost_at = offset + 1;
        }
    }

    fn join(&mut self, member: &Member) {
        let current = self.members.get(&member.name).map(|m| m.incarnation);
        if current.is_none_or(|c| c < member.incarnation) {
            self.members.insert(member.name.clone(), member.clone());
        }
    }

    /// Returns the offset after the record that registered an agent; `None` if the agent is not
    /// registered.
    #[must_use]
    pub fn registered_at(&self, worker: &Name, incarnation: Incarnation) -> Option<u64> {
        let entry = self.agents.get(worker)?;
        (entry.incarnation == incarnation).then_some(entry.registered_at)
    }

    /// Returns the part of the state that an agent needs.
    #[must_use]
    pub fn agent_view(&self, worker: &Name, incarnation: Incarnation) -> AgentView {
        let members: Vec<Member> = self.members.values().cloned().collect();
        let partitions = Partition::all()
            .map(|partition| PartitionOwner {
                member: self.owner_index(&members, partition),
                epoch: self.ownership(partition).epoch,
            })
            .collect();
        let document = self.config.document.as_ref();
        let registered_at = self.registered_at(worker, incarnation);
        AgentView {
            version: self.version,
            config_version: self.config.version,
            zones_out: document.map(|d| d.zones_out()).unwrap_or_default(),
            freshness_ms: document.map_or(0, |d| d.times.freshness_ms),
            members,
            partitions,
            registered: registered_at.is_some(),
            registered_at: registered_at.unwrap_or_default(),
        }
    }

    fn owner_index(&self, members: &[Member], partition: Partition) -> Option<u16> {
        let owner = self.owner(partition)?;
        let position = members.iter().position(|m| m.name == owner.name)?;
        u16::try_from(position).ok()
    }
}
