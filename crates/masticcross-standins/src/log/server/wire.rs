//! Query parameters and JSON documents of the log's HTTP interface.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_log::Offset;
use serde::Deserialize;
use thiserror::Error;

use crate::log::{ClientFaults, Faults, Hang, Occurrence};

/// Maximum number of records returned by a read without a limit.
const DEFAULT_LIMIT: usize = 1000;

/// Why the query of a read is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum QueryError {
    /// The field is unknown.
    #[error("{0:?} is no field; accepted are from, limit and wait_ms")]
    UnknownField(String),
    /// The value is not a whole number.
    #[error("{0} must be a whole number")]
    Value(String),
}

/// Result of parsing a query.
pub type Result<T> = std::result::Result<T, QueryError>;

/// The query parameters of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadQuery {
    /// Offset of the first record.
    pub from: Offset,
    /// Maximum number of records.
    pub limit: usize,
    /// Maximum wait for the first record.
    pub wait: Duration,
}

impl ReadQuery {
    /// Parses the query part of a URI.
    pub fn parse(text: &str) -> Result<Self> {
        let mut query = Self {
            from: 0,
            limit: DEFAULT_LIMIT,
            wait: Duration::ZERO,
        };
        for field in text.split('&').filter(|field| !field.is_empty()) {
            let (name, value) = field.split_once('=').unwrap_or((field, ""));
            let number = value.parse::<u64>();
            let number = number.map_err(|_| QueryError::Value(name.to_owned()));
            match name {
                "from" => query.from = number?,
                "limit" => query.limit = usize::try_from(number?).unwrap_or(usize::MAX),
                "wait_ms" => query.wait = Duration::from_millis(number?),
                other => return Err(QueryError::UnknownField(other.to_owned())),
            }
        }
        Ok(query)
    }
}

/// Faults of all clients and of single clients. A missing field means no fault.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultsDocument {
    /// Faults of all clients.
    pub all: FaultsWire,
    /// Additional faults by client.
    pub clients: BTreeMap<String, FaultsWire>,
    /// Streams to drop records from, with the first offset to retain.
    #[serde(rename = "cut")]
    pub truncate: BTreeMap<String, Offset>,
}

impl FaultsDocument {
    /// Replaces the faults of a log with those of the document.
    pub fn apply_to(self, faults: &Faults) {
        let clients = self
            .clients
            .into_iter()
            .map(|(name, wire)| (name, wire.into()));
        faults.replace(self.all.into(), clients);
    }
}

/// JSON form of [`ClientFaults`].
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultsWire {
    down: bool,
    unreachable_ms: Option<u64>,
    slow_factor: f64,
    extra_delay_ms: u64,
    lost_replies: OccurrenceWire,
    late_appends: OccurrenceWire,
    late_by_ms: u64,
    hang_ms: u64,
}

impl Default for FaultsWire {
    fn default() -> Self {
        Self {
            down: false,
            unreachable_ms: None,
            slow_factor: 1.0,
            extra_delay_ms: 0,
            lost_replies: OccurrenceWire::default(),
            late_appends: OccurrenceWire::default(),
            late_by_ms: 1000,
            hang_ms: 0,
        }
    }
}

/// JSON form of [`Occurrence`].
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OccurrenceWire {
    /// No call.
    #[default]
    Never,
    /// The given number of next calls.
    Next(u32),
    /// A random share of all calls, between 0 and 1.
    Share(f64),
    /// All calls.
    Always,
}

impl From<OccurrenceWire> for Occurrence {
    fn from(wire: OccurrenceWire) -> Self {
        match wire {
            OccurrenceWire::Never => Self::Never,
            OccurrenceWire::Next(count) => Self::Next(count),
            OccurrenceWire::Share(share) => Self::Share(share),
            OccurrenceWire::Always => Self::Always,
        }
    }
}

impl From<FaultsWire> for ClientFaults {
    fn from(wire: FaultsWire) -> Self {
        let hang = |ms| Hang(Duration::from_millis(ms));
        Self {
            down: wire.down,
            unreachable: wire.unreachable_ms.map(hang),
            slow_factor: wire.slow_factor,
            extra_delay: Duration::from_millis(wire.extra_delay_ms),
            lost_replies: wire.lost_replies.into(),
            late_appends: wire.late_appends.into(),
            late_by: Duration::from_millis(wire.late_by_ms),
            hang: hang(wire.hang_ms),
        }
    }
}
