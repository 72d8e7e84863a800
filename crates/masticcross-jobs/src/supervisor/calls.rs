//! Calls to the worker and their answers.

use std::time::Duration;

use masticcross_wire::NotStartedReason;
use masticcross_wire::pool::{RunId, RunResult};
use tokio::time::Instant;

use crate::worker_client::{
    CallError, PollCall, Result, RunListing, StartAnswer, StartCall, StartOutcome, StopCall,
    WorkerEnd, WorkerIncarnation, WorkerRun,
};

use super::runs::Phase;
use super::{Effect, STOP_RETRY_INTERVAL, Supervisor};

/// Time after which a start counts as unanswered.
pub const START_TIMEOUT: Duration = Duration::from_millis(35);

/// How long the worker may delay the answer to a poll while no run ends.
pub const POLL_WAIT: Duration = Duration::from_millis(100);

/// Number of unanswered polls, without an answer to any call between them, after which the lease is no longer
/// extended.
const MAX_MISSED_POLLS: u32 = 2;

/// Increment of a run's number at the worker after the worker refused the number as too low.
const RUN_NUMBER_STEP: u32 = 16;

/// Maximum number of ends in one listing. A listing with this many may omit further ends.
const FULL_LISTING: usize = 500;

impl Supervisor {
    /// Returns the next poll: for a claimed incarnation, or of the worker. Returns `None` while there is
    /// neither.
    pub fn next_poll(&mut self, wait: Duration, now: Instant) -> Option<PollCall> {
        if let Some(incarnation) = self.claims.next(now) {
            return Some(PollCall {
                incarnation: Some(incarnation),
                token: self.lease.token(),
                lease_until_ms: None,
                last_seen_end: 0,
                wait_ms: 0,
            });
        }
        let lease_until_ms = self.extend_lease(now);
        let worker = self.worker.as_ref()?;
        Some(PollCall {
            incarnation: Some(worker.incarnation.clone()),
            token: self.lease.token(),
            lease_until_ms,
            last_seen_end: worker.last_seen_end,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Extends the lease as far as the runs at the worker allow, whichever call carries it. Returns its new end
    /// on the worker's clock, if it is extended. A worker that may carry out calls without answering them gets
    /// no more time: its runs must end by themselves.
    fn extend_lease(&mut self, now: Instant) -> Option<u64> {
        if self.worker.as_ref()?.missed_polls >= MAX_MISSED_POLLS {
            return None;
        }
        let clients = &self.clients;
        let at_worker = self.runs.iter().filter(|run| run.phase != Phase::Queued);
        let limits = at_worker.map(|run| {
            let client = clients.get(&run.client);
            client.map_or(now, |client| run.lease_limit(client.last_contact()))
        });
        let limit = limits.min()?;
        self.lease.extend(limit, now)
    }

    /// Handles the answer to a poll.
    pub fn poll_answered(&mut self, call: &PollCall, answer: Result<RunListing>, now: Instant) {
        let same_incarnation =
            self.worker.as_ref().map(|w| &w.incarnation) == call.incarnation.as_ref();
        if !same_incarnation {
            self.claim_answered(call, answer, now);
            return;
        }
        match answer {
            Ok(listing) => self.apply_listing(call.token, &listing, now),
            Err(CallError::Fenced) => {
                log::warn!(token = call.token; "worker refused the fencing token; raising it");
                self.lease.jump_token(call.token);
                self.effects.push(Effect::Poll);
            }
            Err(error @ (CallError::Refused(_) | CallError::OtherIncarnation)) => {
                log::warn!(error:%; "worker is gone");
                self.record_crash(now);
                self.mark_all_runs_lost(now);
                self.worker = None;
            }
            Err(CallError::NoAnswer(error)) => {
                log::info!(error; "look not answered");
                if let Some(worker) = &mut self.worker {
                    worker.missed_polls = worker.missed_polls.saturating_add(1);
                }
            }
        }
        self.publish(now);
    }

    /// Handles the answer to a start.
    pub fn started(&mut self, call: &StartCall, answer: Result<StartAnswer>, now: Instant) {
        let id = &call.request.id;
        let is_current = |run: &&mut super::Run| {
            run.request.id == *id
                && run.worker_run == call.worker_run
                && matches!(run.phase, Phase::Starting { token, .. } if token == call.token)
        };
        let Some(run) = self.runs.get_mut(&id.task).filter(is_current) else {
            return;
        };
        match answer {
            Ok(answer) => {
                self.lease.record_clock(answer.clock_ms, now);
                if let Some(worker) = &mut self.worker {
                    worker.missed_polls = 0;
                }
                self.start_answered(id, answer, now);
            }
            Err(CallError::Fenced) => self.send_start(id, now),
            Err(CallError::Refused(_) | CallError::OtherIncarnation) => {
                let reason = NotStartedReason::ConnectFailed;
                self.finish(id, RunResult::NotStarted(reason), now);
            }
            Err(CallError::NoAnswer(error)) => {
                log::info!(run:% = id, error; "start not answered");
                if let Phase::Starting { sent_at, .. } = &mut run.phase {
                    *sent_at = now.checked_sub(START_TIMEOUT).unwrap_or(*sent_at);
                }
                self.resolve_unanswered(now);
            }
        }
        self.publish(now);
    }

    fn start_answered(&mut self, id: &RunId, answer: StartAnswer, now: Instant) {
        let reason = match answer.outcome {
            StartOutcome::Started => {
                if let Some(run) = self.runs.get_mut(&id.task) {
                    run.phase = Phase::Running {
                        since_clock_ms: answer.clock_ms,
                    };
                    run.progress = (0, now);
                }
                self.send_stops(now);
                return;
            }
            StartOutcome::Late => return self.send_start(id, now),
            StartOutcome::OldRun => return self.renumber(id, now),
            StartOutcome::NoRoom => NotStartedReason::NoRoom,
            StartOutcome::Unhealthy | StartOutcome::Invalid => NotStartedReason::ConnectFailed,
        };
        log::info!(run:% = id, verdict:? = answer.outcome; "worker refused to start a run");
        self.finish(id, RunResult::NotStarted(reason), now);
    }

    /// Starts a run again under a higher number, because the worker has stored a number from an
    /// earlier agent process.
    fn renumber(&mut self, id: &RunId, now: Instant) {
        if let Some(run) = self.runs.get(&id.task) {
            let number = run.worker_run.saturating_add(RUN_NUMBER_STEP);
            self.runs.renumber(&id.task, number);
            self.send_start(id, now);
        }
    }

    /// Sends the start of a run with the current token, or removes the run if it is being stopped.
    pub(super) fn send_start(&mut self, id: &RunId, now: Instant) {
        let Some(worker) = &self.worker else {
            return;
        };
        let incarnation = worker.incarnation.clone();
        let token = self.lease.token();
        let Some(run) = self.runs.get_mut(&id.task) else {
            return;
        };
        if run.stopping {
            let reason = NotStartedReason::Stopped;
            return self.finish(id, RunResult::NotStarted(reason), now);
        }
        run.phase = Phase::Starting {
            token,
            sent_at: now,
            unanswered: false,
        };
        self.extend_lease(now);
        let Some(lease_until_ms) = self.lease.granted(now) else {
            let reason = NotStartedReason::NoBackend;
            return self.finish(id, RunResult::NotStarted(reason), now);
        };
        let Some(run) = self.runs.get(&id.task) else {
            return;
        };
        let call = StartCall {
            incarnation,
            request: run.request.clone(),
            worker_run: run.worker_run,
            token,
            lease_until_ms,
        };
        self.effects.push(Effect::Start(call));
    }

    /// Sends the stops that are due. A run whose start has not been answered may be at the worker; if it
    /// is not, the worker refuses its start after the stop.
    pub(super) fn send_stops(&mut self, now: Instant) {
        let Some(worker) = &self.worker else {
            return;
        };
        let token = self.lease.token();
        for run in self.runs.iter_mut().filter(|run| run.stopping) {
            let is_due = |at: Instant| now.saturating_duration_since(at) >= STOP_RETRY_INTERVAL;
            if run.phase == Phase::Queued || !run.stop_sent.is_none_or(is_due) {
                continue;
            }
            run.stop_sent = Some(now);
            self.effects.push(Effect::Stop(StopCall {
                incarnation: worker.incarnation.clone(),
                run: run.at_worker(),
                token,
            }));
        }
    }

    /// Raises the token, so that the worker refuses unanswered starts that arrive late, and polls the
    /// worker to see which of them it has executed.
    pub(super) fn resolve_unanswered(&mut self, now: Instant) {
        let mut found = false;
        for run in self.runs.iter_mut() {
            if let Phase::Starting {
                sent_at,
                unanswered,
                ..
            } = &mut run.phase
                && !*unanswered
                && now.saturating_duration_since(*sent_at) >= START_TIMEOUT
            {
                *unanswered = true;
                found = true;
            }
        }
        if found {
            self.lease.raise_token();
            self.effects.push(Effect::Poll);
        }
    }

    /// Marks all runs as lost once their lease at an unresponsive worker is confirmed to have expired.
    pub(super) fn mark_expired_runs_lost(&mut self, now: Instant) {
        if !self.runs.is_empty()
            && self.advertised(now).is_none()
            && now >= self.lease.expires_at(now)
        {
            self.record_silent_loss(now);
            self.mark_all_runs_lost(now);
        }
    }

    pub(super) fn apply_listing(&mut self, token: u64, listing: &RunListing, now: Instant) {
        let Some(incarnation) = self
            .worker
            .as_ref()
            .map(|worker| worker.incarnation.clone())
        else {
            return;
        };
        if listing.started_at_ms < incarnation.started_at_ms {
            log::warn!(born_ms = listing.started_at_ms; "ignored the run listing of an earlier worker incarnation");
            return;
        }
        if listing.started_at_ms > incarnation.started_at_ms {
            let restarted = WorkerIncarnation {
                id: incarnation.id,
                started_at_ms: listing.started_at_ms,
            };
            if let Some((report, source)) = self.claims.take(&restarted) {
                self.accept(report, source, now);
            } else {
                self.record_crash(now);
                self.start_incarnation(restarted, now);
            }
        }
        // The worker was only unresponsive.
        self.silent_loss = None;
        self.lease.record_clock(listing.clock_ms, now);
        if let Some(worker) = &mut self.worker {
            worker.last_answer_at = Some(now);
            worker.missed_polls = 0;
        }
        let full = listing.ended.len() >= FULL_LISTING;
        self.apply_ends(listing, now);
        self.apply_running(listing, now);
        if !full {
            self.find_missing(token, listing, now);
        }
        if let Some(worker) = &mut self.worker {
            worker.has_listing = true;
        }
        self.send_stops(now);
    }

    fn apply_ends(&mut self, listing: &RunListing, now: Instant) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let last_seen = worker.last_seen_end;
        let new_ends: Vec<_> = listing
            .ended
            .iter()
            .filter(|e| e.number > last_seen)
            .collect();
        for entry in &new_ends {
            worker.last_seen_end = worker.last_seen_end.max(entry.number);
            worker.orphaned.retain(|run| *run != entry.run);
        }
        for entry in new_ends {
            let recorded = self.runs.get(&entry.run.task);
            let Some(run) = recorded.filter(|run| run.worker_run == entry.run.run) else {
                continue;
            };
            let id = run.request.id.clone();
            let result = match entry.end {
                WorkerEnd::Done => RunResult::Done,
                WorkerEnd::Failed => RunResult::Failed,
                WorkerEnd::Stopped => RunResult::Stopped,
                WorkerEnd::LeaseExpired => RunResult::Lost,
            };
            self.finish(&id, result, now);
        }
    }

    fn apply_running(&mut self, listing: &RunListing, now: Instant) {
        let mut orphaned = Vec::new();
        for entry in &listing.running {
            let run = self.runs.get_mut(&entry.run.task);
            let Some(run) = run.filter(|run| run.worker_run == entry.run.run) else {
                orphaned.push(entry.run.clone());
                continue;
            };
            if let Phase::Starting { .. } | Phase::InDoubt { .. } = run.phase {
                run.phase = Phase::Running {
                    since_clock_ms: listing.clock_ms,
                };
                run.progress = (entry.percent, now);
            }
            run.record_progress(entry.percent, now);
            if run.is_stalled(now) && !run.stopping {
                log::info!(run:% = run.request.id, percent = entry.percent; "stopped: hardly any progress");
                run.stopping = true;
                run.stalled = true;
            }
        }
        self.stop_orphaned(orphaned);
    }

    /// Stops runs of an earlier process of this agent. No free resources are announced while they
    /// occupy the worker.
    fn stop_orphaned(&mut self, orphaned: Vec<WorkerRun>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        // A listing that arrives late may still contain a run that has ended.
        if worker.has_listing && worker.orphaned.is_empty() {
            return;
        }
        for run in &orphaned {
            log::info!(run:%; "stopped: started by an earlier agent");
            self.effects.push(Effect::Stop(StopCall {
                incarnation: worker.incarnation.clone(),
                run: run.clone(),
                token: self.lease.token(),
            }));
        }
        worker.orphaned = orphaned;
    }

    /// Ends runs that the worker lists neither as running nor as ended.
    fn find_missing(&mut self, token: u64, listing: &RunListing, now: Instant) {
        let mut missing = Vec::new();
        for run in self.runs.iter() {
            let id = run.at_worker();
            // Another run of the task is a delayed start, which must be stopped before the task may run
            // elsewhere.
            if listing
                .running
                .iter()
                .any(|entry| entry.run.task == id.task)
            {
                continue;
            }
            match run.phase {
                Phase::Starting {
                    token: start,
                    unanswered: true,
                    ..
                } if start < token => {
                    let reason = NotStartedReason::ConnectFailed;
                    missing.push((run.request.id.clone(), RunResult::NotStarted(reason)));
                }
                Phase::Running { since_clock_ms } if since_clock_ms < listing.clock_ms => {
                    let listed = listing.ended.iter().any(|entry| entry.run == id);
                    if !listed {
                        missing.push((run.request.id.clone(), RunResult::Lost));
                    }
                }
                Phase::InDoubt { token: before } if before < token => {
                    missing.push((run.request.id.clone(), RunResult::Lost));
                }
                Phase::Queued
                | Phase::Starting { .. }
                | Phase::Running { .. }
                | Phase::InDoubt { .. } => {}
            }
        }
        missing.sort_by(|a, b| a.0.cmp(&b.0));
        for (id, result) in missing {
            log::info!(run:% = id, result:?; "worker does not list the run");
            self.finish(&id, result, now);
        }
    }
}
