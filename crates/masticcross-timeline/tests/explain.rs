//! Tests the explanations of docs/OPERATIONS.md with recorded log lines of some jobs.

use masticcross_timeline::explain::{Cause, LogLine, count_causes, lines_about};

/// Generates one test per job: its id, the messages about it in order, and the cause of its end.
macro_rules! explanations {
    ($($name:ident: $job:literal, $messages:expr, $cause:expr;)*) => {
        $(#[test] fn $name() {
            let lines = recorded_lines();
            let found = lines_about(&lines, $job);
            let messages: Vec<&str> = found.iter().map(|line| line.field("message")).collect();
            assert_eq!(messages, $messages);
            assert_eq!(found.iter().rev().find_map(|line| Cause::from_line(line)), $cause);
        })*
    };
}

fn recorded_lines() -> Vec<LogLine> {
    let text = include_str!("recorded.log");
    text.lines().filter_map(LogLine::parse).collect()
}

explanations! {
    a_job_refused_for_lack_of_capacity_is_explained: "466e3e31eb7068d4",
        ["job taken", "job given up", "job ended"], Some(Cause::NoCapacity);
    a_job_late_after_a_stalled_run_is_explained: "94c8fac76ac98c33",
        ["job taken", "stopped: hardly any progress", "run ended", "job ended"],
        Some(Cause::LateRerun);
    a_transferred_job_has_the_cause_that_the_receiver_logged: "0000a0010000000b",
        ["job transferred", "job received", "job taken", "job ended"], Some(Cause::InTime);
    a_job_refused_by_an_entry_at_its_limit_is_explained: "0000a00200000012",
        ["job refused"], Some(Cause::EntryAtLimit);
    a_job_lost_after_its_transfer_is_explained: "0000a0020000000b",
        ["job transferred", "job received", "job taken", "transferred job lost"],
        Some(Cause::TransferLost);
    a_job_without_an_end_has_no_cause: "dd6f9537f4e2939b", ["job taken"], None;
}

#[test]
fn each_ended_job_is_counted_once_by_its_cause() {
    let counts = count_causes(&recorded_lines());
    assert_eq!(
        counts.into_iter().collect::<Vec<_>>(),
        [
            (Cause::InTime, 1),
            (Cause::NoCapacity, 1),
            (Cause::EntryAtLimit, 1),
            (Cause::TransferLost, 1),
            (Cause::LateRerun, 1)
        ]
    );
}

#[test]
fn a_job_whose_origin_was_lost_is_counted_by_the_line_of_the_origin_only() {
    let line = r#"entry-b {"message": "job ended", "job": "1", "outcome": "origin_lost"}"#;
    let line = LogLine::parse(line).expect("an object");
    assert_eq!(Cause::from_line(&line), None);
}

#[test]
fn a_job_late_after_a_wait_for_a_worker_near_its_data_is_explained() {
    let cause = |wait: u64| {
        let line = format!(
            r#"entry-1 {{"message": "job ended", "outcome": "completed", "code": "0", "took_ms": "300",
            "objective_ms": "250", "first_run_ms": "40", "bad_runs": "0", "place_wait_ms": "{wait}"}}"#
        );
        LogLine::parse(&line).and_then(|line| Cause::from_line(&line))
    };
    assert_eq!(cause(40), Some(Cause::LatePlaceWait));
    assert_eq!(cause(0), Some(Cause::LateWaiting));
}
