//! An agent's decisions: what fits on its worker, what starts, and what has surely ended.
//!
//! - [`lease`]: lease and fencing token.
//! - [`runs`]: what holds room.
//! - [`clients`]: entries, and how long the agent may act for them.
//! - `calls`: answers of the worker.
//! - `notifications`: what entries are told.
//!
//! Nothing here waits. Methods take the time and leave [`Effect`]s, which the caller carries out in
//! order.

mod calls;
pub mod clients;
pub mod lease;
mod notifications;
pub mod runs;

#[cfg(test)]
mod tests;

use std::time::Duration;

use masticcross_wire::NotStartedReason;
use masticcross_wire::pool::{
    OperatorView, PoolFrame, Room, RunEnd, RunId, RunOrder, RunResult, WorkerInfo,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::worker_client::{StartCall, StopCall, WorkerIncarnation};

pub use calls::{POLL_WAIT, START_TIMEOUT};
use clients::{ClientId, Clients};
use lease::Lease;
use runs::{Phase, Run, Runs};

/// Number of a session, unique in this process.
pub type SessionId = u64;

/// How long a worker's number of the last run of a task is remembered.
const RUN_NUMBER_RETENTION: Duration = Duration::from_secs(30);

/// Time after which a stop that shows no effect is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// Time after a refusal for lack of room in which late runs are refused.
const SATURATION_WINDOW: Duration = Duration::from_millis(150);

/// Time without a sign of incarnation after which the worker counts as silent.
const WORKER_TIMEOUT: Duration = Duration::from_millis(700);

/// What the worker says of itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Number of the report, rising in this incarnation.
    pub sequence: u64,
    /// Service, zone, labels, resources, and whether it leaves.
    pub info: WorkerInfo,
}

/// What the caller is to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Send a frame on a session.
    Send(SessionId, PoolFrame),
    /// Start a run at the worker.
    Start(StartCall),
    /// Stop a run at the worker.
    Stop(StopCall),
    /// Look at the worker now, without waiting for an end.
    Poll,
    /// Keep what the worker says of itself for the next agent.
    SaveReport(WorkerReport),
}

/// Figures for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SupervisorGauges {
    /// Runs that hold room.
    pub runs: usize,
    /// Room that is offered.
    pub free: Room,
    /// True if the worker takes runs.
    pub open: bool,
}

/// The worker in its current incarnation.
#[derive(Debug)]
struct Worker {
    incarnation: WorkerIncarnation,
    /// What the worker says of itself; none until it has in this incarnation.
    info: Option<WorkerInfo>,
    sequence: u64,
    last_seen_end: u64,
    has_listing: bool,
    orphaned: Vec<RunId>,
    /// When it last answered a look.
    last_answer_at: Option<Instant>,
}

/// The decisions of an agent.
pub struct Supervisor {
    worker: Option<Worker>,
    lease: Lease,
    runs: Runs,
    clients: Clients,
    view: OperatorView,
    closing: bool,
    /// True once the worker has listed its runs and none of an earlier agent is left.
    runs_complete: bool,
    /// When a run that was not late was last refused for lack of room.
    saturated_at: Option<Instant>,
    effects: Vec<Effect>,
    announced: Option<WorkerInfo>,
    /// When changes of the free room were last told on all sessions.
    announced_all_at: Option<Instant>,
    probe_base: Instant,
}

impl Supervisor {
    /// Creates an agent that knows no worker. `unix_ms` is the time of day.
    #[must_use]
    pub fn new(lease: Duration, unix_ms: u64, now: Instant) -> Self {
        Self {
            worker: None,
            lease: Lease::new(lease, unix_ms),
            runs: Runs::default(),
            clients: Clients::default(),
            view: OperatorView::default(),
            closing: false,
            runs_complete: false,
            saturated_at: None,
            effects: Vec::new(),
            announced: None,
            announced_all_at: None,
            probe_base: now,
        }
    }

    /// Takes the effects of what happened since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the figures for the metrics.
    #[must_use]
    pub fn gauges(&self, now: Instant) -> SupervisorGauges {
        SupervisorGauges {
            runs: self.runs.iter().count(),
            free: self.free(now),
            open: self.advertised(now).is_some_and(|info| !info.leaving),
        }
    }

    /// Returns true if nothing runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns true once a worker has reported.
    #[must_use]
    pub fn knows_worker(&self) -> bool {
        self.worker.is_some()
    }

    /// Takes over what the worker says of itself. Returns false if it is out of date.
    pub fn worker_reported(&mut self, report: WorkerReport, now: Instant) -> bool {
        if let Some(worker) = &mut self.worker {
            let started_at_ms = report.incarnation.started_at_ms;
            if started_at_ms < worker.incarnation.started_at_ms
                || (worker.incarnation == report.incarnation && report.sequence < worker.sequence)
            {
                return false;
            }
            if worker.incarnation == report.incarnation {
                worker.sequence = report.sequence;
                if worker.info.as_ref() != Some(&report.info) {
                    worker.info = Some(report.info.clone());
                    self.effects.push(Effect::SaveReport(report));
                    self.publish(now);
                }
                return true;
            }
        }
        let same_id = self
            .worker
            .as_ref()
            .is_some_and(|w| w.incarnation.id == report.incarnation.id);
        if !same_id {
            self.mark_all_runs_lost(now);
        }
        self.begin_life(report.incarnation.clone());
        if let Some(worker) = &mut self.worker {
            worker.sequence = report.sequence;
            worker.info = Some(report.info.clone());
        }
        self.effects.push(Effect::SaveReport(report));
        self.publish(now);
        true
    }

    /// Takes over what an earlier agent kept of the worker, unless the worker has reported. The first
    /// look tells whether it still lives that incarnation.
    pub fn restore_report(&mut self, report: WorkerReport) {
        if self.worker.is_some() {
            return;
        }
        self.begin_life(report.incarnation);
        if let Some(worker) = &mut self.worker {
            worker.info = Some(report.info);
        }
    }

    /// Begins a incarnation of the worker, of which nothing is known but that it runs. Orders meant for an
    /// earlier incarnation under the same id may have reached this one, also after the list that told of it
    /// was made: the first look under the raised token tells.
    fn begin_life(&mut self, incarnation: WorkerIncarnation) {
        log::info!(worker:% = incarnation.id, born_ms = incarnation.started_at_ms; "worker started");
        let token = self.lease.token();
        for run in self.runs.iter_mut() {
            run.phase = Phase::InDoubt { token };
        }
        self.lease.reset_clock();
        // A new incarnation has seen no token: orders to the former one that are still on their way must not
        // be carried out.
        self.lease.raise_token();
        self.worker = Some(Worker {
            incarnation,
            info: None,
            sequence: 0,
            last_seen_end: 0,
            has_listing: false,
            orphaned: Vec::new(),
            last_answer_at: None,
        });
        self.effects.push(Effect::Poll);
    }

    /// Notes that the worker has ended in order.
    pub fn worker_left(&mut self, id: &str, now: Instant) {
        if self
            .worker
            .as_ref()
            .is_some_and(|w| &*w.incarnation.id == id)
        {
            log::info!(worker = id; "worker left");
            self.mark_all_runs_lost(now);
            self.worker = None;
            self.publish(now);
        }
    }

    /// Takes over runs of an entry. Each is started or answered by its end at once.
    pub fn run(&mut self, session: SessionId, requests: Vec<RunOrder>, now: Instant) {
        let Some(id) = self.clients.id_of(session) else {
            return;
        };
        for request in requests {
            if let Some(client) = self.clients.of_session(session) {
                client.orders_seen += 1;
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
            if run.client == client && run.request.id.run == id.run {
                run.stopping = true;
            }
        }
        self.send_stops(now);
    }

    /// Does what depends on time alone.
    pub fn tick(&mut self, now: Instant) {
        let clients = &self.clients;
        for run in self.runs.iter_mut().filter(|run| !run.stopping) {
            if !clients
                .get(&run.client)
                .is_some_and(|c| c.has_authority(now))
            {
                log::info!(run:% = run.request.id, entry:% = run.client.name; "stopped: entry is silent");
                run.stopping = true;
            }
        }
        self.send_stops(now);
        self.resolve_unanswered(now);
        self.mark_expired_runs_lost(now);
        let runs = &self.runs;
        let has_runs = |id: &ClientId| runs.iter().any(|run| run.client == *id);
        self.clients.remove_inactive(has_runs, now);
        if let Some(oldest) = now.checked_sub(RUN_NUMBER_RETENTION) {
            self.runs.remove_old_numbers(oldest);
        }
        self.publish(now);
    }

    /// Takes nothing new from now on. What runs goes on.
    pub fn close(&mut self, now: Instant) {
        self.closing = true;
        self.publish(now);
    }

    fn refusal(&self, id: &ClientId, request: &RunOrder, now: Instant) -> Option<NotStartedReason> {
        let Some(info) = self.advertised(now) else {
            return Some(NotStartedReason::NoBackend);
        };
        if info.leaving {
            return Some(NotStartedReason::ShuttingDown);
        }
        if self.view.zones_out.contains(&info.zone) {
            return Some(NotStartedReason::ZoneOut);
        }
        if !self.clients.get(id).is_some_and(|c| c.has_authority(now)) {
            return Some(NotStartedReason::ViewStale);
        }
        if self.runs.contains(&request.id.task) {
            return Some(NotStartedReason::AlreadyKnown);
        }
        let fits = self.free(now).holds(&request.room);
        let is_saturated = |at: Instant| now.saturating_duration_since(at) < SATURATION_WINDOW;
        let must_yield = request.late && self.saturated_at.is_some_and(is_saturated);
        (!fits || must_yield).then_some(NotStartedReason::NoRoom)
    }

    fn start(&mut self, client: &ClientId, request: RunOrder, now: Instant) {
        let id = request.id.clone();
        let worker_run = self.runs.next_worker_run(&request.id);
        self.runs.insert(Run {
            request,
            client: client.clone(),
            worker_run,
            phase: Phase::Starting {
                token: self.lease.token(),
                sent_at: now,
                unanswered: false,
            },
            received_at: now,
            progress: (0, now),
            stop_sent: None,
            stopping: false,
            stalled: false,
        });
        self.send_start(&id, now);
    }

    /// Returns the room that entries may use.
    fn free(&self, now: Instant) -> Room {
        match self.advertised(now) {
            Some(info) if !info.leaving => info.capacity.minus(self.runs.reserved()),
            _ => Room::default(),
        }
    }

    /// Returns what entries are told of the worker: nothing while it cannot be used.
    fn advertised(&self, now: Instant) -> Option<WorkerInfo> {
        let worker = self.worker.as_ref()?;
        let since_answer = now.saturating_duration_since(worker.last_answer_at?);
        if !worker.has_listing || !worker.orphaned.is_empty() || since_answer > WORKER_TIMEOUT {
            return None;
        }
        let mut info = worker.info.clone()?;
        info.leaving |= self.closing;
        Some(info)
    }
}
