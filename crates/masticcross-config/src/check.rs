//! The validator: reports all errors of a document at once, each with its path, line, reason and
//! accepted values.

mod shape;

use serde::Serialize;

use crate::document::{Document, Times};

/// Heartbeats that may be lost before a process counts as lost or a view becomes stale.
const HEARTBEATS_SPARE: u32 = 3;

/// Target for the time from the loss of an entry until its partitions have another owner, in
/// milliseconds.
const TAKEOVER_TARGET_MS: u32 = 5_000;

/// Severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The document is not accepted.
    Error,
    /// The document is accepted, but operators should review the finding.
    Warning,
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Severity of the finding.
    pub severity: Severity,
    /// Keys from the top of the document, joined by dots.
    pub path: String,
    /// Line in the text, starting at 1; `None` if the finding is about something that is missing.
    pub line: Option<usize>,
    /// Description of the problem.
    pub reason: String,
    /// Accepted values; empty if the reason is sufficient.
    pub accepted: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.path, self.reason)?;
        if !self.accepted.is_empty() {
            write!(f, "; accepted: {}", self.accepted)?;
        }
        Ok(())
    }
}

/// Result of a validation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The document, if it has no error.
    pub document: Option<Document>,
    /// Errors first, then warnings, each in the order in which they occur in the text.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Returns the errors.
    pub fn errors(&self) -> impl Iterator<Item = &Finding> {
        self.with_severity(Severity::Error)
    }

    /// Returns the warnings.
    pub fn warnings(&self) -> impl Iterator<Item = &Finding> {
        self.with_severity(Severity::Warning)
    }

    fn with_severity(&self, severity: Severity) -> impl Iterator<Item = &Finding> {
        self.findings.iter().filter(move |f| f.severity == severity)
    }
}

/// Checks a document's text.
#[must_use]
pub fn check(text: &str) -> Report {
    let schema_errors = shape::check(text);
    if !schema_errors.is_empty() {
        return invalid_report(schema_errors);
    }
    let document: Document = match toml::from_str(text) {
        Ok(document) => document,
        Err(error) => return invalid_report(vec![document_error(error.message().to_owned())]),
    };
    let mut findings = check_relations(&document);
    if !findings.is_empty() {
        return invalid_report(findings);
    }
    findings.extend(find_risks(&document));
    Report {
        document: Some(document),
        findings,
    }
}

fn invalid_report(findings: Vec<Finding>) -> Report {
    Report {
        document: None,
        findings,
    }
}

fn document_error(reason: String) -> Finding {
    Finding {
        severity: Severity::Error,
        path: "document".to_owned(),
        line: None,
        reason,
        accepted: String::new(),
    }
}

fn error(path: &str, reason: String, accepted: String) -> Finding {
    Finding {
        severity: Severity::Error,
        path: path.to_owned(),
        line: None,
        reason,
        accepted,
    }
}

fn warning(path: &str, reason: String) -> Finding {
    Finding {
        severity: Severity::Warning,
        path: path.to_owned(),
        line: None,
        reason,
        accepted: String::new(),
    }
}

/// Returns errors for values that contradict each other.
fn check_relations(doc: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, service) in &doc.services {
        if service.default_deadline_ms > service.max_deadline_ms {
            findings.push(error(
                &format!("services.{name}.default_deadline_ms"),
                format!(
                    "{} exceeds the longest accepted deadline",
                    service.default_deadline_ms
                ),
                format!("at most max_deadline_ms, {}", service.max_deadline_ms),
            ));
        }
        if doc.times.once_window_ms < service.max_deadline_ms {
            findings.push(error(
                "times.once_window_ms",
                format!(
                    "{} is shorter than the longest accepted deadline of {name}",
                    doc.times.once_window_ms
                ),
                format!("at least its max_deadline_ms, {}", service.max_deadline_ms),
            ));
        }
    }
    findings.extend(check_time_relations(&doc.times));
    findings
}

fn check_time_relations(times: &Times) -> Vec<Finding> {
    let spare = times.heartbeat_ms * HEARTBEATS_SPARE;
    let rules = [
        ("times.suspect_after_ms", times.suspect_after_ms),
        ("times.freshness_ms", times.freshness_ms),
    ];
    let violated = rules.iter().filter(|(_, value)| *value < spare);
    violated
        .map(|(path, value)| {
            error(
                path,
                format!("{value} is too short to tolerate a lost heartbeat"),
                format!("at least {HEARTBEATS_SPARE} times heartbeat_ms, {spare}"),
            )
        })
        .collect()
}

/// Returns warnings for values that are accepted but risky.
fn find_risks(doc: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    let in_service = doc.zones.values().filter(|zone| zone.in_service).count();
    match in_service {
        0 => findings.push(warning(
            "zones",
            "no zone is in service, so no task will start".to_owned(),
        )),
        1 if doc.zones.len() > 1 => {
            findings.push(warning("zones", "only one zone is in service".to_owned()));
        }
        _ => {}
    }
    for (name, service) in &doc.services {
        let quotas: Option<u64> = doc
            .teams
            .values()
            .map(|team| team.max_tasks.map(u64::from))
            .sum();
        let waiting = u64::from(service.max_waiting_tasks);
        if quotas.is_some_and(|sum| sum < waiting) {
            findings.push(warning(
                &format!("services.{name}.max_waiting_tasks"),
                "exceeds the sum of all quotas and cannot be reached".to_owned(),
            ));
        }
    }
    let takeover = doc.times.suspect_after_ms + doc.times.freshness_ms;
    if takeover > TAKEOVER_TARGET_MS {
        findings.push(warning(
            "times",
            format!("the loss of an entry delays its jobs by {takeover} ms or more"),
        ));
    }
    findings
}
