//! Checks that the pages of settings agree with the program.

use std::path::Path;

use bpaf::Parser;
use masticcross_config::schema::{SECTIONS, ValueType};

/// Set to write the page of the command line anew.
const UPDATE: &str = "MASTICCROSS_UPDATE_DOCS";

fn docs(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name)
}

/// Returns the lines without space at their ends.
fn trimmed(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n") + "\n"
}

#[test]
fn the_page_of_the_command_line_agrees_with_the_program() {
    let entry = crate::command().to_options().render_markdown("masticcross");
    let agent = masticcross_agent::settings::options().render_markdown("masticcross-agent");
    let page = trimmed(&format!("{entry}\n{agent}"));
    let file = docs("command-line.md");
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&file, &page).expect("the page can be written");
    }
    let written = std::fs::read_to_string(&file).expect("the page is there");
    assert!(
        written == page,
        "run this test with {UPDATE}=1 and commit docs/command-line.md"
    );
}

#[test]
fn the_page_of_the_configuration_lists_every_key() {
    let page = std::fs::read_to_string(docs("configuration.md")).expect("the page is there");
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
