//! Membership and claims: joins, finds lost members, and claims partitions without an owner.
//!
//! Every decision is an append whose effect depends on its place in the log, so a decision that
//! comes late or twice is harmless.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::timeline::{Event, EventKind};
use masticcross_basics::{Name, Partition};
use masticcross_config::Times;
use masticcross_ledger::{AgreedState, PartitionClaim, PartitionsChange};
use masticcross_wire::{Incarnation, Member};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use super::{Peers, preference};

/// Time from joining to the first claim, so that entries that start together share the partitions.
const CLAIM_DELAY: Duration = Duration::from_millis(300);

/// Time after which an append that shows no effect is made again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Most doublings of the patience with a member that came back after it was found lost.
const MAX_DOUBLINGS: u32 = 5;

/// Time after which an entry that was found lost joins again although it hears no other member. It
/// doubles each time.
const REJOIN_AFTER: Duration = Duration::from_secs(30);

/// One start of a member.
type MemberStart = (Name, Incarnation);

/// What a decision rests on.
pub(super) struct Situation<'a> {
    /// This entry.
    pub(super) me: &'a Member,
    /// The agreed state.
    pub(super) state: &'a AgreedState,
    /// Times in force.
    pub(super) times: &'a Times,
    /// How long each other member has been silent, and the silence that makes it count as lost.
    pub(super) silences: &'a BTreeMap<Name, Silence>,
    /// Members that shut down.
    pub(super) draining: &'a BTreeSet<Name>,
    /// True if this entry may join: it never was a member, or it is in touch with the others again.
    pub(super) may_join: bool,
    /// True if this entry has been a member for long enough to claim.
    pub(super) may_claim: bool,
}

/// How long a member has been silent, and how long it may be.
#[derive(Debug, Clone, Copy)]
pub(super) struct Silence {
    pub(super) lasts: Duration,
    pub(super) patience: Duration,
}

/// Decides what to append now.
pub(super) fn decide(situation: &Situation<'_>) -> Vec<PartitionsChange> {
    let Situation { me, state, .. } = situation;
    match state.members.get(&me.name) {
        Some(current) if current.incarnation > me.incarnation => return Vec::new(),
        Some(current) if current.incarnation == me.incarnation => {}
        _ => {
            let member = Member::clone(me);
            let join = PartitionsChange::Join { member };
            return Vec::from_iter(situation.may_join.then_some(join));
        }
    }
    let mut changes = lost_members(situation);
    changes.extend(claim(situation));
    changes
}

/// Lists the members to be recorded as left. Live entries with lower names come first; the others
/// wait, so that usually one entry appends. An entry that hears less than half of the others waits
/// longer: rather it is the one that is cut off, and the others find it lost first.
fn lost_members(situation: &Situation<'_>) -> Vec<PartitionsChange> {
    let Situation {
        me,
        silences,
        times,
        ..
    } = situation;
    let is_live = |silence: &Silence| silence.lasts <= silence.patience;
    let live_before = silences.range::<Name, _>(..&me.name);
    let live_before = live_before.filter(|(_, silence)| is_live(silence)).count();
    let mut turn = times.heartbeat() * u32::try_from(live_before).unwrap_or(u32::MAX);
    let live = silences.values().filter(|s| is_live(s)).count();
    if live * 2 < silences.len() {
        turn += times.suspect_after();
    }
    let is_lost = |silence: &Silence| silence.lasts > silence.patience + turn;
    situation
        .state
        .members
        .values()
        .filter(|member| silences.get(&member.name).is_some_and(is_lost))
        .map(|member| PartitionsChange::Leave {
            name: member.name.clone(),
            incarnation: member.incarnation,
        })
        .collect()
}

/// Claims the partitions without an owner that fall to this entry.
fn claim(situation: &Situation<'_>) -> Option<PartitionsChange> {
    let Situation { me, state, .. } = situation;
    if !situation.may_claim {
        return None;
    }
    let partitions: Vec<PartitionClaim> = Partition::all()
        .filter(|partition| state.owner(*partition).is_none())
        .filter(|partition| falls_to(situation, *partition))
        .map(|partition| PartitionClaim {
            partition,
            previous: state.ownership(partition).epoch,
        })
        .collect();
    (!partitions.is_empty()).then(|| PartitionsChange::Claim {
        owner: me.name.clone(),
        incarnation: me.incarnation,
        partitions,
    })
}

fn falls_to(situation: &Situation<'_>, partition: Partition) -> bool {
    let members = situation.state.members.values();
    let candidates = members.filter(|m| !situation.draining.contains(&m.name));
    preference::choose(partition, candidates).is_some_and(|m| m.name == situation.me.name)
}

/// Decides again and again until the future is dropped.
pub(super) async fn decide_while_running(peers: &Arc<Peers>) {
    let mut states = peers.ledger.watch();
    let mut observer = Observer::new(peers);
    loop {
        let tick = peers.ledger.times().heartbeat() / 2;
        if let Ok(Err(_)) = timeout(tick, states.changed()).await {
            return;
        }
        observer.look();
    }
}

/// What this entry remembers between two decisions.
struct Observer<'a> {
    peers: &'a Arc<Peers>,
    me: Member,
    members: BTreeMap<Name, Member>,
    member_since: Option<Instant>,
    removed_at: Option<Instant>,
    removals: u32,
    looked_at: Instant,
    found_lost: BTreeSet<MemberStart>,
    came_back: BTreeMap<MemberStart, u32>,
    proposals: Vec<Proposal>,
    appends: JoinSet<()>,
}

/// An append that was begun.
struct Proposal {
    change: PartitionsChange,
    at: Instant,
}

impl<'a> Observer<'a> {
    fn new(peers: &'a Arc<Peers>) -> Self {
        Self {
            peers,
            me: peers.identity.member(),
            members: BTreeMap::new(),
            member_since: None,
            removed_at: None,
            removals: 0,
            looked_at: Instant::now(),
            found_lost: BTreeSet::new(),
            came_back: BTreeMap::new(),
            proposals: Vec::new(),
            appends: JoinSet::new(),
        }
    }

    fn look(&mut self) {
        let times = self.peers.ledger.times();
        let state = self.peers.ledger.state();
        self.forgive_after_pause(&times);
        self.observe_members(&state);
        while self.appends.try_join_next().is_some() {}
        let age = self.peers.ledger.view_age();
        if self.peers.is_closed() || age.is_none_or(|age| age >= times.freshness()) {
            return;
        }
        let silences = self.silences(&state, &times);
        let draining = self.draining(&state);
        let situation = Situation {
            me: &self.me,
            state: &state,
            times: &times,
            silences: &silences,
            draining: &draining,
            may_join: self.may_join(&silences, &times),
            may_claim: self.may_claim(),
        };
        for change in decide(&situation) {
            self.propose(change);
        }
    }

    /// Counts silences anew if this process itself did not run for some time: it could not hear.
    fn forgive_after_pause(&mut self, times: &Times) {
        if self.looked_at.elapsed() > times.suspect_after() / 2 {
            self.peers.liveness.forgive_all();
        }
        self.looked_at = Instant::now();
    }

    /// Returns true if this entry never was found lost, or hears another member again, or has waited
    /// for long. Otherwise it would go in and out while it is cut off from the others.
    fn may_join(&self, silences: &BTreeMap<Name, Silence>, times: &Times) -> bool {
        let Some(removed_at) = self.removed_at else {
            return true;
        };
        let hears = |silence: &Silence| silence.lasts <= times.suspect_after();
        let doublings = self.removals.saturating_sub(1).min(MAX_DOUBLINGS);
        silences.is_empty()
            || silences.values().any(hears)
            || removed_at.elapsed() >= REJOIN_AFTER * (1 << doublings)
    }

    fn may_claim(&self) -> bool {
        self.member_since
            .is_some_and(|s| s.elapsed() >= CLAIM_DELAY)
    }

    /// Notes who came and who went.
    fn observe_members(&mut self, state: &AgreedState) {
        if self.members == state.members {
            return;
        }
        let before = std::mem::replace(&mut self.members, state.members.clone());
        for member in before.values().filter(|m| !is_in(&self.members, m)) {
            self.peers.timeline.record(event(EventKind::Left, member));
        }
        for member in state.members.values().filter(|m| !is_in(&before, m)) {
            self.peers.timeline.record(event(EventKind::Joined, member));
            self.peers.liveness.heard(&member.name, member.incarnation);
            let start = (member.name.clone(), member.incarnation);
            if self.found_lost.remove(&start) {
                *self.came_back.entry(start).or_default() += 1;
            }
        }
        self.peers
            .liveness
            .retain(|name| state.members.contains_key(name));
        let joined = is_in(&self.members, &self.me);
        if self.member_since.is_some() && !joined {
            self.removed_at = Some(Instant::now());
            self.removals += 1;
        }
        self.member_since = joined.then(|| self.member_since.unwrap_or_else(Instant::now));
    }

    fn silences(&self, state: &AgreedState, times: &Times) -> BTreeMap<Name, Silence> {
        let others = state.members.values().filter(|m| m.name != self.me.name);
        others
            .map(|member| {
                let start = (member.name.clone(), member.incarnation);
                let doublings = self.came_back.get(&start).copied().unwrap_or_default();
                let silence = Silence {
                    lasts: self
                        .peers
                        .liveness
                        .silence(&member.name, member.incarnation),
                    patience: times.suspect_after() * (1 << doublings.min(MAX_DOUBLINGS)),
                };
                (member.name.clone(), silence)
            })
            .collect()
    }

    fn draining(&self, state: &AgreedState) -> BTreeSet<Name> {
        let members = state.members.values();
        let draining = members.filter(|m| self.peers.is_draining(m));
        draining.map(|m| m.name.clone()).collect()
    }

    /// Begins an append, unless the same one was begun a moment ago.
    fn propose(&mut self, change: PartitionsChange) {
        self.proposals.retain(|p| p.at.elapsed() < RETRY_AFTER);
        if self.proposals.iter().any(|p| p.change == change) {
            return;
        }
        if let PartitionsChange::Leave { name, incarnation } = &change {
            log::warn!(peer = &**name; "member found lost");
            self.found_lost.insert((name.clone(), *incarnation));
        }
        self.proposals.push(Proposal {
            change: change.clone(),
            at: Instant::now(),
        });
        let ledger = self.peers.ledger.clone();
        self.appends.spawn(async move {
            if let Err(error) = ledger.append(change).await {
                log::warn!(error:%; "change of members or owners not appended");
            }
        });
    }
}

fn is_in(members: &BTreeMap<Name, Member>, member: &Member) -> bool {
    let current = members.get(&member.name).map(|m| m.incarnation);
    current == Some(member.incarnation)
}

fn event(kind: EventKind, member: &Member) -> Event {
    Event::new(kind)
        .zone(&member.zone)
        .detail(format!("entry {}", member.name))
}
