//! The operator view at an agent: the summary by which it decides, a copy for entries that cannot read
//! the operators' records, and requests passed on between entries.

use std::time::Duration;

use masticcross_wire::pool::{
    OperatorView, PoolFrame, ViewAnnouncement, ViewPart, ViewRange, ViewSummary,
};
use tokio::time::Instant;
use twox_hash::XxHash3_64;

use super::{Effect, SessionId, Supervisor};
use crate::view::encoded::EncodedView;
use crate::view::fetch::{FetchPace, Progress, ViewFetch};
use crate::view::freshness::confirmed_at;
use crate::view_reader;

/// Minimum time between a change and the first request for a copy.
const MIN_FETCH_DELAY: Duration = Duration::from_secs(1);

/// Range of the additional delay, by which the agents of an installation are spread, in milliseconds.
const FETCH_DELAY_SPREAD_MS: u64 = 2_000;

/// Minimum time between two requests for parts of a copy. Nothing waits for it, and a copy must not
/// compete with callers' traffic for the entries' links.
const FETCH_INTERVAL: Duration = Duration::from_millis(50);

/// Creates the fetch of an agent's copy. The time and the entries that are asked depend on its name.
pub(super) fn new_fetch(name: &str) -> ViewFetch {
    let hash = XxHash3_64::oneshot(name.as_bytes());
    let pace = FetchPace {
        delay: MIN_FETCH_DELAY + Duration::from_millis(hash % FETCH_DELAY_SPREAD_MS),
        interval: FETCH_INTERVAL,
    };
    ViewFetch::new(pace, usize::try_from(hash >> 32).unwrap_or(0))
}

impl Supervisor {
    /// Applies the summary of an entry's operator view if it is newer, and forwards it to the other
    /// entries.
    pub fn view_announced(&mut self, session: SessionId, view: ViewAnnouncement, now: Instant) {
        let summary = view.summary;
        if view.keep_copy {
            self.keeping_for.insert(session);
        } else {
            self.keeping_for.remove(&session);
        }
        self.view_fetch.announced(session, summary.position);
        let position = summary.position;
        let is_newer = position > self.view.position;
        if is_newer {
            self.apply_view(summary);
        }
        // The entry sent the announcement after its last answer, which is on the same connection.
        let told_at = self
            .clients
            .of_session(session)
            .map(|client| client.last_contact());
        if let Some(told_at) = told_at {
            self.view_confirmed(position, view.age_ms, told_at);
        }
        if is_newer {
            self.announce_view(Some(session), now);
            self.publish(now);
        }
        self.fetch_view(now);
    }

    fn apply_view(&mut self, summary: ViewSummary) {
        log::info!(
            position = summary.position, version = summary.config_version, zones_out:? = summary.zones_out;
            "operators' orders"
        );
        self.view_age.applied(summary.position);
        self.view = summary;
    }

    /// Announces the view on all sessions but one.
    fn announce_view(&mut self, except: Option<SessionId>, now: Instant) {
        let sessions: Vec<SessionId> = self.clients.sessions().collect();
        for session in sessions.into_iter().filter(|s| Some(*s) != except) {
            let frame = PoolFrame::View(self.view_announcement(now));
            self.effects.push(Effect::Send(session, frame));
        }
    }

    /// Records the age of an entry's view, which it told at `told_at` or later.
    pub(super) fn view_confirmed(&mut self, position: u64, age_ms: Option<u32>, told_at: Instant) {
        if let Some(at) = confirmed_at(age_ms, told_at) {
            self.view_age.confirmed(position, at, self.view.position);
        }
    }

    /// Requests a read of the operators' records if the entries cannot read them.
    pub(super) fn read_view_if_due(&mut self, now: Instant) {
        let has_session = self.clients.open_sessions() > 0;
        if self
            .own_reads
            .start_if_due(&self.view_age, has_session, now)
        {
            self.effects.push(Effect::ReadView);
        }
    }

    /// Applies the result of a read of the operators' records that began at `read_at`, and tells the entries
    /// how old the view is now.
    pub fn view_read(
        &mut self,
        read: view_reader::Result<Option<OperatorView>>,
        read_at: Instant,
        now: Instant,
    ) {
        self.own_reads.ended(read.is_ok(), now);
        let age_ms = self.view_age.to_ms(now);
        let view = match read {
            Ok(view) => view.unwrap_or_default(),
            Err(error) => {
                log::warn!(error:%, age_ms; "operators' records not read by the agent");
                return;
            }
        };
        log::info!(position = view.position, age_ms; "operators' records read by the agent");
        if view.position > self.view.position {
            self.apply_view(view.summary());
        }
        self.view_age
            .confirmed(view.position, read_at, self.view.position);
        if view.position > self.copy_position() {
            match EncodedView::encode(&view) {
                Ok(copy) => self.view_copy = Some(copy),
                Err(error) => log::error!(error:%; "operator view cannot be encoded"),
            }
        }
        self.announce_view(None, now);
        self.publish(now);
    }

    /// Answers an entry's request for a part of the operator view from the copy, or passes it on to
    /// an entry that has the view. If there is neither, the entry gets an older copy, as it may have no
    /// view at all.
    pub fn view_requested(&mut self, session: SessionId, range: ViewRange) {
        if self.copy_position() < range.position
            && let Some(source) = self.view_fetch.source(range.position, session)
        {
            self.view_relay.passed_on(session, source, range);
            let frame = PoolFrame::FetchView(range);
            self.effects.push(Effect::Send(source, frame));
        } else if let Some(copy) = &self.view_copy {
            let frame = PoolFrame::ViewPart(copy.part(range));
            self.effects.push(Effect::Send(session, frame));
        }
    }

    /// Passes a part of an operator view on to the entries that requested it, and applies it to the
    /// copy.
    pub fn view_part_received(&mut self, session: SessionId, part: &ViewPart, now: Instant) {
        for requester in self.view_relay.received(session, part) {
            let frame = PoolFrame::ViewPart(part.clone());
            self.effects.push(Effect::Send(requester, frame));
        }
        let position = self.copy_position();
        match self.view_fetch.received(session, part, position, now) {
            Progress::Waiting => {}
            Progress::Continue(range) => {
                let frame = PoolFrame::FetchView(range);
                self.effects.push(Effect::Send(session, frame));
            }
            Progress::Malformed => {
                log::warn!(session, position = part.position; "malformed part of an operator view");
            }
            Progress::Complete(copy) => self.view_copy = Some(copy),
        }
    }

    /// Returns the announcement of the agent's view to entries.
    pub(super) fn view_announcement(&self, now: Instant) -> ViewAnnouncement {
        ViewAnnouncement {
            summary: self.view.clone(),
            keep_copy: false,
            age_ms: self.view_age.to_ms(now),
        }
    }

    /// Requests a part of the view if an entry has asked for a copy and it is due.
    pub(super) fn fetch_view(&mut self, now: Instant) {
        if self.keeping_for.is_empty() {
            return;
        }
        if let Some((session, range)) = self.view_fetch.next(self.copy_position(), now) {
            let frame = PoolFrame::FetchView(range);
            self.effects.push(Effect::Send(session, frame));
        }
    }

    fn copy_position(&self) -> u64 {
        self.view_copy.as_ref().map_or(0, EncodedView::position)
    }
}
