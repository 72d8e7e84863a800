//! When and where a process requests the parts of a newer operator view.

use std::time::Duration;

use bytes::BytesMut;
use masticcross_wire::pool::{ViewPart, ViewRange};
use tokio::time::Instant;

use super::SessionId;
use super::announcements::Announcements;
use super::encoded::{EncodedView, MAX_VIEW_BYTES};

/// Time without a part after which another session is asked.
const PART_TIMEOUT: Duration = Duration::from_millis(500);

/// How eagerly a process fetches a newer view.
#[derive(Debug, Clone, Copy)]
pub struct FetchPace {
    /// Time between the first announcement of a newer view and the first request.
    pub delay: Duration,
    /// Minimum time between two requests.
    pub interval: Duration,
}

/// What a received part leads to.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing to do now.
    Waiting,
    /// The next part is to be requested on the same session.
    Continue(ViewRange),
    /// The view is complete.
    Complete(EncodedView),
    /// The part contradicts itself or the other parts.
    Malformed,
}

/// Parts of a view that have been received, without gaps.
#[derive(Debug)]
struct Partial {
    position: u64,
    digest: u64,
    total: u64,
    buf: BytesMut,
}

impl Partial {
    fn is_same_view(&self, part: &ViewPart) -> bool {
        (self.position, self.digest, self.total) == (part.position, part.digest, part.total)
    }

    fn next_range(&self) -> ViewRange {
        ViewRange {
            position: self.position,
            offset: self.buf.len() as u64,
        }
    }
}

/// Fetches the operator view from other processes that have announced a newer one.
#[derive(Debug)]
pub struct ViewFetch {
    pace: FetchPace,
    announcements: Announcements,
    /// Since when another process has had a newer view.
    behind_since: Option<Instant>,
    /// Session that was asked last, and when.
    asked: Option<(SessionId, Instant)>,
    /// True while the answer to the last request is awaited.
    is_waiting: bool,
    partial: Option<Partial>,
}

impl ViewFetch {
    /// Creates a fetch that has not heard of any view. Processes with different seeds ask different
    /// sessions first.
    #[must_use]
    pub fn new(pace: FetchPace, seed: usize) -> Self {
        Self {
            pace,
            announcements: Announcements::new(seed),
            behind_since: None,
            asked: None,
            is_waiting: false,
            partial: None,
        }
    }

    /// Records the position that was announced on a session.
    pub fn announced(&mut self, session: SessionId, position: u64) {
        self.announcements.set(session, position);
    }

    /// Removes a session that has ended.
    pub fn closed(&mut self, session: SessionId) {
        self.announcements.remove(session);
        if self.asked.is_some_and(|(asked, _)| asked == session) {
            self.is_waiting = false;
        }
    }

    /// Returns a session, other than the given one, whose process has the view at a position.
    pub fn source(&mut self, position: u64, except: SessionId) -> Option<SessionId> {
        self.announcements.choose(position, Some(except))
    }

    /// Returns the session on which to request a part now and the part, if another process has a
    /// newer view than the own position.
    pub fn next(&mut self, own_position: u64, now: Instant) -> Option<(SessionId, ViewRange)> {
        let newest = self.announcements.newest();
        if newest <= own_position {
            self.reset();
            return None;
        }
        if self
            .partial
            .as_ref()
            .is_some_and(|p| p.position <= own_position)
        {
            self.partial = None;
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        let behind_since = *self.behind_since.get_or_insert(now);
        let since_asked = self.asked.map(|(_, at)| since(at));
        let is_early = since_asked.is_some_and(|time| {
            time < self.pace.interval || (self.is_waiting && time < PART_TIMEOUT)
        });
        if is_early || since(behind_since) < self.pace.delay {
            return None;
        }
        let range = self.partial.as_ref().map(Partial::next_range);
        let range = range.unwrap_or(ViewRange {
            position: newest,
            offset: 0,
        });
        let Some(session) = self.announcements.choose(range.position, None) else {
            // Nobody has the view any more whose parts were received.
            self.partial = None;
            return None;
        };
        self.asked = Some((session, now));
        self.is_waiting = true;
        Some((session, range))
    }

    /// Applies a part. `own_position` is the position of the view that this process has.
    pub fn received(
        &mut self,
        session: SessionId,
        part: &ViewPart,
        own_position: u64,
        now: Instant,
    ) -> Progress {
        if !is_valid(part) {
            return Progress::Malformed;
        }
        if part.position <= own_position {
            return Progress::Waiting;
        }
        let is_same = self.partial.as_ref().is_some_and(|p| p.is_same_view(part));
        let is_older = self
            .partial
            .as_ref()
            .is_some_and(|p| part.position < p.position);
        if !is_same && !is_older {
            // Another view, or another encoding of the same one: the parts do not fit together.
            self.partial = (part.offset == 0).then(|| Partial {
                position: part.position,
                digest: part.digest,
                total: part.total,
                buf: BytesMut::new(),
            });
        }
        let Some(partial) = self.partial.as_mut().filter(|p| p.is_same_view(part)) else {
            return Progress::Waiting;
        };
        if partial.buf.len() as u64 != part.offset {
            return Progress::Waiting;
        }
        partial.buf.extend_from_slice(&part.bytes);
        if partial.buf.len() as u64 == partial.total {
            return self.complete();
        }
        let range = partial.next_range();
        if self.pace.interval.is_zero() {
            self.is_waiting = true;
            self.asked = Some((session, now));
            Progress::Continue(range)
        } else {
            self.is_waiting = false;
            Progress::Waiting
        }
    }

    fn complete(&mut self) -> Progress {
        let Some(partial) = self.partial.take() else {
            return Progress::Waiting;
        };
        self.reset();
        let view = EncodedView::new(partial.position, partial.buf.freeze());
        if view.digest() == partial.digest {
            Progress::Complete(view)
        } else {
            Progress::Malformed
        }
    }

    fn reset(&mut self) {
        self.behind_since = None;
        self.is_waiting = false;
        self.partial = None;
    }
}

fn is_valid(part: &ViewPart) -> bool {
    let end = part.offset.checked_add(part.bytes.len() as u64);
    !part.bytes.is_empty()
        && part.total <= MAX_VIEW_BYTES as u64
        && end.is_some_and(|end| end <= part.total)
}
