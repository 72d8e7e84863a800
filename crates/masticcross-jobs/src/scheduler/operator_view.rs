//! The operator view, and its exchange with agents.

use masticcross_wire::pool::{OperatorView, PoolFrame};
use tokio::time::Instant;

use super::{Effect, Scheduler, SessionId};

impl Scheduler {
    /// Applies an operator view if it is newer, and announces it to all agents. Returns true if it is.
    pub fn update_view(&mut self, view: OperatorView) -> bool {
        let current_position = self.view.as_ref().map(|v| v.position);
        if current_position.is_some_and(|position| view.position <= position) || view.position == 0
        {
            return false;
        }
        log::info!(
            position = view.position, version = view.config_version,
            zones_out:? = view.zones_out;
            "operators' orders"
        );
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
