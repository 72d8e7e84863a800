//! What is told of the worker by others than itself: heartbeats, reports of earlier processes of the agent,
//! and announcements of its end. Other writers' heartbeats arrive at the same address, and late ones of
//! earlier incarnations. Another incarnation than the worker's is therefore a claim, which is used only once
//! the worker confirms it: it answers a poll that is meant for this id, with this start time.

use std::time::Duration;

use masticcross_wire::pool::{EarlierReport, PoolFrame, ReportedWorker, WorkerInfo};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::worker_client::{CallError, PollCall, Result, RunListing, WorkerIncarnation};

use super::{Effect, SessionId, Supervisor, Worker, WorkerReport};

/// How long a claim is kept without a further report of its incarnation.
const RETENTION: Duration = Duration::from_secs(5);

/// Time between two polls that ask for the same incarnation.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of claims; the oldest is dropped for a new one.
const MAX_CLAIMS: usize = 4;

/// How long what an earlier process knew of the worker is used after an entry last heard from that process.
/// The worker may have told it more since, but not for longer than the time between two heartbeats, and
/// within the time that operators allow for a worker that shrinks or leaves.
const EARLIER_VALIDITY: Duration = Duration::from_secs(2);

/// What the earlier process of the agent knew of the worker.
#[derive(Debug)]
pub(super) struct Earlier {
    incarnation: WorkerIncarnation,
    info: WorkerInfo,
    /// When an entry last heard from that process.
    heard_at: Instant,
}

impl Earlier {
    /// Makes the knowledge older by the given time.
    pub fn suspended_for(&mut self, time: Duration) {
        self.heard_at = self.heard_at.checked_sub(time).unwrap_or(self.heard_at);
    }
}

/// Where a report comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// A heartbeat to this process of the agent.
    Heartbeat,
    /// An earlier process of the agent.
    EarlierProcess,
}

#[derive(Debug)]
struct Claim {
    report: WorkerReport,
    source: Source,
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
    pub fn add(&mut self, report: WorkerReport, source: Source, now: Instant) -> bool {
        let mut claims = self.claims.iter_mut();
        if let Some(claim) = claims.find(|c| c.report.incarnation == report.incarnation) {
            if report.sequence < claim.report.sequence {
                return false;
            }
            claim.report = report;
            claim.source = source;
            claim.received_at = now;
            return true;
        }
        if self.claims.len() >= MAX_CLAIMS {
            self.claims.remove(0);
        }
        self.claims.push(Claim {
            report,
            source,
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
    pub fn take(&mut self, incarnation: &WorkerIncarnation) -> Option<(WorkerReport, Source)> {
        let mut claims = self.claims.iter();
        let position = claims.position(|claim| claim.report.incarnation == *incarnation)?;
        let claim = self.claims.remove(position);
        Some((claim.report, claim.source))
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

impl Worker {
    /// Applies a heartbeat of this incarnation. Returns false if it is out of date or cannot be the
    /// worker's: an incarnation does not change its service or zone.
    fn apply_report(&mut self, report: &WorkerReport) -> bool {
        let is_later = |last: u64| report.sequence >= last;
        if !self.sequence.is_none_or(is_later) {
            return false;
        }
        let is_same = |info: &WorkerInfo| {
            (&info.service, &info.zone) == (&report.info.service, &report.info.zone)
        };
        if self.sequence.is_some() && !self.info.as_ref().is_none_or(is_same) {
            log::warn!(
                worker:% = report.incarnation.id, service:% = report.info.service, zone:% = report.info.zone;
                "ignored a heartbeat with another service or zone than the worker's"
            );
            return false;
        }
        self.has_left = false;
        self.sequence = Some(report.sequence);
        self.info = Some(report.info.clone());
        true
    }
}

impl Supervisor {
    /// Applies a heartbeat. Returns false if it is out of date or not the worker's. One of another
    /// incarnation is used once the worker has confirmed it.
    pub fn worker_reported(&mut self, report: WorkerReport, now: Instant) -> bool {
        if let Some(worker) = &mut self.worker {
            if worker.incarnation == report.incarnation {
                let (is_first, before) = (worker.sequence.is_none(), worker.info.clone());
                if !worker.apply_report(&report) {
                    return false;
                }
                let is_changed = worker.info != before;
                if is_changed {
                    self.effects.push(Effect::SaveReport(report));
                }
                if is_changed || is_first {
                    self.announce_report();
                    self.publish(now);
                }
                return true;
            }
            if report.incarnation.started_at_ms < worker.incarnation.started_at_ms {
                return false;
            }
        }
        self.claim(report, Source::Heartbeat, now)
    }

    /// Handles a report that an earlier agent process saved. It shows which worker to poll, unless the worker
    /// has already sent a heartbeat. It does not show what the worker can take: the earlier process may have
    /// known more than it could save.
    pub fn restore_report(&mut self, report: WorkerReport, now: Instant) {
        if self.worker.is_none() && self.claims.is_empty() {
            let sequence = 0;
            let report = WorkerReport { sequence, ..report };
            self.claim(report, Source::EarlierProcess, now);
        }
    }

    /// Handles what an entry has heard last from the earlier process of this agent. Until the worker's first
    /// heartbeat it stands for what that process knew when it ended.
    pub fn earlier_report_told(&mut self, session: SessionId, report: EarlierReport, now: Instant) {
        let Some(client) = self.clients.of_session(session) else {
            return;
        };
        let age = Duration::from_millis(report.age_ms.into());
        let Some(heard_at) = client.last_contact().checked_sub(age) else {
            return;
        };
        if self
            .earlier
            .as_ref()
            .is_some_and(|earlier| earlier.heard_at >= heard_at)
        {
            return;
        }
        let incarnation = WorkerIncarnation {
            id: report.worker.id,
            started_at_ms: report.worker.started_at_ms,
        };
        let info = report.worker.info;
        if self.worker.is_none() && self.claims.is_empty() {
            let claim = WorkerReport {
                incarnation: incarnation.clone(),
                sequence: 0,
                info: info.clone(),
            };
            self.claim(claim, Source::EarlierProcess, now);
        }
        self.earlier = Some(Earlier {
            incarnation,
            info,
            heard_at,
        });
        self.publish(now);
    }

    /// Returns what the earlier process of the agent knew of an incarnation, while it may be used.
    pub(super) fn earlier_info(
        &self,
        incarnation: &WorkerIncarnation,
        now: Instant,
    ) -> Option<&WorkerInfo> {
        let earlier = self.earlier.as_ref()?;
        let age = now.saturating_duration_since(earlier.heard_at);
        (earlier.incarnation == *incarnation && age < EARLIER_VALIDITY).then_some(&earlier.info)
    }

    /// Returns what the worker has told this process of the agent.
    pub(super) fn reported_worker(&self) -> Option<ReportedWorker> {
        let worker = self
            .worker
            .as_ref()
            .filter(|worker| worker.sequence.is_some())?;
        Some(ReportedWorker {
            id: worker.incarnation.id.clone(),
            started_at_ms: worker.incarnation.started_at_ms,
            info: worker.info.clone()?,
        })
    }

    /// Tells all entries what the worker has told, for the next process of the agent.
    fn announce_report(&mut self) {
        if let Some(report) = self.reported_worker() {
            self.send_all(&PoolFrame::Report(report));
        }
    }

    /// Asks the worker whether it has the incarnation of a report.
    fn claim(&mut self, report: WorkerReport, source: Source, now: Instant) -> bool {
        let is_new = !self.claims.contains(&report.incarnation);
        let is_accepted = self.claims.add(report, source, now);
        if is_new {
            self.effects.push(Effect::Poll);
        }
        is_accepted
    }

    /// Starts to use the incarnation of a report, which the worker has confirmed. The runs at an earlier
    /// worker are lost.
    pub(super) fn accept(&mut self, report: WorkerReport, source: Source, now: Instant) {
        let current = self.worker.as_ref().map(|worker| &worker.incarnation.id);
        let same_id = current == Some(&report.incarnation.id);
        self.record_crash(now);
        if !same_id {
            self.mark_all_runs_lost(now);
        }
        self.start_incarnation(report.incarnation.clone(), now);
        let is_heartbeat = source == Source::Heartbeat;
        if let Some(worker) = &mut self.worker {
            worker.sequence = is_heartbeat.then_some(report.sequence);
            worker.info = Some(report.info.clone());
        }
        if is_heartbeat {
            self.effects.push(Effect::SaveReport(report));
            self.announce_report();
        }
    }

    /// Handles the answer to a poll for a claimed incarnation. Only the worker's own start time confirms
    /// the claim; no answer proves nothing.
    pub(super) fn claim_answered(
        &mut self,
        call: &PollCall,
        answer: Result<RunListing>,
        now: Instant,
    ) {
        let Some(claimed) = call.incarnation.as_ref() else {
            return;
        };
        if !self.claims.contains(claimed) {
            return;
        }
        match answer {
            Ok(listing) if listing.started_at_ms == claimed.started_at_ms => {
                if let Some((report, source)) = self.claims.take(claimed) {
                    self.accept(report, source, now);
                    self.apply_listing(call.token, &listing, now);
                }
            }
            Ok(_) | Err(CallError::OtherIncarnation) => {
                self.claims.take(claimed);
                log::warn!(
                    worker:% = claimed.id, born_ms = claimed.started_at_ms;
                    "claimed incarnation is not the worker's"
                );
            }
            Err(CallError::Fenced) => {
                self.lease.jump_token(call.token);
                self.claims.ask_again(claimed);
                self.effects.push(Effect::Poll);
            }
            Err(error @ (CallError::Refused(_) | CallError::NoAnswer(_))) => {
                log::info!(worker:% = claimed.id, error:%; "claimed worker does not answer");
            }
        }
        self.publish(now);
    }

    /// Handles the announcement that a worker ends now. It names no incarnation and may be late, so that
    /// a poll shows whether the worker is gone.
    pub fn worker_left(&mut self, id: &str) {
        let worker = self.worker.as_mut();
        if let Some(worker) = worker.filter(|worker| &*worker.incarnation.id == id) {
            log::info!(worker = id; "worker left");
            worker.has_left = true;
            self.effects.push(Effect::Poll);
        }
    }
}
