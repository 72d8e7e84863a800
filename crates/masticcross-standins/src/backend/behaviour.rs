//! Behaviour of a backend server, which can be changed while it runs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum factor on run times.
const MAX_SLOW_FACTOR: f64 = 1e4;

/// Behaviour of a backend server: failures, slow and hanging tasks, and its connection limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Share of tasks that fail immediately, between 0 and 1.
    pub fail_share: f64,
    /// Factor on run times.
    pub slow_factor: f64,
    /// True if tasks run until they are stopped.
    pub hang: bool,
    /// True if connections above the announced number are closed.
    pub limit_connections: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            fail_share: 0.0,
            slow_factor: 1.0,
            hang: false,
            limit_connections: false,
        }
    }
}

impl Behaviour {
    /// Returns the run time of a task with a base run time, or `None` if it runs until stopped.
    #[must_use]
    pub fn run_time(&self, base: Duration) -> Option<Duration> {
        let factor = self.slow_factor.clamp(0.0, MAX_SLOW_FACTOR);
        (!self.hang).then(|| base.mul_f64(factor))
    }
}
