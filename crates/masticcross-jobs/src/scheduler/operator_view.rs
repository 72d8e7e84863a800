//! The operator view, and its exchange with agents.

use std::time::Duration;

use masticcross_wire::pool::{OperatorView, PoolFrame};
use tokio::time::Instant;

use super::{Effect, Scheduler, SessionId};

/// Which operator view is in force, and how old the knowledge is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ViewStatus {
    /// Position of the view in the operators' stream; 0 if there is no view yet.
    pub position: u64,
    /// Version of the configuration.
    pub config_version: u64,
    /// Time since a read of the operators' records showed that there is no newer view, or `None` if
    /// this entry has not completed a read.
    pub age: Option<Duration>,
}

impl ViewStatus {
    /// Returns the age in milliseconds for logs, or -1 if it is not known.
    #[must_use]
    pub fn age_ms(&self) -> i64 {
        let ms = |age: Duration| i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.age.map_or(-1, ms)
    }
}

impl Scheduler {
    /// Returns which operator view is in force.
    #[must_use]
    pub fn view_status(&self, now: Instant) -> ViewStatus {
        let age = |at: Instant| now.saturating_duration_since(at);
        ViewStatus {
            position: self.view.as_ref().map_or(0, |view| view.position),
            config_version: self.view.as_ref().map_or(0, |view| view.config_version),
            age: self.view_confirmed_at.map(age),
        }
    }

    /// Records that a read of the operators' records has shown which is the newest view.
    pub fn view_confirmed(&mut self, now: Instant) {
        self.view_confirmed_at = Some(now);
    }

    /// Applies an operator view if it is newer, and announces it to all agents. Returns true if it is.
    pub fn update_view(&mut self, view: OperatorView) -> bool {
        let current_position = self.view.as_ref().map(|v| v.position);
        if current_position.is_some_and(|position| view.position <= position) || view.position == 0
        {
            return false;
        }
        let sessions: Vec<SessionId> = self.workers.values().filter_map(|w| w.session).collect();
        for session in sessions {
            let frame = PoolFrame::ViewPosition(view.position);
            self.effects.push(Effect::Send(session, frame));
        }
        self.view = Some(view);
        true
    }

    /// Applies the position of the operator view that an agent announced.
    pub fn view_announced(&mut self, session: SessionId, position: u64, now: Instant) {
        self.view_fetch.announced(session, position);
        self.fetch_view(now);
    }

    /// Sends the operator view on a session whose agent asked for it.
    pub fn send_view(&mut self, session: SessionId) {
        if let Some(view) = &self.view {
            let frame = PoolFrame::View(Box::new(view.clone()));
            self.effects.push(Effect::Send(session, frame));
        }
    }

    pub(super) fn fetch_view(&mut self, now: Instant) {
        let position = self.view.as_ref().map_or(0, |view| view.position);
        if let Some(session) = self.view_fetch.next(position, now) {
            self.effects
                .push(Effect::Send(session, PoolFrame::FetchView));
        }
    }
}
