//! Invalid settings end the program with exit code 2 and a message that names them.

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

/// Runs the program with one setting changed. All cases are invalid, so it exits by itself.
fn run_with(changed: &str) -> Output {
    let name = changed.split('=').next().unwrap_or(changed);
    let unchanged = GOOD
        .iter()
        .filter(|flag| flag.split('=').next() != Some(name));
    Command::new(env!("CARGO_BIN_EXE_masticcross-agent"))
        .env_clear()
        .args(unchanged)
        .arg(changed)
        .output()
        .expect("the program runs")
}

macro_rules! refused {
    ($($name:ident: $flag:literal => $message:literal;)*) => {
        $(#[test]
        fn $name() {
            let output = run_with($flag);
            let text = String::from_utf8_lossy(&output.stderr);
            // Messages are wrapped, so line breaks are replaced by spaces.
            let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
            assert_eq!(output.status.code(), Some(2), "{text}");
            assert!(text.contains($message), "{text}");
        })*
    };
}

refused! {
    invalid_name_is_refused: "--name=a b" => "has the character ' '";
    invalid_entry_address_is_refused:
        "--entries=127.0.0.1:7200,here" => "\"here\" is not an address; expected IP:PORT";
    short_secret_is_refused: "--secret=short" => "accepted are at least 16 printable";
    zero_sessions_are_refused: "--max-sessions=0" => "expected a whole number from 1 to 64";
    long_heartbeat_interval_is_refused:
        "--heartbeat-ms=9999" => "expected a whole number from 10 to 5000";
    suspect_after_below_two_heartbeats_is_refused:
        "--suspect-after-ms=300" => "it must be at least twice --heartbeat-ms, 500";
    memory_that_is_not_a_number_is_refused:
        "--result-memory=1k" => "expected a whole number from 1048576 to";
    unknown_log_format_is_refused: "--log-format=xml" => "accepted are text and json";
    unknown_flag_is_refused: "--colour=red" => "--colour";
}
