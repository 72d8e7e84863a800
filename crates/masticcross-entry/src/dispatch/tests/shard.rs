//! Tests of the admission check, quotas, failure attribution and retries.

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
use super::{SERVICE, attempt, ended, key, waiting_tasks, worker_session};

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
        shard.connect(&worker_session(&name, "near", 1, 8), now);
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

/// Runs tasks with a given run time, so that the shard has run times to estimate from.
fn run_tasks(shard: &mut Shard, tasks: u16, run: Duration, now: Instant) {
    for task in waiting_tasks("observed", "free", tasks, now) {
        shard.push(task);
    }
    for seq in 0..u64::from(tasks) {
        let placement = shard
            .next_placement(now)
            .expect("a worker with a free slot");
        shard.confirm(&placement, attempt(seq), now);
        let worker = shard
            .workers()
            .get(placement.worker)
            .expect("a known worker");
        let worker = worker.name.clone();
        let done = ended("observed", seq, TaskOutcome::Done(Json::from("0")), run);
        assert!(shard.ended(&worker, &done, now));
    }
    shard.tick(now);
}

fn refusal_code(result: Result<(), masticcross_wire::Refusal>) -> Option<Code> {
    let refusal = result.err()?;
    assert!(refusal.not_run);
    assert!(refusal.retry_after_ms.is_some());
    Some(refusal.code)
}

#[test]
fn job_is_admitted_before_run_times_are_known() {
    let (mut shard, now) = shard(1);
    assert_eq!(
        refusal_code(shard.check(&request("a", "free", 130, 10), now)),
        None
    );
}

#[test]
fn job_is_refused_without_backend_server() {
    let (mut shard, now) = shard(0);
    let result = shard.check(&request("a", "free", 1, 1000), now);
    assert_eq!(refusal_code(result), Some(Code::NoBackend));
}

#[test]
fn job_is_refused_when_queue_is_full() {
    let (mut shard, now) = shard(1);
    for id in 0..3 {
        let job = format!("job-{id}");
        let result = shard.check(&request(&job, "free", 100, 60_000), now);
        assert_eq!(refusal_code(result), None);
    }
    let result = shard.check(&request("late", "free", 1, 60_000), now);
    assert_eq!(refusal_code(result), Some(Code::Overloaded));
}

#[test]
fn deadline_below_observed_run_time_is_refused() {
    let (mut shard, now) = shard(1);
    run_tasks(&mut shard, 50, Duration::from_secs(1), now);
    let result = shard.check(&request("short", "free", 1, 500), now);
    assert_eq!(refusal_code(result), Some(Code::DeadlineUnreachable));
    let result = shard.check(&request("long", "free", 1, 5_000), now);
    assert_eq!(refusal_code(result), None);
}

#[test]
fn deadline_shorter_than_queue_wait_is_refused() {
    let (mut shard, now) = shard(1);
    run_tasks(&mut shard, 50, Duration::from_secs(1), now);
    for task in waiting_tasks("large", "free", 130, now) {
        shard.push(task);
    }
    // 130 tasks of 1 s on 8 slots take about 16 s.
    let result = shard.check(&request("next", "free", 100, 5_000), now);
    assert_eq!(refusal_code(result), Some(Code::DeadlineUnreachable));
}

#[test]
fn quota_counts_reserved_waiting_and_running_tasks() {
    let (mut shard, now) = shard(1);
    assert_eq!(
        refusal_code(shard.check(&request("a", "bound", 30, 60_000), now)),
        None
    );
    let more = request("b", "bound", 21, 60_000);
    assert_eq!(
        refusal_code(shard.check(&more, now)),
        Some(Code::QuotaExceeded)
    );
    for task in waiting_tasks("a", "bound", 30, now) {
        shard.push(task);
    }
    assert_eq!(
        refusal_code(shard.check(&more, now)),
        Some(Code::QuotaExceeded)
    );
    let placement = shard.next_placement(now).expect("a placement");
    shard.confirm(&placement, attempt(1), now);
    assert_eq!(
        refusal_code(shard.check(&more, now)),
        Some(Code::QuotaExceeded)
    );
    shard.remove(&key("a"));
    assert_eq!(refusal_code(shard.check(&more, now)), None);
}

#[test]
fn unused_reservation_expires() {
    let (mut shard, now) = shard(1);
    assert_eq!(
        refusal_code(shard.check(&request("a", "bound", 50, 60_000), now)),
        None
    );
    let later = now + Duration::from_secs(10);
    shard.tick(later);
    assert_eq!(
        refusal_code(shard.check(&request("b", "bound", 50, 60_000), later)),
        None
    );
}

/// Sends every waiting task and ends it with `outcome`. Returns the number of tasks sent.
fn end_all(shard: &mut Shard, outcome: &TaskOutcome, now: Instant) -> u64 {
    let mut seq = 0;
    while let Some(placement) = shard.next_placement(now) {
        seq += 1;
        shard.confirm(&placement, attempt(seq), now);
        let worker = shard
            .workers()
            .get(placement.worker)
            .expect("a known worker");
        let worker = worker.name.clone();
        let job = placement.task.key.job.to_string();
        let end = ended(&job, seq, outcome.clone(), Duration::ZERO);
        shard.ended(&worker, &end, now);
    }
    seq
}

#[test]
fn job_that_fails_on_all_workers_quarantines_none() {
    let (mut shard, now) = shard(4);
    for task in waiting_tasks("bad", "free", 130, now) {
        shard.push(task);
    }
    let failed = TaskOutcome::Failed("bad".to_owned());
    assert_eq!(end_all(&mut shard, &failed, now), 130);
    assert_eq!(shard.workers().count_quarantined(), (4, 0));
}

#[test]
fn only_half_of_the_workers_are_quarantined_when_all_fail() {
    let (mut shard, now) = shard(4);
    for job in 0..100 {
        for task in waiting_tasks(&format!("job-{job}"), "free", 1, now) {
            shard.push(task);
        }
    }
    let refused = TaskOutcome::NotStarted(NotStartedReason::ConnectFailed);
    end_all(&mut shard, &refused, now);
    assert_eq!(shard.workers().count_quarantined(), (4, 2));
}

#[test]
fn second_end_of_an_attempt_is_ignored() {
    let (mut shard, now) = shard(1);
    for task in waiting_tasks("a", "free", 1, now) {
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
    /// For any sequence of submissions, cancellations and sends, a team stays within its quota.
    fn team_never_exceeds_its_quota(steps: Vec<(u8, u8)>) -> bool {
        let (mut shard, now) = shard(2);
        let mut sent = 0;
        steps.iter().enumerate().all(|(id, (step, tasks))| {
            let job = format!("job-{}", id / 2);
            let tasks = u16::from(tasks % 40) + 1;
            match step % 3 {
                0 => if shard.check(&request(&job, "bound", tasks.into(), 60_000), now).is_ok() {
                    for task in waiting_tasks(&job, "bound", tasks, now) {
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

    /// Retries within the window are at most a tenth of the starts, or the fixed minimum of 3.
    fn retries_stay_within_budget(steps: Vec<(bool, u8)>) -> bool {
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
