//! The way of a job through the table.

use std::time::Duration;

use masticcross_basics::{AttemptId, Code, Digest, JobKey, Name};
use masticcross_wire::{JobAnswer, Json, NotStartedReason, TaskOutcome};
use tokio::time::Instant;

use super::super::effect::Effect;
use super::super::memory::AnswerMemory;
use super::super::submit::Verdict;
use super::{EPOCH, Table, VIEW, agent, done, job, queued};
use crate::dispatch::WaitingTask;

#[test]
fn an_answer_is_put_together_in_task_order() {
    let mut table = Table::open();
    let job = job(3, true);
    let waiting = table.admit(&job);
    let attempts: Vec<_> = waiting
        .iter()
        .map(|w| table.place(w, &agent("a")))
        .collect();
    for n in [2, 0] {
        table.end(&agent("a"), &waiting[n], attempts[n], done(&n.to_string()));
        assert_eq!(table.answer(&job.key), None, "no partial answer");
    }
    table.end(&agent("a"), &waiting[1], attempts[1], done("1"));
    let whole: Vec<Json> = ["0", "1", "2"].map(Json::from).to_vec();
    assert_eq!(
        table.answer(&job.key),
        Some(JobAnswer::Complete(whole.into()))
    );
}

#[test]
fn nothing_starts_before_the_admission() {
    let mut table = Table::open();
    let job = job(1, true);
    table.decide(|shard, cx| drop(shard.enter(job.clone(), job.digest(), VIEW, cx)));
    let waiting = WaitingTask {
        key: job.key.clone(),
        index: 0,
        team: job.team.clone(),
        deadline: table.now + Duration::from_secs(1),
        arrived: table.now,
        job_tasks: 1,
        avoid: Vec::new(),
    };
    assert!(table.grant(&waiting, &agent("a")).is_none());
    table.decide(|shard, cx| shard.not_admitted(&job.key, EPOCH, "log is down", cx));
    table.decide(|shard, cx| shard.admitted(&job.key, EPOCH, cx));
    assert!(
        table.grant(&waiting, &agent("a")).is_none(),
        "a late reply starts nothing"
    );
}

#[test]
fn a_task_is_granted_once() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, true));
    table.place(&waiting[0], &agent("a"));
    assert!(table.grant(&waiting[0], &agent("b")).is_none());
}

#[test]
fn ends_of_other_attempts_change_nothing() {
    let mut table = Table::open();
    let job = job(1, true);
    let waiting = table.admit(&job);
    let attempt = table.place(&waiting[0], &agent("a"));
    let other = AttemptId {
        seq: attempt.seq + 100,
        ..attempt
    };
    table.end(&agent("a"), &waiting[0], other, done("crossed"));
    table.end(&agent("b"), &waiting[0], attempt, done("from elsewhere"));
    assert_eq!(table.answer(&job.key), None);
    table.end(&agent("a"), &waiting[0], attempt, done("own"));
    assert_eq!(
        table.answer(&job.key),
        Some(JobAnswer::Complete([Json::from("own")].into()))
    );
}

#[test]
fn what_did_not_start_is_placed_again_elsewhere() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, false));
    let attempt = table.place(&waiting[0], &agent("a"));
    let refused = TaskOutcome::NotStarted(NotStartedReason::ZoneOut);
    let again = queued(&table.end(&agent("a"), &waiting[0], attempt, refused.clone()));
    assert_eq!(again[0].avoid, [Name::from("a")]);
    let attempt = table.place(&again[0], &agent("b"));
    let at_once = queued(&table.end(&agent("b"), &again[0], attempt, refused));
    assert!(
        at_once.is_empty(),
        "a second refusal is followed by a pause"
    );
    assert_eq!(queued(&table.pass(Duration::from_millis(10))).len(), 1);
}

#[test]
fn a_task_that_an_agent_knows_already_is_not_placed_elsewhere() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, true));
    let attempt = table.place(&waiting[0], &agent("a"));
    let known = TaskOutcome::NotStarted(NotStartedReason::AlreadyKnown);
    let effects = table.end(&agent("a"), &waiting[0], attempt, known);
    assert!(queued(&effects).is_empty());
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, Effect::Gather(a) if *a == agent("a")))
    );
}

macro_rules! failures {
    ($($name:ident: repeatable $repeatable:literal, $outcomes:expr => $code:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut table = Table::open();
                let job = job(1, $repeatable);
                let mut waiting = table.admit(&job);
                for (n, outcome) in $outcomes.into_iter().enumerate() {
                    let agent = agent(&format!("worker-{n}"));
                    let attempt = table.place(&waiting[0], &agent);
                    waiting = queued(&table.end(&agent, &waiting[0], attempt, outcome));
                }
                assert_eq!(table.code(&job.key), Some((Code::$code, false)));
            }
        )*
    };
}

failures! {
    a_failed_task_that_may_not_be_repeated: repeatable false,
        [TaskOutcome::Failed("x".into())] => TaskFailed;
    a_task_that_fails_on_two_workers: repeatable true,
        [TaskOutcome::Failed("x".into()), TaskOutcome::Failed("y".into())] => TaskFailedRepeatedly;
    a_result_that_was_dropped: repeatable true, [TaskOutcome::ResultDropped] => ResultLost;
    a_task_that_was_stopped: repeatable true, [TaskOutcome::Stopped] => TaskFailed;
}

#[test]
fn a_cancelled_job_that_did_not_start_is_answered_once_that_is_recorded() {
    let mut table = Table::open();
    let job = job(2, true);
    let waiting = table.admit(&job);
    let effects = table.decide(|shard, cx| {
        let verdict = shard.query(EPOCH, &job.key, true, cx);
        assert!(matches!(verdict, Verdict::Join(_)));
    });
    let mut ends = effects.iter().filter_map(|e| match e {
        Effect::Ended(end) => Some(end),
        _ => None,
    });
    assert!(ends.next().is_some_and(|end| end.after_record.is_some()));
    assert!(!effects.iter().any(|e| matches!(e, Effect::Answer(..))));
    assert!(table.grant(&waiting[0], &agent("a")).is_none());
    assert_eq!(
        table.code(&job.key),
        Some((Code::CancelledBeforeStart, true))
    );
}

#[test]
fn a_cancelled_job_that_may_have_started_claims_nothing() {
    let mut table = Table::open();
    let job = job(2, true);
    let waiting = table.admit(&job);
    table.place(&waiting[0], &agent("a"));
    let effects = table.decide(|shard, cx| {
        let _ = shard.query(EPOCH, &job.key, true, cx);
    });
    assert!(effects.iter().any(|e| matches!(e, Effect::Stop(..))));
    assert_eq!(table.code(&job.key), Some((Code::Cancelled, false)));
}

macro_rules! deadlines {
    ($($name:ident: placed $placed:literal => not_run $not_run:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut table = Table::open();
                let job = job(1, true);
                let waiting = table.admit(&job);
                if $placed {
                    table.place(&waiting[0], &agent("a"));
                }
                table.pass(Duration::from_secs(10));
                assert_eq!(table.code(&job.key), Some((Code::DeadlineExceeded, $not_run)));
            }
        )*
    };
}

deadlines! {
    a_deadline_passes_before_any_start: placed false => not_run true;
    a_deadline_passes_after_a_placement: placed true => not_run false;
}

#[test]
fn the_oldest_answers_go_first() {
    let mut memory = AnswerMemory::default();
    let key = |n: usize| JobKey::new("s", &format!("j{n}")).expect("valid names");
    let now = Instant::now();
    assert!(memory.keep(key(0), 60, now, 100).is_empty());
    assert_eq!(memory.keep(key(1), 60, now, 100), [key(0)]);
    assert_eq!(memory.keep(key(2), 200, now, 100), [key(1), key(2)]);
}

#[test]
fn another_body_is_refused_whatever_became_of_the_first() {
    let mut table = Table::open();
    let job = job(1, true);
    table.admit(&job);
    table.decide(|shard, cx| {
        let verdict = shard.look_up(EPOCH, &job, Digest([0, 0]), cx);
        assert!(
            matches!(verdict, Verdict::Answer(JobAnswer::Refused(r)) if r.code == Code::BodyDiffers)
        );
    });
}
