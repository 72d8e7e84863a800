//! The check before an admission, quotas, blame for failures, and retries.

use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_config::Document;
use masticcross_wire::{JobRequest, Json, NotStartedReason, TaskOutcome};
use quickcheck::quickcheck;
use tokio::time::Instant;

use super::super::TeamUsage;
use super::super::budget::RetryBudget;
use super::super::queue::QueuePolicy;
use super::super::shard::{Shard, ShardSettings};
use super::super::workers::PlacementRule;
use super::{SERVICE, attempt, connected, ended, key, waiting};

const DOCUMENT: &str = r"
schema = 1
[services.quote-desk]
max_waiting_tasks = 300
[zones.near]
[teams.free]
[teams.bound]
max_tasks = 50
";

fn shard(workers: u32) -> (Shard, Instant) {
    let now = Instant::now();
    let settings = ShardSettings {
        queue: QueuePolicy::default(),
        rule: PlacementRule::default(),
        zone: Name::from("near"),
        seed: 1,
    };
    let usage = Arc::new(TeamUsage::default());
    let mut shard = Shard::new(Name::from(SERVICE), &settings, usage, now);
    let document = Document::parse(DOCUMENT).expect("a valid document");
    shard.apply_config(1, &document, now);
    for id in 0..workers {
        let name = format!("w{id}");
        shard.connect(&connected(&name, "near", 1, 8), now);
        shard.credit(&Name::from(name), 1, 1000, now);
    }
    (shard, now)
}

fn request(job: &str, team: &str, tasks: usize, deadline_ms: u32) -> JobRequest {
    JobRequest {
        key: key(job),
        team: Name::from(team),
        repeatable: true,
        deadline_ms,
        tasks: vec![Json::from("0"); tasks],
    }
}

/// Sends and ends tasks, so that the run time is known.
fn observe(shard: &mut Shard, tasks: u16, run: Duration, now: Instant) {
    for task in waiting("observed", "free", tasks, now) {
        shard.push(task);
    }
    for seq in 0..u64::from(tasks) {
        let placement = shard
            .next_placement(now)
            .expect("a worker with a free slot");
        shard.confirm(&placement, attempt(seq), now);
        let worker = shard.workers().get(placement.worker).expect("known");
        let worker = worker.name.clone();
        let done = ended("observed", seq, TaskOutcome::Done(Json::from("0")), run);
        assert!(shard.ended(&worker, &done, now));
    }
    shard.tick(now);
}

fn code(result: Result<(), masticcross_wire::Refusal>) -> Option<Code> {
    let refusal = result.err()?;
    assert!(refusal.not_run);
    assert!(refusal.retry_after_ms.is_some());
    Some(refusal.code)
}

#[test]
fn a_cold_start_accepts() {
    let (mut shard, now) = shard(1);
    assert_eq!(code(shard.check(&request("a", "free", 130, 10), now)), None);
}

#[test]
fn without_a_backend_server_a_job_is_refused() {
    let (mut shard, now) = shard(0);
    let result = shard.check(&request("a", "free", 1, 1000), now);
    assert_eq!(code(result), Some(Code::NoBackend));
}

#[test]
fn a_full_queue_refuses() {
    let (mut shard, now) = shard(1);
    for id in 0..3 {
        let job = format!("job-{id}");
        let result = shard.check(&request(&job, "free", 100, 60_000), now);
        assert_eq!(code(result), None);
    }
    let result = shard.check(&request("late", "free", 1, 60_000), now);
    assert_eq!(code(result), Some(Code::Overloaded));
}

#[test]
fn a_deadline_below_the_observed_run_time_is_refused() {
    let (mut shard, now) = shard(1);
    observe(&mut shard, 50, Duration::from_secs(1), now);
    let result = shard.check(&request("short", "free", 1, 500), now);
    assert_eq!(code(result), Some(Code::DeadlineUnreachable));
    let result = shard.check(&request("long", "free", 1, 5_000), now);
    assert_eq!(code(result), None);
}

#[test]
fn a_deadline_behind_a_long_queue_is_refused() {
    let (mut shard, now) = shard(1);
    observe(&mut shard, 50, Duration::from_secs(1), now);
    for task in waiting("large", "free", 130, now) {
        shard.push(task);
    }
    // 130 tasks of 1 s on 8 slots take 16 s.
    let result = shard.check(&request("next", "free", 100, 5_000), now);
    assert_eq!(code(result), Some(Code::DeadlineUnreachable));
}

#[test]
fn a_quota_counts_reserved_waiting_and_running_tasks() {
    let (mut shard, now) = shard(1);
    assert_eq!(
        code(shard.check(&request("a", "bound", 30, 60_000), now)),
        None
    );
    let more = request("b", "bound", 21, 60_000);
    assert_eq!(code(shard.check(&more, now)), Some(Code::QuotaExceeded));
    for task in waiting("a", "bound", 30, now) {
        shard.push(task);
    }
    assert_eq!(code(shard.check(&more, now)), Some(Code::QuotaExceeded));
    let placement = shard.next_placement(now).expect("a placement");
    shard.confirm(&placement, attempt(1), now);
    assert_eq!(code(shard.check(&more, now)), Some(Code::QuotaExceeded));
    shard.remove(&key("a"));
    assert_eq!(code(shard.check(&more, now)), None);
}

#[test]
fn a_reservation_that_is_not_used_expires() {
    let (mut shard, now) = shard(1);
    assert_eq!(
        code(shard.check(&request("a", "bound", 50, 60_000), now)),
        None
    );
    let later = now + Duration::from_secs(10);
    shard.tick(later);
    assert_eq!(
        code(shard.check(&request("b", "bound", 50, 60_000), later)),
        None
    );
}

/// Sends every waiting task and ends it with an outcome. Returns the number sent.
fn end_all(shard: &mut Shard, outcome: &TaskOutcome, now: Instant) -> u64 {
    let mut seq = 0;
    while let Some(placement) = shard.next_placement(now) {
        seq += 1;
        shard.confirm(&placement, attempt(seq), now);
        let worker = shard.workers().get(placement.worker).expect("known");
        let worker = worker.name.clone();
        let job = placement.task.key.job.to_string();
        let end = ended(&job, seq, outcome.clone(), Duration::ZERO);
        shard.ended(&worker, &end, now);
    }
    seq
}

#[test]
fn a_job_that_fails_everywhere_takes_no_worker_out() {
    let (mut shard, now) = shard(4);
    for task in waiting("bad", "free", 130, now) {
        shard.push(task);
    }
    let failed = TaskOutcome::Failed("bad".to_owned());
    assert_eq!(end_all(&mut shard, &failed, now), 130);
    assert_eq!(shard.workers().count_quarantined(), (4, 0));
}

#[test]
fn workers_that_all_fail_are_not_all_taken_out() {
    let (mut shard, now) = shard(4);
    for job in 0..100 {
        for task in waiting(&format!("job-{job}"), "free", 1, now) {
            shard.push(task);
        }
    }
    let refused = TaskOutcome::NotStarted(NotStartedReason::ConnectFailed);
    end_all(&mut shard, &refused, now);
    assert_eq!(shard.workers().count_quarantined(), (4, 2));
}

#[test]
fn an_end_counts_once() {
    let (mut shard, now) = shard(1);
    for task in waiting("a", "free", 1, now) {
        shard.push(task);
    }
    let placement = shard.next_placement(now).expect("a placement");
    shard.confirm(&placement, attempt(1), now);
    let done = TaskOutcome::Done(Json::from("0"));
    let end = ended("a", 1, done, Duration::from_millis(1));
    let worker = Name::from("w0");
    assert!(shard.ended(&worker, &end, now));
    assert!(!shard.ended(&worker, &end, now));
}

quickcheck! {
    /// Whatever is submitted, cancelled and sent, a team stays within its quota.
    fn quotas_are_never_exceeded(steps: Vec<(u8, u8)>) -> bool {
        let (mut shard, now) = shard(2);
        let mut sent = 0;
        steps.iter().enumerate().all(|(id, (step, tasks))| {
            let job = format!("job-{}", id / 2);
            let tasks = u16::from(tasks % 40) + 1;
            match step % 3 {
                0 => if shard.check(&request(&job, "bound", tasks.into(), 60_000), now).is_ok() {
                    for task in waiting(&job, "bound", tasks, now) {
                        shard.push(task);
                    }
                },
                1 => shard.remove(&key(&job)),
                _ => if let Some(placement) = shard.next_placement(now) {
                    sent += 1;
                    shard.confirm(&placement, attempt(sent), now);
                },
            }
            shard.usage.of(&Name::from("bound")) <= 50
        })
    }

    /// Over a window, retries are at most a tenth of the starts, or a few.
    fn retries_stay_within_the_budget(steps: Vec<(bool, u8)>) -> bool {
        let mut budget = RetryBudget::default();
        let now = Instant::now();
        let mut starts = 0;
        let mut retries = 0;
        steps.iter().all(|(start, tasks)| {
            if *start {
                budget.started((*tasks).into(), now);
                starts += u64::from(*tasks);
            } else {
                retries += u64::from(budget.try_retry(now));
            }
            retries <= (starts / 10).max(3)
        })
    }
}
