//! Settings that are not accepted end the program with code 2 and are named.

use std::process::{Command, Output};

const GOOD: [&str; 8] = [
    "--name=w1",
    "--zone=z1",
    "--entries=127.0.0.1:7200",
    "--secret=0123456789abcdef",
    "--listen=127.0.0.1:0",
    "--ops-listen=127.0.0.1:0",
    "--heartbeat-ms=250",
    "--suspect-after-ms=1250",
];

/// Runs the program with one setting changed. All cases are refused, so it never serves.
fn run_with(changed: &str) -> Output {
    let name = changed.split('=').next().unwrap_or(changed);
    let usual = GOOD
        .iter()
        .filter(|flag| flag.split('=').next() != Some(name));
    Command::new(env!("CARGO_BIN_EXE_masticcross-agent"))
        .env_clear()
        .args(usual)
        .arg(changed)
        .output()
        .expect("the program runs")
}

macro_rules! refused {
    ($($name:ident: $flag:literal => $says:literal;)*) => {
        $(#[test]
        fn $name() {
            let output = run_with($flag);
            let text = String::from_utf8_lossy(&output.stderr);
            // Lines are wrapped, so only single spaces count.
            let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
            assert_eq!(output.status.code(), Some(2), "{text}");
            assert!(text.contains($says), "{text}");
        })*
    };
}

refused! {
    a_bad_name: "--name=a b" => "has the character ' '";
    a_bad_entry: "--entries=127.0.0.1:7200,here" => "\"here\" is no address; accepted is IP:PORT";
    a_short_secret: "--secret=short" => "accepted are at least 16 printable";
    no_sessions: "--max-sessions=0" => "accepted are whole numbers 1 to 64";
    a_slow_heartbeat: "--heartbeat-ms=9999" => "accepted are whole numbers 10 to 5000";
    a_hasty_suspicion: "--suspect-after-ms=300" => "accepted is at least twice --heartbeat-ms, 500";
    little_memory: "--result-memory=1k" => "accepted are whole numbers 1048576 to";
    another_log_format: "--log-format=xml" => "accepted are text and json";
    an_unknown_flag: "--colour=red" => "--colour";
}
