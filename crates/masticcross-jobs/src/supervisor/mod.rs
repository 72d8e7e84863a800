//! The agent's decisions about its worker: which runs fit, which start, and which are confirmed to
//! have ended.
//!
//! - [`lease`]: lease and fencing token.
//! - [`runs`]: runs and the resources reserved for them.
//! - [`clients`]: entries, and how long the agent may act for them.
//! - `isolation`: runs that must not start close to each other, or run alone.
//! - `calls`: calls to the worker and its answers.
//! - `claims`: heartbeats and other reports of the worker, and what it confirms of them.
//! - `crashes`: crashes of the worker.
//! - `notifications`: frames sent to entries.
//! - [`offers`]: division of free resources among the entries.
//! - `operator_view`: the operators' settings, and their exchange with entries.
//!
//! This module does no I/O and never blocks. Methods take the current time and queue [`Effect`]s,
//! which the caller must execute in the order in which they were queued.

mod calls;
mod claims;
pub mod clients;
mod crashes;
mod isolation;
pub mod lease;
mod notifications;
pub mod offers;
mod operator_view;
pub mod runs;

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::NotStartedReason;
use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{
    PoolFrame, Resources, RunEnd, RunId, RunRequest, RunResult, ViewSummary, WorkerInfo,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::crashes::log::CrashLog;
use crate::view::encoded::EncodedView;
use crate::view::fetch::ViewFetch;
use crate::view::freshness::{OwnReads, ViewAge};
use crate::view::relay::ViewRelay;
use crate::worker_client::{StartCall, StopCall, WorkerIncarnation, WorkerRun};

pub use calls::{POLL_WAIT, START_TIMEOUT};
use claims::{Claims, Earlier};
use clients::{Client, ClientId, Clients};
use crashes::SilentLoss;
use lease::Lease;
use offers::{OfferCounts, Offers};
use runs::{Phase, Run, Runs};

/// Session number, unique in this process.
pub type SessionId = u64;

/// How long the last run number that a task had at the worker is stored.
const RUN_NUMBER_RETENTION: Duration = Duration::from_secs(30);

/// Time after which a stop is sent again if the run has not ended.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// How long late runs are refused after another run was refused for lack of resources.
const SATURATION_WINDOW: Duration = Duration::from_millis(150);

/// Time since the last answered poll after which the worker counts as unresponsive.
const WORKER_TIMEOUT: Duration = Duration::from_millis(700);

/// A worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Incarnation of the worker.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Number of the report, increasing within the incarnation.
    pub sequence: u64,
    /// Service, zone, labels and resources, and whether the worker is leaving.
    pub info: WorkerInfo,
}

/// An action that the caller of the supervisor must execute.
#[derive(Debug)]
pub enum Effect {
    /// Send a frame on a session.
    Send(SessionId, PoolFrame),
    /// Start a run at the worker.
    Start(StartCall),
    /// Stop a run at the worker.
    Stop(StopCall),
    /// Close a session.
    Close(SessionId),
    /// Poll the worker now, without waiting for a run to end.
    Poll,
    /// Save the worker's report, so that a restarted agent can load it.
    SaveReport(WorkerReport),
    /// Read the operators' records and pass the result to [`Supervisor::view_read`].
    ReadView,
}

/// Values of the agent's gauges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SupervisorGauges {
    /// Runs that have resources reserved.
    pub runs: usize,
    /// Free resources that entries may use.
    pub free: Resources,
    /// True if the worker accepts runs.
    pub open: bool,
    /// Position of the operator view in force.
    pub view_position: u64,
    /// Crashes of the worker since the agent started.
    pub worker_crashes: u64,
    /// Demand of entries, and offers made to them.
    pub offers: OfferCounts,
}

/// State of the worker in its current incarnation, which it has confirmed.
#[derive(Debug)]
struct Worker {
    incarnation: WorkerIncarnation,
    /// Information from the last heartbeat, or the saved one; none before the first one of this
    /// incarnation. The saved one may be older than what the worker has told since.
    info: Option<WorkerInfo>,
    /// Number of the last heartbeat; none before the first one to this process.
    sequence: Option<u64>,
    last_seen_end: u64,
    has_listing: bool,
    /// True if the worker has announced its end since its last heartbeat.
    has_left: bool,
    /// Runs that an earlier agent process started.
    orphaned: Vec<WorkerRun>,
    /// When the worker last answered a poll.
    last_answer_at: Option<Instant>,
    /// Number of unanswered polls, of all loops, since the worker last answered a poll or a start.
    missed_polls: u32,
}

/// State machine by which an agent controls its worker.
pub struct Supervisor {
    name: Name,
    worker: Option<Worker>,
    claims: Claims,
    /// What the earlier process of the agent knew of the worker, as an entry has told.
    earlier: Option<Earlier>,
    lease: Lease,
    runs: Runs,
    /// Crashes of the worker, and those that entries announced.
    crash_log: CrashLog,
    /// Crashes of the worker since the agent started.
    crash_count: u64,
    silent_loss: Option<SilentLoss>,
    /// When a run that must not start close to another such run was started last.
    spaced_start_at: Option<Instant>,
    clients: Clients,
    offers: Offers,
    view: ViewSummary,
    view_age: ViewAge,
    own_reads: OwnReads,
    /// Copy of the operator view for entries that start while the records cannot be read.
    view_copy: Option<EncodedView>,
    /// Sessions of the entries that asked for the copy.
    keeping_for: BTreeSet<SessionId>,
    view_fetch: ViewFetch,
    view_relay: ViewRelay,
    closing: bool,
    /// True once the worker has listed its runs and no run of an earlier agent process is left.
    runs_complete: bool,
    /// When a run that was not late was last refused for lack of resources.
    saturated_at: Option<Instant>,
    effects: Vec<Effect>,
    announced: Option<WorkerInfo>,
    /// When the free resources were last announced on all sessions.
    announced_all_at: Option<Instant>,
    probe_base: Instant,
}

impl Supervisor {
    /// Creates the supervisor of an agent, without a worker. `unix_ms` is the current Unix time.
    #[must_use]
    pub fn new(name: &str, lease: Duration, unix_ms: u64, now: Instant) -> Self {
        Self {
            name: name.into(),
            worker: None,
            claims: Claims::default(),
            earlier: None,
            lease: Lease::new(lease, unix_ms),
            runs: Runs::default(),
            crash_log: CrashLog::default(),
            crash_count: 0,
            silent_loss: None,
            spaced_start_at: None,
            clients: Clients::default(),
            offers: Offers::default(),
            view: ViewSummary::default(),
            view_age: ViewAge::default(),
            own_reads: OwnReads::new(name),
            view_copy: None,
            keeping_for: BTreeSet::new(),
            view_fetch: operator_view::new_fetch(name),
            view_relay: ViewRelay::default(),
            closing: false,
            runs_complete: false,
            saturated_at: None,
            effects: Vec::new(),
            announced: None,
            announced_all_at: None,
            probe_base: now,
        }
    }

    /// Returns and clears the queued effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the values of the gauges.
    #[must_use]
    pub fn gauges(&self, now: Instant) -> SupervisorGauges {
        SupervisorGauges {
            runs: self.runs.iter().count(),
            free: self.free(now),
            open: self.advertised(now).is_some_and(|info| !info.leaving),
            view_position: self.view.position,
            worker_crashes: self.crash_count,
            offers: self.offers.counts(now),
        }
    }

    /// Returns true if there are no runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns true if the supervisor has a worker.
    #[must_use]
    pub fn has_worker(&self) -> bool {
        self.worker.is_some()
    }

    /// Starts to track a new incarnation of the worker. Start calls meant for an earlier incarnation
    /// with the same id may have reached the new one, even after it made the listing that revealed
    /// it. Whether they did is known after the first poll with the raised token.
    fn start_incarnation(&mut self, incarnation: WorkerIncarnation, now: Instant) {
        self.claims
            .remove_outdated(Some(incarnation.started_at_ms), now);
        log::info!(worker:% = incarnation.id, born_ms = incarnation.started_at_ms; "worker started");
        let token = self.lease.token();
        for run in self
            .runs
            .iter_mut()
            .filter(|run| run.phase != Phase::Queued)
        {
            run.phase = Phase::InDoubt { token };
        }
        self.lease.reset_clock();
        // A new incarnation has seen no token. Raising the token makes it refuse calls to the earlier
        // incarnation that are still in transit.
        self.lease.raise_token();
        self.worker = Some(Worker {
            incarnation,
            info: None,
            sequence: None,
            last_seen_end: 0,
            has_listing: false,
            has_left: false,
            orphaned: Vec::new(),
            last_answer_at: None,
            missed_polls: 0,
        });
        self.effects.push(Effect::Poll);
    }

    /// Handles run requests of an entry. Each run is either started or reported as not started.
    pub fn run(&mut self, session: SessionId, requests: Vec<RunRequest>, now: Instant) {
        let Some(id) = self.clients.id_of(session) else {
            return;
        };
        for request in requests {
            if let Some(client) = self.clients.of_session(session) {
                client.record_request();
            }
            match self.refusal(&id, &request, now) {
                Some(reason) => {
                    if reason == NotStartedReason::NoRoom && !request.late {
                        self.saturated_at = Some(now);
                    }
                    let result = RunResult::NotStarted(reason);
                    let end = RunEnd {
                        id: request.id,
                        result,
                        took_ms: 0,
                    };
                    self.send_end(&id, end, now);
                }
                None => self.start(&id, request, now),
            }
        }
        self.publish(now);
    }

    /// Stops runs of an entry.
    pub fn stop(&mut self, session: SessionId, ids: &[RunId], now: Instant) {
        let Some(client) = self.clients.id_of(session) else {
            return;
        };
        for id in ids {
            let Some(run) = self.runs.get_mut(&id.task) else {
                continue;
            };
            if run.client == client && run.request.id == *id {
                run.stop_for_entry(now);
            }
        }
        self.send_stops(now);
        self.drop_queued_run(now);
        self.publish(now);
    }

    /// Applies timeouts, retries stops and announces changes.
    pub fn tick(&mut self, now: Instant) {
        let clients = &self.clients;
        for run in self
            .runs
            .iter_mut()
            .filter(|run| run.unwanted_since.is_none())
        {
            if !clients
                .get(&run.client)
                .is_some_and(|c| c.has_authority(now))
            {
                log::info!(run:% = run.request.id, entry:% = run.client.name; "stopped: entry is silent");
                run.stop_for_entry(now);
            }
        }
        self.send_stops(now);
        self.drop_queued_run(now);
        self.close_retired_sessions(now);
        self.fetch_view(now);
        self.read_view_if_due(now);
        self.resolve_unanswered(now);
        self.mark_expired_runs_lost(now);
        let started_at_ms = self.worker.as_ref().map(|w| w.incarnation.started_at_ms);
        self.claims.remove_outdated(started_at_ms, now);
        let runs = &self.runs;
        let has_runs = |id: &ClientId| runs.iter().any(|run| run.client == *id);
        self.clients.remove_inactive(has_runs, now);
        if let Some(oldest) = now.checked_sub(RUN_NUMBER_RETENTION) {
            self.runs.remove_old_numbers(oldest);
        }
        self.publish(now);
    }

    /// Applies a suspension of the host, during which the clock stood still. The entries' clocks went on,
    /// so the last contacts are that much older than they seem.
    pub fn suspended_for(&mut self, time: Duration) {
        self.clients.age_contacts(time);
        self.view_age.suspended_for(time);
        if let Some(earlier) = &mut self.earlier {
            earlier.suspended_for(time);
        }
        if let Some(base) = self.probe_base.checked_sub(time) {
            self.probe_base = base;
        }
    }

    /// Refuses new runs from now on. Current runs continue.
    pub fn close(&mut self, now: Instant) {
        self.closing = true;
        self.publish(now);
    }

    fn refusal(
        &self,
        id: &ClientId,
        request: &RunRequest,
        now: Instant,
    ) -> Option<NotStartedReason> {
        let Some(info) = self.advertised(now) else {
            return Some(NotStartedReason::NoBackend);
        };
        if info.leaving || self.clients.get(id).is_some_and(Client::is_retiring) {
            return Some(NotStartedReason::ShuttingDown);
        }
        if self.view.zones_out.contains(&info.zone) {
            return Some(NotStartedReason::ZoneOut);
        }
        if !self.clients.get(id).is_some_and(|c| c.has_authority(now)) {
            return Some(NotStartedReason::ViewStale);
        }
        if !self.own_reads.allow_use(&self.view_age, now) {
            return Some(NotStartedReason::ViewStale);
        }
        if self.runs.contains(&request.id.task) {
            return Some(NotStartedReason::AlreadyKnown);
        }
        if self.breaks_isolation(request.isolation, now) {
            return Some(NotStartedReason::Isolated);
        }
        let fits = match request.isolation {
            Isolation::Shared | Isolation::Spaced => {
                let free = self.free_for(id, request.priority, now);
                self.runs.alone().is_none() && free.covers(&request.resources)
            }
            Isolation::Alone => info.capacity.covers(&request.resources),
        };
        let is_saturated = |at: Instant| now.saturating_duration_since(at) < SATURATION_WINDOW;
        let must_yield = request.late && self.saturated_at.is_some_and(is_saturated);
        (!fits || must_yield).then_some(NotStartedReason::NoRoom)
    }

    fn start(&mut self, client: &ClientId, request: RunRequest, now: Instant) {
        let id = request.id.clone();
        let worker_run = self.runs.next_worker_run(&request.id);
        let is_queued = request.isolation == Isolation::Alone && !self.runs.is_empty();
        if request.isolation == Isolation::Spaced {
            self.spaced_start_at = Some(now);
        }
        self.offers.started(client, &request);
        self.runs.insert(Run {
            request,
            client: client.clone(),
            worker_run,
            phase: Phase::Queued,
            received_at: now,
            progress: (0, now),
            stop_sent: None,
            stopping: false,
            unwanted_since: None,
            stalled: false,
        });
        if !is_queued {
            self.send_start(&id, now);
        }
    }

    /// Returns the free resources that entries may use.
    fn free(&self, now: Instant) -> Resources {
        match self.advertised(now) {
            Some(info) if !info.leaving && self.runs.alone().is_none() => {
                info.capacity.minus(self.runs.reserved())
            }
            _ => Resources::default(),
        }
    }

    /// Returns the free resources that a run of an entry may use.
    fn free_for(&self, client: &ClientId, priority: u32, now: Instant) -> Resources {
        let free = self.free(now);
        let reserved = self.offers.reserved_from(client, priority);
        Resources {
            cpu: free.cpu.saturating_sub(reserved),
            ..free
        }
    }

    /// Returns the worker's information for entries, or `None` while the worker cannot be used.
    fn advertised(&self, now: Instant) -> Option<WorkerInfo> {
        let worker = self.worker.as_ref()?;
        let since_answer = now.saturating_duration_since(worker.last_answer_at?);
        if !worker.has_listing || !worker.orphaned.is_empty() || since_answer > WORKER_TIMEOUT {
            return None;
        }
        let mut info = match worker.sequence {
            Some(_) => worker.info.clone()?,
            None => self.earlier_info(&worker.incarnation, now)?.clone(),
        };
        info.leaving |= self.closing;
        Some(info)
    }
}
