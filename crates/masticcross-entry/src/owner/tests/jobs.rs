//! Tests of admission, placement, outcomes, cancellation and deadlines of jobs.

use std::time::Duration;

use masticcross_basics::{AttemptId, Code, Digest, JobKey, Name};
use masticcross_wire::{JobAnswer, Json, NotStartedReason, TaskOutcome};
use tokio::time::Instant;

use super::super::effect::Effect;
use super::super::memory::AnswerMemory;
use super::super::submit::Lookup;
use super::{EPOCH, Table, VIEW, agent, done, job, queued};
use crate::dispatch::WaitingTask;

#[test]
fn answer_contains_results_in_task_order_once_all_tasks_ended() {
    let mut table = Table::open();
    let job = job(3, true);
    let waiting = table.admit(&job);
    let attempts: Vec<_> = waiting
        .iter()
        .map(|w| table.place(w, &agent("a")))
        .collect();
    for n in [2, 0] {
        table.end_attempt(&agent("a"), &waiting[n], attempts[n], done(&n.to_string()));
        assert_eq!(
            table.answer(&job.key),
            None,
            "incomplete jobs have no answer"
        );
    }
    table.end_attempt(&agent("a"), &waiting[1], attempts[1], done("1"));
    let results: Vec<Json> = ["0", "1", "2"].map(Json::from).to_vec();
    assert_eq!(
        table.answer(&job.key),
        Some(JobAnswer::Complete(results.into()))
    );
}

#[test]
fn task_is_not_granted_before_admission_or_after_its_failure() {
    let mut table = Table::open();
    let job = job(1, true);
    table.decide(|shard, cx| drop(shard.add_job(job.clone(), job.digest(), VIEW, cx)));
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
        "a late admission must not start the task"
    );
}

#[test]
fn granted_task_is_not_granted_again() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, true));
    table.place(&waiting[0], &agent("a"));
    assert!(table.grant(&waiting[0], &agent("b")).is_none());
}

#[test]
fn end_of_another_attempt_is_ignored() {
    let mut table = Table::open();
    let job = job(1, true);
    let waiting = table.admit(&job);
    let attempt = table.place(&waiting[0], &agent("a"));
    let other = AttemptId {
        seq: attempt.seq + 100,
        ..attempt
    };
    table.end_attempt(&agent("a"), &waiting[0], other, done("crossed"));
    table.end_attempt(&agent("b"), &waiting[0], attempt, done("from elsewhere"));
    assert_eq!(table.answer(&job.key), None);
    table.end_attempt(&agent("a"), &waiting[0], attempt, done("own"));
    assert_eq!(
        table.answer(&job.key),
        Some(JobAnswer::Complete([Json::from("own")].into()))
    );
}

#[test]
fn task_that_did_not_start_is_retried_elsewhere_with_backoff() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, false));
    let attempt = table.place(&waiting[0], &agent("a"));
    let refused = TaskOutcome::NotStarted(NotStartedReason::ZoneOut);
    let requeued = queued(&table.end_attempt(&agent("a"), &waiting[0], attempt, refused.clone()));
    assert_eq!(requeued[0].avoid, [Name::from("a")]);
    let attempt = table.place(&requeued[0], &agent("b"));
    let immediate = queued(&table.end_attempt(&agent("b"), &requeued[0], attempt, refused));
    assert!(immediate.is_empty(), "the second retry waits for a backoff");
    assert_eq!(queued(&table.advance(Duration::from_millis(10))).len(), 1);
}

#[test]
fn task_already_known_to_agent_is_not_requeued_and_report_is_requested() {
    let mut table = Table::open();
    let waiting = table.admit(&job(1, true));
    let attempt = table.place(&waiting[0], &agent("a"));
    let known = TaskOutcome::NotStarted(NotStartedReason::AlreadyKnown);
    let effects = table.end_attempt(&agent("a"), &waiting[0], attempt, known);
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
                    waiting = queued(&table.end_attempt(&agent, &waiting[0], attempt, outcome));
                }
                assert_eq!(table.code(&job.key), Some((Code::$code, false)));
            }
        )*
    };
}

failures! {
    failed_task_of_non_repeatable_job_fails_job: repeatable false,
        [TaskOutcome::Failed("x".into())] => TaskFailed;
    task_that_fails_on_two_workers_fails_job: repeatable true,
        [TaskOutcome::Failed("x".into()), TaskOutcome::Failed("y".into())] => TaskFailedRepeatedly;
    dropped_result_fails_job: repeatable true, [TaskOutcome::ResultDropped] => ResultLost;
    stopped_task_fails_job: repeatable true, [TaskOutcome::Stopped] => TaskFailed;
}

#[test]
fn job_canceled_before_start_is_answered_once_its_end_is_recorded() {
    let mut table = Table::open();
    let job = job(2, true);
    let waiting = table.admit(&job);
    let effects = table.decide(|shard, cx| {
        let lookup = shard.query(EPOCH, &job.key, true, cx);
        assert!(matches!(lookup, Lookup::Join(_)));
    });
    let mut ends = effects.iter().filter_map(|e| match e {
        Effect::RecordEnd(end) => Some(end),
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
fn job_canceled_after_placement_is_not_reported_as_not_run() {
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
                table.advance(Duration::from_secs(10));
                assert_eq!(table.code(&job.key), Some((Code::DeadlineExceeded, $not_run)));
            }
        )*
    };
}

deadlines! {
    deadline_before_any_start_is_reported_as_not_run: placed false => not_run true;
    deadline_after_placement_is_not_reported_as_not_run: placed true => not_run false;
}

#[test]
fn oldest_answers_are_dropped_beyond_memory_limit() {
    let mut memory = AnswerMemory::default();
    let key = |n: usize| JobKey::new("s", &format!("j{n}")).expect("valid names");
    let now = Instant::now();
    assert!(memory.add(key(0), 60, now, 100).is_empty());
    assert_eq!(memory.add(key(1), 60, now, 100), [key(0)]);
    assert_eq!(memory.add(key(2), 200, now, 100), [key(1), key(2)]);
}

#[test]
fn submission_with_another_body_is_refused() {
    let mut table = Table::open();
    let job = job(1, true);
    table.admit(&job);
    table.decide(|shard, cx| {
        let lookup = shard.look_up(EPOCH, &job, Digest([0, 0]), cx);
        assert!(
            matches!(lookup, Lookup::Answer(JobAnswer::Refused(r)) if r.code == Code::BodyDiffers)
        );
    });
}
