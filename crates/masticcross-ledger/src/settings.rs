//! Settings of the ledger that are not part of the configuration.

use std::time::Duration;

use masticcross_config::Times;

/// Settings of the ledger that are needed before any configuration is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Minimum time between two snapshots of a stream that changed.
    pub snapshot_interval: Duration,
    /// Maximum time between two snapshots; must be well below the retention of the log.
    pub snapshot_refresh: Duration,
    /// Time for which a process without state waits for a snapshot before it resets the stream.
    pub reset_after: Duration,
    /// Seed of the random numbers for backoff and record ids.
    pub seed: u64,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            snapshot_interval: Duration::from_mins(1),
            snapshot_refresh: Duration::from_mins(5),
            reset_after: Duration::from_secs(10),
            seed: 0,
        }
    }
}

/// Returns the times in force: those of the document, or the defaults before the first document.
#[must_use]
pub fn times_or_default(times: Option<&Times>) -> Times {
    times.cloned().unwrap_or_default()
}
