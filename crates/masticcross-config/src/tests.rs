//! Tests of the validator and of edits.

use quickcheck::{Gen, QuickCheck};

use crate::edit::set_zone_in_service;
use crate::schema::{Kind, SECTIONS};
use crate::{Document, Severity, check, samples};

/// Seed of the arbitrary texts.
const SEED: u64 = 7;

/// Names one test for each fault: text added to the sample, path, line (0 for none), and a word.
macro_rules! faults {
    ($($name:ident: $text:expr => $path:literal, $line:literal, $word:literal;)*) => {
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
                assert!(shown.contains($word), "{shown}");
            }
        )*
    };
}

const SMALL: &str = "schema = 1\n[services.s]\n[zones.z]\n[teams.t]\n";

fn small(more: &str) -> String {
    format!("{SMALL}{more}")
}

faults! {
    names_the_line_of_a_syntax_error: "schema = 1\nx = = 2\n" => "document", 2, "line 2";
    wants_a_known_schema: SMALL.replace("schema = 1", "schema = 9") => "schema", 1, "accepted: 1";
    wants_a_schema: SMALL.replace("schema = 1\n", "") => "schema", 0, "missing";
    wants_services: SMALL.replace("[services.s]\n", "") => "services", 0, "missing";
    wants_at_least_one_zone: SMALL.replace("[zones.z]", "[zones]") => "zones", 0, "1 to";
    refuses_an_unknown_section: small("[zone.x]\n") => "zone", 5, "zones";
    refuses_an_unknown_key: small("wait = 1\n") => "teams.t.wait", 5, "max_tasks";
    refuses_a_wrong_type: small("weight = \"1\"\n") => "teams.t.weight", 5, "1 to 1000";
    refuses_a_value_out_of_bounds: small("weight = 0\n") => "teams.t.weight", 5, "0 is out of";
    refuses_a_section_of_wrong_type: "schema = 1\nteams = 3\n" => "teams", 2, "a table";
    refuses_a_bad_name: small("[teams.\"a b\"]\n") => "teams.a b", 5, "character";
    refuses_a_document_that_is_too_large: "#".repeat(600_000) => "document", 0, "600000";
    refuses_a_default_over_the_longest_deadline:
        small("[services.x]\nmax_deadline_ms = 5\ndefault_deadline_ms = 6\n")
        => "services.x.default_deadline_ms", 0, "at most";
    refuses_a_window_under_a_deadline:
        small("[times]\nonce_window_ms = 20000\n") => "times.once_window_ms", 0, "at least";
    refuses_a_heartbeat_too_slow_for_the_freshness:
        small("[times]\nheartbeat_ms = 700\nsuspect_after_ms = 3000\n")
        => "times.freshness_ms", 0, "2100";
    refuses_a_heartbeat_too_slow_for_the_suspicion:
        small("[times]\nheartbeat_ms = 500\n") => "times.suspect_after_ms", 0, "1500";
    refuses_a_freshness_beyond_the_drain_bound:
        small("[times]\nfreshness_ms = 2801\n") => "times.freshness_ms", 6, "2800";
}

#[test]
fn lists_all_faults_at_once() {
    let report = check(&small("weight = 0\nwait = 2\n[limits]\nmax_jobs = true\n"));
    assert_eq!(report.findings.len(), 3, "{:#?}", report.findings);
}

#[test]
fn accepts_the_samples_without_a_finding() {
    for text in [samples::GUILD, samples::JAL_SEVA, SMALL] {
        let report = check(text);
        assert!(report.document.is_some());
        assert_eq!(report.errors().count(), 0, "{:#?}", report.findings);
    }
}

#[test]
fn warns_of_the_last_zone() {
    let text = small("[zones.y]\nin_service = false\n");
    let report = check(&text);
    assert!(report.document.is_some());
    assert!(
        report
            .warnings()
            .any(|f| f.reason.contains("only one zone"))
    );
    let none = set_zone_in_service(&text, "z", false).expect("the zone is there");
    let report = check(&none);
    assert!(
        report
            .warnings()
            .any(|f| f.reason.contains("no task will start"))
    );
}

#[test]
fn warns_of_a_slow_takeover() {
    let report = check(&small("[times]\nsuspect_after_ms = 4000\n"));
    assert!(report.warnings().any(|f| f.path == "times"));
}

#[test]
fn an_edit_keeps_comments_and_changes_one_value() {
    let text = format!("# a comment\n{}", samples::GUILD);
    let out = set_zone_in_service(&text, "perth-east", false).expect("the zone is there");
    assert!(out.starts_with("# a comment\n"));
    let doc = Document::parse(&out).expect("still valid");
    assert_eq!(doc.zones_out().len(), 1);
    let back = set_zone_in_service(&out, "perth-east", true).expect("the zone is there");
    assert_eq!(back, text);
}

#[test]
fn an_edit_names_the_known_zones() {
    let error = set_zone_in_service(samples::GUILD, "perth", false).expect_err("no such zone");
    assert!(error.to_string().contains("perth-north"), "{error}");
}

#[test]
fn arbitrary_text_never_panics() {
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
fn every_value_within_the_bounds_of_the_schema_has_the_documents_type() {
    for section in SECTIONS {
        for field in section.fields {
            let Kind::Integer { min, max } = field.kind else {
                continue;
            };
            for value in [min, max] {
                let head = match section.max_named {
                    Some(_) => format!("[{}.extra]", section.name),
                    None => format!("[{}]", section.name),
                };
                let text = small(&format!("{head}\n{} = {value}\n", field.name));
                let typed: Result<Document, _> = toml::from_str(&text);
                assert!(typed.is_ok(), "{text}: {typed:?}");
            }
        }
    }
}
