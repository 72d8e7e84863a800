//! Selects the entries to have sessions with, and reconnects when a session ends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::Agent;
use crate::agent::Stage;
use crate::session::{self, SessionEnd};

/// Interval at which the list of entries is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Backoff after a session ended, doubled by each failed dial.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff after failed dials.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Maintains a session with each of the entries listed in the view or the settings.
pub async fn maintain_sessions(agent: Arc<Agent>) {
    let mut tasks: BTreeMap<SocketAddr, JoinHandle<()>> = BTreeMap::new();
    loop {
        let running = *agent.stage.borrow() == Stage::Running;
        let addrs_to_connect = if running { targets(&agent) } else { Vec::new() };
        tasks.retain(|_, task| !task.is_finished());
        for addr in addrs_to_connect {
            tasks
                .entry(addr)
                .or_insert_with(|| tokio::spawn(maintain_session(agent.clone(), addr)));
        }
        sleep(UPDATE_INTERVAL).await;
    }
}

/// Lists the addresses to have sessions with: the members of the view, and those of the settings
/// too while the view lists no members or no session is open.
fn targets(agent: &Agent) -> Vec<SocketAddr> {
    let view = agent.core.view().view();
    let members = view.iter().flat_map(|view| &view.members);
    let mut addrs: Vec<SocketAddr> = members.map(|member| member.addr).collect();
    if addrs.is_empty() || agent.core.sessions().is_empty() {
        addrs.extend(&agent.settings.entries);
    }
    addrs.sort_unstable();
    addrs.dedup();
    choose_subset(addrs, agent)
}

/// Reduces the entries to the number that the settings allow. The subset depends on the name of
/// the worker.
fn choose_subset(mut addrs: Vec<SocketAddr>, agent: &Agent) -> Vec<SocketAddr> {
    let max = agent.settings.max_sessions;
    if addrs.len() > max {
        let name = &agent.settings.name;
        addrs.sort_by_cached_key(|addr| hash(&(name, addr)));
        addrs.truncate(max);
    }
    addrs
}

fn hash(value: &impl std::hash::Hash) -> u64 {
    use std::hash::{BuildHasher, BuildHasherDefault};
    BuildHasherDefault::<rustc_hash::FxHasher>::default().hash_one(value)
}

/// Maintains a session with one address until the address is no longer a target.
async fn maintain_session(agent: Arc<Agent>, addr: SocketAddr) {
    let mut stage = agent.stage.subscribe();
    let mut rng = SmallRng::seed_from_u64(agent.settings.seed ^ hash(&addr));
    let mut backoff = MIN_BACKOFF;
    loop {
        let end = tokio::select! {
            biased;
            _ = stage.wait_for(|stage| *stage == Stage::Closed) => return,
            end = session::run(&agent, addr) => end,
        };
        backoff = match end {
            SessionEnd::Opened => MIN_BACKOFF,
            SessionEnd::NotOpened => (backoff * 2).min(MAX_BACKOFF),
        };
        sleep(backoff.mul_f64(rng.random_range(0.5..1.0))).await;
        if *agent.stage.borrow() != Stage::Running || !targets(&agent).contains(&addr) {
            return;
        }
    }
}
