//! Tests of the validator and of edits to documents.

use quickcheck::{Gen, QuickCheck};

use crate::edit::set_zone_in_service;
use crate::schema::{SECTIONS, ValueType};
use crate::{Document, Severity, check, samples};

/// Seed of the generated texts.
const SEED: u64 = 7;

/// Generates one test per error: the document, and the path, the line (0 for none) and a fragment
/// of the text of the expected finding.
macro_rules! errors {
    ($($name:ident: $text:expr => $path:literal, $line:literal, $fragment:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let text: String = $text.into();
                let report = check(&text);
                assert!(report.document.is_none());
                let found = report.findings.iter().find(|f| f.path == $path);
                let found = found.unwrap_or_else(|| panic!("{:#?}", report.findings));
                assert_eq!(found.severity, Severity::Error);
                assert_eq!(found.line.unwrap_or(0), $line);
                let shown = found.to_string();
                assert!(shown.contains($fragment), "{shown}");
            }
        )*
    };
}

const MINIMAL: &str = "schema = 1\n[services.s]\n[zones.z]\n[teams.t]\n";

fn minimal_with(extra: &str) -> String {
    format!("{MINIMAL}{extra}")
}

errors! {
    a_syntax_error_is_reported_with_its_line: "schema = 1\nx = = 2\n" => "document", 2, "line 2";
    an_unsupported_schema_version_is_rejected:
        MINIMAL.replace("schema = 1", "schema = 9")
        => "schema", 1, "accepted: 1";
    a_missing_schema_version_is_rejected:
        MINIMAL.replace("schema = 1\n", "")
        => "schema", 0, "missing";
    a_missing_services_section_is_rejected:
        MINIMAL.replace("[services.s]\n", "")
        => "services", 0, "missing";
    an_empty_zones_section_is_rejected:
        MINIMAL.replace("[zones.z]", "[zones]")
        => "zones", 0, "1 to";
    an_unknown_section_is_rejected: minimal_with("[zone.x]\n") => "zone", 5, "zones";
    an_unknown_key_is_rejected: minimal_with("wait = 1\n") => "teams.t.wait", 5, "max_tasks";
    a_value_of_the_wrong_type_is_rejected:
        minimal_with("weight = \"1\"\n")
        => "teams.t.weight", 5, "1 to 1000";
    a_value_out_of_bounds_is_rejected:
        minimal_with("weight = 0\n")
        => "teams.t.weight", 5, "0 is out of";
    a_section_that_is_not_a_table_is_rejected: "schema = 1\nteams = 3\n" => "teams", 2, "a table";
    a_table_name_with_an_invalid_character_is_rejected:
        minimal_with("[teams.\"a b\"]\n")
        => "teams.a b", 5, "character";
    a_document_over_the_size_limit_is_rejected: "#".repeat(600_000) => "document", 0, "600000";
    a_default_deadline_over_the_longest_deadline_is_rejected:
        minimal_with("[services.x]\nmax_deadline_ms = 5\ndefault_deadline_ms = 6\n")
        => "services.x.default_deadline_ms", 0, "at most";
    a_once_window_shorter_than_a_deadline_is_rejected:
        minimal_with("[times]\nonce_window_ms = 20000\n") => "times.once_window_ms", 0, "at least";
    a_freshness_time_shorter_than_three_heartbeats_is_rejected:
        minimal_with("[times]\nheartbeat_ms = 700\nsuspect_after_ms = 3000\n")
        => "times.freshness_ms", 0, "2100";
    a_suspect_timeout_shorter_than_three_heartbeats_is_rejected:
        minimal_with("[times]\nheartbeat_ms = 500\n") => "times.suspect_after_ms", 0, "1500";
    a_freshness_time_above_its_bound_is_rejected:
        minimal_with("[times]\nfreshness_ms = 2801\n") => "times.freshness_ms", 6, "2800";
}

#[test]
fn all_errors_are_reported_at_once() {
    let report = check(&minimal_with(
        "weight = 0\nwait = 2\n[limits]\nmax_jobs = true\n",
    ));
    assert_eq!(report.findings.len(), 3, "{:#?}", report.findings);
}

#[test]
fn the_samples_are_accepted_without_errors() {
    for text in [samples::GUILD, samples::JAL_SEVA, MINIMAL] {
        let report = check(text);
        assert!(report.document.is_some());
        assert_eq!(report.errors().count(), 0, "{:#?}", report.findings);
    }
}

#[test]
fn a_warning_is_reported_if_one_or_no_zone_is_in_service() {
    let text = minimal_with("[zones.y]\nin_service = false\n");
    let report = check(&text);
    assert!(report.document.is_some());
    assert!(
        report
            .warnings()
            .any(|f| f.reason.contains("only one zone"))
    );
    let no_zone = set_zone_in_service(&text, "z", false).expect("the zone is configured");
    let report = check(&no_zone);
    assert!(
        report
            .warnings()
            .any(|f| f.reason.contains("no task will start"))
    );
}

#[test]
fn a_warning_is_reported_if_a_takeover_is_slow() {
    let report = check(&minimal_with("[times]\nsuspect_after_ms = 4000\n"));
    assert!(report.warnings().any(|f| f.path == "times"));
}

#[test]
fn an_edit_changes_one_value_and_preserves_comments() {
    let text = format!("# a comment\n{}", samples::GUILD);
    let edited = set_zone_in_service(&text, "perth-east", false).expect("the zone is configured");
    assert!(edited.starts_with("# a comment\n"));
    let doc = Document::parse(&edited).expect("still valid");
    assert_eq!(doc.zones_out().len(), 1);
    let restored =
        set_zone_in_service(&edited, "perth-east", true).expect("the zone is configured");
    assert_eq!(restored, text);
}

#[test]
fn an_edit_of_an_unconfigured_zone_fails_and_lists_the_configured_zones() {
    let error = set_zone_in_service(samples::GUILD, "perth", false).expect_err("no such zone");
    assert!(error.to_string().contains("perth-north"), "{error}");
}

#[test]
fn arbitrary_text_is_either_accepted_or_reported_with_errors() {
    let property: fn(String) -> bool = |text| {
        let report = check(&text);
        report.document.is_some() == (report.errors().count() == 0)
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(2_000)
        .quickcheck(property);
}

#[test]
fn every_bound_of_the_schema_fits_the_type_of_the_documents_field() {
    for section in SECTIONS {
        for field in section.fields {
            let ValueType::Integer { min, max } = field.value_type else {
                continue;
            };
            for value in [min, max] {
                let header = match section.max_tables {
                    Some(_) => format!("[{}.extra]", section.name),
                    None => format!("[{}]", section.name),
                };
                let text = minimal_with(&format!("{header}\n{} = {value}\n", field.name));
                let parsed: Result<Document, _> = toml::from_str(&text);
                assert!(parsed.is_ok(), "{text}: {parsed:?}");
            }
        }
    }
}
