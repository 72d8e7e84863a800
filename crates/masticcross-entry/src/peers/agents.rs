//! Registration of agents in the log.
//!
//! An agent starts tasks only while it is registered. An agent that no entry is in contact with is
//! deregistered, so that a new owner does not wait for it. Deregistering a live agent is safe: it
//! stops starting tasks, and the entry that is in contact with it registers it again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_ledger::{PartitionsChange, ReplicatedState};
use masticcross_wire::{AgentIncarnation, Frame, Incarnation};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::Peers;

/// Time during which registrations are batched into one append.
const BATCH_WINDOW: Duration = Duration::from_millis(20);

/// Interval at which disconnected agents are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an append without visible effect is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long another entry's answer that it has no contact with an agent remains valid.
const ANSWER_VALIDITY: Duration = Duration::from_secs(3);

/// Interval before other entries are queried again about an agent that one of them is in contact
/// with.
const REQUERY_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of agents in one record or query.
const MAX_BATCH: usize = 256;

/// An agent connected to this entry.
#[derive(Debug)]
struct ConnectedAgent {
    incarnation: Incarnation,
    zone: Name,
    sessions: u32,
    proposed_at: Option<Instant>,
}

/// A registered agent that is not connected to this entry.
#[derive(Debug)]
struct DisconnectedAgent {
    incarnation: Incarnation,
    since: Instant,
    in_contact_elsewhere_at: Option<Instant>,
    negative_answers: BTreeMap<Name, Instant>,
}

#[derive(Debug, Default)]
struct Tables {
    connected: BTreeMap<Name, ConnectedAgent>,
    disconnected: BTreeMap<Name, DisconnectedAgent>,
    loss_timeout: Duration,
}

/// Agents connected to this entry, and registered agents that are not.
#[derive(Debug, Default)]
pub(super) struct Agents {
    tables: Mutex<Tables>,
    changed: Notify,
}

impl Agents {
    /// Records that a session of an agent opened.
    pub(super) fn session_opened(&self, worker: &Name, incarnation: Incarnation, zone: &Name) {
        let mut tables = self.tables.lock();
        match tables.connected.get_mut(worker) {
            Some(agent) if agent.incarnation > incarnation => return,
            Some(agent) if agent.incarnation == incarnation => agent.sessions += 1,
            _ => {
                let agent = ConnectedAgent {
                    incarnation,
                    zone: zone.clone(),
                    sessions: 1,
                    proposed_at: None,
                };
                tables.connected.insert(worker.clone(), agent);
            }
        }
        drop(tables);
        self.changed.notify_one();
    }

    /// Records that a session of an agent closed.
    pub(super) fn session_closed(&self, worker: &Name, incarnation: Incarnation) {
        let mut tables = self.tables.lock();
        let Some(agent) = tables.connected.get_mut(worker) else {
            return;
        };
        if agent.incarnation != incarnation {
            return;
        }
        agent.sessions -= 1;
        if agent.sessions == 0 {
            tables.connected.remove(worker);
        }
    }

    /// Returns the queried agents that are connected to this entry or were until recently.
    pub(super) fn in_contact(&self, queried: &[AgentIncarnation]) -> Vec<AgentIncarnation> {
        let tables = self.tables.lock();
        let in_contact = queried.iter().filter(|agent| tables.is_in_contact(agent));
        in_contact.cloned().collect()
    }

    /// Records another entry's answer: which of the queried agents it is in contact with.
    pub(super) fn record_answer(
        &self,
        from: &Name,
        queried: &[AgentIncarnation],
        in_contact: &[AgentIncarnation],
    ) {
        let now = Instant::now();
        let mut tables = self.tables.lock();
        for agent in queried {
            let Some(disconnected) = tables.disconnected.get_mut(&agent.worker) else {
                continue;
            };
            if disconnected.incarnation != agent.incarnation {
                continue;
            }
            if in_contact.contains(agent) {
                disconnected.in_contact_elsewhere_at = Some(now);
                disconnected.negative_answers.clear();
            } else {
                disconnected.negative_answers.insert(from.clone(), now);
            }
        }
    }

    /// Lists the registrations to append now.
    fn registrations(&self, state: &ReplicatedState) -> Vec<PartitionsChange> {
        let mut tables = self.tables.lock();
        let missing = tables
            .connected
            .iter_mut()
            .filter(|(worker, agent)| {
                let registered = state.agents.get(*worker).map(|a| a.incarnation);
                registered.is_none_or(|r| r < agent.incarnation)
            })
            .filter(|(_, agent)| {
                agent
                    .proposed_at
                    .is_none_or(|at| at.elapsed() >= RETRY_INTERVAL)
            });
        missing
            .take(MAX_BATCH)
            .map(|(worker, agent)| {
                agent.proposed_at = Some(Instant::now());
                PartitionsChange::AgentUp {
                    worker: worker.clone(),
                    incarnation: agent.incarnation,
                    zone: agent.zone.clone(),
                }
            })
            .collect()
    }
}

impl Tables {
    fn is_in_contact(&self, agent: &AgentIncarnation) -> bool {
        let connected = self.connected.get(&agent.worker);
        if connected.is_some_and(|c| c.incarnation == agent.incarnation) {
            return true;
        }
        let disconnected = self.disconnected.get(&agent.worker);
        disconnected.is_some_and(|d| {
            d.incarnation == agent.incarnation && d.since.elapsed() < self.loss_timeout
        })
    }

    /// Updates the registered agents that are not connected to this entry.
    fn update_disconnected(&mut self, state: &ReplicatedState, loss_timeout: Duration) {
        self.loss_timeout = loss_timeout;
        self.disconnected.retain(|worker, disconnected| {
            let registered = state.agents.get(worker).map(|a| a.incarnation);
            registered == Some(disconnected.incarnation)
        });
        for (worker, agent) in &state.agents {
            let connected = self.connected.get(worker);
            if connected.is_some_and(|c| c.incarnation >= agent.incarnation) {
                self.disconnected.remove(worker);
                continue;
            }
            self.disconnected
                .entry(worker.clone())
                .or_insert_with(|| DisconnectedAgent {
                    incarnation: agent.incarnation,
                    since: Instant::now(),
                    in_contact_elsewhere_at: None,
                    negative_answers: BTreeMap::new(),
                });
        }
    }

    /// Lists the agents that have been disconnected for too long, as far as this entry knows.
    fn suspects(&self) -> impl Iterator<Item = (&Name, &DisconnectedAgent)> {
        self.disconnected.iter().filter(|(_, disconnected)| {
            let recently_in_contact = disconnected
                .in_contact_elsewhere_at
                .is_some_and(|at| at.elapsed() < REQUERY_INTERVAL);
            disconnected.since.elapsed() >= self.loss_timeout && !recently_in_contact
        })
    }
}

impl DisconnectedAgent {
    fn all_report_no_contact(&self, others: &[Name]) -> bool {
        others.iter().all(|name| {
            let answered_at = self.negative_answers.get(name);
            answered_at.is_some_and(|at| at.elapsed() < ANSWER_VALIDITY)
        })
    }
}

/// Registers connected agents and deregisters lost ones. Runs until the future is dropped.
pub(super) async fn maintain_registrations(peers: &Arc<Peers>) {
    let mut states = peers.ledger.watch();
    let mut last_check = Instant::now();
    loop {
        let wake = async {
            tokio::select! {
                biased;
                () = peers.agents.changed.notified() => {}
                _ = states.changed() => {}
            }
        };
        let _ = timeout(CHECK_INTERVAL, wake).await;
        sleep(BATCH_WINDOW).await;
        if peers.is_closed() || !has_usable_view(peers) {
            continue;
        }
        register(peers).await;
        if last_check.elapsed() >= CHECK_INTERVAL {
            last_check = Instant::now();
            deregister_lost(peers).await;
        }
    }
}

fn has_usable_view(peers: &Peers) -> bool {
    let freshness = peers.ledger.times().freshness();
    let age = peers.ledger.view_age();
    age.is_some_and(|age| age < freshness)
}

async fn register(peers: &Peers) {
    let changes = peers.agents.registrations(&peers.ledger.state());
    if changes.is_empty() {
        return;
    }
    if let Err(error) = peers.ledger.append_all(changes).await {
        log::warn!(error:%; "cannot register agents");
    }
}

/// Deregisters agents that no entry is in contact with. Only the first live member does so, and
/// only after all other members answered that they have no contact with the agent.
async fn deregister_lost(peers: &Peers) {
    let state = peers.ledger.state();
    let times = peers.ledger.times();
    let loss_timeout = times.suspect_after() + peers.ledger.fence();
    peers
        .agents
        .tables
        .lock()
        .update_disconnected(&state, loss_timeout);
    if !is_first_live(peers, &state, times.suspect_after()) {
        return;
    }
    let others = other_names(peers, &state);
    let lost = lost_agents(peers, &others);
    if !lost.is_empty() {
        if let Err(error) = peers.ledger.append_all(lost).await {
            log::warn!(error:%; "cannot deregister lost agents");
        }
        return;
    }
    query_others(peers, &others);
}

fn is_first_live(peers: &Peers, state: &ReplicatedState, suspect_after: Duration) -> bool {
    let own_name = &peers.identity.name;
    let first = state.members.values().find(|member| {
        let time_since_contact = peers
            .liveness
            .time_since_contact(&member.name, member.incarnation);
        member.name == *own_name || time_since_contact <= suspect_after
    });
    first.is_some_and(|member| member.name == *own_name)
}

fn other_names(peers: &Peers, state: &ReplicatedState) -> Vec<Name> {
    let names = state.members.keys();
    let others = names.filter(|name| **name != peers.identity.name);
    others.cloned().collect()
}

fn lost_agents(peers: &Peers, others: &[Name]) -> Vec<PartitionsChange> {
    let tables = peers.agents.tables.lock();
    tables
        .suspects()
        .filter(|(_, disconnected)| disconnected.all_report_no_contact(others))
        .take(MAX_BATCH)
        .map(|(worker, disconnected)| PartitionsChange::AgentDown {
            worker: worker.clone(),
            incarnation: disconnected.incarnation,
        })
        .collect()
}

fn query_others(peers: &Peers, others: &[Name]) {
    let tables = peers.agents.tables.lock();
    let queried: Vec<AgentIncarnation> = tables
        .suspects()
        .take(MAX_BATCH)
        .map(|(worker, disconnected)| AgentIncarnation {
            worker: worker.clone(),
            incarnation: disconnected.incarnation,
        })
        .collect();
    drop(tables);
    if queried.is_empty() {
        return;
    }
    let sessions = peers.sessions.read();
    for session in others.iter().filter_map(|name| sessions.get(name)) {
        let _ = session.send(Frame::AgentContactQuery(queried.clone()));
    }
}
