//! Registration of agents in the log.
//!
//! An agent starts tasks only while it is registered. An agent that no entry hears is taken off, so
//! that a new owner does not wait for it. Taking off a live agent is safe: it stops starting tasks,
//! and the entry that hears it registers it again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_ledger::{AgreedState, PartitionsChange};
use masticcross_wire::{AgentIncarnation, Frame, Incarnation};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::Peers;

/// Time for which registrations are collected into one append.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Interval at which silent agents are looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an append that shows no effect is made again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which another entry's answer holds that it does not hear an agent.
const ANSWER_HOLDS: Duration = Duration::from_secs(3);

/// Time after which another entry that hears an agent is asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(30);

/// Most agents in one record or question.
const MAX_BATCH: usize = 256;

/// An agent connected to this entry.
#[derive(Debug)]
struct Connected {
    incarnation: Incarnation,
    zone: Name,
    sessions: u32,
    proposed_at: Option<Instant>,
}

/// An agent that is registered and not connected to this entry.
#[derive(Debug)]
struct Silent {
    incarnation: Incarnation,
    since: Instant,
    heard_elsewhere_at: Option<Instant>,
    not_heard_by: BTreeMap<Name, Instant>,
}

#[derive(Debug, Default)]
struct Tables {
    connected: BTreeMap<Name, Connected>,
    silent: BTreeMap<Name, Silent>,
    limit: Duration,
}

/// Agents that this entry hears, and registered ones that it does not hear.
#[derive(Debug, Default)]
pub(super) struct Agents {
    tables: Mutex<Tables>,
    changed: Notify,
}

impl Agents {
    /// Notes that a session of an agent began.
    pub(super) fn connected(&self, worker: &Name, incarnation: Incarnation, zone: &Name) {
        let mut tables = self.tables.lock();
        match tables.connected.get_mut(worker) {
            Some(agent) if agent.incarnation > incarnation => return,
            Some(agent) if agent.incarnation == incarnation => agent.sessions += 1,
            _ => {
                let agent = Connected {
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

    /// Notes that a session of an agent ended.
    pub(super) fn disconnected(&self, worker: &Name, incarnation: Incarnation) {
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

    /// Returns those of the agents that are connected here or were so a short time ago.
    pub(super) fn heard_of(&self, asked: &[AgentIncarnation]) -> Vec<AgentIncarnation> {
        let tables = self.tables.lock();
        let heard = asked.iter().filter(|agent| tables.hears(agent));
        heard.cloned().collect()
    }

    /// Takes another entry's answer.
    pub(super) fn answered(
        &self,
        from: &Name,
        asked: &[AgentIncarnation],
        heard: &[AgentIncarnation],
    ) {
        let now = Instant::now();
        let mut tables = self.tables.lock();
        for agent in asked {
            let Some(silent) = tables.silent.get_mut(&agent.worker) else {
                continue;
            };
            if silent.incarnation != agent.incarnation {
                continue;
            }
            if heard.contains(agent) {
                silent.heard_elsewhere_at = Some(now);
                silent.not_heard_by.clear();
            } else {
                silent.not_heard_by.insert(from.clone(), now);
            }
        }
    }

    /// Lists the registrations to append now.
    fn registrations(&self, state: &AgreedState) -> Vec<PartitionsChange> {
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
                    .is_none_or(|at| at.elapsed() >= RETRY_AFTER)
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
    fn hears(&self, agent: &AgentIncarnation) -> bool {
        let connected = self.connected.get(&agent.worker);
        if connected.is_some_and(|c| c.incarnation == agent.incarnation) {
            return true;
        }
        let silent = self.silent.get(&agent.worker);
        silent.is_some_and(|s| s.incarnation == agent.incarnation && s.since.elapsed() < self.limit)
    }

    /// Notes which registered agents are not heard here.
    fn observe(&mut self, state: &AgreedState, limit: Duration) {
        self.limit = limit;
        self.silent.retain(|worker, silent| {
            let registered = state.agents.get(worker).map(|a| a.incarnation);
            registered == Some(silent.incarnation)
        });
        for (worker, agent) in &state.agents {
            let connected = self.connected.get(worker);
            if connected.is_some_and(|c| c.incarnation >= agent.incarnation) {
                self.silent.remove(worker);
                continue;
            }
            self.silent.entry(worker.clone()).or_insert_with(|| Silent {
                incarnation: agent.incarnation,
                since: Instant::now(),
                heard_elsewhere_at: None,
                not_heard_by: BTreeMap::new(),
            });
        }
    }

    /// Lists agents that have been silent for too long, as far as this entry knows.
    fn suspects(&self) -> impl Iterator<Item = (&Name, &Silent)> {
        self.silent.iter().filter(|(_, silent)| {
            let asked_lately = silent
                .heard_elsewhere_at
                .is_some_and(|at| at.elapsed() < ASK_AGAIN_AFTER);
            silent.since.elapsed() >= self.limit && !asked_lately
        })
    }
}

impl Silent {
    fn is_unheard_by_all(&self, others: &[Name]) -> bool {
        others.iter().all(|name| {
            let answered = self.not_heard_by.get(name);
            answered.is_some_and(|at| at.elapsed() < ANSWER_HOLDS)
        })
    }
}

/// Registers connected agents and takes lost ones off, until the future is dropped.
pub(super) async fn register_while_running(peers: &Arc<Peers>) {
    let mut states = peers.ledger.watch();
    let mut looked_at = Instant::now();
    loop {
        let wake = async {
            tokio::select! {
                biased;
                () = peers.agents.changed.notified() => {}
                _ = states.changed() => {}
            }
        };
        let _ = timeout(LOOK_INTERVAL, wake).await;
        sleep(COLLECT_TIME).await;
        if peers.is_closed() || !has_usable_view(peers) {
            continue;
        }
        register(peers).await;
        if looked_at.elapsed() >= LOOK_INTERVAL {
            looked_at = Instant::now();
            take_off_lost(peers).await;
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
        log::warn!(error:%; "agents not registered");
    }
}

/// Takes off agents that no entry hears. Only the first live member does so, and only after all
/// other members said that they do not hear them.
async fn take_off_lost(peers: &Peers) {
    let state = peers.ledger.state();
    let times = peers.ledger.times();
    let limit = times.suspect_after() + peers.ledger.fence();
    peers.agents.tables.lock().observe(&state, limit);
    if !is_first_live(peers, &state, times.suspect_after()) {
        return;
    }
    let others = other_names(peers, &state);
    let lost = lost_agents(peers, &others);
    if !lost.is_empty() {
        if let Err(error) = peers.ledger.append_all(lost).await {
            log::warn!(error:%; "lost agents not taken off");
        }
        return;
    }
    ask_others(peers, &others);
}

fn is_first_live(peers: &Peers, state: &AgreedState, suspect_after: Duration) -> bool {
    let me = &peers.identity.name;
    let first = state.members.values().find(|member| {
        let silence = peers.liveness.silence(&member.name, member.incarnation);
        member.name == *me || silence <= suspect_after
    });
    first.is_some_and(|member| member.name == *me)
}

fn other_names(peers: &Peers, state: &AgreedState) -> Vec<Name> {
    let names = state.members.keys();
    let others = names.filter(|name| **name != peers.identity.name);
    others.cloned().collect()
}

fn lost_agents(peers: &Peers, others: &[Name]) -> Vec<PartitionsChange> {
    let tables = peers.agents.tables.lock();
    tables
        .suspects()
        .filter(|(_, silent)| silent.is_unheard_by_all(others))
        .take(MAX_BATCH)
        .map(|(worker, silent)| PartitionsChange::AgentDown {
            worker: worker.clone(),
            incarnation: silent.incarnation,
        })
        .collect()
}

fn ask_others(peers: &Peers, others: &[Name]) {
    let tables = peers.agents.tables.lock();
    let asked: Vec<AgentIncarnation> = tables
        .suspects()
        .take(MAX_BATCH)
        .map(|(worker, silent)| AgentIncarnation {
            worker: worker.clone(),
            incarnation: silent.incarnation,
        })
        .collect();
    drop(tables);
    if asked.is_empty() {
        return;
    }
    let sessions = peers.sessions.read();
    for session in others.iter().filter_map(|name| sessions.get(name)) {
        let _ = session.send(Frame::AgentContactQuery(asked.clone()));
    }
}
