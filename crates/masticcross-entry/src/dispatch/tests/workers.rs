//! Tests of the selection of workers: availability, speed, failures and zones.

use std::time::Duration;

use masticcross_basics::Name;
use quickcheck::quickcheck;
use tokio::time::Instant;

use super::super::workers::{OutstandingTask, PlacementRule, WorkerId, Workers};
use super::{attempt, key, worker_session};
use masticcross_jobs::run_times::RunTimes;

/// Time after which a new worker is no longer limited to few tasks.
const RAMP_UP_TIME: Duration = Duration::from_secs(10);

fn workers(rule: PlacementRule, count: u64, credits: u64) -> (Workers, Instant) {
    let start = Instant::now();
    let mut workers = Workers::new(rule, Name::from("near"), 1);
    for id in 0..count {
        let name = format!("w{id}");
        workers.connect(&worker_session(&name, "near", 1, 8), start);
        workers.credit(&Name::from(name), 1, credits, start);
    }
    let now = start + RAMP_UP_TIME;
    workers.tick(now);
    (workers, now)
}

fn name(workers: &Workers, id: WorkerId) -> String {
    workers.get(id).expect("a worker").name.to_string()
}

fn pick(workers: &mut Workers, avoid: &[Name], now: Instant) -> Option<String> {
    let id = workers.pick(avoid, 1, now)?;
    Some(name(workers, id))
}

#[test]
fn tasks_are_spread_over_idle_workers() {
    let (mut workers, now) = workers(PlacementRule::SpeedAware, 4, 8);
    let mut picked: Vec<_> = (0..4)
        .filter_map(|_| pick(&mut workers, &[], now))
        .collect();
    picked.sort();
    assert_eq!(picked, ["w0", "w1", "w2", "w3"]);
}

#[test]
fn worker_in_zone_of_the_entry_wins_a_tie() {
    let now = Instant::now();
    let mut workers = Workers::new(PlacementRule::SpeedAware, Name::from("near"), 1);
    for (worker, zone) in [("a", "far"), ("b", "near")] {
        workers.connect(&worker_session(worker, zone, 1, 8), now);
        workers.credit(&Name::from(worker), 1, 8, now);
    }
    assert_eq!(pick(&mut workers, &[], now).as_deref(), Some("b"));
}

#[test]
fn avoided_worker_is_picked_only_without_others_in_service() {
    let (mut workers, now) = workers(PlacementRule::SpeedAware, 2, 1);
    let avoid = [Name::from("w0")];
    assert_eq!(pick(&mut workers, &avoid, now).as_deref(), Some("w1"));
    assert_eq!(pick(&mut workers, &avoid, now), None);
    workers.disconnect(&Name::from("w1"), 1, now);
    assert_eq!(pick(&mut workers, &avoid, now).as_deref(), Some("w0"));
}

#[test]
fn slow_worker_gets_only_one_task_until_many_wait() {
    let (mut workers, now) = workers(PlacementRule::SpeedAware, 2, 8);
    let slow = workers.id(&Name::from("w0")).expect("a worker");
    let mut service = RunTimes::default();
    for _ in 0..100 {
        service.add(Duration::from_millis(100));
    }
    for _ in 0..20 {
        workers.observe(slow, Duration::from_secs(1), &service, now);
    }
    let picked: Vec<_> = (0..8)
        .filter_map(|_| pick(&mut workers, &[], now))
        .collect();
    assert!(picked.iter().all(|name| name == "w1"), "{picked:?}");
    // One task is sent to measure its speed again; the next ones wait.
    assert_eq!(pick(&mut workers, &[], now).as_deref(), Some("w0"));
    assert_eq!(pick(&mut workers, &[], now), None);
    assert_eq!(workers.pick(&[], 1000, now), Some(slow));
}

/// Each case makes a change to the only worker after which it should get no task.
macro_rules! unavailable_worker_cases {
    ($($name:ident: $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (mut workers, now) = workers(PlacementRule::SpeedAware, 1, 8);
                assert!(workers.pick(&[], 1, now).is_some());
                let change: fn(&mut Workers, Name, Instant) = $change;
                change(&mut workers, Name::from("w0"), now);
                assert_eq!(workers.pick(&[], 1, now), None);
            }
        )*
    };
}

unavailable_worker_cases! {
    draining_worker_gets_no_task: |w, name, now| w.drain(&name, 1, now);
    worker_without_session_gets_no_task: |w, name, now| w.disconnect(&name, 1, now);
    paused_worker_gets_no_task: |w, name, now| w.set_paused(&name, true, now);
    worker_in_zone_out_of_service_gets_no_task: |w, _, now| {
        w.set_zones_out([Name::from("near")].into(), now);
    };
    worker_without_slots_gets_no_task: |w, _, now| {
        w.connect(&worker_session("w0", "near", 1, 0), now);
    };
    credits_of_an_older_session_are_ignored: |w, _, now| {
        w.connect(&worker_session("w0", "near", 2, 8), now);
        w.credit(&Name::from("w0"), 1, 100, now);
    };
    worker_that_failed_three_times_gets_no_task: |w, name, now| {
        let id = w.id(&name).expect("a worker");
        for _ in 0..3 {
            w.update_health(id, now, |h| h.failed(now, true));
        }
    };
}

#[test]
fn quarantined_worker_is_probed_with_single_tasks() {
    let (mut workers, start) = workers(PlacementRule::SpeedAware, 1, 100);
    let id = workers.id(&Name::from("w0")).expect("a worker");
    for _ in 0..3 {
        workers.update_health(id, start, |h| h.failed(start, true));
    }
    assert_eq!(workers.pick(&[], 1, start), None);
    let mut now = start + Duration::from_secs(1);
    for seq in 0..3 {
        workers.tick(now);
        assert_eq!(workers.pick(&[], 1, now), Some(id));
        assert_eq!(workers.pick(&[], 1, now), None, "one at a time");
        let task = OutstandingTask {
            key: key("a"),
            team: None,
            since: now,
        };
        workers.confirm(id, attempt(seq), task, now);
        assert!(workers.ended(id, attempt(seq), now).is_some());
        workers.update_health(id, now, |h| h.succeeded(now));
        now += Duration::from_millis(100);
    }
    assert!(workers.pick(&[], 1, now).is_some());
    assert!(workers.pick(&[], 1, now).is_some(), "no longer quarantined");
}

#[test]
fn zone_returned_to_service_starts_with_few_tasks() {
    let (mut workers, now) = workers(PlacementRule::SpeedAware, 1, 100);
    workers.set_zones_out([Name::from("near")].into(), now);
    workers.set_zones_out([].into(), now);
    let at_once = (0..100).filter(|_| workers.pick(&[], 1, now).is_some());
    assert_eq!(at_once.count(), 2);
    let later = now + Duration::from_secs(2);
    workers.tick(later);
    let more = (0..100).filter(|_| workers.pick(&[], 1, later).is_some());
    assert_eq!(more.count(), 6, "no more than its slots");
}

quickcheck! {
    /// The tasks sent on a session never exceed the largest total of its credits.
    fn tasks_sent_never_exceed_credits(steps: Vec<(u8, u8, u8)>) -> bool {
        let (mut workers, now) = workers(PlacementRule::SpeedAware, 4, 0);
        let mut totals = [0_u64; 4];
        let mut sent = [0_u64; 4];
        for (step, worker, value) in steps {
            let worker = usize::from(worker % 4);
            let name = Name::from(format!("w{worker}"));
            match step % 4 {
                0 => {
                    workers.credit(&name, 1, value.into(), now);
                    totals[worker] = totals[worker].max(value.into());
                }
                1 => workers.set_paused(&name, value % 2 == 0, now),
                _ => if let Some(id) = workers.pick(&[], 1, now) {
                    let picked = worker_index(&workers, id);
                    if value % 8 == 0 {
                        workers.cancel_pick(id, 1, now);
                    } else {
                        sent[picked] += 1;
                    }
                },
            }
        }
        totals.iter().zip(sent).all(|(total, sent)| sent <= *total)
    }
}

fn worker_index(workers: &Workers, id: WorkerId) -> usize {
    let name = name(workers, id);
    name.trim_start_matches('w').parse().expect("a number")
}
