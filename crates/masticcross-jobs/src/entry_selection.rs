//! Which entries an agent has sessions with. It answers the load of large systems: with a session
//! between every agent and every entry, the work of each process grows with the number of the others.
//!
//! Each agent ranks the entries by rendezvous hashing and has sessions with the first
//! [`MAX_SESSIONS`] that it can reach, up to half of them in its own availability zone. Agents rank
//! entries differently, so that each entry shares its workers with many others, and the loss of an
//! entry moves only the sessions of its own agents. With at most [`MAX_SESSIONS`] entries, every
//! agent has a session with every entry.

use std::net::SocketAddr;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::EntryAddr;
use smallvec::SmallVec;
use tokio::time::Instant;
use twox_hash::XxHash3_64;

use crate::supervisor::SessionId;

/// Maximum number of sessions of an agent, apart from those that are being replaced.
pub const MAX_SESSIONS: usize = 8;

/// Maximum number of sessions with entries in the agent's own availability zone, as long as entries
/// in other zones can be reached.
pub const MAX_OWN_ZONE_SESSIONS: usize = 4;

/// Backoff after a failed dial or the end of a session; it doubles up to a maximum.
const MIN_REDIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Maximum backoff while the agent has fewer sessions than it may have.
const MAX_REDIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff while other entries take the place of the one that cannot be reached.
const MAX_REPLACED_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff for an address that has not been reached for [`LONG_ABSENCE`].
const MAX_ABSENT_BACKOFF: Duration = Duration::from_secs(10);

/// Time without a session after which an address is dialed only rarely.
const LONG_ABSENCE: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    /// Not connected. May be dialed from the given time on.
    Closed {
        retry_at: Instant,
        failures: u32,
    },
    Dialing {
        failures: u32,
    },
    Open(SessionId),
    /// The session is kept only until the entry's runs at the worker have ended.
    Retiring,
}

#[derive(Debug)]
struct Candidate {
    addr: SocketAddr,
    rank: u64,
    zone: Option<Name>,
    status: Status,
    last_open: Instant,
}

impl Candidate {
    /// Returns true if the candidate can take one of the agent's sessions. The first dial after the
    /// end of a session still counts, so that entries are not replaced when connections are reset.
    fn is_eligible(&self, now: Instant) -> bool {
        match self.status {
            Status::Closed { retry_at, failures } => failures == 0 || retry_at <= now,
            Status::Dialing { .. } | Status::Open(_) => true,
            Status::Retiring => false,
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        matches!(self.status, Status::Closed { retry_at, .. } if retry_at <= now)
    }
}

/// Decides with which entries an agent opens and ends sessions.
#[derive(Debug)]
pub struct EntrySelection {
    agent: Name,
    zone: Name,
    /// Ordered by rank.
    candidates: Vec<Candidate>,
}

impl EntrySelection {
    /// Creates a selection without entries, for an agent in an availability zone.
    #[must_use]
    pub fn new(agent: Name, zone: Name) -> Self {
        Self {
            agent,
            zone,
            candidates: Vec::new(),
        }
    }

    /// Sets the addresses at which entries may listen. Addresses that are no longer listed are not
    /// dialed any more; their open sessions remain until they end.
    pub fn set_entries(&mut self, seeds: &[SocketAddr], entries: &[EntryAddr], now: Instant) {
        self.candidates.retain(|candidate| {
            let is_closed = matches!(candidate.status, Status::Closed { .. });
            let is_listed = seeds.contains(&candidate.addr)
                || entries.iter().any(|entry| entry.addr == candidate.addr);
            is_listed || !is_closed
        });
        for seed in seeds {
            self.add(*seed, None, now);
        }
        for entry in entries {
            self.add(entry.addr, entry.zone.as_ref(), now);
        }
        self.candidates.sort_by_key(|candidate| candidate.rank);
    }

    /// Returns the addresses to dial now, and records that they are being dialed.
    pub fn dials(&mut self, now: Instant) -> SmallVec<[SocketAddr; MAX_SESSIONS]> {
        let mut addrs = SmallVec::new();
        for index in self.selected(now) {
            let candidate = &mut self.candidates[index];
            if let Status::Closed { failures, .. } = candidate.status
                && candidate.is_due(now)
            {
                candidate.status = Status::Dialing { failures };
                addrs.push(candidate.addr);
            }
        }
        addrs
    }

    /// Returns the sessions that better ranked entries have replaced, and records that they are
    /// being ended.
    pub fn replaced(&mut self, now: Instant) -> SmallVec<[SessionId; 2]> {
        let selected = self.selected(now);
        let is_open = |index: &usize| matches!(self.candidates[*index].status, Status::Open(_));
        if !selected.iter().all(is_open) {
            return SmallVec::new();
        }
        let mut sessions = SmallVec::new();
        for (index, candidate) in self.candidates.iter_mut().enumerate() {
            if let Status::Open(session) = candidate.status
                && !selected.contains(&index)
            {
                candidate.status = Status::Retiring;
                sessions.push(session);
            }
        }
        sessions
    }

    /// Records that a session was opened.
    pub fn opened(&mut self, addr: SocketAddr, session: SessionId, now: Instant) {
        if let Some(candidate) = self.find(addr) {
            candidate.status = Status::Open(session);
            candidate.last_open = now;
        }
    }

    /// Records that a dial failed or that a session ended.
    pub fn closed(&mut self, addr: SocketAddr, now: Instant) {
        let has_all_sessions = self.open_sessions() >= MAX_SESSIONS;
        let Some(candidate) = self.find(addr) else {
            return;
        };
        let failures = match candidate.status {
            Status::Dialing { failures } => failures + 1,
            Status::Open(_) | Status::Retiring => {
                candidate.last_open = now;
                0
            }
            Status::Closed { failures, .. } => failures,
        };
        let max = if now.saturating_duration_since(candidate.last_open) > LONG_ABSENCE {
            MAX_ABSENT_BACKOFF
        } else if has_all_sessions {
            MAX_REPLACED_BACKOFF
        } else {
            MAX_REDIAL_BACKOFF
        };
        let backoff = (MIN_REDIAL_BACKOFF * (1 << failures.min(16))).min(max);
        candidate.status = Status::Closed {
            retry_at: now + backoff,
            failures,
        };
    }

    /// Returns the next time after `now` at which an address may have to be dialed, if any. Addresses
    /// that may be dialed already and were not selected wait for another one to change.
    #[must_use]
    pub fn next_dial_at(&self, now: Instant) -> Option<Instant> {
        let retry_times = self.candidates.iter().filter_map(|c| match c.status {
            Status::Closed { retry_at, .. } => Some(retry_at),
            _ => None,
        });
        retry_times.filter(|retry_at| *retry_at > now).min()
    }

    /// Returns the number of open sessions, without those that are being ended.
    #[must_use]
    pub fn open_sessions(&self) -> usize {
        let is_open = |c: &&Candidate| matches!(c.status, Status::Open(_));
        self.candidates.iter().filter(is_open).count()
    }

    /// Returns the indexes of the candidates that should have sessions.
    fn selected(&self, now: Instant) -> SmallVec<[usize; MAX_SESSIONS]> {
        let eligible = |own_zone: bool| {
            let candidates = self.candidates.iter().enumerate();
            candidates.filter_map(move |(index, candidate)| {
                let is_own = candidate.zone.as_ref() == Some(&self.zone);
                (is_own == own_zone && candidate.is_eligible(now)).then_some(index)
            })
        };
        let mut own: SmallVec<[usize; MAX_SESSIONS]> = eligible(true).take(MAX_SESSIONS).collect();
        let others = eligible(false).take(MAX_SESSIONS - own.len().min(MAX_OWN_ZONE_SESSIONS));
        let others: SmallVec<[usize; MAX_SESSIONS]> = others.collect();
        own.truncate(MAX_SESSIONS - others.len());
        own.extend(others);
        own
    }

    fn add(&mut self, addr: SocketAddr, zone: Option<&Name>, now: Instant) {
        if let Some(candidate) = self.find(addr) {
            if zone.is_some() {
                candidate.zone = zone.cloned();
            }
            return;
        }
        let text = format!("{}@{addr}", self.agent);
        self.candidates.push(Candidate {
            addr,
            rank: XxHash3_64::oneshot(text.as_bytes()),
            zone: zone.cloned(),
            status: Status::Closed {
                retry_at: now,
                failures: 0,
            },
            last_open: now,
        });
    }

    fn find(&mut self, addr: SocketAddr) -> Option<&mut Candidate> {
        self.candidates.iter_mut().find(|c| c.addr == addr)
    }
}
