//! Membership and claims: joins, detects lost members, and claims partitions without an owner.
//!
//! Every decision is an append whose effect depends on its position in the log, so a late or
//! repeated decision is harmless.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::timeline::{Event, EventKind};
use masticcross_basics::{Name, Partition};
use masticcross_config::Times;
use masticcross_ledger::{PartitionClaim, PartitionsChange, ReplicatedState};
use masticcross_wire::{Incarnation, Member};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use super::{Peers, preference};

/// Time from joining to the first claim, so that entries that start together share the partitions.
const CLAIM_DELAY: Duration = Duration::from_millis(300);

/// Time after which an append without visible effect is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of times that `lost_after` is doubled for a member that rejoined after it was
/// declared lost.
const MAX_DOUBLINGS: u32 = 5;

/// Time after which an entry that was declared lost joins again without contact to any other
/// member. It doubles with each removal.
const REJOIN_AFTER: Duration = Duration::from_secs(30);

/// One incarnation of a member.
type MemberIncarnation = (Name, Incarnation);

/// Input of [`decide`].
pub(super) struct DecisionInput<'a> {
    /// This entry.
    pub(super) this_entry: &'a Member,
    /// The replicated state.
    pub(super) state: &'a ReplicatedState,
    /// Times in force.
    pub(super) times: &'a Times,
    /// Time since the last contact with each other member, and when it counts as lost.
    pub(super) last_contacts: &'a BTreeMap<Name, LastContact>,
    /// Members that are shutting down.
    pub(super) draining: &'a BTreeSet<Name>,
    /// True if this entry may join: it has never been removed, or it is in contact with other
    /// members again, or it has waited long enough.
    pub(super) may_join: bool,
    /// True if this entry has been a member for long enough to claim.
    pub(super) may_claim: bool,
}

/// Time since the last contact with a member, and the time after which the member counts as lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastContact {
    pub(super) time_since: Duration,
    pub(super) lost_after: Duration,
}

/// Returns the changes to append now.
pub(super) fn decide(input: &DecisionInput<'_>) -> Vec<PartitionsChange> {
    let DecisionInput {
        this_entry, state, ..
    } = input;
    match state.members.get(&this_entry.name) {
        Some(current) if current.incarnation > this_entry.incarnation => return Vec::new(),
        Some(current) if current.incarnation == this_entry.incarnation => {}
        _ => {
            let member = Member::clone(this_entry);
            let join = PartitionsChange::Join { member };
            return Vec::from_iter(input.may_join.then_some(join));
        }
    }
    let mut changes = lost_members(input);
    changes.extend(claim(input));
    changes
}

/// Lists the members to remove. An entry delays the removal by one heartbeat interval for each live
/// member with a lower name, so that usually only one entry appends. An entry in contact with less
/// than half of the other members waits for the suspicion time in addition: it is probably cut off
/// itself, and the others should remove it first.
fn lost_members(input: &DecisionInput<'_>) -> Vec<PartitionsChange> {
    let DecisionInput {
        this_entry,
        last_contacts,
        times,
        ..
    } = input;
    let is_live = |contact: &LastContact| contact.time_since <= contact.lost_after;
    let live_before = last_contacts.range::<Name, _>(..&this_entry.name);
    let live_before = live_before.filter(|(_, contact)| is_live(contact)).count();
    let mut delay = times.heartbeat() * u32::try_from(live_before).unwrap_or(u32::MAX);
    let live = last_contacts
        .values()
        .filter(|contact| is_live(contact))
        .count();
    if live * 2 < last_contacts.len() {
        delay += times.suspect_after();
    }
    let is_lost = |contact: &LastContact| contact.time_since > contact.lost_after + delay;
    input
        .state
        .members
        .values()
        .filter(|member| last_contacts.get(&member.name).is_some_and(is_lost))
        .map(|member| PartitionsChange::Leave {
            name: member.name.clone(),
            incarnation: member.incarnation,
        })
        .collect()
}

/// Claims the partitions without an owner whose preferred owner is this entry.
fn claim(input: &DecisionInput<'_>) -> Option<PartitionsChange> {
    let DecisionInput {
        this_entry, state, ..
    } = input;
    if !input.may_claim {
        return None;
    }
    let partitions: Vec<PartitionClaim> = Partition::all()
        .filter(|partition| state.owner(*partition).is_none())
        .filter(|partition| is_preferred_owner(input, *partition))
        .map(|partition| PartitionClaim {
            partition,
            previous: state.ownership(partition).epoch,
        })
        .collect();
    (!partitions.is_empty()).then(|| PartitionsChange::Claim {
        owner: this_entry.name.clone(),
        incarnation: this_entry.incarnation,
        partitions,
    })
}

fn is_preferred_owner(input: &DecisionInput<'_>, partition: Partition) -> bool {
    let members = input.state.members.values();
    let candidates = members.filter(|m| !input.draining.contains(&m.name));
    preference::choose(partition, candidates).is_some_and(|m| m.name == input.this_entry.name)
}

/// Checks the membership whenever the replicated state changes, and twice per heartbeat interval. Runs
/// until the future is dropped.
pub(super) async fn monitor_membership(peers: &Arc<Peers>) {
    let mut states = peers.ledger.watch();
    let mut monitor = MembershipMonitor::new(peers);
    loop {
        let tick = peers.ledger.times().heartbeat() / 2;
        if let Ok(Err(_)) = timeout(tick, states.changed()).await {
            return;
        }
        monitor.check();
    }
}

/// State of this entry between two checks.
struct MembershipMonitor<'a> {
    peers: &'a Arc<Peers>,
    this_entry: Member,
    members: BTreeMap<Name, Member>,
    member_since: Option<Instant>,
    removed_at: Option<Instant>,
    removals: u32,
    last_check: Instant,
    declared_lost: BTreeSet<MemberIncarnation>,
    rejoins: BTreeMap<MemberIncarnation, u32>,
    proposals: Vec<Proposal>,
    appends: JoinSet<()>,
}

/// A change whose append was started.
struct Proposal {
    change: PartitionsChange,
    at: Instant,
}

impl<'a> MembershipMonitor<'a> {
    fn new(peers: &'a Arc<Peers>) -> Self {
        Self {
            peers,
            this_entry: peers.identity.member(),
            members: BTreeMap::new(),
            member_since: None,
            removed_at: None,
            removals: 0,
            last_check: Instant::now(),
            declared_lost: BTreeSet::new(),
            rejoins: BTreeMap::new(),
            proposals: Vec::new(),
            appends: JoinSet::new(),
        }
    }

    fn check(&mut self) {
        let times = self.peers.ledger.times();
        let state = self.peers.ledger.state();
        self.reset_after_pause(&times);
        self.record_member_changes(&state);
        while self.appends.try_join_next().is_some() {}
        let age = self.peers.ledger.view_age();
        if self.peers.is_closed() || age.is_none_or(|age| age >= times.freshness()) {
            return;
        }
        let last_contacts = self.last_contacts(&state, &times);
        let draining = self.draining(&state);
        let input = DecisionInput {
            this_entry: &self.this_entry,
            state: &state,
            times: &times,
            last_contacts: &last_contacts,
            draining: &draining,
            may_join: self.may_join(&last_contacts, &times),
            may_claim: self.may_claim(),
        };
        for change in decide(&input) {
            self.propose(change);
        }
    }

    /// Restarts the time since the last contact for all members if this process was suspended,
    /// because it could not receive heartbeats in that time.
    fn reset_after_pause(&mut self, times: &Times) {
        if self.last_check.elapsed() > times.suspect_after() / 2 {
            self.peers.liveness.reset_all();
        }
        self.last_check = Instant::now();
    }

    /// Returns true if this entry was never removed, is in contact with another member, or has
    /// waited long enough. Without the wait, an entry that is cut off from the others would join
    /// and be removed repeatedly.
    fn may_join(&self, last_contacts: &BTreeMap<Name, LastContact>, times: &Times) -> bool {
        let Some(removed_at) = self.removed_at else {
            return true;
        };
        let in_contact = |contact: &LastContact| contact.time_since <= times.suspect_after();
        let doublings = self.removals.saturating_sub(1).min(MAX_DOUBLINGS);
        last_contacts.is_empty()
            || last_contacts.values().any(in_contact)
            || removed_at.elapsed() >= REJOIN_AFTER * (1 << doublings)
    }

    fn may_claim(&self) -> bool {
        self.member_since
            .is_some_and(|s| s.elapsed() >= CLAIM_DELAY)
    }

    /// Records which members joined and left.
    fn record_member_changes(&mut self, state: &ReplicatedState) {
        if self.members == state.members {
            return;
        }
        let before = std::mem::replace(&mut self.members, state.members.clone());
        for member in before
            .values()
            .filter(|m| !contains_incarnation(&self.members, m))
        {
            self.peers.timeline.record(event(EventKind::Left, member));
        }
        for member in state
            .members
            .values()
            .filter(|m| !contains_incarnation(&before, m))
        {
            self.peers.timeline.record(event(EventKind::Joined, member));
            self.peers
                .liveness
                .record_contact(&member.name, member.incarnation);
            let member_incarnation = (member.name.clone(), member.incarnation);
            if self.declared_lost.remove(&member_incarnation) {
                *self.rejoins.entry(member_incarnation).or_default() += 1;
            }
        }
        self.peers
            .liveness
            .retain(|name| state.members.contains_key(name));
        let joined = contains_incarnation(&self.members, &self.this_entry);
        if self.member_since.is_some() && !joined {
            self.removed_at = Some(Instant::now());
            self.removals += 1;
        }
        self.member_since = joined.then(|| self.member_since.unwrap_or_else(Instant::now));
    }

    fn last_contacts(&self, state: &ReplicatedState, times: &Times) -> BTreeMap<Name, LastContact> {
        let others = state
            .members
            .values()
            .filter(|m| m.name != self.this_entry.name);
        others
            .map(|member| {
                let member_incarnation = (member.name.clone(), member.incarnation);
                let doublings = self
                    .rejoins
                    .get(&member_incarnation)
                    .copied()
                    .unwrap_or_default();
                let contact = LastContact {
                    time_since: self
                        .peers
                        .liveness
                        .time_since_contact(&member.name, member.incarnation),
                    lost_after: times.suspect_after() * (1 << doublings.min(MAX_DOUBLINGS)),
                };
                (member.name.clone(), contact)
            })
            .collect()
    }

    fn draining(&self, state: &ReplicatedState) -> BTreeSet<Name> {
        let members = state.members.values();
        let draining = members.filter(|m| self.peers.is_draining(m));
        draining.map(|m| m.name.clone()).collect()
    }

    /// Starts to append a change, unless the same change was proposed within [`RETRY_INTERVAL`].
    fn propose(&mut self, change: PartitionsChange) {
        self.proposals.retain(|p| p.at.elapsed() < RETRY_INTERVAL);
        if self.proposals.iter().any(|p| p.change == change) {
            return;
        }
        if let PartitionsChange::Leave { name, incarnation } = &change {
            log::warn!(peer = &**name; "member is lost");
            self.declared_lost.insert((name.clone(), *incarnation));
        }
        self.proposals.push(Proposal {
            change: change.clone(),
            at: Instant::now(),
        });
        let ledger = self.peers.ledger.clone();
        self.appends.spawn(async move {
            if let Err(error) = ledger.append(change).await {
                log::warn!(error:%; "cannot append a change of members or owners");
            }
        });
    }
}

fn contains_incarnation(members: &BTreeMap<Name, Member>, member: &Member) -> bool {
    let current = members.get(&member.name).map(|m| m.incarnation);
    current == Some(member.incarnation)
}

fn event(kind: EventKind, member: &Member) -> Event {
    Event::new(kind)
        .zone(&member.zone)
        .detail(format!("entry {}", member.name))
}
