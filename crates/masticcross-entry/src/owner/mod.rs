//! The owner of jobs: decides which task of a job starts, and puts the job's answer together.
//!
//! Each partition has a table of its own under its own lock (`shard`). A decision takes the lock,
//! changes the table and returns effects, which are carried out once the lock is dropped (`shell`).
//!
//! - `submit`: what a submission, a question or a cancellation meets.
//! - `placement`: which task starts, and what the end of an attempt means.
//! - `loss`: agents that are lost and come back.
//! - `recovery`, `ownership`: takeover after a crash.
//! - `handover`, `transfer`: planned handover.

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
mod shell;
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
use crate::dispatch::{Dispatch, Waiting};
use handover::Incoming;
use job::Contact;
use memory::AnswerMemory;
use settings::Rules;
pub use settings::{OwnerChecks, OwnerSettings};
use shard::{Phase, Shard};
use submit::{Verdict, check_request};

/// An agent's process, by worker and start.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AgentId {
    /// The worker.
    pub worker: Name,
    /// The agent's start.
    pub incarnation: Incarnation,
}

/// A task that may be sent to an agent now.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Epoch of the job's partition.
    pub epoch: Epoch,
    /// The attempt.
    pub attempt: AttemptId,
    /// Payload for the backend server.
    pub payload: Json,
    /// When the job's deadline passes.
    pub deadline: Instant,
}

/// Counts for metrics and tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnerCounts {
    /// Jobs that have not ended.
    pub running: usize,
    /// Jobs that have ended and are still known.
    pub ended: usize,
    /// Partitions that are open.
    pub open_partitions: usize,
    /// Starts beyond the first of a task, after a proven loss or a failure.
    pub reruns: u64,
}

/// Rules, and the configuration version and fence that they were worked out from.
struct KeptRules {
    version: u64,
    fence: Duration,
    rules: Arc<Rules>,
}

/// Tables of the jobs of all partitions that this entry owns.
pub struct Owner {
    ledger: Arc<Ledger>,
    admissions: Arc<Admissions>,
    dispatch: Arc<Dispatch>,
    timeline: Timeline,
    settings: OwnerSettings,
    me: Weak<Owner>,
    shards: Vec<Mutex<Shard>>,
    next_attempt: AtomicU64,
    memory: Mutex<AnswerMemory>,
    connected: RwLock<BTreeMap<Name, Incarnation>>,
    incoming: Mutex<BTreeMap<(Partition, Epoch), Incoming>>,
    /// Grows whenever a partition changes its phase.
    phases: watch::Sender<u64>,
    timers_changed: Notify,
    next_wake: Mutex<Option<Instant>>,
    rules: RwLock<Option<KeptRules>>,
    /// Jobs in all tables, counted anew from time to time.
    known_jobs: AtomicU64,
}

impl Owner {
    /// Creates the tables with no partition open.
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

    /// Creates the tables with their own limits and policy.
    #[must_use]
    pub fn with_settings(
        ledger: Arc<Ledger>,
        admissions: Arc<Admissions>,
        dispatch: Arc<Dispatch>,
        timeline: Timeline,
        settings: OwnerSettings,
    ) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            ledger,
            admissions,
            dispatch,
            timeline,
            settings,
            me: me.clone(),
            shards: Partition::all()
                .map(|p| Mutex::new(Shard::new(p)))
                .collect(),
            next_attempt: AtomicU64::new(1),
            memory: Mutex::default(),
            connected: RwLock::default(),
            incoming: Mutex::default(),
            phases: watch::Sender::new(0),
            timers_changed: Notify::new(),
            next_wake: Mutex::default(),
            rules: RwLock::default(),
            known_jobs: AtomicU64::new(0),
        })
    }

    /// Opens and closes partitions as the agreed state changes, and watches deadlines, until the
    /// process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.follow_ownership(), self.watch_timers());
    }

    /// Runs a job, or joins the submission that runs it already, and returns its answer when it has
    /// ended. Returns [`JobAnswer::NotOwner`] if this entry does not own the job's partition under
    /// the epoch.
    pub async fn submit(&self, epoch: Epoch, request: JobRequest) -> JobAnswer {
        let until = Instant::now() + Duration::from_millis(request.deadline_ms.into());
        let partition = request.partition();
        let digest = request.digest();
        let mut checked = false;
        loop {
            let mut phases = self.phases.subscribe();
            let verdict = self.decide(partition, |shard, cx| {
                match shard.look_up(epoch, &request, digest, cx) {
                    Verdict::Unknown if checked => self.enter(shard, &request, digest, cx),
                    verdict => verdict,
                }
            });
            match verdict {
                Verdict::Unknown => {
                    if let Err(refusal) = self.check(&request) {
                        return self.checked_answer(partition, JobAnswer::Refused(refusal));
                    }
                    checked = true;
                }
                Verdict::Wait => {
                    if timeout_at(until, phases.changed()).await.is_err() {
                        return recovery::still_recovering();
                    }
                }
                verdict => return self.settle(partition, verdict).await,
            }
        }
    }

    /// Returns the state of a job or its answer, after cancelling it if asked to.
    pub async fn query(&self, epoch: Epoch, key: JobKey, cancel: bool) -> JobAnswer {
        let until = Instant::now() + self.settings.query_wait;
        let partition = key.partition();
        loop {
            let mut phases = self.phases.subscribe();
            let verdict = self.decide(partition, |shard, cx| shard.query(epoch, &key, cancel, cx));
            if !matches!(verdict, Verdict::Wait) {
                return self.settle(partition, verdict).await;
            }
            if timeout_at(until, phases.changed()).await.is_err() {
                return recovery::still_recovering();
            }
        }
    }

    /// Marks a waiting task as placed at an agent, just before it is sent. Returns nothing if the
    /// task must not start any more.
    #[must_use]
    pub fn grant(&self, waiting: &Waiting, agent: &AgentId) -> Option<Grant> {
        let seq = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        self.decide(waiting.key.partition(), |shard, cx| {
            let contact = if self.is_connected(agent) {
                Contact::Good
            } else {
                Contact::Away(self.registration_of(agent))
            };
            shard.grant(waiting, agent, contact, seq, cx)
        })
    }

    /// Takes over the end of an attempt.
    pub fn ended(&self, agent: &AgentId, ended: TaskEnded) {
        let failed = matches!(ended.outcome, TaskOutcome::Failed(_));
        let may_retry = !failed || self.dispatch.may_retry();
        self.decide(ended.key.partition(), |shard, cx| {
            cx.may_retry = may_retry;
            shard.attempt_ended(agent, ended, cx);
        });
    }

    /// Takes over what an agent knows of a partition.
    pub fn gathered(&self, agent: &AgentId, gathered: Gathered) {
        self.decide(gathered.partition, |shard, cx| {
            if shard.epoch != gathered.epoch {
                return;
            }
            let last = gathered.last;
            match &mut shard.phase {
                Phase::Recovering(recovery) => recovery.add(agent, gathered),
                Phase::Open => {
                    shard.reported(agent, gathered.attempts, cx);
                    if last {
                        shard.report_complete(agent, cx);
                    }
                }
                Phase::Closed | Phase::Moving => {}
            }
        });
        self.phases.send_modify(|_| {});
    }

    /// Learns that an agent has connected, or connected again: what was sent to it before and is
    /// not in its next report never arrived.
    pub fn agent_connected(&self, agent: &AgentId) {
        let worker = agent.worker.clone();
        self.connected.write().insert(worker, agent.incarnation);
        for partition in Partition::all() {
            self.decide(partition, |shard, cx| shard.agent_found(agent, cx));
        }
    }

    /// Learns that the session with an agent is gone. Its attempts may still run.
    pub fn agent_disconnected(&self, agent: &AgentId) {
        let mut connected = self.connected.write();
        if connected.get(&agent.worker) == Some(&agent.incarnation) {
            connected.remove(&agent.worker);
        }
        drop(connected);
        for partition in Partition::all() {
            let registration = self.registration_of(agent);
            self.decide(partition, |shard, cx| {
                shard.agent_lost(agent, registration);
                shard.follow_registrations(|agent| self.registration_of(agent), cx);
            });
        }
    }

    /// Takes over part of a table from the owner that stops.
    pub fn handed_over(&self, from: &Name, handover: Handover) {
        log::debug!(from:%, partition = handover.partition.index(); "part of a table received");
        let mut incoming = self.incoming.lock();
        let id = (handover.partition, handover.epoch);
        incoming.retain(|other, _| other.0 != id.0 || *other == id);
        let table = incoming.entry(id).or_default();
        if table.is_complete {
            // The owner before has tried again.
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
        if self.known_jobs.load(Ordering::Relaxed) >= u64::from(max_jobs) {
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
