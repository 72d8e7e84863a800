//! Settings of the owner's tables.

use std::time::Duration;

use masticcross_config::{Document, Limits, Times};

/// Limits and policy that are not part of the configuration document.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// How often a failed task of a repeatable job is tried again on another worker.
    pub failure_retries: u8,
    /// Most submissions that wait for the same job.
    pub max_waiters: usize,
    /// How long a recovering partition waits for registered agents that have not answered, after the
    /// fence.
    pub gather_grace: Duration,
    /// How long a question waits for a partition that recovers or moves.
    pub query_wait: Duration,
    /// Switches for tests that show what each rule is for.
    pub checks: OwnerChecks,
}

/// Rules that a test can take out to show that the checks notice. All are on in a real process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChecks {
    /// Wait for the fence at a takeover and after the loss of an agent.
    pub fence: bool,
    /// Say "not run" only under a fresh view.
    pub freshness: bool,
    /// Read admissions back at a takeover.
    pub read_back: bool,
}

impl Default for OwnerChecks {
    fn default() -> Self {
        Self {
            fence: true,
            freshness: true,
            read_back: true,
        }
    }
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            failure_retries: 1,
            max_waiters: 64,
            gather_grace: Duration::from_millis(500),
            query_wait: Duration::from_secs(5),
            checks: OwnerChecks::default(),
        }
    }
}

/// What the decisions need of the configuration in force and the settings.
#[derive(Debug, Clone)]
pub(super) struct Rules {
    /// Wait after which no start under an older view is possible.
    pub fence: Duration,
    /// How long a job stays known after its end.
    pub once_window: Duration,
    /// How often a failed task is tried again.
    pub failure_retries: u8,
    /// Most submissions that wait for the same job.
    pub max_waiters: usize,
    /// How long a job found at a takeover waits for its request.
    pub revive_within: Duration,
}

impl Rules {
    /// Works out the rules; without a document the defaults hold. The fence is the one that the
    /// ledger names now.
    pub(super) fn new(
        document: Option<&Document>,
        fence: Duration,
        settings: &OwnerSettings,
    ) -> Self {
        let times = document.map_or_else(Times::default, |d| d.times.clone());
        let fence = if settings.checks.fence {
            fence
        } else {
            Duration::ZERO
        };
        Self {
            fence,
            once_window: times.once_window(),
            failure_retries: settings.failure_retries,
            max_waiters: settings.max_waiters,
            revive_within: longest_deadline(document),
        }
    }
}

fn longest_deadline(document: Option<&Document>) -> Duration {
    let services = document.into_iter().flat_map(|d| d.services.values());
    let longest = services.map(|s| s.max_deadline_ms).max();
    Duration::from_millis(longest.unwrap_or_default().into())
}

/// Returns the limits in force.
pub(super) fn limits(document: Option<&Document>) -> Limits {
    document.map_or_else(Limits::default, |d| d.limits.clone())
}
