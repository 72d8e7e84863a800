//! Tests of the JSON log lines.

use log::{Level, Record};

use super::json_line;

#[test]
fn json_line_contains_time_level_message_and_fields() {
    let fields = [("job", "order-17")];
    let args = format_args!("started");
    let record = Record::builder()
        .level(Level::Info)
        .target("agent")
        .args(args)
        .key_values(&fields)
        .build();
    let line = json_line("2026-12-04T00:00:00.000Z", &record);
    let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(value["time"], "2026-12-04T00:00:00.000Z");
    assert_eq!(value["level"], "INFO");
    assert_eq!(value["message"], "started");
    assert_eq!(value["job"], "order-17");
    assert!(!line.contains('\n'));
}
