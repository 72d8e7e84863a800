//! Requests for parts of an operator view that an agent passes on from one entry to another. Through
//! it, an entry that cannot read the operators' records gets the view from one that can.

use std::collections::BTreeMap;

use masticcross_wire::pool::{ViewPart, ViewRange};
use smallvec::SmallVec;

use super::SessionId;

/// A request that was passed on.
#[derive(Debug)]
struct Relayed {
    requester: SessionId,
    source: SessionId,
    range: ViewRange,
}

/// Requests that were passed on and not answered. Each requester has one at most.
#[derive(Debug, Default)]
pub struct ViewRelay {
    announced: BTreeMap<SessionId, u64>,
    relayed: Vec<Relayed>,
    choices: usize,
}

impl ViewRelay {
    /// Records the position that was announced on a session.
    pub fn announced(&mut self, session: SessionId, position: u64) {
        self.announced.insert(session, position);
    }

    /// Removes a session that has ended.
    pub fn closed(&mut self, session: SessionId) {
        self.announced.remove(&session);
        self.relayed
            .retain(|r| r.requester != session && r.source != session);
    }

    /// Returns the session to which to pass on a request, if its process has the view.
    pub fn requested(&mut self, requester: SessionId, range: ViewRange) -> Option<SessionId> {
        let has_view = |(session, position): &(&SessionId, &u64)| {
            **session != requester && **position >= range.position
        };
        let sessions = self
            .announced
            .iter()
            .filter(has_view)
            .map(|(session, _)| *session);
        let sessions: SmallVec<[SessionId; 8]> = sessions.collect();
        if sessions.is_empty() {
            return None;
        }
        self.choices = self.choices.wrapping_add(1);
        let source = sessions[self.choices % sessions.len()];
        self.relayed.retain(|r| r.requester != requester);
        self.relayed.push(Relayed {
            requester,
            source,
            range,
        });
        Some(source)
    }

    /// Returns the sessions to which to pass on a part that was received on a session.
    pub fn received(&mut self, source: SessionId, part: &ViewPart) -> SmallVec<[SessionId; 2]> {
        let mut requesters = SmallVec::new();
        self.relayed.retain(|relayed| {
            let is_answer = relayed.source == source
                && relayed.range.position <= part.position
                && (relayed.range.offset == part.offset || part.offset == 0);
            if is_answer {
                requesters.push(relayed.requester);
            }
            !is_answer
        });
        requesters
    }
}
