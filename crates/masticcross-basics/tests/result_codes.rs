//! Checks that the documentation of the result codes lists exactly the codes of the program.

use std::collections::BTreeSet;

use masticcross_basics::Code;

const PAGE: &str = include_str!("../../../docs/result-codes.md");

fn row(code: Code) -> String {
    format!(
        "| {} | {} | {} |",
        code.number(),
        code.http_status(),
        code.title()
    )
}

#[test]
fn page_lists_every_code_of_the_program() {
    let missing: Vec<String> = Code::ALL
        .iter()
        .map(|code| row(*code))
        .filter(|row| !PAGE.contains(row.as_str()))
        .collect();
    assert!(missing.is_empty(), "missing rows: {missing:#?}");
}

#[test]
fn page_lists_no_unknown_code() {
    let known: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let numbers = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.split(' ').next()?.parse().ok());
    let listed: Vec<u16> = numbers.collect();
    assert_eq!(listed.len(), known.len());
    assert!(listed.iter().all(|number| known.contains(number)));
}

#[test]
fn code_converts_to_its_number_and_back() {
    for code in Code::ALL {
        assert_eq!(Code::try_from(code.number()), Ok(*code));
    }
    assert!(Code::try_from(1).is_err());
}
