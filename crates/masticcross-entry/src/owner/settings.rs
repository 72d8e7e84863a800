//! Settings of the owner's tables.

use std::time::Duration;

use masticcross_config::{Document, Limits, Times};

/// Limits and policy that are not part of the configuration document.
#[derive(Debug, Clone)]
pub struct OwnerSettings {
    /// Maximum number of retries of a failed task of a repeatable job, on other workers if possible.
    pub failure_retries: u8,
    /// Maximum number of submissions that wait for the same job.
    pub max_waiters: usize,
    /// How long a recovering partition waits for registered agents that have not answered, after the
    /// fence.
    pub gather_timeout: Duration,
    /// How long a query waits for a partition that is being recovered or handed over.
    pub query_wait: Duration,
    /// Safety rules, which tests can switch off.
    pub checks: OwnerChecks,
}

/// Safety rules that a test can switch off to show that the violation is detected. All are on in
/// production.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChecks {
    /// Wait for the fence at a takeover and after the loss of an agent.
    pub fence: bool,
    /// Report "not run" and admit jobs only with a fresh view.
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
            gather_timeout: Duration::from_millis(500),
            query_wait: Duration::from_secs(5),
            checks: OwnerChecks::default(),
        }
    }
}

/// Rules for decisions, from the configuration in force and the settings.
#[derive(Debug, Clone)]
pub(super) struct Rules {
    /// Time after which no start under an older view is possible.
    pub fence: Duration,
    /// How long a job stays in the table after its end.
    pub once_window: Duration,
    /// Maximum number of retries of a failed task.
    pub failure_retries: u8,
    /// Maximum number of submissions that wait for the same job.
    pub max_waiters: usize,
    /// How long a job found at a takeover waits to be submitted again.
    pub recovered_job_timeout: Duration,
}

impl Rules {
    /// Derives the rules from the configuration document, or from defaults if there is none. The
    /// fence is the ledger's current one.
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
            recovered_job_timeout: longest_deadline(document),
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
