//! Sharing of one service's slots among the sessions, by credits.
//!
//! A grant is permission to send one task. It cannot be taken back, so grants follow need:
//! sessions with waiting tasks come first, and without any need each session keeps a small floor, so
//! that a task which arrives on an idle system is sent without a round trip.

use std::collections::BTreeMap;

use super::SessionId;

#[cfg(test)]
mod tests;

/// Capacity of a service at this agent, as far as grants depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Tasks that run at once.
    pub slots: u64,
    /// Tasks that may wait here beside them.
    pub prefetch: u64,
    /// Tasks that run or wait here.
    pub busy: u64,
    /// Entries that take part, as far as known.
    pub entries: u64,
}

/// A session's new total of grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewTotal {
    /// The session.
    pub session: SessionId,
    /// Tasks that it may have sent in total.
    pub total: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Share {
    total: u64,
    received: u64,
    waiting: u64,
    announced: u64,
    turn: u64,
}

impl Share {
    /// Returns the grants not used yet.
    fn open(&self) -> u64 {
        self.total.saturating_sub(self.received)
    }

    /// Returns the waiting tasks that have no grant.
    fn unmet(&self) -> u64 {
        self.waiting.saturating_sub(self.open())
    }
}

/// Grants of one service.
#[derive(Debug, Default)]
pub struct Credits {
    shares: BTreeMap<SessionId, Share>,
    turns: u64,
}

impl Credits {
    /// Adds a session without any grant.
    pub fn open(&mut self, session: SessionId) {
        self.shares.entry(session).or_default();
    }

    /// Forgets a session with its grants.
    pub fn close(&mut self, session: SessionId) {
        self.shares.remove(&session);
    }

    /// Notes how many tasks wait at a session's entry.
    pub fn set_waiting(&mut self, session: SessionId, waiting: u32) {
        if let Some(share) = self.shares.get_mut(&session) {
            share.waiting = waiting.into();
        }
    }

    /// Notes that a task arrived. Returns false if the session had no grant for it.
    pub fn receive(&mut self, session: SessionId) -> bool {
        let Some(share) = self.shares.get_mut(&session) else {
            return false;
        };
        share.received += 1;
        share.waiting = share.waiting.saturating_sub(1);
        let granted = share.received <= share.total;
        share.total = share.total.max(share.received);
        granted
    }

    /// Returns the grants that a session has not used yet.
    #[must_use]
    pub fn open_of(&self, session: SessionId) -> u64 {
        self.shares.get(&session).map_or(0, Share::open)
    }

    /// Returns the grants not used yet, over all sessions.
    #[must_use]
    pub fn outstanding(&self) -> u64 {
        self.shares.values().map(Share::open).sum()
    }

    /// Returns the largest sum of busy places and open grants that [`Credits::grant`] allows: what
    /// sessions with need may hold together, once for each session, as need moves from one to the
    /// other and grants stay.
    #[must_use]
    pub fn bound(&self, capacity: Capacity) -> u64 {
        let sessions = (self.shares.len() as u64).max(1);
        sessions * (capacity.slots + capacity.prefetch)
    }

    /// Gives as many grants as the capacity allows. Returns the sessions whose total changed.
    pub fn grant(&mut self, capacity: Capacity) -> Vec<NewTotal> {
        let floor = self.floor(capacity);
        if capacity.slots == 0 {
            return Vec::new();
        }
        while let Some(session) = self.next(floor, self.room(capacity)) {
            self.turns += 1;
            let turns = self.turns;
            if let Some(share) = self.shares.get_mut(&session) {
                share.total += 1;
                share.turn = turns;
            }
        }
        self.take_changes()
    }

    /// Returns the grants that each session may hold while no task waits anywhere: an equal share of
    /// the slots, or a single one until the number of entries is known.
    fn floor(&self, capacity: Capacity) -> u64 {
        if capacity.entries == 0 {
            return 1;
        }
        let entries = capacity.entries.max(self.shares.len() as u64);
        (capacity.slots / entries).max(1)
    }

    /// Returns the places that are neither busy nor promised to sessions with need.
    fn room(&self, capacity: Capacity) -> u64 {
        let hungry = self.shares.values().filter(|s| s.waiting > 0);
        let needed = capacity.busy + hungry.map(Share::open).sum::<u64>();
        (capacity.slots + capacity.prefetch).saturating_sub(needed)
    }

    /// Picks the session with the highest unmet need, then one below the floor that has not used up
    /// the room itself. Among equals the one that had to wait longest comes first.
    fn next(&self, floor: u64, room: u64) -> Option<SessionId> {
        if room == 0 {
            return None;
        }
        let hungriest = self
            .shares
            .iter()
            .filter(|(_, s)| s.unmet() > 0)
            .min_by_key(|(_, s)| (std::cmp::Reverse(s.unmet()), s.turn));
        let idle = || {
            let least = floor.min(room);
            let below = self.shares.iter().filter(|(_, s)| s.open() < least);
            below.min_by_key(|(_, s)| (s.open(), s.turn))
        };
        hungriest.or_else(idle).map(|(session, _)| *session)
    }

    fn take_changes(&mut self) -> Vec<NewTotal> {
        let mut changes = Vec::new();
        for (session, share) in &mut self.shares {
            if share.announced != share.total {
                share.announced = share.total;
                changes.push(NewTotal {
                    session: *session,
                    total: share.total,
                });
            }
        }
        changes
    }
}
