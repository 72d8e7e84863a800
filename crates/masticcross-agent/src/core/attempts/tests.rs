//! Retention of ended attempts.

use std::time::Duration;

use masticcross_basics::{AttemptId, Epoch, JobKey, Name};
use masticcross_wire::{Json, NotStartedReason, TaskOutcome};
use tokio::time::Instant;

use super::trim::UNRELEASED_RETENTION;
use super::{Attempts, NewAttempt, Phase, RESULT_RETENTION};

const ID: AttemptId = AttemptId {
    epoch: Epoch(1),
    seq: 1,
};

fn key() -> JobKey {
    JobKey::new("quote-desk", "job").expect("valid names")
}

/// Returns a table with one ended attempt.
fn ended(outcome: TaskOutcome, now: Instant) -> Attempts {
    let mut attempts = Attempts::new(1 << 20);
    let new = NewAttempt {
        key: key(),
        partition: key().partition(),
        index: 0,
        id: ID,
        origin: Name::from("entry"),
    };
    attempts.insert(new, now);
    attempts.start(ID);
    attempts.end(ID, outcome, Duration::ZERO, now);
    attempts
}

fn done() -> TaskOutcome {
    TaskOutcome::Done(Json::from("1"))
}

#[test]
fn started_attempt_is_kept_without_its_result_until_its_job_is_released() {
    let now = Instant::now();
    let mut attempts = ended(done(), now);
    attempts.trim(now + RESULT_RETENTION);
    let phase = attempts.get(ID).map(|a| a.phase.clone());
    assert_eq!(phase, Some(Phase::Ended(TaskOutcome::ResultDropped)));
    attempts.release(&key());
    attempts.trim(now + RESULT_RETENTION);
    assert!(attempts.get(ID).is_none());
    assert_eq!(attempts.bytes(), 0);
}

#[test]
fn unreleased_attempt_is_evicted_after_unreleased_retention() {
    let now = Instant::now();
    let mut attempts = ended(done(), now);
    attempts.trim(now + RESULT_RETENTION);
    attempts.trim(now + UNRELEASED_RETENTION);
    assert!(attempts.get(ID).is_none());
}

#[test]
fn attempt_that_never_started_is_evicted_after_result_retention() {
    let now = Instant::now();
    let outcome = TaskOutcome::NotStarted(NotStartedReason::NoRoom);
    let mut attempts = ended(outcome, now);
    attempts.trim(now + RESULT_RETENTION);
    assert!(attempts.get(ID).is_none());
}
