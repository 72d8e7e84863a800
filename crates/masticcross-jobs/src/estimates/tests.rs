//! Tests of the corrections of estimates.

use masticcross_basics::Name;

use super::{Estimates, MAX_QUEUES};

fn close(value: f64, expected: f64) -> bool {
    (value / expected - 1.0).abs() < 0.15
}

/// Guards against decisions by wrong estimates, and against ones that follow single runs.
#[test]
fn a_factor_follows_many_runs_but_neither_a_few_nor_the_tail() {
    let mut estimates = Estimates::default();
    let queue: Name = "q".into();
    for _ in 0..3 {
        estimates.add(&queue, 1.4_f64.ln());
    }
    assert!(close(estimates.factor("q"), 1.0));
    for run in 0..200 {
        let tail = if run % 33 == 0 { 7.0_f64.ln() } else { 0.0 };
        estimates.add(&queue, 1.4_f64.ln() + tail);
    }
    let factor = estimates.factor("q");
    assert!(close(factor, 1.4), "{factor}");
    assert!(close(estimates.factor("other"), 1.0));
}

/// Guards against memory that grows with the names of queues.
#[test]
fn the_number_of_queues_is_limited() {
    let mut estimates = Estimates::default();
    for queue in 0..MAX_QUEUES + 10 {
        estimates.add(&format!("q-{queue}").into(), 0.0);
    }
    assert_eq!(estimates.queues.len(), MAX_QUEUES);
}
