//! Regression bounds of the policy. Each run gives the same verdict every time.

use std::time::Duration;

use masticcross_basics::Code;

use super::{Action, Behaviour, Mix, Report, Setup, run};

const LOADS: [f64; 6] = [0.5, 0.7, 0.9, 1.0, 1.5, 3.0];

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn at_load(load: f64) -> Report {
    run(&Setup {
        load,
        length: secs(620.0),
        ..Setup::default()
    })
}

/// Names a case: load, quantile of response time over the ideal, and its bound.
macro_rules! ratio_cases {
    ($($name:ident: $load:literal, $quantile:literal, $bound:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let ratio = at_load($load).ratio($quantile);
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
fn goodput_at_three_times_capacity_is_near_the_peak() {
    let goodputs = LOADS.map(|load| at_load(load).goodput());
    let peak = goodputs.iter().copied().fold(0.0, f64::max);
    assert!(goodputs[5] >= 0.95 * peak, "seed 1: {goodputs:?}");
}

#[test]
fn refusals_name_a_time_and_late_failures_are_rare() {
    let report = at_load(3.0);
    assert!(report.refusals() > 0);
    assert_eq!(report.refused_without_retry, 0);
    let jobs = report.completed + report.failures() + report.refusals();
    assert!(
        report.failures() * 50 <= jobs,
        "seed 1: {} of {jobs} admitted jobs failed",
        report.failures()
    );
}

/// Names a case: factor by which run times jump while the estimates are still the old ones.
macro_rules! wrong_run_time_cases {
    ($($name:ident: $factor:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let setup = |actions| Setup {
                    load: 0.9,
                    deadline: secs(100.0),
                    warm_up: secs(60.0),
                    length: secs(660.0),
                    actions,
                    ..Setup::default()
                };
                let steady = run(&setup(vec![(secs(0.0), Action::RunTimes($factor))]));
                let jump = run(&setup(vec![(secs(60.0), Action::RunTimes($factor))]));
                assert!(
                    jump.answered_share() >= 0.95 * steady.answered_share(),
                    "seed 1: {} against {}",
                    jump.answered_share(),
                    steady.answered_share()
                );
            }
        )*
    };
}

wrong_run_time_cases! {
    run_times_ten_times_shorter_than_known: 0.1;
    run_times_ten_times_longer_than_known: 10.0;
}

fn with_worker(behaviour: Behaviour) -> Report {
    run(&Setup {
        actions: vec![(secs(30.0), Action::Behave(3, behaviour))],
        ..Setup::default()
    })
}

#[test]
fn worker_that_fails_everything_costs_a_handful_of_tasks() {
    let setup = Setup {
        actions: vec![
            (secs(30.0), Action::Behave(3, Behaviour::FailAll)),
            (secs(40.0), Action::Behave(3, Behaviour::Good)),
        ],
        length: secs(60.0),
        ..Setup::default()
    };
    let report = run(&setup);
    let failures = report.task_failures.values().sum::<u64>();
    assert!(failures <= 10, "seed 1: {failures} tasks failed");
    assert_eq!(report.failures(), 0, "seed 1: {:?}", report.failed);
}

#[test]
fn worker_that_fails_for_long_is_probed_rarely() {
    let report = with_worker(Behaviour::FailAll);
    let failures = report.task_failures.values().sum::<u64>();
    assert!(failures <= 20, "seed 1: {failures} tasks failed in 290 s");
    assert_eq!(report.failed.get(&Code::TaskFailed), None);
}

#[test]
fn worker_that_fails_half_is_taken_out() {
    let report = with_worker(Behaviour::FailSome(0.5));
    let failures = report.task_failures.values().sum::<u64>();
    assert!(failures <= 100, "seed 1: {failures} tasks failed in 290 s");
}

#[test]
fn slow_worker_hardly_delays_jobs() {
    let report = with_worker(Behaviour::Slow(10.0));
    let p95 = report.ratio(0.95);
    assert!(p95 < 1.5, "seed 1: p95 {p95}");
    // Its slots may hold tasks when it slows down.
    assert!(report.failures() <= 8, "seed 1: {:?}", report.failed);
}

#[test]
fn worker_that_hangs_costs_its_slots_and_a_few_probes() {
    let report = with_worker(Behaviour::Hang);
    assert!(report.failures() <= 8 + 12, "seed 1: {:?}", report.failed);
}

#[test]
fn burst_of_ten_times_for_two_seconds_passes() {
    let report = run(&Setup {
        deadline: secs(30.0),
        actions: vec![
            (secs(60.0), Action::Rate(10.0)),
            (secs(62.0), Action::Rate(1.0)),
        ],
        ..Setup::default()
    });
    let jobs = report.completed + report.failures() + report.refusals();
    assert!(
        report.completed * 100 >= jobs * 99,
        "seed 1: {} of {jobs}, failed {:?}, refused {:?}",
        report.completed,
        report.failed,
        report.refused
    );
}

#[test]
fn wave_of_cancellations_leaves_the_rest_alone() {
    let report = run(&Setup {
        load: 0.9,
        actions: vec![(secs(60.0), Action::CancelHalf)],
        ..Setup::default()
    });
    let p99 = report.ratio(0.99);
    assert!(p99 < 2.0, "seed 1: p99 {p99}");
}

#[test]
fn zone_gets_no_start_while_out_and_is_back_within_two_seconds() {
    let report = run(&Setup {
        actions: vec![
            (secs(60.0), Action::ZoneOut(1)),
            (secs(120.0), Action::ZoneBack(1)),
        ],
        ..Setup::default()
    });
    assert_eq!(report.starts_in(1, secs(60.1), secs(120.0)), 0);
    let usual = report.starts_in(1, secs(30.0), secs(60.0)) / 30;
    let back = report.starts_in(1, secs(120.0), secs(122.0));
    assert!(back >= usual, "seed 1: {back} against {usual} a second");
    let first = report.starts_in(1, secs(120.0), secs(120.2));
    let slots = 3 * 8;
    assert!(first <= slots / 2, "seed 1: {first} starts at once");
}

#[test]
fn backend_server_that_flaps_costs_no_job() {
    let flaps = (0..50u32).flat_map(|n| {
        let at = 30.0 + f64::from(n) * 2.0;
        [
            (secs(at), Action::Disconnect(2)),
            (secs(at + 1.0), Action::Connect(2)),
        ]
    });
    let report = run(&Setup {
        deadline: secs(30.0),
        actions: flaps.collect(),
        ..Setup::default()
    });
    assert_eq!(report.failures(), 0, "seed 1: {:?}", report.failed);
    let p95 = report.ratio(0.95);
    assert!(p95 < 1.5, "seed 1: p95 {p95}");
}

#[test]
fn teams_get_their_shares_under_overload() {
    let weights = vec![4, 2, 1, 1];
    let report = run(&Setup {
        load: 3.0,
        weights: weights.clone(),
        ..Setup::default()
    });
    let total: f64 = report.work_by_team.values().sum();
    for (team, weight) in weights.iter().enumerate() {
        let share = report.work_by_team[&team] / total;
        let fair = f64::from(*weight) / 8.0;
        assert!(
            (share / fair - 1.0).abs() < 0.15,
            "seed 1: team {team} got {share} of {fair}"
        );
    }
}

#[test]
fn fifty_one_teams_are_all_served() {
    let report = run(&Setup {
        load: 1.5,
        workers: 40,
        weights: vec![1; 51],
        length: secs(120.0),
        ..Setup::default()
    });
    let least = report
        .work_by_team
        .values()
        .copied()
        .fold(f64::MAX, f64::min);
    let mean = report.work_by_team.values().sum::<f64>() / 51.0;
    assert_eq!(report.work_by_team.len(), 51);
    assert!(least > 0.5 * mean, "seed 1: {least} against {mean}");
}

#[test]
fn retries_stay_within_the_budget() {
    let bad = (0..5).map(|id| (secs(30.0), Action::Behave(id, Behaviour::FailSome(0.5))));
    let report = run(&Setup {
        actions: bad.collect(),
        ..Setup::default()
    });
    assert!(report.retries > 0);
    assert!(
        report.retries * 10 <= report.starts,
        "seed 1: {} of {}",
        report.retries,
        report.starts
    );
}

#[test]
fn agents_are_seldom_told_of_demand() {
    let report = at_load(0.7);
    #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
    let wasted = report.demands as f64 / report.starts as f64;
    assert!(wasted < 0.01, "seed 1: {wasted} a task");
}

#[test]
fn wide_mix_completes_at_half_load() {
    let report = run(&Setup {
        load: 0.5,
        mix: Mix::Wide,
        ..Setup::default()
    });
    assert_eq!(report.failures(), 0, "seed 1: {:?}", report.failed);
}

#[test]
fn same_seed_gives_same_figures() {
    let figures = || {
        let report = at_load(0.9);
        (
            report.completed,
            report.starts,
            report.ratio(0.99).to_bits(),
        )
    };
    assert_eq!(figures(), figures());
}
