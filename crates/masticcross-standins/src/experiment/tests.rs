//! Regression tests of the scheduling policy. The simulations are deterministic, so a test either
//! always passes or always fails.

use std::time::Duration;

use masticcross_basics::Code;

use super::{Action, Behaviour, Mix, Report, Setup, run};

const LOADS: [f64; 6] = [0.5, 0.7, 0.9, 1.0, 1.5, 3.0];

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn run_at_load(load: f64) -> Report {
    run(&Setup {
        load,
        duration: secs(620.0),
        ..Setup::default()
    })
}

/// Defines tests that run at a load and compare a quantile of the response time, divided by the
/// ideal, with an upper bound.
macro_rules! ratio_cases {
    ($($name:ident: $load:literal, $quantile:literal, $bound:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let ratio = run_at_load($load).ratio($quantile);
                assert!(ratio < $bound, "seed 1: {ratio} is not under {}", $bound);
            }
        )*
    };
}

ratio_cases! {
    response_at_70_percent_p50: 0.7, 0.50, 1.05;
    response_at_70_percent_p99: 0.7, 0.99, 1.25;
    response_at_90_percent_p99: 0.9, 0.99, 2.0;
}

#[test]
fn goodput_at_three_times_capacity_is_at_least_95_percent_of_the_peak() {
    let goodputs = LOADS.map(|load| run_at_load(load).goodput());
    let peak = goodputs.iter().copied().fold(0.0, f64::max);
    assert!(goodputs[5] >= 0.95 * peak, "seed 1: {goodputs:?}");
}

#[test]
fn refusals_at_three_times_capacity_have_a_retry_after_and_at_most_2_percent_of_jobs_fail() {
    let report = run_at_load(3.0);
    assert!(report.refusals() > 0);
    assert_eq!(report.refused_without_retry_after, 0);
    let jobs = report.completed + report.failures() + report.refusals();
    assert!(
        report.failures() * 50 <= jobs,
        "seed 1: {} of {jobs} jobs failed",
        report.failures()
    );
}

/// Defines tests that multiply the run times of new jobs by a factor, while the estimates are still
/// those of the old run times.
macro_rules! wrong_run_time_cases {
    ($($name:ident: $factor:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let setup = |actions| Setup {
                    load: 0.9,
                    deadline: secs(100.0),
                    warm_up: secs(60.0),
                    duration: secs(660.0),
                    actions,
                    ..Setup::default()
                };
                let steady = run(&setup(vec![(secs(0.0), Action::ScaleRunTimes($factor))]));
                let jump = run(&setup(vec![(secs(60.0), Action::ScaleRunTimes($factor))]));
                assert!(
                    jump.answered_share() >= 0.95 * steady.answered_share(),
                    "seed 1: answered share {} after the change, {} if changed from the start",
                    jump.answered_share(),
                    steady.answered_share()
                );
            }
        )*
    };
}

wrong_run_time_cases! {
    run_times_ten_times_shorter_than_estimated_cost_at_most_5_percent_of_answered_work: 0.1;
    run_times_ten_times_longer_than_estimated_cost_at_most_5_percent_of_answered_work: 10.0;
}

fn run_with_faulty_worker(behaviour: Behaviour) -> Report {
    run(&Setup {
        actions: vec![(secs(30.0), Action::SetBehaviour(3, behaviour))],
        ..Setup::default()
    })
}

#[test]
fn worker_that_fails_everything_for_10_s_fails_at_most_10_tasks_and_no_job() {
    let setup = Setup {
        actions: vec![
            (secs(30.0), Action::SetBehaviour(3, Behaviour::FailAll)),
            (secs(40.0), Action::SetBehaviour(3, Behaviour::Healthy)),
        ],
        duration: secs(60.0),
        ..Setup::default()
    };
    let report = run(&setup);
    let failures = report.task_failures.values().sum::<u64>();
    assert!(failures <= 10, "seed 1: {failures} tasks failed");
    assert_eq!(report.failures(), 0, "seed 1: {:?}", report.failed);
}

#[test]
fn worker_that_keeps_failing_fails_at_most_20_tasks_and_no_job_with_task_failed() {
    let report = run_with_faulty_worker(Behaviour::FailAll);
    let failures = report.task_failures.values().sum::<u64>();
    assert!(failures <= 20, "seed 1: {failures} tasks failed in 290 s");
    assert_eq!(report.failed.get(&Code::TaskFailed), None);
}

#[test]
fn worker_that_fails_half_of_its_tasks_fails_at_most_100() {
    let report = run_with_faulty_worker(Behaviour::FailSome(0.5));
    let failures = report.task_failures.values().sum::<u64>();
    assert!(failures <= 100, "seed 1: {failures} tasks failed in 290 s");
}

#[test]
fn worker_ten_times_slower_keeps_p95_under_1_5_times_the_ideal() {
    let report = run_with_faulty_worker(Behaviour::Slow(10.0));
    let p95 = report.ratio(0.95);
    assert!(p95 < 1.5, "seed 1: p95 {p95}");
    // One job per slot may fail, as the slots may be running tasks when the worker slows down.
    assert!(report.failures() <= 8, "seed 1: {:?}", report.failed);
}

#[test]
fn worker_that_hangs_fails_at_most_a_job_per_slot_and_12_probes() {
    let report = run_with_faulty_worker(Behaviour::Hang);
    assert!(report.failures() <= 8 + 12, "seed 1: {:?}", report.failed);
}

#[test]
fn burst_of_ten_times_the_rate_for_two_seconds_completes_99_percent_of_jobs() {
    let report = run(&Setup {
        deadline: secs(30.0),
        actions: vec![
            (secs(60.0), Action::ScaleArrivalRate(10.0)),
            (secs(62.0), Action::ScaleArrivalRate(1.0)),
        ],
        ..Setup::default()
    });
    let jobs = report.completed + report.failures() + report.refusals();
    assert!(
        report.completed * 100 >= jobs * 99,
        "seed 1: {} of {jobs} jobs completed, failed {:?}, refused {:?}",
        report.completed,
        report.failed,
        report.refused
    );
}

#[test]
fn canceling_half_of_the_jobs_keeps_p99_under_twice_the_ideal() {
    let report = run(&Setup {
        load: 0.9,
        actions: vec![(secs(60.0), Action::CancelHalf)],
        ..Setup::default()
    });
    let p99 = report.ratio(0.99);
    assert!(p99 < 2.0, "seed 1: p99 {p99}");
}

#[test]
fn zone_out_of_service_gets_no_start_and_recovers_gradually_within_two_seconds() {
    let report = run(&Setup {
        actions: vec![
            (secs(60.0), Action::ZoneOut(1)),
            (secs(120.0), Action::ZoneIn(1)),
        ],
        ..Setup::default()
    });
    assert_eq!(report.starts_between(1, secs(60.1), secs(120.0)), 0);
    let rate_before = report.starts_between(1, secs(30.0), secs(60.0)) / 30;
    let starts_after_return = report.starts_between(1, secs(120.0), secs(122.0));
    assert!(
        starts_after_return >= rate_before,
        "seed 1: {starts_after_return} starts in 2 s, {rate_before} per second before"
    );
    let first = report.starts_between(1, secs(120.0), secs(120.2));
    let slots = 3 * 8;
    assert!(
        first <= slots / 2,
        "seed 1: {first} starts in the first 0.2 s"
    );
}

#[test]
fn worker_that_disconnects_every_two_seconds_fails_no_job() {
    let reconnects = (0..50u32).flat_map(|n| {
        let at = 30.0 + f64::from(n) * 2.0;
        [
            (secs(at), Action::Disconnect(2)),
            (secs(at + 1.0), Action::Connect(2)),
        ]
    });
    let report = run(&Setup {
        deadline: secs(30.0),
        actions: reconnects.collect(),
        ..Setup::default()
    });
    assert_eq!(report.failures(), 0, "seed 1: {:?}", report.failed);
    let p95 = report.ratio(0.95);
    assert!(p95 < 1.5, "seed 1: p95 {p95}");
}

#[test]
fn teams_under_overload_get_work_in_proportion_to_their_weights() {
    let weights = vec![4, 2, 1, 1];
    let report = run(&Setup {
        load: 3.0,
        weights: weights.clone(),
        ..Setup::default()
    });
    let total: f64 = report.work_by_team.values().sum();
    for (team, weight) in weights.iter().enumerate() {
        let share = report.work_by_team[&team] / total;
        let expected = f64::from(*weight) / 8.0;
        assert!(
            (share / expected - 1.0).abs() < 0.15,
            "seed 1: team {team} got a share of {share}, expected {expected}"
        );
    }
}

#[test]
fn each_of_51_teams_gets_more_than_half_of_the_mean_work() {
    let report = run(&Setup {
        load: 1.5,
        workers: 40,
        weights: vec![1; 51],
        duration: secs(120.0),
        ..Setup::default()
    });
    let least = report
        .work_by_team
        .values()
        .copied()
        .fold(f64::MAX, f64::min);
    let mean = report.work_by_team.values().sum::<f64>() / 51.0;
    assert_eq!(report.work_by_team.len(), 51);
    assert!(least > 0.5 * mean, "seed 1: least {least}, mean {mean}");
}

#[test]
fn retries_stay_within_10_percent_of_starts() {
    let faulty = (0..5).map(|id| {
        (
            secs(30.0),
            Action::SetBehaviour(id, Behaviour::FailSome(0.5)),
        )
    });
    let report = run(&Setup {
        actions: faulty.collect(),
        ..Setup::default()
    });
    assert!(report.retries > 0);
    assert!(
        report.retries * 10 <= report.starts,
        "seed 1: {} retries for {} starts",
        report.retries,
        report.starts
    );
}

#[test]
fn demand_frames_are_under_1_percent_of_starts() {
    let report = run_at_load(0.7);
    #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
    let per_start = report.demand_frames as f64 / report.starts as f64;
    assert!(per_start < 0.01, "seed 1: {per_start} frames per start");
}

#[test]
fn wide_mix_at_half_load_has_no_failed_job() {
    let report = run(&Setup {
        load: 0.5,
        mix: Mix::Wide,
        ..Setup::default()
    });
    assert_eq!(report.failures(), 0, "seed 1: {:?}", report.failed);
}

#[test]
fn same_seed_gives_same_metrics() {
    let metrics = || {
        let report = run_at_load(0.9);
        (
            report.completed,
            report.starts,
            report.ratio(0.99).to_bits(),
        )
    };
    assert_eq!(metrics(), metrics());
}
