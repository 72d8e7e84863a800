//! Follows the three ways of docs/OPERATIONS.md on recorded log lines.

use masticcross_timeline::explain::{Cause, LogLine, count_causes, lines_about};

/// Names each test case: the job, the messages about it in order, and the cause of its end.
macro_rules! ways {
    ($($name:ident: $job:literal, $messages:expr, $cause:expr;)*) => {
        $(#[test] fn $name() {
            let lines = recorded();
            let found = lines_about(&lines, $job);
            let messages: Vec<&str> = found.iter().map(|line| line.field("message")).collect();
            assert_eq!(messages, $messages);
            assert_eq!(found.iter().rev().find_map(|line| Cause::of(line)), $cause);
        })*
    };
}

fn recorded() -> Vec<LogLine> {
    let text = include_str!("recorded.log");
    text.lines().filter_map(LogLine::parse).collect()
}

ways! {
    a_refused_job: "466e3e31eb7068d4",
        ["job taken", "job given up", "job ended"], Some(Cause::NoRoom);
    a_job_late_by_its_worker: "94c8fac76ac98c33",
        ["job taken", "stopped: hardly any progress", "run ended", "job ended"],
        Some(Cause::LateRerun);
    a_job_whose_entry_died: "dd6f9537f4e2939b", ["job taken"], None;
}

#[test]
fn causes_are_counted_once_a_job() {
    let counts = count_causes(&recorded());
    assert_eq!(
        counts.into_iter().collect::<Vec<_>>(),
        [(Cause::NoRoom, 1), (Cause::LateRerun, 1)]
    );
}
