//! Tests of parsing submissions and serializing results.

use masticcross_basics::{Code, JobKey};
use masticcross_config::{Document, Service, samples};

use super::submission::{parse, results_json};

fn service() -> Service {
    let doc = Document::parse(samples::GUILD).expect("the sample is valid");
    doc.services["quote-desk"].clone()
}

fn key() -> JobKey {
    JobKey::new("quote-desk", "order-17").expect("valid names")
}

/// Generates one test for each malformed body, with the expected code and a word that the detail
/// must contain.
macro_rules! malformed_body_tests {
    ($($name:ident: $body:expr => $code:ident, $word:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let problem = parse(key(), &service(), $body.as_bytes()).expect_err("malformed");
                assert_eq!(problem.code, Code::$code);
                assert!(problem.not_run, "nothing of a malformed request runs");
                assert!(problem.detail.contains($word), "{}", problem.detail);
            }
        )*
    };
}

fn tasks(count: usize) -> String {
    let tasks = vec![r#"{"payload":1}"#; count].join(",");
    format!(r#"{{"team":"desk","tasks":[{tasks}]}}"#)
}

malformed_body_tests! {
    rejects_text_that_is_not_json: "{" => MalformedBody, "EOF";
    rejects_a_second_value: format!("{} 1", tasks(1)) => MalformedBody, "trailing";
    rejects_a_missing_team: r#"{"tasks":[{"payload":1}]}"# => MalformedBody, "team";
    rejects_a_team_of_wrong_type: r#"{"team":7,"tasks":[]}"# => MalformedBody, "team";
    rejects_a_bad_team_name: r#"{"team":"a b","tasks":[{"payload":1}]}"# => InvalidField, "team";
    rejects_an_unknown_field: r#"{"team":"desk","tsks":[]}"# => MalformedBody, "tsks";
    rejects_an_unknown_task_field:
        r#"{"team":"desk","tasks":[{"payload":1,"x":2}]}"# => MalformedBody, "tasks[0]";
    rejects_a_task_without_payload: r#"{"team":"desk","tasks":[{}]}"# => MalformedBody, "payload";
    rejects_a_job_without_tasks: tasks(0) => TaskCount, "has 0";
    rejects_131_tasks: tasks(131) => TaskCount, "has 131";
    rejects_a_deadline_of_zero:
        r#"{"team":"desk","deadline_ms":0,"tasks":[{"payload":1}]}"# => InvalidField, "deadline_ms";
    rejects_a_deadline_over_the_limit:
        r#"{"team":"desk","deadline_ms":30001,"tasks":[{"payload":1}]}"# => InvalidField, "30000";
    rejects_a_negative_deadline:
        r#"{"team":"desk","deadline_ms":-1,"tasks":[{"payload":1}]}"# => MalformedBody, "deadline_ms";
}

#[test]
fn accepts_1_to_130_tasks_and_applies_defaults() {
    for count in [1, 130] {
        let request = parse(key(), &service(), tasks(count).as_bytes()).expect("valid");
        assert_eq!(request.tasks.len(), count);
        assert!(request.repeatable);
        assert_eq!(request.deadline_ms, service().default_deadline_ms);
    }
}

#[test]
fn payloads_are_passed_on_unchanged() {
    let body = r#"{"team":"desk","repeatable":false,"tasks":[{"payload":{"b":1, "a":[1e3]}}]}"#;
    let request = parse(key(), &service(), body.as_bytes()).expect("valid");
    assert_eq!(&*request.tasks[0], r#"{"b":1, "a":[1e3]}"#);
    assert!(!request.repeatable);
}

#[test]
fn results_are_written_in_order() {
    let results = ["1".into(), r#"{"x":2}"#.into(), "null".into()];
    let text = results_json(&key(), &results).expect("results are JSON");
    assert_eq!(text, r#"{"job":"order-17","results":[1,{"x":2},null]}"#);
}

#[test]
fn digests_of_different_bodies_differ() {
    let first = parse(key(), &service(), tasks(2).as_bytes()).expect("valid");
    let same = parse(key(), &service(), tasks(2).as_bytes()).expect("valid");
    let other = parse(key(), &service(), tasks(3).as_bytes()).expect("valid");
    assert_eq!(first.digest(), same.digest());
    assert_ne!(first.digest(), other.digest());
}
