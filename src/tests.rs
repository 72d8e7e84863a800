//! Checks that the reference pages for the command line and the configuration match the program.

use std::path::Path;

use bpaf::Parser;
use masticcross_config::schema::{SECTIONS, ValueType};

/// Environment variable that makes the test regenerate the command-line reference.
const UPDATE_VARIABLE: &str = "MASTICCROSS_UPDATE_DOCS";

fn docs_path(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name)
}

/// Removes trailing whitespace from each line.
fn trim_line_ends(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n") + "\n"
}

#[test]
fn the_command_line_reference_matches_the_program() {
    let entry = crate::command().to_options().render_markdown("masticcross");
    let agent = masticcross_agent::settings::options().render_markdown("masticcross-agent");
    let page = trim_line_ends(&format!("{entry}\n{agent}"));
    let file = docs_path("command-line.md");
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        std::fs::write(&file, &page).expect("the page can be written");
    }
    let existing = std::fs::read_to_string(&file).expect("the page exists");
    assert!(
        existing == page,
        "run this test with {UPDATE_VARIABLE}=1 and commit docs/command-line.md"
    );
}

#[test]
fn the_configuration_reference_lists_every_key() {
    let page = std::fs::read_to_string(docs_path("configuration.md")).expect("the page exists");
    for section in SECTIONS {
        for field in section.fields {
            let row = match field.value_type {
                ValueType::Boolean => format!("| `{}` | true or false |", field.name),
                ValueType::Integer { min, max } => format!("| `{}` | {min} to {max} |", field.name),
            };
            assert!(
                page.contains(&row),
                "missing in docs/configuration.md: {row}"
            );
        }
    }
}
