//! Tests that the committed traces can be read and have the expected numbers of submissions, jobs
//! and tasks.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use masticcross_standins::load::{Submission, trace};

fn read(name: &str) -> Vec<Submission> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("traces")
        .join(name);
    let file = File::open(path).expect("trace is there");
    trace::read(BufReader::new(file)).expect("trace is valid")
}

/// Defines tests of a trace with its numbers of submissions, jobs and tasks of the jobs.
macro_rules! cases {
    ($($name:ident: $file:literal => $submissions:literal, $jobs:literal, $tasks:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let trace = read($file);
                let jobs: BTreeSet<&str> = trace.iter().map(|s| s.job.as_str()).collect();
                let first_submissions = trace.iter().filter(|s| s.copy == 0);
                let tasks: usize = first_submissions.map(|s| s.tasks.len()).sum();
                assert_eq!((trace.len(), jobs.len(), tasks), ($submissions, $jobs, $tasks));
            }
        )*
    };
}

cases! {
    guild_calm_has_the_expected_counts: "guild-calm.jsonl" => 331, 315, 3779;
    guild_burst_has_the_expected_counts: "guild-burst.jsonl" => 415, 397, 4480;
    guild_advisory_has_the_expected_counts: "guild-advisory.jsonl" => 513, 496, 11801;
    jal_seva_calm_has_the_expected_counts: "jal-seva-calm.jsonl" => 128, 121, 3144;
    jal_seva_burst_has_the_expected_counts: "jal-seva-burst.jsonl" => 142, 133, 3689;
    jal_seva_advisory_has_the_expected_counts: "jal-seva-advisory.jsonl" => 205, 196, 7477;
}
