//! Incarnations of the worker that a heartbeat or a saved report names. Other writers' heartbeats arrive
//! at the same address, and late ones of earlier incarnations, so that a claim is used only once the
//! worker itself confirms it: it answers a poll that is meant for this id, with this start time.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::worker_client::WorkerIncarnation;

use super::WorkerReport;

/// How long a claim is kept without a further report of its incarnation.
const RETENTION: Duration = Duration::from_secs(5);

/// Time between two polls that ask for the same incarnation.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of claims; the oldest is dropped for a new one.
const MAX_CLAIMS: usize = 4;

#[derive(Debug)]
struct Claim {
    report: WorkerReport,
    received_at: Instant,
    asked_at: Option<Instant>,
}

/// Reports of incarnations that the worker has not confirmed.
#[derive(Debug, Default)]
pub(super) struct Claims {
    claims: SmallVec<[Claim; 1]>,
}

impl Claims {
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Adds a report. Returns false if it is out of date.
    pub fn add(&mut self, report: WorkerReport, now: Instant) -> bool {
        let mut claims = self.claims.iter_mut();
        if let Some(claim) = claims.find(|c| c.report.incarnation == report.incarnation) {
            if report.sequence < claim.report.sequence {
                return false;
            }
            claim.report = report;
            claim.received_at = now;
            return true;
        }
        if self.claims.len() >= MAX_CLAIMS {
            self.claims.remove(0);
        }
        self.claims.push(Claim {
            report,
            received_at: now,
            asked_at: None,
        });
        true
    }

    /// Returns an incarnation that the worker must be asked for now, and records that it is asked.
    pub fn next(&mut self, now: Instant) -> Option<WorkerIncarnation> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETRY_INTERVAL;
        let mut claims = self.claims.iter_mut();
        let claim = claims.find(|claim| !claim.asked_at.is_some_and(is_recent))?;
        claim.asked_at = Some(now);
        Some(claim.report.incarnation.clone())
    }

    /// Returns true if an incarnation is claimed.
    pub fn contains(&self, incarnation: &WorkerIncarnation) -> bool {
        let mut claims = self.claims.iter();
        claims.any(|claim| claim.report.incarnation == *incarnation)
    }

    /// Removes the claim of an incarnation and returns its last report.
    pub fn take(&mut self, incarnation: &WorkerIncarnation) -> Option<WorkerReport> {
        let mut claims = self.claims.iter();
        let position = claims.position(|claim| claim.report.incarnation == *incarnation)?;
        Some(self.claims.remove(position).report)
    }

    /// Asks for an incarnation again with the next poll.
    pub fn ask_again(&mut self, incarnation: &WorkerIncarnation) {
        for claim in &mut self.claims {
            if claim.report.incarnation == *incarnation {
                claim.asked_at = None;
            }
        }
    }

    /// Removes the claims of incarnations that are not later than the worker's, and old ones.
    pub fn remove_outdated(&mut self, started_at_ms: Option<u64>, now: Instant) {
        self.claims.retain(|claim| {
            let is_later = |start| claim.report.incarnation.started_at_ms > start;
            let age = now.saturating_duration_since(claim.received_at);
            started_at_ms.is_none_or(is_later) && age < RETENTION
        });
    }
}
