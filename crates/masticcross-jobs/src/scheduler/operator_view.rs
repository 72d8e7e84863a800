//! The operator view, and its exchange with agents.

use std::time::Duration;

use masticcross_wire::pool::{
    Echo, OperatorView, PoolFrame, ViewAnnouncement, ViewPart, ViewRange,
};
use smallvec::SmallVec;
use tokio::time::Instant;
use twox_hash::XxHash3_64;

use super::{Effect, Scheduler, SessionId};
use crate::view::encoded::EncodedView;
use crate::view::fetch::{FetchPace, Progress};
use crate::view::freshness::confirmed_at;

/// Number of agents that an entry asks to keep a copy of the operator view.
pub(super) const VIEW_KEEPERS: usize = 4;

/// An entry gets the view from the operators' records; the delay leaves it the time to do so.
pub(super) const FETCH_PACE: FetchPace = FetchPace {
    delay: Duration::from_millis(500),
    interval: Duration::ZERO,
};

/// Which operator view is in force, and how old the knowledge is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ViewStatus {
    /// Position of the view in the operators' stream; 0 if there is no view yet.
    pub position: u64,
    /// Version of the configuration.
    pub config_version: u64,
    /// Time since a read of the operators' records, by this entry or another process, showed that
    /// there is no newer view, or `None` if that is not known.
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
        ViewStatus {
            position: self.view_position(),
            config_version: self.view.as_ref().map_or(0, |view| view.config_version),
            age: self.view_age.get(now),
        }
    }

    /// Records that a read of the operators' records has shown that there was no newer view at the given
    /// time.
    pub fn view_confirmed(&mut self, current_at: Instant) {
        let position = self.view_position();
        self.view_age.confirmed(position, current_at, position);
    }

    /// Returns the answer to a probe.
    #[must_use]
    pub fn echo(&self, probe: u64, now: Instant) -> Echo {
        Echo {
            probe,
            view_position: self.view_position(),
            view_age_ms: self.view_age.to_ms(now),
        }
    }

    /// Applies an operator view if it is newer, and announces it to all agents. Returns true if it is.
    pub fn update_view(&mut self, view: OperatorView, now: Instant) -> bool {
        let current_position = self.view.as_ref().map(|v| v.position);
        if current_position.is_some_and(|position| view.position <= position) || view.position == 0
        {
            return false;
        }
        self.view_age.applied(view.position);
        self.view = Some(view);
        self.encoded_view = None;
        self.locality.recheck = true;
        self.workers.invalidate();
        let sessions: Vec<SessionId> = self.workers.values().filter_map(|w| w.session).collect();
        for session in sessions {
            self.announce_view(session, now);
        }
        true
    }

    /// Announces the operator view on a session, if there is one.
    pub(super) fn announce_view(&mut self, session: SessionId, now: Instant) {
        if let Some(view) = &self.view {
            let announcement = ViewAnnouncement {
                summary: view.summary(),
                keep_copy: self.view_keepers.contains(&session),
                age_ms: self.view_age.to_ms(now),
            };
            let frame = PoolFrame::View(announcement);
            self.effects.push(Effect::Send(session, frame));
        }
    }

    /// Chooses the agents that keep a copy of the operator view. An entry that starts while the
    /// operators' records cannot be read gets it from them. Entries that share agents tend to choose
    /// the same ones.
    pub(super) fn choose_view_keepers(&mut self, now: Instant) {
        let sessions = self
            .workers
            .iter()
            .filter_map(|(name, w)| Some((name, w.session?)));
        let ranked =
            sessions.map(|(name, session)| (XxHash3_64::oneshot(name.as_bytes()), session));
        let mut ranked: Vec<(u64, SessionId)> = ranked.collect();
        ranked.sort_unstable();
        let keepers = ranked
            .into_iter()
            .map(|(_, session)| session)
            .take(VIEW_KEEPERS);
        let keepers: SmallVec<[SessionId; VIEW_KEEPERS]> = keepers.collect();
        let former = std::mem::replace(&mut self.view_keepers, keepers.clone());
        for session in keepers
            .into_iter()
            .filter(|session| !former.contains(session))
        {
            self.announce_view(session, now);
        }
    }

    /// Applies an agent's announcement of its operator view.
    pub fn view_announced(&mut self, session: SessionId, view: &ViewAnnouncement, now: Instant) {
        let position = view.summary.position;
        if let Some(at) = confirmed_at(view.age_ms, now) {
            let own_position = self.view_position();
            self.view_age.confirmed(position, at, own_position);
        }
        self.view_fetch.announced(session, position);
        self.fetch_view(now);
    }

    /// Sends a part of the operator view on a session whose agent requested it.
    pub fn view_requested(&mut self, session: SessionId, range: ViewRange) {
        let Some(view) = self.view.as_ref().filter(|v| v.position >= range.position) else {
            return;
        };
        if self.encoded_view.is_none() {
            match EncodedView::encode(view) {
                Ok(encoded) => self.encoded_view = Some(encoded),
                Err(error) => log::error!(error:%; "operator view cannot be encoded"),
            }
        }
        if let Some(encoded) = &self.encoded_view {
            let frame = PoolFrame::ViewPart(encoded.part(range));
            self.effects.push(Effect::Send(session, frame));
        }
    }

    /// Applies a part of an operator view. Returns true if a newer view is complete and was applied.
    pub fn view_part_received(
        &mut self,
        session: SessionId,
        part: &ViewPart,
        now: Instant,
    ) -> bool {
        let position = self.view_position();
        match self.view_fetch.received(session, part, position, now) {
            Progress::Waiting => false,
            Progress::Continue(range) => {
                let frame = PoolFrame::FetchView(range);
                self.effects.push(Effect::Send(session, frame));
                false
            }
            Progress::Malformed => {
                log::warn!(session, position = part.position; "malformed part of an operator view");
                false
            }
            Progress::Complete(encoded) => match encoded.decode() {
                Ok(view) => self.update_view(view, now),
                Err(error) => {
                    log::warn!(session, error:%; "malformed operator view");
                    false
                }
            },
        }
    }

    pub(super) fn fetch_view(&mut self, now: Instant) {
        if let Some((session, range)) = self.view_fetch.next(self.view_position(), now) {
            let frame = PoolFrame::FetchView(range);
            self.effects.push(Effect::Send(session, frame));
        }
    }

    fn view_position(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.position)
    }
}
