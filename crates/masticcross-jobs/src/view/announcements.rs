//! Which operator views other processes have.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::SessionId;

/// Positions of the views that other processes have announced.
#[derive(Debug)]
pub struct Announcements {
    positions: BTreeMap<SessionId, u64>,
    /// Number of sessions that were chosen, plus the seed.
    choices: usize,
}

impl Announcements {
    /// Creates a list without announcements. Processes with different seeds choose different sessions.
    #[must_use]
    pub fn new(seed: usize) -> Self {
        Self {
            positions: BTreeMap::new(),
            choices: seed,
        }
    }

    /// Records the position that was announced on a session.
    pub fn set(&mut self, session: SessionId, position: u64) {
        self.positions.insert(session, position);
    }

    /// Removes a session that has ended.
    pub fn remove(&mut self, session: SessionId) {
        self.positions.remove(&session);
    }

    /// Returns the newest announced position, or 0 without one.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.positions.values().copied().max().unwrap_or(0)
    }

    /// Returns a session, other than the given one, whose process has the view at a position or a newer
    /// one. Chooses another one at each call.
    pub fn choose(&mut self, position: u64, except: Option<SessionId>) -> Option<SessionId> {
        let sessions = self.positions.iter().filter_map(|(session, announced)| {
            (*announced >= position && Some(*session) != except).then_some(*session)
        });
        let sessions: SmallVec<[SessionId; 8]> = sessions.collect();
        if sessions.is_empty() {
            return None;
        }
        self.choices = self.choices.wrapping_add(1);
        Some(sessions[self.choices % sessions.len()])
    }
}
