//! The keys of the document: kinds, bounds and meanings. The rules of a schema version never
//! change, as every process folds the same records by them; stricter rules are a new version.

use crate::document::{MAX_SERVICES, MAX_TEAMS, MAX_ZONES};

/// What a key's value may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A whole number within bounds, both included.
    Integer {
        /// Smallest accepted value.
        min: i64,
        /// Largest accepted value.
        max: i64,
    },
    /// True or false.
    Boolean,
}

impl Kind {
    /// Describes what is accepted.
    #[must_use]
    pub fn accepted(self) -> String {
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
    /// What the value may be.
    pub kind: Kind,
    /// What it means, with its unit.
    pub meaning: &'static str,
}

/// A section of the document. Each field may be left out.
#[derive(Debug, Clone, Copy)]
pub struct Section {
    /// The section's key.
    pub name: &'static str,
    /// Most named tables in it; none if the section is one table.
    pub max_named: Option<usize>,
    /// True if the document must have the section.
    pub required: bool,
    /// Its keys.
    pub fields: &'static [Field],
}

const fn integer(name: &'static str, min: i64, max: i64, meaning: &'static str) -> Field {
    Field {
        name,
        kind: Kind::Integer { min, max },
        meaning,
    }
}

/// All sections.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "services",
        max_named: Some(MAX_SERVICES),
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
        max_named: Some(MAX_ZONES),
        required: true,
        fields: &[Field {
            name: "in_service",
            kind: Kind::Boolean,
            meaning: "false while the zone is taken out of service",
        }],
    },
    Section {
        name: "teams",
        max_named: Some(MAX_TEAMS),
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
        max_named: None,
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
        max_named: None,
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
