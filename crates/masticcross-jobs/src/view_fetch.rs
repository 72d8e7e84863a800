//! Fetching the operator view from other processes. It answers configurations of hundreds of kilobytes
//! at many sessions: a process announces the position of its view, and the other side asks for the view
//! only if it is newer, one session at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Session number, unique in this process.
type SessionId = u64;

/// Time after which another session is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Positions of the views that other processes have announced.
#[derive(Debug, Default)]
pub struct ViewFetch {
    announced: BTreeMap<SessionId, u64>,
    /// Session that was asked last, and when.
    asked: Option<(SessionId, Instant)>,
}

impl ViewFetch {
    /// Records the position that was announced on a session.
    pub fn announced(&mut self, session: SessionId, position: u64) {
        self.announced.insert(session, position);
    }

    /// Removes a session that has ended.
    pub fn closed(&mut self, session: SessionId) {
        self.announced.remove(&session);
        if self.asked.is_some_and(|(asked, _)| asked == session) {
            self.asked = None;
        }
    }

    /// Returns the session on which to ask for the view now, if one has a newer view than the own
    /// position.
    pub fn next(&mut self, own_position: u64, now: Instant) -> Option<SessionId> {
        let waits = |at: Instant| now.saturating_duration_since(at) < FETCH_TIMEOUT;
        if self.asked.is_some_and(|(session, at)| {
            waits(at) && self.announced.get(&session) > Some(&own_position)
        }) {
            return None;
        }
        let last_asked = self.asked.map(|(session, _)| session);
        let newer = self.announced.iter().filter(|(_, p)| **p > own_position);
        let best = newer.max_by_key(|(session, p)| (Some(**session) != last_asked, **p));
        let session = best.map(|(session, _)| *session)?;
        self.asked = Some((session, now));
        Some(session)
    }
}
