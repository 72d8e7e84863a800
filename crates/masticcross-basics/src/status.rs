//! The state of one process, as its operators' port tells it.

use serde::{Deserialize, Serialize};

/// State of an entry or an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name of the entry or the worker.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Version of the configuration in force at the process.
    pub config_version: u64,
    /// Age of the process's view of the log, in milliseconds; none if it has none.
    pub view_age_ms: Option<u64>,
    /// True while the process may act on its view.
    pub fresh: bool,
    /// True once the process takes nothing new.
    pub draining: bool,
}
