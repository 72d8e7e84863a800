//! Tests of loss and return of agents.

use std::time::Duration;

use masticcross_basics::Code;

use masticcross_wire::{AttemptReport, AttemptState};

use super::super::effect::Effect;
use super::{EPOCH, Table, agent, job, queued};

/// Disconnects the only agent, applies its present registration and waits for the fence.
fn disconnect_and_wait(table: &mut Table, registration: Option<u64>) -> Vec<Effect> {
    table.decide(|shard, cx| {
        shard.disconnect(&agent("a"), Some(3));
        shard.check_registrations(|_| registration, cx);
    });
    table.advance(table.rules.fence)
}

#[test]
fn task_is_not_requeued_while_disconnected_agent_is_registered() {
    let mut table = Table::open();
    let job = job(1, true);
    let waiting = table.admit(&job);
    table.place(&waiting[0], &agent("a"));
    assert!(queued(&disconnect_and_wait(&mut table, Some(3))).is_empty());
}

#[test]
fn task_is_requeued_only_after_fence_when_registration_ended() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, true));
    table.place(&waiting[0], &agent("a"));
    table.decide(|shard, cx| {
        shard.disconnect(&agent("a"), Some(3));
        shard.check_registrations(|_| None, cx);
    });
    let early = table.rules.fence.checked_sub(Duration::from_millis(1));
    assert!(queued(&table.advance(early.expect("a fence"))).is_empty());
    assert_eq!(queued(&table.advance(Duration::from_millis(1))).len(), 1);
}

#[test]
fn non_repeatable_job_fails_when_registration_ended() {
    let mut table = Table::open();
    let job = job(1, false);
    let waiting = table.admit(&job);
    table.place(&waiting[0], &agent("a"));
    disconnect_and_wait(&mut table, None);
    assert_eq!(table.code(&job.key), Some((Code::WorkerLost, false)));
}

#[test]
fn attempt_missing_from_report_after_reconnection_is_requeued() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, false));
    table.place(&waiting[0], &agent("a"));
    table.decide(|shard, _| shard.disconnect(&agent("a"), Some(3)));
    let effects = table.decide(|shard, cx| shard.connect(&agent("a"), cx));
    assert!(effects.iter().any(|e| matches!(e, Effect::Gather(_))));
    let report_effects = table.decide(|shard, cx| shard.report_complete(&agent("a"), cx));
    assert_eq!(queued(&report_effects).len(), 1);
}

// Guards against a task that goes on after its job was cancelled, because the stop was lost with the
// session on which it was sent.
#[test]
fn stop_lost_with_its_session_is_sent_again_after_reconnection() {
    let mut table = Table::open();
    let job = job(1, true);
    let waiting = table.admit(&job);
    let attempt = table.place(&waiting[0], &agent("a"));
    let effects = table.decide(|shard, cx| {
        let _ = shard.query(EPOCH, &job.key, true, cx);
    });
    assert!(effects.iter().any(|e| matches!(e, Effect::Stop(..))));
    table.decide(|shard, _| shard.disconnect(&agent("a"), Some(3)));
    let effects = table.decide(|shard, cx| shard.connect(&agent("a"), cx));
    assert!(effects.iter().any(|e| matches!(e, Effect::Gather(_))));
    let report = AttemptReport {
        key: job.key.clone(),
        index: waiting[0].index,
        attempt,
        state: AttemptState::Running,
    };
    let effects = table.decide(|shard, cx| shard.apply_reports(&agent("a"), vec![report], cx));
    assert!(effects.iter().any(|e| matches!(e, Effect::Stop(..))));
}
