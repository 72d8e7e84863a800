//! An agent's decisions: what fits on its worker, what starts, and what has surely ended.
//!
//! - [`lease`]: lease and fencing token.
//! - [`runs`]: what holds room.
//! - [`clients`]: entries, and how long the agent may act for them.
//! - `calls`: answers of the worker.
//! - `telling`: what entries are told.
//!
//! Nothing here waits. Methods take the time and leave [`Effect`]s, which the caller carries out in
//! order.

mod calls;
pub mod clients;
pub mod lease;
pub mod runs;
mod telling;

#[cfg(test)]
mod tests;

use std::time::Duration;

use masticcross_wire::NotStartedReason;
use masticcross_wire::pool::{
    OperatorView, PoolFrame, Resources, RunEnd, RunId, RunRequest, RunResult, WorkerInfo,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::worker_client::{StartCall, StopCall, WorkerLife};

pub use calls::{LOOK_WAIT, START_TIMEOUT};
use clients::{ClientId, Clients};
use lease::Lease;
use runs::{Phase, Run, Runs};

/// Number of a session, unique in this process.
pub type SessionId = u64;

/// How long a worker's number of the last run of a task is remembered.
const KEEP_RUN_NUMBERS: Duration = Duration::from_secs(30);

/// Time after which a stop that shows no effect is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(80);

/// Time after a refusal for lack of room in which late runs are refused.
const CROWDED_TIME: Duration = Duration::from_millis(150);

/// Time without a sign of life after which the worker counts as silent.
const WORKER_SILENCE: Duration = Duration::from_millis(700);

/// What the worker says of itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's life.
    pub life: WorkerLife,
    /// Number of the report, rising in this life.
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
    Look,
    /// Keep what the worker says of itself for the next agent.
    Remember(WorkerReport),
}

/// Figures for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KeeperLevels {
    /// Runs that hold room.
    pub runs: usize,
    /// Resources that is offered.
    pub free: Resources,
    /// True if the worker takes runs.
    pub open: bool,
}

/// The worker in its current life.
#[derive(Debug)]
struct Worker {
    life: WorkerLife,
    /// What the worker says of itself; none until it has in this life.
    info: Option<WorkerInfo>,
    sequence: u64,
    seen: u64,
    listed: bool,
    foreign: Vec<RunId>,
    /// When it last answered a look.
    heard_at: Option<Instant>,
}

/// The decisions of an agent.
pub struct Keeper {
    worker: Option<Worker>,
    lease: Lease,
    runs: Runs,
    clients: Clients,
    view: OperatorView,
    closing: bool,
    /// True once the worker has listed its runs and none of an earlier agent is left.
    knows_all_runs: bool,
    /// When a run that was not late was last refused for lack of room.
    crowded_at: Option<Instant>,
    effects: Vec<Effect>,
    told: Option<WorkerInfo>,
    /// When changes of the free room were last told on all sessions.
    told_all_at: Option<Instant>,
    probe_base: Instant,
}

impl Keeper {
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
            knows_all_runs: false,
            crowded_at: None,
            effects: Vec::new(),
            told: None,
            told_all_at: None,
            probe_base: now,
        }
    }

    /// Takes the effects of what happened since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the figures for the metrics.
    #[must_use]
    pub fn levels(&self, now: Instant) -> KeeperLevels {
        KeeperLevels {
            runs: self.runs.iter().count(),
            free: self.free(now),
            open: self.offered(now).is_some_and(|info| !info.leaving),
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
            let born_ms = report.life.born_ms;
            if born_ms < worker.life.born_ms
                || (worker.life == report.life && report.sequence < worker.sequence)
            {
                return false;
            }
            if worker.life == report.life {
                worker.sequence = report.sequence;
                if worker.info.as_ref() != Some(&report.info) {
                    worker.info = Some(report.info.clone());
                    self.effects.push(Effect::Remember(report));
                    self.publish(now);
                }
                return true;
            }
        }
        let same_id = self
            .worker
            .as_ref()
            .is_some_and(|w| w.life.id == report.life.id);
        if !same_id {
            self.lose_all_runs(now);
        }
        self.begin_life(report.life.clone());
        if let Some(worker) = &mut self.worker {
            worker.sequence = report.sequence;
            worker.info = Some(report.info.clone());
        }
        self.effects.push(Effect::Remember(report));
        self.publish(now);
        true
    }

    /// Takes over what an earlier agent kept of the worker, unless the worker has reported. The first
    /// look tells whether it still lives that life.
    pub fn worker_recalled(&mut self, report: WorkerReport) {
        if self.worker.is_some() {
            return;
        }
        self.begin_life(report.life);
        if let Some(worker) = &mut self.worker {
            worker.info = Some(report.info);
        }
    }

    /// Begins a life of the worker, of which nothing is known but that it runs. Orders meant for an
    /// earlier life under the same id may have reached this one, also after the list that told of it
    /// was made: the first look under the raised token tells.
    fn begin_life(&mut self, life: WorkerLife) {
        log::info!(worker:% = life.id, born_ms = life.born_ms; "worker started");
        let token = self.lease.token();
        for run in self.runs.iter_mut() {
            run.phase = Phase::InDoubt { token };
        }
        self.lease.forget_clock();
        // A new life has seen no token: orders to the former one that are still on their way must not
        // be carried out.
        self.lease.raise_token();
        self.worker = Some(Worker {
            life,
            info: None,
            sequence: 0,
            seen: 0,
            listed: false,
            foreign: Vec::new(),
            heard_at: None,
        });
        self.effects.push(Effect::Look);
    }

    /// Notes that the worker has ended in order.
    pub fn worker_left(&mut self, id: &str, now: Instant) {
        if self.worker.as_ref().is_some_and(|w| &*w.life.id == id) {
            log::info!(worker = id; "worker left");
            self.lose_all_runs(now);
            self.worker = None;
            self.publish(now);
        }
    }

    /// Takes over runs of an entry. Each is started or answered by its end at once.
    pub fn run(&mut self, session: SessionId, orders: Vec<RunRequest>, now: Instant) {
        let Some(id) = self.clients.id_of(session) else {
            return;
        };
        for order in orders {
            if let Some(client) = self.clients.of_session(session) {
                client.requests_seen += 1;
            }
            match self.refusal(&id, &order, now) {
                Some(reason) => {
                    if reason == NotStartedReason::NoRoom && !order.late {
                        self.crowded_at = Some(now);
                    }
                    let result = RunResult::NotStarted(reason);
                    let end = RunEnd {
                        id: order.id,
                        result,
                        took_ms: 0,
                    };
                    self.tell_end(&id, end, now);
                }
                None => self.start(&id, order, now),
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
            if run.client == client && run.order.id.run == id.run {
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
                log::info!(run:% = run.order.id, entry:% = run.client.name; "stopped: entry is silent");
                run.stopping = true;
            }
        }
        self.send_stops(now);
        self.resolve_unanswered(now);
        self.lose_lapsed(now);
        let runs = &self.runs;
        let has_runs = |id: &ClientId| runs.iter().any(|run| run.client == *id);
        self.clients.forget_gone(has_runs, now);
        if let Some(oldest) = now.checked_sub(KEEP_RUN_NUMBERS) {
            self.runs.forget_numbers(oldest);
        }
        self.publish(now);
    }

    /// Takes nothing new from now on. What runs goes on.
    pub fn close(&mut self, now: Instant) {
        self.closing = true;
        self.publish(now);
    }

    fn refusal(&self, id: &ClientId, order: &RunRequest, now: Instant) -> Option<NotStartedReason> {
        let Some(info) = self.offered(now) else {
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
        if self.runs.contains(&order.id.task) {
            return Some(NotStartedReason::AlreadyKnown);
        }
        let fits = self.free(now).covers(&order.resources);
        let crowded = |at: Instant| now.saturating_duration_since(at) < CROWDED_TIME;
        let yields = order.late && self.crowded_at.is_some_and(crowded);
        (!fits || yields).then_some(NotStartedReason::NoRoom)
    }

    fn start(&mut self, client: &ClientId, order: RunRequest, now: Instant) {
        let id = order.id.clone();
        let worker_run = self.runs.next_worker_run(&order.id);
        self.runs.insert(Run {
            order,
            client: client.clone(),
            worker_run,
            phase: Phase::Starting {
                token: self.lease.token(),
                sent_at: now,
                unanswered: false,
            },
            since: now,
            progress: (0, now),
            stop_sent: None,
            stopping: false,
            stuck: false,
        });
        self.send_start(&id, now);
    }

    /// Returns the room that entries may use.
    fn free(&self, now: Instant) -> Resources {
        match self.offered(now) {
            Some(info) if !info.leaving => info.capacity.minus(self.runs.reserved()),
            _ => Resources::default(),
        }
    }

    /// Returns what entries are told of the worker: nothing while it cannot be used.
    fn offered(&self, now: Instant) -> Option<WorkerInfo> {
        let worker = self.worker.as_ref()?;
        let silence = now.saturating_duration_since(worker.heard_at?);
        if !worker.listed || !worker.foreign.is_empty() || silence > WORKER_SILENCE {
            return None;
        }
        let mut info = worker.info.clone()?;
        info.leaving |= self.closing;
        Some(info)
    }
}
