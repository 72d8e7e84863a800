//! Registers connected agents in the log, so that they may start tasks.

use std::sync::{Arc, Weak};
use std::time::Duration;

use masticcross_basics::{Digest, Name};
use masticcross_ledger::{AgreedState, PartitionsChange};
use tokio::time::{sleep, timeout};

use super::Dispatch;
use super::session::Session;

/// Wait for each member that ranks before this one, so that usually one entry alone appends.
const WAIT_PER_RANK: Duration = Duration::from_millis(300);

/// Wait after a failed append.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Wait for the record to be read back after its append.
const READ_BACK_WAIT: Duration = Duration::from_secs(2);

/// Sees to it that the log names an agent. Ends once it does.
pub async fn register(dispatch: Weak<Dispatch>, session: Arc<Session>) {
    let Some(agreement) = dispatch.upgrade().map(|d| d.agreement.clone()) else {
        return;
    };
    let mut watch = agreement.watch();
    let registered = |state: &Arc<AgreedState>| is_registered(state, &session);
    let rank = dispatch
        .upgrade()
        .map_or(0, |d| rank(&agreement.state(), &d.identity.name, &session));
    if timeout(WAIT_PER_RANK * rank, watch.wait_for(registered))
        .await
        .is_ok()
    {
        return;
    }
    while !is_registered(&agreement.state(), &session) {
        let change = PartitionsChange::AgentUp {
            worker: session.agent.worker.clone(),
            incarnation: session.agent.incarnation,
            zone: session.zone.clone(),
        };
        match agreement.append(change).await {
            Ok(_) => {
                let _ = timeout(READ_BACK_WAIT, watch.wait_for(registered)).await;
            }
            Err(error) => {
                log::warn!(worker:% = session.agent.worker, error:%; "agent is not registered");
                sleep(RETRY_WAIT).await;
            }
        }
    }
}

/// Returns true if the log names the agent, or a later start of it.
fn is_registered(state: &AgreedState, session: &Session) -> bool {
    let entry = state.agents.get(&session.agent.worker);
    entry.is_some_and(|a| a.incarnation >= session.agent.incarnation)
}

/// Returns how many members come before this one for a worker, by rendezvous hashing.
fn rank(state: &AgreedState, own: &Name, session: &Session) -> u32 {
    let weight = |name: &Name| Digest::of([name.as_bytes(), session.agent.worker.as_bytes()]).0;
    let own_weight = weight(own);
    let before = state.members.keys().filter(|n| weight(n) < own_weight);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
