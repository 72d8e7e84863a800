//! Current counts and gauges, for operators and for the graceful shutdown.

use std::time::Duration;

use tokio::time::Instant;

use super::AgentCore;

/// Current counts and gauges of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stats {
    /// Running tasks.
    pub running: usize,
    /// Tasks that wait for a slot.
    pub queued: usize,
    /// Attempts in the table.
    pub attempts: usize,
    /// Memory taken by the attempts, in bytes.
    pub attempt_bytes: usize,
    /// Attempts that started and ended, but that no owner has released.
    pub unreleased: usize,
    /// Open sessions.
    pub sessions: usize,
    /// Backend servers that can get tasks.
    pub backends: usize,
    /// True while this incarnation of the agent is registered in the log.
    pub registered: bool,
    /// Age of the view; none without a view.
    pub view_age: Option<Duration>,
    /// True while the view is fresh enough to start tasks.
    pub view_fresh: bool,
    /// True once the agent accepts no new tasks.
    pub draining: bool,
}

impl AgentCore {
    /// Returns the current counts and gauges.
    #[must_use]
    pub fn stats(&self, now: Instant) -> Stats {
        let state = self.state.lock();
        Stats {
            running: state.attempts.running(),
            queued: state.queue.total(),
            attempts: state.attempts.len(),
            attempt_bytes: state.attempts.bytes(),
            unreleased: state.attempts.unreleased(),
            sessions: self.sessions.len(),
            backends: state.backends.infos(now).len(),
            registered: self.view.view().is_some_and(|view| view.registered),
            view_age: self.view.age(now),
            view_fresh: self.view.is_fresh(now),
            draining: state.draining,
        }
    }
}
