//! The last check before a task is sent to its backend server.

use masticcross_basics::AttemptId;
use masticcross_wire::NotStartedReason;
use tokio::time::Instant;

use crate::core::SharedCore;

/// Result of the last check.
pub type Result<T> = std::result::Result<T, NotStartedReason>;

/// Permits or refuses the start of one attempt.
pub struct StartGate {
    core: SharedCore,
    attempt: AttemptId,
}

impl StartGate {
    /// Creates a gate for one attempt.
    #[must_use]
    pub fn new(core: SharedCore, attempt: AttemptId) -> Self {
        Self { core, attempt }
    }

    /// Checks that the attempt may start now, and records the start. The caller must send the
    /// request immediately afterwards. May be called again only if nothing of the request was sent.
    ///
    /// # Errors
    /// Returns the reason why the task must not start.
    pub fn confirm_start(&self) -> Result<()> {
        self.core.confirm_start(self.attempt, Instant::now())
    }
}
