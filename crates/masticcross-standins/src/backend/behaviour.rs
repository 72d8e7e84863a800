//! How a backend server behaves, changed while it runs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Largest factor on run times.
const MAX_SLOW_FACTOR: f64 = 1e4;

/// How a backend server behaves.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Share of tasks that fail at once, between 0 and 1.
    pub fail_share: f64,
    /// Factor on run times.
    pub slow_factor: f64,
    /// True if tasks never end by themselves.
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
    /// Returns the run time of a task that usually runs for `usual`; none if it never ends.
    #[must_use]
    pub fn run_time(&self, usual: Duration) -> Option<Duration> {
        let factor = self.slow_factor.clamp(0.0, MAX_SLOW_FACTOR);
        (!self.hang).then(|| usual.mul_f64(factor))
    }
}
