//! What agents have told last of their workers, kept for their next processes.
//!
//! An agent that restarts has only what its earlier process saved in the store, which may be older than what
//! that process knew when it ended. The entries know that. A worker goes on to send heartbeats, so that
//! nobody needs it for longer than the time between two of them.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::Incarnation;
use masticcross_wire::pool::{EarlierReport, PoolFrame, ReportedWorker};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::{Effect, Scheduler, SessionId};

/// How long a report is told after the last contact with the process that sent it. Agents use none that is
/// older.
const RETENTION: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct LastReport {
    /// Process of the agent that sent the report.
    incarnation: Incarnation,
    worker: ReportedWorker,
    heard_at: Instant,
}

/// Last reports by the name of the agent.
#[derive(Debug, Default)]
pub(super) struct LastReports {
    by_agent: FxHashMap<Name, LastReport>,
}

impl Scheduler {
    /// Keeps what an agent has told of its worker.
    pub fn report_received(
        &mut self,
        name: &Name,
        session: SessionId,
        worker: ReportedWorker,
        now: Instant,
    ) {
        let Some(incarnation) = self.incarnation_of(name, session) else {
            return;
        };
        let report = LastReport {
            incarnation,
            worker,
            heard_at: now,
        };
        self.last_reports.by_agent.insert(name.clone(), report);
    }

    /// Records that an agent's process is alive and that its last report still holds.
    pub fn heard_from(&mut self, name: &Name, session: SessionId, now: Instant) {
        let Some(incarnation) = self.incarnation_of(name, session) else {
            return;
        };
        let last = self.last_reports.by_agent.get_mut(name);
        if let Some(last) = last.filter(|last| last.incarnation == incarnation) {
            last.heard_at = now;
        }
    }

    /// Tells a new process of an agent what the one before has told.
    pub(super) fn tell_earlier_report(&mut self, name: &Name, session: SessionId, now: Instant) {
        let incarnation = self.incarnation_of(name, session);
        let Some(last) = self.last_reports.by_agent.get(name) else {
            return;
        };
        let age = now.saturating_duration_since(last.heard_at);
        if Some(last.incarnation) == incarnation || age > RETENTION {
            return;
        }
        let report = EarlierReport {
            worker: last.worker.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        };
        self.effects
            .push(Effect::Send(session, PoolFrame::EarlierReport(report)));
    }

    /// Returns the process of an agent whose session is open.
    fn incarnation_of(&self, name: &Name, session: SessionId) -> Option<Incarnation> {
        let worker = self.workers.get(name);
        let worker = worker.filter(|worker| worker.session == Some(session))?;
        Some(worker.incarnation)
    }
}
