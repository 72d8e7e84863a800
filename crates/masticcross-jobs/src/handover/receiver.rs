//! Jobs that an entry has received from others.

use std::collections::BTreeMap;

use masticcross_wire::peer::PeerEcho;
use thiserror::Error;
use tokio::time::Instant;

use crate::scheduler::SessionId;
use crate::scheduler::table::JobNumber;

use super::TransferNumber;
use super::credit::{Capacity, CreditBudget};

/// Maximum number of open sessions from other entries.
const MAX_SESSIONS: usize = 64;

/// Why a received job is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotAccepted {
    /// The number is not larger than the one before, so that the session must end.
    #[error("its number was used before")]
    NumberUsed,
    /// The session has no credit left.
    #[error("it exceeds the credit")]
    NoCredit,
}

#[derive(Debug, Default)]
struct Session {
    credit: u32,
    last_number: TransferNumber,
    jobs: BTreeMap<TransferNumber, JobNumber>,
}

/// Sessions from other entries, and the jobs received on them.
#[derive(Debug, Default)]
pub struct Receiver {
    sessions: BTreeMap<SessionId, Session>,
    budget: CreditBudget,
}

impl Receiver {
    /// Opens a session. Returns false if there are too many.
    pub fn opened(&mut self, session: SessionId) -> bool {
        if self.sessions.len() >= MAX_SESSIONS {
            return false;
        }
        self.sessions.insert(session, Session::default());
        true
    }

    /// Ends a session. Returns the jobs to cancel.
    pub fn closed(&mut self, session: SessionId) -> Vec<(TransferNumber, JobNumber)> {
        let state = self.sessions.remove(&session).unwrap_or_default();
        state.jobs.into_iter().collect()
    }

    /// Returns the answer to a probe. Its credit replaces the one before.
    pub fn probed(
        &mut self,
        session: SessionId,
        probe: u64,
        capacity: Capacity,
        now: Instant,
    ) -> PeerEcho {
        self.budget.adjust(capacity, now);
        let credit = self.budget.credit(capacity, self.sessions.len());
        if let Some(state) = self.sessions.get_mut(&session) {
            state.credit = credit;
        }
        PeerEcho { probe, credit }
    }

    /// Counts a received job against the credit.
    ///
    /// # Errors
    /// Fails if the job is not accepted.
    pub fn received(
        &mut self,
        session: SessionId,
        number: TransferNumber,
        now: Instant,
    ) -> Result<(), NotAccepted> {
        let Some(state) = self.sessions.get_mut(&session) else {
            return Err(NotAccepted::NoCredit);
        };
        if number <= state.last_number {
            return Err(NotAccepted::NumberUsed);
        }
        state.last_number = number;
        state.credit = state.credit.checked_sub(1).ok_or(NotAccepted::NoCredit)?;
        self.budget.job_accepted(now);
        Ok(())
    }

    /// Records that the scheduler has accepted a job.
    pub fn accepted(&mut self, session: SessionId, number: TransferNumber, job: JobNumber) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.jobs.insert(number, job);
        }
    }

    /// Removes a job that is answered or cancelled, and returns it unless it had ended before.
    pub fn ended(&mut self, session: SessionId, number: TransferNumber) -> Option<JobNumber> {
        self.sessions.get_mut(&session)?.jobs.remove(&number)
    }

    /// Records the CPU that the tasks of an arrived job take at the same time, in thousandths of a
    /// core.
    pub fn job_arrived(&mut self, cpu: u64) {
        self.budget.job_arrived(cpu);
    }

    /// Returns true if a number was received on a session before.
    #[must_use]
    pub fn knows(&self, session: SessionId, number: TransferNumber) -> bool {
        let state = self.sessions.get(&session);
        state.is_some_and(|state| (1..=state.last_number).contains(&number))
    }

    /// Returns the number of received jobs that have not ended.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.sessions.values().map(|state| state.jobs.len()).sum()
    }

    /// Returns the number of sessions.
    #[must_use]
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }
}
