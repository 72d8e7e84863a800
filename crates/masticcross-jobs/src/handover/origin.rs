//! Jobs that an entry has transferred to others.

use std::collections::{BTreeMap, VecDeque};

use masticcross_basics::Name;
use masticcross_wire::peer::PeerEcho;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use thiserror::Error;
use tokio::time::Instant;

use crate::job::JobRequest;
use crate::scheduler::SessionId;

use super::{PROBE_INTERVAL, TransferNumber};

/// Number of probe intervals for which a credit counts without a further echo.
const CREDIT_INTERVALS: u32 = 2;

/// Largest number of probes without an echo that are remembered. The session is silent before that.
const MAX_PROBES: usize = 16;

/// Highest credit that counts, in jobs per probe interval.
const MAX_CREDIT: u32 = 10_000;

/// Why a session ends: the other entry violates the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// An echo of a probe that was not sent.
    #[error("an echo of an unknown probe")]
    UnknownProbe,
    /// An answer to a job that was not transferred or is already answered.
    #[error("an answer for an unknown number")]
    UnknownNumber,
}

/// A job in transfer.
#[derive(Debug)]
pub struct InTransfer<C> {
    /// The request, from which the origin runs the job itself if it is returned.
    pub request: JobRequest,
    /// When the job arrived.
    pub arrived: Instant,
    /// Callers that wait for the answer.
    pub callers: SmallVec<[C; 1]>,
}

#[derive(Debug)]
struct Probe {
    probe: u64,
    /// Number of jobs sent on the session before the probe.
    sent_before: u64,
}

#[derive(Debug)]
struct Session<C> {
    peer: Name,
    probes: VecDeque<Probe>,
    last_probe: u64,
    credit: u32,
    credit_until: Instant,
    sent: u64,
    jobs: BTreeMap<TransferNumber, InTransfer<C>>,
    /// Cancelled jobs that may still be answered, with the last probe before the cancellation.
    cancelled: VecDeque<(TransferNumber, u64)>,
}

/// Sessions on which an entry transfers jobs, and the jobs in transfer. `C` represents a caller.
#[derive(Debug)]
pub struct Origin<C> {
    sessions: BTreeMap<SessionId, Session<C>>,
    by_id: FxHashMap<Name, (SessionId, TransferNumber)>,
}

impl<C> Default for Origin<C> {
    fn default() -> Self {
        Self {
            sessions: BTreeMap::new(),
            by_id: FxHashMap::default(),
        }
    }
}

impl<C> Origin<C> {
    /// Opens a session with another entry.
    pub fn opened(&mut self, session: SessionId, peer: Name, now: Instant) {
        let state = Session {
            peer,
            probes: VecDeque::new(),
            last_probe: 0,
            credit: 0,
            credit_until: now,
            sent: 0,
            jobs: BTreeMap::new(),
            cancelled: VecDeque::new(),
        };
        self.sessions.insert(session, state);
    }

    /// Ends a session and returns the jobs whose outcome is now unknown.
    pub fn closed(&mut self, session: SessionId) -> Vec<InTransfer<C>> {
        let Some(state) = self.sessions.remove(&session) else {
            return Vec::new();
        };
        let jobs: Vec<InTransfer<C>> = state.jobs.into_values().collect();
        for job in &jobs {
            self.by_id.remove(&job.request.id);
        }
        jobs
    }

    /// Records that a probe is sent and returns it. It is the given clock, unless that has not
    /// advanced since the last probe.
    pub fn probe(&mut self, session: SessionId, clock_ms: u64) -> Option<u64> {
        let state = self.sessions.get_mut(&session)?;
        let probe = clock_ms.max(state.last_probe + 1);
        state.last_probe = probe;
        let sent_before = state.sent;
        state.probes.push_back(Probe { probe, sent_before });
        if state.probes.len() > MAX_PROBES {
            state.probes.pop_front();
        }
        Some(probe)
    }

    /// Applies an echo. Jobs that were sent after its probe count against its credit, as they may have
    /// arrived after it. Returns the credit that is left.
    ///
    /// # Errors
    /// Fails if the probe was not sent, or its echo has already arrived.
    pub fn echoed(
        &mut self,
        session: SessionId,
        echo: PeerEcho,
        now: Instant,
    ) -> Result<u32, ProtocolError> {
        let Some(state) = self.sessions.get_mut(&session) else {
            return Ok(0);
        };
        let position = state.probes.iter().position(|p| p.probe == echo.probe);
        let position = position.ok_or(ProtocolError::UnknownProbe)?;
        let sent_since = state.sent - state.probes[position].sent_before;
        state.probes.drain(..=position);
        let sent_since = u32::try_from(sent_since).unwrap_or(u32::MAX);
        state.credit = echo.credit.min(MAX_CREDIT).saturating_sub(sent_since);
        state.credit_until = now + PROBE_INTERVAL * CREDIT_INTERVALS;
        // The receiver handled the cancellations before this probe.
        while state
            .cancelled
            .front()
            .is_some_and(|(_, probe)| *probe < echo.probe)
        {
            state.cancelled.pop_front();
        }
        Ok(state.credit)
    }

    /// Returns the session with the highest credit among those that may be used, if any has one.
    pub fn choose(
        &self,
        is_usable: impl Fn(SessionId) -> bool,
        now: Instant,
    ) -> Option<(SessionId, TransferNumber)> {
        let sessions = self.sessions.iter();
        let usable = sessions
            .filter(|(id, state)| state.credit > 0 && now < state.credit_until && is_usable(**id));
        let best = usable.max_by_key(|(id, state)| (state.credit, std::cmp::Reverse(**id)));
        best.map(|(id, state)| (*id, state.sent + 1))
    }

    /// Records that the chosen session has queued the frame of a job. From now on the other entry owns
    /// the job.
    pub fn transferred(&mut self, session: SessionId, job: InTransfer<C>) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        state.sent += 1;
        state.credit = state.credit.saturating_sub(1);
        self.by_id
            .insert(job.request.id.clone(), (session, state.sent));
        state.jobs.insert(state.sent, job);
    }

    /// Removes an answered job, or returns none if it was cancelled.
    ///
    /// # Errors
    /// Fails if the job was not transferred on this session or is already answered.
    pub fn answered(
        &mut self,
        session: SessionId,
        number: TransferNumber,
    ) -> Result<Option<InTransfer<C>>, ProtocolError> {
        let Some(state) = self.sessions.get_mut(&session) else {
            return Ok(None);
        };
        if let Some(job) = state.jobs.remove(&number) {
            self.by_id.remove(&job.request.id);
            return Ok(Some(job));
        }
        let cancelled = state.cancelled.iter().position(|(n, _)| *n == number);
        let position = cancelled.ok_or(ProtocolError::UnknownNumber)?;
        state.cancelled.remove(position);
        Ok(None)
    }

    /// Removes a job that its callers have left or cancelled. Returns the session and the number to
    /// cancel there, and the job.
    pub fn cancel(&mut self, id: &str) -> Option<(SessionId, TransferNumber, InTransfer<C>)> {
        let (session, number) = self.by_id.remove(id)?;
        let state = self.sessions.get_mut(&session)?;
        let job = state.jobs.remove(&number)?;
        state.cancelled.push_back((number, state.last_probe));
        Some((session, number, job))
    }

    /// Returns a job in transfer.
    pub fn find(&mut self, id: &str) -> Option<&mut InTransfer<C>> {
        let (session, number) = self.by_id.get(id)?;
        self.sessions.get_mut(session)?.jobs.get_mut(number)
    }

    /// Returns true if a job is in transfer.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the number of jobs in transfer.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of open sessions.
    #[must_use]
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Returns true if no job is in transfer on a session.
    #[must_use]
    pub fn is_idle(&self, session: SessionId) -> bool {
        let state = self.sessions.get(&session);
        state.is_none_or(|state| state.jobs.is_empty())
    }

    /// Returns the name of the other entry of a session.
    #[must_use]
    pub fn peer(&self, session: SessionId) -> Option<&Name> {
        self.sessions.get(&session).map(|state| &state.peer)
    }
}
