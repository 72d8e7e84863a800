//! The keys of the document with their types, bounds and meanings.
//!
//! The rules of a schema version never change, because every process applies them when it replays
//! the same records, and all must reach the same state. Stricter rules need a new version.

use crate::document::{MAX_SERVICES, MAX_TEAMS, MAX_ZONES};

/// Type and bounds of a key's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueType {
    /// A whole number within inclusive bounds.
    Integer {
        /// Smallest accepted value.
        min: i64,
        /// Largest accepted value.
        max: i64,
    },
    /// True or false.
    Boolean,
}

impl ValueType {
    /// Returns a description of the accepted values.
    #[must_use]
    pub fn describe(self) -> String {
        match self {
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Boolean => "true or false".to_owned(),
        }
    }
}

/// One key of a section.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// The key.
    pub name: &'static str,
    /// Type and bounds of the value.
    pub value_type: ValueType,
    /// Meaning of the value, with its unit.
    pub meaning: &'static str,
}

/// A section of the document. All of its fields are optional.
#[derive(Debug, Clone, Copy)]
pub struct Section {
    /// The section's key.
    pub name: &'static str,
    /// Maximum number of named tables in the section; `None` if the section is a single table.
    pub max_tables: Option<usize>,
    /// True if the document must have the section.
    pub required: bool,
    /// Keys of the section, or of each of its named tables.
    pub fields: &'static [Field],
}

const fn integer(name: &'static str, min: i64, max: i64, meaning: &'static str) -> Field {
    Field {
        name,
        value_type: ValueType::Integer { min, max },
        meaning,
    }
}

/// All sections of the document.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "services",
        max_tables: Some(MAX_SERVICES),
        required: true,
        fields: &[
            integer(
                "max_deadline_ms",
                1,
                3_600_000,
                "longest accepted deadline of a job, in milliseconds",
            ),
            integer(
                "default_deadline_ms",
                1,
                3_600_000,
                "deadline of a job that names none, in milliseconds",
            ),
            integer(
                "max_waiting_tasks",
                1,
                10_000_000,
                "most tasks that wait at one entry",
            ),
        ],
    },
    Section {
        name: "zones",
        max_tables: Some(MAX_ZONES),
        required: true,
        fields: &[Field {
            name: "in_service",
            value_type: ValueType::Boolean,
            meaning: "false while the zone is taken out of service",
        }],
    },
    Section {
        name: "teams",
        max_tables: Some(MAX_TEAMS),
        required: true,
        fields: &[
            integer(
                "weight",
                1,
                1_000,
                "share of the workers under load, relative to other teams",
            ),
            integer(
                "max_tasks",
                1,
                10_000_000,
                "most tasks of the team that wait or run at one entry; left out for no quota",
            ),
        ],
    },
    Section {
        name: "limits",
        max_tables: None,
        required: false,
        fields: &[
            integer(
                "max_body_bytes",
                1_024,
                16 * 1_024 * 1_024,
                "largest accepted body of a job, in bytes",
            ),
            integer(
                "answer_memory_bytes",
                1_024 * 1_024,
                16 * 1_024 * 1_024 * 1_024,
                "memory for kept answers at each entry, in bytes",
            ),
            integer(
                "max_jobs",
                1_000,
                10_000_000,
                "jobs kept in the once-only table of each entry",
            ),
        ],
    },
    Section {
        name: "times",
        max_tables: None,
        required: false,
        fields: &[
            integer(
                "freshness_ms",
                200,
                2_800,
                "how long a view may be used after it was fresh, in milliseconds; with a twentieth \
                 it is the fence, which stays under 3 s",
            ),
            integer(
                "heartbeat_ms",
                20,
                1_000,
                "interval of heartbeats, in milliseconds",
            ),
            integer(
                "suspect_after_ms",
                100,
                30_000,
                "silence after which a process counts as lost, in milliseconds",
            ),
            integer(
                "once_window_ms",
                10_000,
                86_400_000,
                "how long a job id stays known after its admission, in milliseconds",
            ),
        ],
    },
];
