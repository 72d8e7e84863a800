//! Agents that are lost and come back.

use std::time::Duration;

use masticcross_basics::Code;

use super::super::effect::Effect;
use super::{Table, agent, job, queued};

/// Loses the only agent; its registration ends.
fn lose(table: &mut Table, registration: Option<u64>) -> Vec<Effect> {
    table.decide(|shard, cx| {
        shard.agent_lost(&agent("a"), Some(3));
        shard.follow_registrations(|_| registration, cx);
    });
    table.pass(table.rules.fence)
}

#[test]
fn a_lost_session_alone_proves_nothing() {
    let mut table = Table::open();
    let job = job(1, true);
    let waiting = table.admit(&job);
    table.place(&waiting[0], &agent("a"));
    assert!(queued(&lose(&mut table, Some(3))).is_empty());
}

#[test]
fn a_lost_worker_is_proven_only_after_the_fence() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, true));
    table.place(&waiting[0], &agent("a"));
    table.decide(|shard, cx| {
        shard.agent_lost(&agent("a"), Some(3));
        shard.follow_registrations(|_| None, cx);
    });
    let early = table.rules.fence.checked_sub(Duration::from_millis(1));
    assert!(queued(&table.pass(early.expect("a fence"))).is_empty());
    assert_eq!(queued(&table.pass(Duration::from_millis(1))).len(), 1);
}

#[test]
fn a_lost_worker_fails_a_job_that_may_not_be_repeated() {
    let mut table = Table::open();
    let job = job(1, false);
    let waiting = table.admit(&job);
    table.place(&waiting[0], &agent("a"));
    lose(&mut table, None);
    assert_eq!(table.code(&job.key), Some((Code::WorkerLost, false)));
}

#[test]
fn an_agent_that_returns_without_the_attempt_never_started_it() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, false));
    table.place(&waiting[0], &agent("a"));
    table.decide(|shard, _| shard.agent_lost(&agent("a"), Some(3)));
    let effects = table.decide(|shard, cx| shard.agent_found(&agent("a"), cx));
    assert!(effects.iter().any(|e| matches!(e, Effect::Gather(_))));
    let again = table.decide(|shard, cx| shard.report_complete(&agent("a"), cx));
    assert_eq!(queued(&again).len(), 1);
}
