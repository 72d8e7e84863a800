//! To which entries an overloaded entry opens sessions.
//!
//! The other entries are ranked by a rendezvous hash of both names, so that overloaded entries choose
//! different ones. Sessions are opened to the first [`MAX_PEERS`] that can be used, at most one of them
//! in the entry's own availability zone, as overload often concerns a zone. An entry that grants no
//! credit for [`NO_CREDIT_TIME`] is replaced by the next.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::EntryAddr;
use smallvec::SmallVec;
use tokio::time::Instant;
use twox_hash::XxHash3_64;

use crate::own_load::Load;
use crate::scheduler::SessionId;

/// Maximum number of sessions that jobs are transferred on.
pub const MAX_PEERS: usize = 3;

/// Maximum number of these in the entry's own availability zone.
const MAX_OWN_ZONE_PEERS: usize = 1;

/// Time without credit after which an entry is replaced.
pub const NO_CREDIT_TIME: Duration = Duration::from_secs(1);

/// Time of normal load after which the sessions close.
pub const CLOSE_TIME: Duration = Duration::from_secs(30);

/// Time for which an entry that was replaced or could not be reached is not selected.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// List of sessions or peers.
pub type Peers<T> = SmallVec<[T; MAX_PEERS]>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    /// Not connected. May be selected from the given time on.
    Closed(Option<Instant>),
    Dialing,
    /// Open, with the time at which it last had a credit.
    Open(SessionId, Instant),
    /// Closes as soon as the jobs on it are answered.
    Retiring(SessionId),
}

#[derive(Debug)]
struct Candidate {
    addr: EntryAddr,
    rank: u64,
    status: Status,
}

impl Candidate {
    fn is_active(&self) -> bool {
        matches!(self.status, Status::Dialing | Status::Open(..))
    }
}

/// Selects the entries to transfer jobs to.
#[derive(Debug)]
pub struct PeerSelection {
    name: Name,
    zone: Name,
    /// Ordered by rank.
    candidates: Vec<Candidate>,
    /// Last time at which the load was not normal.
    loaded_at: Option<Instant>,
}

impl PeerSelection {
    /// Creates the selection of an entry.
    #[must_use]
    pub fn new(name: Name, zone: Name) -> Self {
        Self {
            name,
            zone,
            candidates: Vec::new(),
            loaded_at: None,
        }
    }

    /// Sets the addresses of the known entries.
    pub fn set_entries(&mut self, entries: &BTreeMap<Name, EntryAddr>) {
        for addr in entries.values().filter(|addr| addr.name != self.name) {
            if let Some(known) = self
                .candidates
                .iter_mut()
                .find(|c| c.addr.name == addr.name)
            {
                known.addr = addr.clone();
                continue;
            }
            let text = format!("{}>{}", self.name, addr.name);
            self.candidates.push(Candidate {
                addr: addr.clone(),
                rank: XxHash3_64::oneshot(text.as_bytes()),
                status: Status::Closed(None),
            });
        }
        self.candidates.sort_by_key(|candidate| candidate.rank);
    }

    /// Applies the load. Returns the entries to dial and records that they are being dialed.
    pub fn update(&mut self, load: Load, now: Instant) -> Peers<EntryAddr> {
        if load != Load::Normal {
            self.loaded_at = Some(now);
        }
        let mut dials = Peers::new();
        if load == Load::Normal {
            self.retire_after_load(now);
            return dials;
        }
        self.replace_without_credit(now);
        while let Some(index) = self.next(now) {
            let candidate = &mut self.candidates[index];
            candidate.status = Status::Dialing;
            dials.push(candidate.addr.clone());
        }
        dials
    }

    /// Records that a session was opened. It counts as having had a credit, which arrives with the
    /// first echo.
    pub fn opened(&mut self, name: &str, session: SessionId, now: Instant) {
        if let Some(candidate) = self.candidates.iter_mut().find(|c| &*c.addr.name == name) {
            candidate.status = Status::Open(session, now);
        }
    }

    /// Records that a dial failed.
    pub fn dial_failed(&mut self, name: &str, now: Instant) {
        let candidate = self.candidates.iter_mut().find(|c| &*c.addr.name == name);
        if let Some(candidate) = candidate.filter(|c| c.status == Status::Dialing) {
            candidate.status = Status::Closed(Some(now + AVOID_TIME));
        }
    }

    /// Records that a session was closed.
    pub fn closed(&mut self, session: SessionId, now: Instant) {
        if let Some(candidate) = self.find(session) {
            candidate.status = Status::Closed(Some(now + AVOID_TIME));
        }
    }

    /// Records that an echo granted a credit.
    pub fn credit_granted(&mut self, session: SessionId, now: Instant) {
        if let Some(candidate) = self.find(session)
            && let Status::Open(_, at) = &mut candidate.status
        {
            *at = now;
        }
    }

    /// Returns true if jobs may be transferred on a session.
    #[must_use]
    pub fn is_open(&self, session: SessionId) -> bool {
        let is_open = |c: &Candidate| matches!(c.status, Status::Open(s, _) if s == session);
        self.candidates.iter().any(is_open)
    }

    /// Returns the sessions that close as soon as the jobs on them are answered.
    #[must_use]
    pub fn retiring(&self) -> Peers<SessionId> {
        let retiring = self.candidates.iter().filter_map(|c| match c.status {
            Status::Retiring(session) => Some(session),
            _ => None,
        });
        retiring.collect()
    }

    fn find(&mut self, session: SessionId) -> Option<&mut Candidate> {
        let has = |c: &&mut Candidate| match c.status {
            Status::Open(s, _) | Status::Retiring(s) => s == session,
            _ => false,
        };
        self.candidates.iter_mut().find(has)
    }

    /// Returns the index of the next entry to dial, if there are too few sessions.
    fn next(&self, now: Instant) -> Option<usize> {
        let active = self.candidates.iter().filter(|c| c.is_active());
        if active.clone().count() >= MAX_PEERS {
            return None;
        }
        let own_zone = active.filter(|c| self.is_own_zone(c)).count();
        self.candidates.iter().position(|c| {
            let is_due = match c.status {
                Status::Closed(until) => until.is_none_or(|until| until <= now),
                _ => false,
            };
            is_due && (own_zone < MAX_OWN_ZONE_PEERS || !self.is_own_zone(c))
        })
    }

    fn is_own_zone(&self, candidate: &Candidate) -> bool {
        candidate.addr.zone.as_ref() == Some(&self.zone)
    }

    /// Retires sessions without credit, as long as another entry can take their place.
    fn replace_without_credit(&mut self, now: Instant) {
        for index in 0..self.candidates.len() {
            let Status::Open(session, credit_at) = self.candidates[index].status else {
                continue;
            };
            if now.saturating_duration_since(credit_at) < NO_CREDIT_TIME {
                continue;
            }
            self.candidates[index].status = Status::Retiring(session);
            if self.next(now).is_none() {
                self.candidates[index].status = Status::Open(session, credit_at);
            }
        }
    }

    fn retire_after_load(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CLOSE_TIME;
        if self.loaded_at.is_some_and(is_recent) {
            return;
        }
        for candidate in &mut self.candidates {
            if let Status::Open(session, _) = candidate.status {
                candidate.status = Status::Retiring(session);
            }
        }
    }
}
