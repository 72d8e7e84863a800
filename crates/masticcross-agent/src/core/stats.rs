//! Figures of the present moment, for operators and for the stop in order.

use std::time::Duration;

use tokio::time::Instant;

use super::AgentCore;

/// Figures of the present moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Stats {
    /// Tasks that run.
    pub running: usize,
    /// Tasks that wait for a place.
    pub queued: usize,
    /// Attempts kept.
    pub attempts: usize,
    /// Memory of the attempts kept, in bytes.
    pub attempt_bytes: usize,
    /// Ended attempts that no owner has released.
    pub unreleased: usize,
    /// Open sessions.
    pub sessions: usize,
    /// Backend servers that get tasks.
    pub backends: usize,
    /// True while this start of the agent is registered in the log.
    pub registered: bool,
    /// Age of the view.
    pub view_age: Option<Duration>,
    /// True while the view may be used to start tasks.
    pub view_fresh: bool,
    /// True once the agent takes nothing new.
    pub draining: bool,
}

impl AgentCore {
    /// Returns figures of the present moment.
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
