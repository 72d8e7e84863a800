//! Tests of arrivals, traces, the checks of answers and the computation of the report.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use masticcross_basics::{Digest, Name};
use serde_json::json;

use super::arrivals::{Arrivals, Phase, Plan};
use super::caller::{Answer, CallOutcome, ConnectionFailures, check};
use super::days::{Day, phases};
use super::jobs::JobTable;
use super::mix::{Deployment, Mix, Span};
use super::report::{Recorder, Report};
use super::starts::{StartCounts, Starts};
use super::submission::{Submission, TaskSpec};
use super::trace;
use crate::backend::{StartList, start_key};
use crate::http::client::Response;

fn plan(seed: u64) -> Plan {
    Plan {
        phases: vec![Phase {
            duration: Duration::from_secs(100),
            jobs_per_second: 20.0,
            mix: Mix::preset(Deployment::Guild),
        }],
        resubmit_share: 0.25,
        seed,
        prefix: "t".to_owned(),
    }
}

fn submission(job: &str, copy: u32, run_ms: &[u32]) -> Submission {
    let task = |(value, run_ms): (u64, &u32)| TaskSpec {
        run_ms: *run_ms,
        value,
    };
    Submission {
        at: Duration::ZERO,
        job: job.to_owned(),
        copy,
        service: Name::from("quote-desk"),
        team: Name::from("desk"),
        repeatable: false,
        deadline: Duration::from_secs(1),
        tasks: (10..).zip(run_ms).map(task).collect(),
    }
}

fn outcome(answer: Answer, ms: u64) -> CallOutcome {
    CallOutcome {
        answer,
        failures: ConnectionFailures::default(),
        elapsed: Duration::from_millis(ms),
    }
}

fn complete(text: &str) -> Answer {
    let digest = Digest::of([text.as_bytes()]);
    Answer::Complete { digest }
}

fn refused(not_run: bool) -> Answer {
    Answer::Refused {
        code: 2001,
        not_run,
        detail: "busy".to_owned(),
    }
}

#[test]
fn same_seed_gives_same_arrivals() {
    let first: Vec<_> = Arrivals::new(plan(7)).collect();
    let second: Vec<_> = Arrivals::new(plan(7)).collect();
    assert_eq!(first, second);
    let other: Vec<_> = Arrivals::new(plan(8)).collect();
    assert_ne!(first, other);
}

#[test]
fn arrivals_have_the_planned_rate_order_and_resubmit_share() {
    let all: Vec<_> = Arrivals::new(plan(7)).collect();
    assert!(all.is_sorted_by_key(|s| s.at));
    let first_submissions = all.iter().filter(|s| s.copy == 0).count();
    let resubmissions = all.len() - first_submissions;
    assert!(
        (1800..2200).contains(&first_submissions),
        "{first_submissions} jobs"
    );
    assert!(
        (400..600).contains(&resubmissions),
        "{resubmissions} resubmissions"
    );
    for second in all.iter().filter(|s| s.copy == 1) {
        let first = all.iter().find(|s| s.job == second.job).expect("first");
        assert_eq!((first.copy, &first.tasks), (0, &second.tasks));
        assert_ne!(first.entry(0, 3), second.entry(0, 3));
    }
}

#[test]
fn burst_day_has_ten_times_the_rate_for_two_seconds() {
    let plan = Plan {
        phases: phases(Day::Burst, Deployment::Guild),
        ..plan(3)
    };
    let jobs_between = |from, to| {
        let arrivals = Arrivals::new(plan.clone());
        let inside = arrivals.filter(|s| s.copy == 0 && (from..to).contains(&s.at.as_secs()));
        inside.count()
    };
    let (calm, burst) = (jobs_between(0, 20), jobs_between(20, 22));
    assert!((70..130).contains(&calm), "{calm} in 20 s");
    assert!((70..130).contains(&burst), "{burst} in 2 s");
}

#[test]
fn jobs_of_every_day_have_1_to_130_tasks_of_50_to_8000_ms() {
    for deployment in [Deployment::Guild, Deployment::JalSeva] {
        for day in [Day::Calm, Day::Burst, Day::Advisory] {
            let plan = Plan {
                phases: phases(day, deployment),
                ..plan(1)
            };
            for job in Arrivals::new(plan) {
                assert!((1..=130).contains(&job.tasks.len()));
                assert!(job.tasks.iter().all(|t| (50..=8000).contains(&t.run_ms)));
            }
        }
    }
}

/// Defines tests that parse a text as a range; `None` if it is not valid.
macro_rules! span_cases {
    ($($name:ident: $text:literal => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!($text.parse::<Span>().ok(), $expected);
            }
        )*
    };
}

span_cases! {
    one_number_is_a_range_of_itself: "5" => Some(Span::new(5..=5));
    two_numbers_are_a_range: "1-130" => Some(Span::new(1..=130));
    range_in_wrong_order_is_refused: "9-1" => None;
    range_without_numbers_is_refused: "-" => None;
}

#[test]
fn written_trace_is_read_back_unchanged() {
    let mut written: Vec<_> = Arrivals::new(plan(5)).take(50).collect();
    for submission in &mut written {
        // Times in a trace are whole milliseconds.
        let ms = u64::try_from(submission.at.as_millis()).expect("milliseconds fit in u64");
        submission.at = Duration::from_millis(ms);
    }
    written[0].tasks[0].value = 77;
    let mut file = Vec::new();
    let lines = trace::write(&mut file, written.iter().cloned()).expect("write");
    assert_eq!(lines, 50);
    assert_eq!(trace::read(file.as_slice()).expect("read"), written);
}

const LINE: &str = r#"{"at_ms":5,"job":"a","service":"s","team":"t","deadline_ms":9,"tasks":[{"ms":1,"value":2}]}"#;

/// Defines tests that alter the second line of a trace and expect an error with the given text.
macro_rules! trace_cases {
    ($($name:ident: $from:literal -> $to:literal => $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let text = format!("{LINE}\n\n{}\n", LINE.replace($from, $to));
                let error = trace::read(text.as_bytes()).expect_err("error").to_string();
                assert!(error.contains("line 3") && error.contains($expected), "{error}");
            }
        )*
    };
}

trace_cases! {
    line_earlier_than_the_previous_is_refused: "\"at_ms\":5" -> "\"at_ms\":4" => "at_ms";
    line_with_invalid_job_id_is_refused: "\"a\"" -> "\"a b\"" => "job";
    line_with_invalid_team_is_refused: "\"t\"" -> "\"\"" => "team";
    line_without_tasks_is_refused: "{\"ms\":1,\"value\":2}" -> "" => "tasks";
    line_with_unknown_field_is_refused: "at_ms" -> "after_ms" => "after_ms";
    line_with_too_large_deadline_is_refused:
        "\"deadline_ms\":9" -> "\"deadline_ms\":999999999999" => "deadline_ms";
}

/// Defines tests that check a response to a job of two tasks and expect the given answer.
macro_rules! answer_cases {
    ($($name:ident: $status:literal, $body:expr => $expected:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let body = Bytes::from($body.to_string());
                let status = StatusCode::from_u16($status).expect("status");
                let answer = check(&submission("a", 0, &[1, 1]), &Response { status, body });
                assert!(matches!(answer, $expected), "got {answer:?}");
            }
        )*
    };
}

answer_cases! {
    all_results_in_order_are_complete: 200,
        json!({"job": "a", "results": [{"value": 10, "worker": "w"}, {"value": 11}]})
        => Answer::Complete { .. },
    missing_result_is_partial: 200, json!({"results": [{"value": 10}]}) => Answer::Partial,
    extra_result_is_partial: 200, json!({"results": [{"value": 10}, {"value": 11}, {"value": 12}]})
        => Answer::Partial,
    swapped_results_are_wrong_values: 200, json!({"results": [{"value": 11}, {"value": 10}]})
        => Answer::WrongValue,
    result_without_value_is_a_wrong_value: 200, json!({"results": [{"value": 10}, null]})
        => Answer::WrongValue,
    document_without_results_is_malformed: 200, json!({}) => Answer::Malformed { status: 200 },
    problem_with_not_run_true_is_a_refusal: 503,
        json!({"code": 2001, "not_run": true, "detail": ""})
        => Answer::Refused { code: 2001, not_run: true, .. },
    problem_with_not_run_false_is_a_refusal: 502, json!({"code": 3001, "not_run": false})
        => Answer::Refused { code: 3001, not_run: false, .. },
    problem_without_not_run_is_malformed: 503, json!({"code": 2001})
        => Answer::Malformed { status: 503 },
}

#[test]
fn report_has_the_counts_and_rates_of_recorded_answers() {
    let mut recorder = Recorder::new(1);
    let first = submission("a", 0, &[100, 50]);
    let resubmission = submission("a", 1, &[100, 50]);
    for submission in [&first, &resubmission] {
        recorder.record_submission(submission, false);
    }
    recorder.record_outcome(&first, &outcome(complete("x"), 110), true);
    recorder.record_outcome(&resubmission, &outcome(complete("y"), 3000), false);
    let answers = [
        refused(true),
        refused(true),
        refused(false),
        Answer::Partial,
    ];
    for answer in answers
        .into_iter()
        .chain([Answer::WrongValue, Answer::None])
    {
        let other = submission("b", 0, &[10]);
        recorder.record_submission(&other, true);
        let mut outcome = outcome(answer, 5);
        outcome.failures = ConnectionFailures {
            refused: 1,
            broken: 2,
        };
        recorder.record_outcome(&other, &outcome, true);
    }
    recorder.record_unanswered(3);
    let report = recorder.finish(Duration::from_secs(2), Duration::from_secs(4), 2, 0, None);
    assert_eq!(
        (report.submissions, report.resubmissions, report.tasks),
        (8, 1, 8)
    );
    assert_eq!((report.complete, report.late, report.differing), (2, 1, 1));
    assert_eq!(
        (report.partial, report.wrong_values, report.unanswered),
        (1, 1, 4)
    );
    assert_eq!((report.retried, report.delayed), (6, 6));
    let connections = (report.refused_connections, report.broken_connections);
    assert_eq!(connections, (6, 12));
    let counts: Vec<_> = report
        .refused
        .iter()
        .map(|r| (r.not_run, r.count))
        .collect();
    assert_eq!(counts, [(false, 1), (true, 2)]);
    assert_eq!(report.refused[0].example, "busy");
    assert_close(report.jobs_per_second, 0.25);
    assert_close(report.tasks_per_second, 0.5);
    assert_close(report.offered_slots, 0.105);
    assert_eq!(report.over_ideal.count, 1);
    assert_close(report.over_ideal.p50, 1.1);
    assert_close(report.beyond_ideal_ms.p50, 10.0);
    assert!(report.has_violations());
    assert!(report.to_string().contains("p99.9"));
}

fn assert_close(value: f64, expected: f64) {
    let error = (value - expected).abs() / expected;
    assert!(error < 0.002, "{value} is not {expected}");
}

#[test]
fn report_of_an_empty_run_is_the_default_and_serializes() {
    let report = Recorder::new(1).finish(Duration::ZERO, Duration::ZERO, 0, 0, None);
    assert!(!report.has_violations());
    assert_eq!(
        report,
        Report {
            seed: 1,
            ..Report::default()
        }
    );
    assert!(serde_json::to_string(&report).is_ok());
}

#[test]
fn differing_complete_answer_of_a_job_is_detected() {
    let mut jobs = JobTable::default();
    let first = submission("a", 0, &[1]);
    jobs.record_submission(&first);
    jobs.record_submission(&first);
    assert!(jobs.record_answer(&first, &complete("x")));
    assert!(jobs.record_answer(&first, &complete("x")));
    assert!(!jobs.record_answer(&first, &complete("y")));
    assert_eq!(jobs.len(), 1);
}

#[test]
fn doubled_starts_and_false_not_run_answers_are_counted() {
    let mut jobs = JobTable::default();
    let job = |id: &str| submission(id, 0, &[1, 1]);
    for (id, answers) in [
        ("whole", vec![complete("x")]),
        ("refused", vec![refused(true)]),
        ("refused-once", vec![refused(true), complete("x")]),
        ("false", vec![refused(true), refused(true)]),
    ] {
        for answer in answers {
            jobs.record_submission(&job(id));
            jobs.record_answer(&job(id), &answer);
        }
    }
    let key = |job, index| start_key("quote-desk", job, index);
    let mut starts = Starts::default();
    starts.add(&StartList(vec![
        (key("whole", 0), 1),
        (key("whole", 1), 1),
        (key("refused-once", 0), 1),
        (key("of another run", 0), 5),
    ]));
    starts.add(&StartList(vec![(key("whole", 1), 1), (key("false", 0), 1)]));
    let expected = StartCounts {
        starts: 5,
        doubled: 1,
        doubled_not_repeatable: 1,
        false_not_run: 1,
        missing_lists: 0,
    };
    assert_eq!(starts.compare(&jobs), expected);
}
