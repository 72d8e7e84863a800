//! Requests for parts of an operator view that an agent passes on from one entry to another. Through
//! it, an entry that cannot read the operators' records gets the view from one that can.

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
    relayed: Vec<Relayed>,
}

impl ViewRelay {
    /// Removes a session that has ended.
    pub fn closed(&mut self, session: SessionId) {
        self.relayed
            .retain(|r| r.requester != session && r.source != session);
    }

    /// Records that a request was passed on to a source. It replaces an earlier one of the requester.
    pub fn passed_on(&mut self, requester: SessionId, source: SessionId, range: ViewRange) {
        self.relayed.retain(|r| r.requester != requester);
        self.relayed.push(Relayed {
            requester,
            source,
            range,
        });
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
