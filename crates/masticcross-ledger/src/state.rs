//! The agreed state and the rules by which records change it.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticcross_basics::{Epoch, Name, PARTITIONS, Partition};
use masticcross_config::Document;
use masticcross_wire::{AgentView, Incarnation, Member, PartitionOwner, ViewVersion};
use serde::{Deserialize, Serialize};

use crate::record::{ConfigChange, PartitionsChange};

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgreedConfig {
    /// Version; 0 before the first document.
    pub version: u64,
    /// Who published it.
    pub author: String,
    /// The document as published.
    pub text: Arc<str>,
    /// The document as read; none before the first.
    pub document: Option<Arc<Document>>,
}

impl Default for AgreedConfig {
    fn default() -> Self {
        Self {
            version: 0,
            author: String::new(),
            text: Arc::from(""),
            document: None,
        }
    }
}

/// Who owns a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Ownership {
    /// Name and incarnation of the owner; none if nobody owns the partition.
    pub owner: Option<(Name, Incarnation)>,
    /// The owner's epoch.
    pub epoch: Epoch,
}

/// An agent that may start tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentEntry {
    /// The agent's start.
    pub incarnation: Incarnation,
    /// The worker's availability zone.
    pub zone: Name,
}

/// What all entries agree on after equally many records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgreedState {
    /// Positions after the last records applied.
    pub version: ViewVersion,
    /// The configuration in force.
    pub config: AgreedConfig,
    /// Entries that take part, by name.
    pub members: BTreeMap<Name, Member>,
    /// Owners, by position of the partition.
    pub partitions: Vec<Ownership>,
    /// Agents that may start tasks, by worker.
    pub agents: BTreeMap<Name, AgentEntry>,
}

impl Default for AgreedState {
    fn default() -> Self {
        Self {
            version: ViewVersion::default(),
            config: AgreedConfig::default(),
            members: BTreeMap::new(),
            partitions: vec![Ownership::default(); usize::from(PARTITIONS)],
            agents: BTreeMap::new(),
        }
    }
}

impl AgreedState {
    /// Returns the ownership of a partition.
    #[must_use]
    pub fn ownership(&self, partition: Partition) -> &Ownership {
        &self.partitions[usize::from(partition.index())]
    }

    /// Returns the member that owns a partition, if it still takes part.
    #[must_use]
    pub fn owner(&self, partition: Partition) -> Option<&Member> {
        let (name, incarnation) = self.ownership(partition).owner.as_ref()?;
        let member = self.members.get(name)?;
        (member.incarnation == *incarnation).then_some(member)
    }

    /// Applies a record of stream `config` at its offset. Returns true if it was accepted.
    pub fn apply_config(&mut self, offset: u64, change: &ConfigChange) -> bool {
        self.version.config = offset + 1;
        if change.base != self.config.version {
            return false;
        }
        let Ok(document) = Document::parse(&change.document) else {
            return false;
        };
        self.config = AgreedConfig {
            version: change.base + 1,
            author: change.author.clone(),
            text: Arc::from(change.document.as_str()),
            document: Some(Arc::new(document)),
        };
        true
    }

    /// Applies a record of stream `partitions` at its offset.
    pub fn apply_partitions(&mut self, offset: u64, change: &PartitionsChange) {
        self.version.partitions = offset + 1;
        match change {
            PartitionsChange::Join { member } => self.join(member),
            PartitionsChange::Leave { name, incarnation } => {
                let current = self.members.get(name).map(|m| m.incarnation);
                if current == Some(*incarnation) {
                    self.members.remove(name);
                }
            }
            PartitionsChange::Claim {
                owner,
                incarnation,
                partitions,
            } => {
                let current = self.members.get(owner).map(|m| m.incarnation);
                if current != Some(*incarnation) {
                    return;
                }
                for claim in partitions {
                    let index = usize::from(claim.partition.index());
                    let Some(ownership) = self.partitions.get_mut(index) else {
                        continue;
                    };
                    if ownership.epoch == claim.previous {
                        ownership.epoch = Epoch(offset + 1);
                        ownership.owner = Some((owner.clone(), *incarnation));
                    }
                }
            }
            PartitionsChange::AgentUp {
                worker,
                incarnation,
                zone,
            } => {
                let current = self.agents.get(worker).map(|a| a.incarnation);
                if current.is_none_or(|c| c < *incarnation) {
                    let agent = AgentEntry {
                        incarnation: *incarnation,
                        zone: zone.clone(),
                    };
                    self.agents.insert(worker.clone(), agent);
                }
            }
            PartitionsChange::AgentDown {
                worker,
                incarnation,
            } => {
                let current = self.agents.get(worker).map(|a| a.incarnation);
                if current == Some(*incarnation) {
                    self.agents.remove(worker);
                }
            }
        }
    }

    fn join(&mut self, member: &Member) {
        let current = self.members.get(&member.name).map(|m| m.incarnation);
        if current.is_none_or(|c| c < member.incarnation) {
            self.members.insert(member.name.clone(), member.clone());
        }
    }

    /// Returns the part that an agent needs.
    #[must_use]
    pub fn agent_view(&self, worker: &Name, incarnation: Incarnation) -> AgentView {
        let members: Vec<Member> = self.members.values().cloned().collect();
        let partitions = Partition::all()
            .map(|partition| PartitionOwner {
                member: self.position_of_owner(&members, partition),
                epoch: self.ownership(partition).epoch,
            })
            .collect();
        let document = self.config.document.as_ref();
        AgentView {
            version: self.version,
            config_version: self.config.version,
            zones_out: document.map(|d| d.zones_out()).unwrap_or_default(),
            freshness_ms: document.map_or(0, |d| d.times.freshness_ms),
            members,
            partitions,
            registered: self
                .agents
                .get(worker)
                .is_some_and(|a| a.incarnation == incarnation),
        }
    }

    fn position_of_owner(&self, members: &[Member], partition: Partition) -> Option<u16> {
        let owner = self.owner(partition)?;
        let position = members.iter().position(|m| m.name == owner.name)?;
        u16::try_from(position).ok()
    }
}
