//! Types of the configuration document.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::check::check;

/// Schema version that this build accepts.
pub const SCHEMA_VERSION: u32 = 1;

/// Largest accepted document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;

/// Maximum number of services in a document.
pub const MAX_SERVICES: usize = 64;

/// Maximum number of availability zones in a document.
pub const MAX_ZONES: usize = 64;

/// Maximum number of teams in a document.
pub const MAX_TEAMS: usize = 1_024;

/// Errors for which a document was rejected, one per line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct DocumentError(pub String);

/// Result of parsing or editing a document.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// The configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of the document's schema.
    pub schema: u32,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Availability zones by name.
    pub zones: BTreeMap<Name, Zone>,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// Limits of the entries.
    #[serde(default)]
    pub limits: Limits,
    /// Timeouts and intervals. The validator checks that they are consistent.
    #[serde(default)]
    pub times: Times,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Longest accepted deadline of a job, in milliseconds.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u32,
    /// Deadline of a job that does not set one, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u32,
    /// Maximum number of tasks that wait at one entry.
    #[serde(default = "default_max_waiting")]
    pub max_waiting_tasks: u32,
}

fn default_max_deadline_ms() -> u32 {
    60_000
}

fn default_deadline_ms() -> u32 {
    10_000
}

fn default_max_waiting() -> u32 {
    20_000
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// False while operators have taken the zone out of service.
    #[serde(default = "default_in_service")]
    pub in_service: bool,
}

fn default_in_service() -> bool {
    true
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Share of the workers under load, relative to the other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of the team's tasks that run or wait at one entry; `None` means no quota.
    #[serde(default)]
    pub max_tasks: Option<u32>,
}

fn default_weight() -> u32 {
    1
}

/// Limits of the entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest accepted body of a job, in bytes.
    pub max_body_bytes: u32,
    /// Memory for stored answers at each entry, in bytes.
    pub answer_memory_bytes: u64,
    /// Maximum number of jobs in the deduplication table of each entry.
    pub max_jobs: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            answer_memory_bytes: 64 * 1024 * 1024,
            max_jobs: 500_000,
        }
    }
}

/// Timeouts and intervals, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// How long a process may use its view of the ledger after the view was last known to be
    /// current.
    pub freshness_ms: u32,
    /// Interval between heartbeats of processes.
    pub heartbeat_ms: u32,
    /// Time without a heartbeat after which a process counts as lost.
    pub suspect_after_ms: u32,
    /// How long a job id is retained after the job's admission, to detect repeated submissions.
    pub once_window_ms: u32,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            freshness_ms: 2_000,
            heartbeat_ms: 250,
            suspect_after_ms: 1_250,
            once_window_ms: 600_000,
        }
    }
}

impl Times {
    /// Returns how long a process may use its view of the ledger after the view was last known to
    /// be current.
    #[must_use]
    pub fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms.into())
    }

    /// Returns the time after which no process can still start tasks under an older view: the
    /// freshness time plus a twentieth, because clocks run at different rates.
    #[must_use]
    pub fn fence(&self) -> Duration {
        self.freshness() + self.freshness() / 20
    }

    /// Returns the interval between heartbeats.
    #[must_use]
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms.into())
    }

    /// Returns the time without a heartbeat after which a process counts as lost.
    #[must_use]
    pub fn suspect_after(&self) -> Duration {
        Duration::from_millis(self.suspect_after_ms.into())
    }

    /// Returns how long a job id is retained after the job's admission.
    #[must_use]
    pub fn once_window(&self) -> Duration {
        Duration::from_millis(self.once_window_ms.into())
    }
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    /// Fails if the document is invalid. The error lists all findings, one per line.
    pub fn parse(text: &str) -> Result<Self> {
        let report = check(text);
        if let Some(document) = report.document {
            return Ok(document);
        }
        let findings: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
        Err(DocumentError(findings.join("\n")))
    }

    /// Lists the availability zones that are out of service.
    #[must_use]
    pub fn zones_out(&self) -> Vec<Name> {
        self.zones
            .iter()
            .filter(|(_, zone)| !zone.in_service)
            .map(|(name, _)| name.clone())
            .collect()
    }
}
