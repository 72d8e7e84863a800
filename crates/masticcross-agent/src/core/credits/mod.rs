//! Credit-based sharing of one service's slots among the sessions.
//!
//! A grant is permission to send one task. It cannot be revoked, so grants follow demand: sessions
//! with waiting tasks come first. Without demand, each session has a small minimum of unused
//! grants, so that an entry can send a task that arrives on an idle system without a round trip.

use std::collections::BTreeMap;

use super::SessionId;

#[cfg(test)]
mod tests;

/// Capacity of a service at this agent, from which grants are computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Tasks that can run at once.
    pub slots: u64,
    /// Tasks that may be queued here in addition.
    pub prefetch: u64,
    /// Tasks that run or are queued here.
    pub busy: u64,
    /// Entries in the view; zero if there is no view.
    pub entries: u64,
}

/// A session's new total of grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewTotal {
    /// The session.
    pub session: SessionId,
    /// Tasks that its entry may send over the lifetime of the session.
    pub total: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct SessionCredits {
    total: u64,
    received: u64,
    waiting: u64,
    announced: u64,
    /// Sequence number of its last grant.
    last_grant: u64,
}

impl SessionCredits {
    /// Returns the grants that are not used yet.
    fn unused(&self) -> u64 {
        self.total.saturating_sub(self.received)
    }

    /// Returns the number of waiting tasks without a grant.
    fn unmet_demand(&self) -> u64 {
        self.waiting.saturating_sub(self.unused())
    }
}

/// Grants of one service.
#[derive(Debug, Default)]
pub struct Credits {
    by_session: BTreeMap<SessionId, SessionCredits>,
    /// Number of grants made so far.
    grants: u64,
}

impl Credits {
    /// Adds a session without any grant.
    pub fn open(&mut self, session: SessionId) {
        self.by_session.entry(session).or_default();
    }

    /// Removes a session and its grants.
    pub fn close(&mut self, session: SessionId) {
        self.by_session.remove(&session);
    }

    /// Records how many tasks wait at a session's entry.
    pub fn set_waiting(&mut self, session: SessionId, waiting: u32) {
        if let Some(credits) = self.by_session.get_mut(&session) {
            credits.waiting = waiting.into();
        }
    }

    /// Records that a task arrived. Returns false if the session had no grant for it.
    pub fn receive(&mut self, session: SessionId) -> bool {
        let Some(credits) = self.by_session.get_mut(&session) else {
            return false;
        };
        credits.received += 1;
        credits.waiting = credits.waiting.saturating_sub(1);
        let granted = credits.received <= credits.total;
        credits.total = credits.total.max(credits.received);
        granted
    }

    /// Returns the grants that a session has not used yet.
    #[must_use]
    pub fn unused_of(&self, session: SessionId) -> u64 {
        self.by_session
            .get(&session)
            .map_or(0, SessionCredits::unused)
    }

    /// Returns the unused grants of all sessions.
    #[must_use]
    pub fn outstanding(&self) -> u64 {
        self.by_session.values().map(SessionCredits::unused).sum()
    }

    /// Returns the largest sum of busy slots and unused grants that [`Credits::grant`] allows. This
    /// is the full capacity once for each session, because demand can move from one session to
    /// another while the grants already made remain.
    #[must_use]
    pub fn bound(&self, capacity: Capacity) -> u64 {
        let sessions = (self.by_session.len() as u64).max(1);
        sessions * (capacity.slots + capacity.prefetch)
    }

    /// Makes as many grants as the capacity allows. Returns the sessions whose total changed.
    pub fn grant(&mut self, capacity: Capacity) -> Vec<NewTotal> {
        let floor = self.floor(capacity);
        if capacity.slots == 0 {
            return Vec::new();
        }
        while let Some(session) = self.next_session(floor, self.free_capacity(capacity)) {
            self.grants += 1;
            let grants = self.grants;
            if let Some(credits) = self.by_session.get_mut(&session) {
                credits.total += 1;
                credits.last_grant = grants;
            }
        }
        self.take_changes()
    }

    /// Returns the number of unused grants that each session gets without demand: an equal share of
    /// the slots, or one while the number of entries is unknown.
    fn floor(&self, capacity: Capacity) -> u64 {
        if capacity.entries == 0 {
            return 1;
        }
        let entries = capacity.entries.max(self.by_session.len() as u64);
        (capacity.slots / entries).max(1)
    }

    /// Returns the capacity that is neither busy nor reserved by unused grants of sessions with
    /// demand.
    fn free_capacity(&self, capacity: Capacity) -> u64 {
        let with_demand = self.by_session.values().filter(|s| s.waiting > 0);
        let reserved = capacity.busy + with_demand.map(SessionCredits::unused).sum::<u64>();
        (capacity.slots + capacity.prefetch).saturating_sub(reserved)
    }

    /// Picks the session with the highest unmet demand, or else the one with the fewest unused
    /// grants, as long as these are below both the floor and the free capacity. On a tie, the
    /// session whose last grant is the oldest comes first.
    fn next_session(&self, floor: u64, free_capacity: u64) -> Option<SessionId> {
        if free_capacity == 0 {
            return None;
        }
        let highest_demand = self
            .by_session
            .iter()
            .filter(|(_, s)| s.unmet_demand() > 0)
            .min_by_key(|(_, s)| (std::cmp::Reverse(s.unmet_demand()), s.last_grant));
        let idle = || {
            let limit = floor.min(free_capacity);
            let below = self.by_session.iter().filter(|(_, s)| s.unused() < limit);
            below.min_by_key(|(_, s)| (s.unused(), s.last_grant))
        };
        highest_demand.or_else(idle).map(|(session, _)| *session)
    }

    fn take_changes(&mut self) -> Vec<NewTotal> {
        let mut changes = Vec::new();
        for (session, credits) in &mut self.by_session {
            if credits.announced != credits.total {
                credits.announced = credits.total;
                changes.push(NewTotal {
                    session: *session,
                    total: credits.total,
                });
            }
        }
        changes
    }
}
