//! The state of a process, as reported on its operators' port.

use serde::{Deserialize, Serialize};

/// State of an entry or an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name of the entry or the worker.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Version of the configuration that is in force at the process.
    pub config_version: u64,
    /// Age of the process's view of the log, in milliseconds; none if it has no view.
    pub view_age_ms: Option<u64>,
    /// True while the view is recent enough to act on.
    pub fresh: bool,
    /// True once the process accepts no new work.
    pub draining: bool,
}
