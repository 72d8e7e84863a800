//! The owner of jobs: decides which tasks start and assembles the answers of jobs.
//!
//! Each partition has a table with its own lock (`shard`). A decision takes the lock, changes the
//! table and returns effects, which the `driver` applies once the lock is released.
//!
//! - `submit`: submissions, queries and cancellations.
//! - `placement`: placement of tasks, and the outcome of attempts.
//! - `loss`: loss and return of agents.
//! - `recovery`, `ownership`: takeover after a crash.
//! - `handover`, `transfer`: planned handover.

mod driver;
mod effect;
mod handover;
mod job;
mod loss;
mod memory;
mod ownership;
mod placement;
mod recovery;
mod settings;
mod shard;
mod submit;
mod transfer;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use masticcross_basics::timeline::Timeline;
use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name, Partition};
use masticcross_ledger::Ledger;
use masticcross_wire::{
    Gathered, Handover, Incarnation, JobAnswer, JobRequest, Json, Refusal, TaskEnded, TaskOutcome,
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};

use crate::admission::Admissions;
use crate::dispatch::{Dispatch, WaitingTask};
use handover::Incoming;
use job::Connection;
use memory::AnswerMemory;
use settings::Rules;
pub use settings::{OwnerChecks, OwnerSettings};
use shard::{Phase, Shard};
use submit::{Lookup, check_request};

/// Identifies an agent's process by its worker and incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AgentId {
    /// The worker.
    pub worker: Name,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
}

/// Permission to send a task to an agent.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Epoch of the job's partition.
    pub epoch: Epoch,
    /// The attempt.
    pub attempt: AttemptId,
    /// Payload for the backend server.
    pub payload: Json,
    /// Deadline of the job.
    pub deadline: Instant,
}

/// Counts for metrics and tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnerCounts {
    /// Jobs that have not ended.
    pub running: usize,
    /// Jobs that have ended and are still in the tables.
    pub ended: usize,
    /// Partitions that are open.
    pub open_partitions: usize,
    /// Reruns of tasks, after a confirmed loss or a failure.
    pub reruns: u64,
}

/// Rules, with the configuration version and fence that they were derived from.
struct CachedRules {
    version: u64,
    fence: Duration,
    rules: Arc<Rules>,
}

/// Job tables of all partitions that this entry owns.
pub struct Owner {
    ledger: Arc<Ledger>,
    admissions: Arc<Admissions>,
    dispatch: Arc<Dispatch>,
    timeline: Timeline,
    settings: OwnerSettings,
    weak_self: Weak<Owner>,
    shards: Vec<Mutex<Shard>>,
    next_attempt: AtomicU64,
    memory: Mutex<AnswerMemory>,
    connected: RwLock<BTreeMap<Name, Incarnation>>,
    incoming: Mutex<BTreeMap<(Partition, Epoch), Incoming>>,
    /// Generation that is incremented whenever a partition changes its phase. Receivers are also
    /// notified of each report of an agent.
    phase_changes: watch::Sender<u64>,
    timers_changed: Notify,
    next_wakeup: Mutex<Option<Instant>>,
    rules: RwLock<Option<CachedRules>>,
    /// Jobs in all tables: incremented when a job is added, recounted periodically.
    job_count: AtomicU64,
}

impl Owner {
    /// Creates an owner with default settings and no open partition.
    #[must_use]
    pub fn new(
        ledger: Arc<Ledger>,
        admissions: Arc<Admissions>,
        dispatch: Arc<Dispatch>,
        timeline: Timeline,
    ) -> Arc<Self> {
        let settings = OwnerSettings::default();
        Self::with_settings(ledger, admissions, dispatch, timeline, settings)
    }

    /// Creates an owner with the given settings and no open partition.
    #[must_use]
    pub fn with_settings(
        ledger: Arc<Ledger>,
        admissions: Arc<Admissions>,
        dispatch: Arc<Dispatch>,
        timeline: Timeline,
        settings: OwnerSettings,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            ledger,
            admissions,
            dispatch,
            timeline,
            settings,
            weak_self: weak_self.clone(),
            shards: Partition::all()
                .map(|p| Mutex::new(Shard::new(p)))
                .collect(),
            next_attempt: AtomicU64::new(1),
            memory: Mutex::default(),
            connected: RwLock::default(),
            incoming: Mutex::default(),
            phase_changes: watch::Sender::new(0),
            timers_changed: Notify::new(),
            next_wakeup: Mutex::default(),
            rules: RwLock::default(),
            job_count: AtomicU64::new(0),
        })
    }

    /// Opens and closes partitions as the replicated state changes, and runs timers. Runs until the
    /// process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.watch_ownership(), self.watch_timers());
    }

    /// Runs a job, or joins it if it runs already, and returns its answer once it has ended. Returns
    /// [`JobAnswer::NotOwner`] if this entry does not own the job's partition under the epoch.
    pub async fn submit(&self, epoch: Epoch, request: JobRequest) -> JobAnswer {
        let until = Instant::now() + Duration::from_millis(request.deadline_ms.into());
        let partition = request.partition();
        let digest = request.digest();
        let mut checked = false;
        loop {
            let mut phase_changes = self.phase_changes.subscribe();
            let lookup = self.decide(partition, |shard, cx| {
                match shard.look_up(epoch, &request, digest, cx) {
                    Lookup::Unknown if checked => self.add_job(shard, &request, digest, cx),
                    lookup => lookup,
                }
            });
            match lookup {
                Lookup::Unknown => {
                    if let Err(refusal) = self.check(&request) {
                        return self.checked_answer(partition, JobAnswer::Refused(refusal));
                    }
                    checked = true;
                }
                Lookup::Wait => {
                    if timeout_at(until, phase_changes.changed()).await.is_err() {
                        return recovery::still_recovering();
                    }
                }
                lookup => return self.await_answer(partition, lookup).await,
            }
        }
    }

    /// Returns the state or the answer of a job, after canceling it if requested.
    pub async fn query(&self, epoch: Epoch, key: JobKey, cancel: bool) -> JobAnswer {
        let until = Instant::now() + self.settings.query_wait;
        let partition = key.partition();
        loop {
            let mut phase_changes = self.phase_changes.subscribe();
            let lookup = self.decide(partition, |shard, cx| shard.query(epoch, &key, cancel, cx));
            if !matches!(lookup, Lookup::Wait) {
                return self.await_answer(partition, lookup).await;
            }
            if timeout_at(until, phase_changes.changed()).await.is_err() {
                return recovery::still_recovering();
            }
        }
    }

    /// Marks a waiting task as placed at an agent, just before it is sent. Returns `None` if the
    /// task must no longer start.
    #[must_use]
    pub fn grant(&self, waiting: &WaitingTask, agent: &AgentId) -> Option<Grant> {
        let seq = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        self.decide(waiting.key.partition(), |shard, cx| {
            let connection = if self.is_connected(agent) {
                Connection::Connected
            } else {
                Connection::Disconnected(self.registration_of(agent))
            };
            shard.grant(waiting, agent, connection, seq, cx)
        })
    }

    /// Handles the end of an attempt.
    pub fn attempt_ended(&self, agent: &AgentId, ended: TaskEnded) {
        let failed = matches!(ended.outcome, TaskOutcome::Failed(_));
        let may_retry = !failed || self.dispatch.may_retry();
        self.decide(ended.key.partition(), |shard, cx| {
            cx.may_retry = may_retry;
            shard.attempt_ended(agent, ended, cx);
        });
    }

    /// Applies a report of an agent's attempts in a partition.
    pub fn receive_report(&self, agent: &AgentId, gathered: Gathered) {
        self.decide(gathered.partition, |shard, cx| {
            if shard.epoch != gathered.epoch {
                return;
            }
            let last = gathered.last;
            match &mut shard.phase {
                Phase::Recovering(recovery) => recovery.add(agent, gathered),
                Phase::Open => {
                    shard.apply_reports(agent, gathered.attempts, cx);
                    if last {
                        shard.report_complete(agent, cx);
                    }
                }
                Phase::Closed | Phase::HandingOver => {}
            }
        });
        self.phase_changes.send_modify(|_| {});
    }

    /// Handles a new session with an agent. Attempts that were sent on an earlier session and are
    /// missing from the agent's next report never arrived.
    pub fn agent_connected(&self, agent: &AgentId) {
        let worker = agent.worker.clone();
        self.connected.write().insert(worker, agent.incarnation);
        for partition in Partition::all() {
            self.decide(partition, |shard, cx| shard.connect(agent, cx));
        }
    }

    /// Handles the end of the session with an agent. Its attempts may still run.
    pub fn agent_disconnected(&self, agent: &AgentId) {
        let mut connected = self.connected.write();
        if connected.get(&agent.worker) == Some(&agent.incarnation) {
            connected.remove(&agent.worker);
        }
        drop(connected);
        for partition in Partition::all() {
            let registration = self.registration_of(agent);
            self.decide(partition, |shard, cx| {
                shard.disconnect(agent, registration);
                shard.check_registrations(|agent| self.registration_of(agent), cx);
            });
        }
    }

    /// Stores a part of the table that the previous owner hands over.
    pub fn receive_handover(&self, from: &Name, handover: Handover) {
        log::debug!(from:%, partition = handover.partition.index(); "received a part of a table in a handover");
        let mut incoming = self.incoming.lock();
        let id = (handover.partition, handover.epoch);
        incoming.retain(|other, _| other.0 != id.0 || *other == id);
        let table = incoming.entry(id).or_default();
        if table.is_complete {
            // The previous owner retries the handover.
            *table = Incoming::default();
        }
        table.jobs.extend(handover.jobs);
        table.is_complete = handover.last;
    }

    /// Returns counts over all partitions.
    #[must_use]
    pub fn counts(&self) -> OwnerCounts {
        let mut counts = OwnerCounts::default();
        for shard in &self.shards {
            let shard = shard.lock();
            counts.running += shard.jobs.len();
            counts.ended += shard.ended.len();
            counts.open_partitions += usize::from(matches!(shard.phase, Phase::Open));
            counts.reruns += shard.reruns;
        }
        counts
    }

    fn check(&self, request: &JobRequest) -> Result<(), Refusal> {
        if !self.may_decide() {
            let detail = "the view of the log is too old";
            return Err(Refusal::failed(Code::ViewStale, detail).retry_after_ms(1_000));
        }
        let state = self.ledger.state();
        let document = state.config.document.as_deref();
        check_request(request, document)?;
        let max_jobs = settings::limits(document).max_jobs;
        if self.job_count.load(Ordering::Relaxed) >= u64::from(max_jobs) {
            let refusal = Refusal::not_run(Code::TableFull, "table of jobs is full");
            return Err(refusal.retry_after_ms(1_000));
        }
        self.dispatch.check(request)
    }

    fn registration_of(&self, agent: &AgentId) -> Option<u64> {
        let state = self.ledger.state();
        state.registered_at(&agent.worker, agent.incarnation)
    }

    fn is_connected(&self, agent: &AgentId) -> bool {
        self.connected.read().get(&agent.worker) == Some(&agent.incarnation)
    }
}
