//! Tests of what is kept, and for how long.

use std::time::Duration;

use masticcross_basics::{AttemptId, Epoch, JobKey, Name};
use masticcross_wire::{Json, NotStartedReason, TaskOutcome};
use tokio::time::Instant;

use super::trim::UNRELEASED_LIMIT;
use super::{Attempts, KEEP_LIMIT, NewAttempt, Phase};

const ID: AttemptId = AttemptId {
    epoch: Epoch(1),
    seq: 1,
};

fn key() -> JobKey {
    JobKey::new("quote-desk", "job").expect("valid names")
}

/// A table with one attempt that ended.
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
fn what_started_is_known_until_its_job_is_released() {
    let now = Instant::now();
    let mut attempts = ended(done(), now);
    attempts.trim(now + KEEP_LIMIT);
    let phase = attempts.get(ID).map(|a| a.phase.clone());
    assert_eq!(phase, Some(Phase::Ended(TaskOutcome::ResultDropped)));
    attempts.release(&key());
    attempts.trim(now + KEEP_LIMIT);
    assert!(attempts.get(ID).is_none());
    assert_eq!(attempts.bytes(), 0);
}

#[test]
fn what_is_never_released_is_forgotten_in_the_end() {
    let now = Instant::now();
    let mut attempts = ended(done(), now);
    attempts.trim(now + KEEP_LIMIT);
    attempts.trim(now + UNRELEASED_LIMIT);
    assert!(attempts.get(ID).is_none());
}

#[test]
fn what_did_not_start_is_forgotten_early() {
    let now = Instant::now();
    let outcome = TaskOutcome::NotStarted(NotStartedReason::NoRoom);
    let mut attempts = ended(outcome, now);
    attempts.trim(now + KEEP_LIMIT);
    assert!(attempts.get(ID).is_none());
}
