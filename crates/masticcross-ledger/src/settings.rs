//! Settings of the ledger that a process takes from its command line.

use std::time::Duration;

use masticcross_config::Times;

/// Times of the ledger that must hold before any configuration is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Shortest time between two snapshots of a stream that changed.
    pub snapshot_interval: Duration,
    /// Longest time between two snapshots; well below the log's retention.
    pub snapshot_refresh: Duration,
    /// How long a process without a state waits for a snapshot before it starts anew.
    pub reset_after: Duration,
    /// Seed of the random part of waits.
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

/// Returns the times in force: those of a document, or the usual ones before the first.
#[must_use]
pub fn times_or_default(times: Option<&Times>) -> Times {
    times.cloned().unwrap_or_default()
}
