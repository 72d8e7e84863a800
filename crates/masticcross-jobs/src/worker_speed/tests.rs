//! Tests of the speeds of workers.

use super::{Change, GOOD_RUNS, Kinds, WorkerSpeed};
use masticcross_basics::Name;

/// Samples with the spread of run times, without a tail.
const SPREAD: [f64; 8] = [0.1, -0.5, 0.3, 0.0, -0.2, 0.6, -0.4, 0.1];

fn labels(kind: &str, rack: usize) -> [Name; 2] {
    [kind.into(), format!("r1-{rack}").into()]
}

/// Adds a number of runs around the given sample, each of another job.
fn add(speed: &mut WorkerSpeed, mean: f64, runs: usize) -> Vec<Change> {
    let first = speed.samples;
    let runs = (first..).zip(SPREAD.iter().cycle()).take(runs);
    let changes = runs.map(|(job, spread)| speed.add(mean + spread, job.into(), true));
    changes.flatten().collect()
}

fn experienced(mean: f64) -> WorkerSpeed {
    let mut speed = WorkerSpeed::default();
    assert_eq!(add(&mut speed, mean, 64), vec![]);
    speed
}

/// Twelve workers in three racks, each third one of another kind.
fn kinds(factor: f64) -> Kinds {
    let mut kinds = Kinds::default();
    for worker in 0..12 {
        let (kind, mean) = if worker % 3 == 0 {
            ("b", factor.ln())
        } else {
            ("a", 0.0)
        };
        kinds.add(&experienced(mean), &labels(kind, worker / 4));
    }
    kinds.found()
}

/// Guards against a degraded worker that keeps getting runs, and one that is kept out after it works.
#[test]
fn a_worker_that_turns_5_times_slower_is_found_within_8_runs_and_restored() {
    let mut speed = experienced(0.5);
    assert_eq!(
        add(&mut speed, 0.5 + 5.0_f64.ln(), 8),
        vec![Change::Degraded]
    );
    assert!(speed.factor() > 3.0, "{}", speed.factor());
    let good = usize::try_from(GOOD_RUNS).expect("few");
    assert_eq!(add(&mut speed, 0.5, good + 1), vec![Change::Restored]);
}

/// Guards against workers that are limited because of the tail of run times, or of a long job.
#[test]
fn neither_two_long_runs_nor_a_long_job_degrade_a_worker() {
    let mut speed = experienced(0.0);
    let long = 7.0_f64.ln();
    assert_eq!(speed.add(long, 1_000, true), None);
    assert_eq!(speed.add(long, 1_001, true), None);
    assert_eq!(add(&mut speed, 0.0, 8), vec![]);
    for _ in 0..20 {
        assert_eq!(speed.add(long, 2_000, true), None);
    }
}

/// Guards against a slow kind that counts as degraded, and a restarted worker without its kind.
#[test]
fn a_new_worker_starts_from_its_kind() {
    let kinds = kinds(2.4);
    let mut speed = WorkerSpeed::default();
    speed.set_kind(kinds.of(&labels("b", 0)));
    let b = speed.factor();
    speed.set_kind(kinds.of(&labels("a", 0)));
    let ratio = b / speed.factor();
    assert!((ratio - 2.4).abs() < 0.1, "{ratio}");
    let mut used = experienced(2.4_f64.ln());
    used.set_kind(kinds.of(&labels("b", 1)));
    assert!((used.factor() / b - 1.0).abs() < 0.01, "{}", used.factor());
    add(&mut used, 3.0, 8);
    assert!(used.is_degraded());
    assert!((used.restarted().factor() / b - 1.0).abs() < 0.01);
}

/// Guards against placements that change although the workers are nearly even.
#[test]
fn small_differences_make_no_kind() {
    for factor in [1.0, 1.15, 1.3] {
        let kinds = kinds(factor);
        assert_eq!(kinds.iter().count(), 0, "{factor}");
        let mut speed = experienced(factor.ln());
        speed.set_kind(kinds.of(&labels("b", 0)));
        assert!(
            (speed.factor() - 1.0).abs() < f64::EPSILON,
            "{}",
            speed.factor()
        );
    }
}

/// Guards against a change of the load that counts as degradation of most workers.
#[test]
fn at_most_a_third_of_the_workers_may_count_as_degraded() {
    let mut kinds = kinds(1.0);
    for _ in 0..4 {
        assert!(kinds.may_degrade());
        kinds.changed(Change::Degraded);
    }
    assert!(!kinds.may_degrade());
    kinds.changed(Change::Restored);
    assert!(kinds.may_degrade());
}

/// Guards against a degraded worker that gets no runs and so is never seen to work again.
#[test]
fn the_slowness_of_a_degraded_worker_without_runs_fades() {
    let mut speed = experienced(0.0);
    add(&mut speed, 3.0, 8);
    assert!(speed.factor() > 5.0);
    speed.fade(std::time::Duration::from_secs(8));
    assert!(speed.factor() <= 1.0);
    assert!(speed.is_degraded(), "it still gets one run at a time");
}
