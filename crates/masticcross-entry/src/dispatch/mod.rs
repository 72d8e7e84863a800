//! Sessions of agents, the queues of waiting tasks, and placement.
//!
//! - [`serve`](Dispatch::serve_agent): the session of one agent.
//! - [`shard`]: queue, workers and limits of one service, under one lock.
//! - [`queue`]: which task is next.
//! - [`workers`]: which worker gets it; [`health`] and [`runtime`] say what is known of a worker.
//!
//! Order of locks: a session, then the owner's tables, then a shard, then team counts. The pump
//! asks the owner for a task only while it holds no shard.

pub mod budget;
mod demand;
mod limits;
pub mod metrics;
mod pump;
pub mod queue;
mod reservation;
mod serve;
mod session;
pub mod shard;
mod sizes;
#[cfg(test)]
mod tests;
mod usage;
mod waiting;
pub mod workers;

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock, Weak};

use masticcross_basics::timeline::Timeline;
use masticcross_basics::{Epoch, JobKey, Name, Partition};
use masticcross_ledger::Ledger;
use masticcross_wire::{AttemptReport, Frame, Gather, JobRequest, Refusal, StopTasks};
use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;

use self::budget::RetryBudget;
use self::metrics::Metrics;
use self::pump::ServiceHandle;
use self::queue::QueuePolicy;
use self::session::Sessions;
use self::shard::{Shard, ShardSettings};
pub use self::usage::TeamUsage;
pub use self::waiting::Waiting;
use self::workers::PlacementRule;
use crate::Identity;
use crate::owner::{AgentId, Owner};

/// Result of the check before an admission.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Queues, credits and agents' sessions of one entry.
pub struct Dispatch {
    identity: Identity,
    ledger: Arc<Ledger>,
    timeline: Timeline,
    owner: OnceLock<Weak<Owner>>,
    this: Weak<Dispatch>,
    sessions: Sessions,
    services: RwLock<BTreeMap<Name, Arc<ServiceHandle>>>,
    usage: Arc<TeamUsage>,
    budget: Mutex<RetryBudget>,
    metrics: Metrics,
}

impl Dispatch {
    /// Creates empty queues.
    ///
    /// # Panics
    /// Never: the names of the metrics differ.
    #[must_use]
    pub fn new(identity: Identity, ledger: Arc<Ledger>, timeline: Timeline) -> Arc<Self> {
        Arc::new_cyclic(|this| Self {
            identity,
            ledger,
            timeline,
            owner: OnceLock::new(),
            this: this.clone(),
            sessions: Sessions::default(),
            services: RwLock::default(),
            usage: Arc::default(),
            budget: Mutex::default(),
            metrics: Metrics::new().expect("the names differ"),
        })
    }

    /// Names the tables that decide about starts. Called once, before any session.
    pub fn bind(&self, owner: Weak<Owner>) {
        let _ = self.owner.set(owner);
    }

    /// Checks whether a job would be taken now: rate, deadline, quota, queue. Reserves room for its
    /// tasks until they are queued, or the job is removed.
    ///
    /// # Errors
    /// Returns the refusal; nothing of the job ran.
    pub fn check(&self, request: &JobRequest) -> Result<()> {
        let handle = self.service_or_new(&request.key.service);
        let state = self.ledger.state();
        let now = Instant::now();
        let mut shard = handle.shard.lock();
        if let Some(document) = &state.config.document {
            shard.apply_config(state.config.version, document, now);
        }
        shard
            .check(request, now)
            .inspect_err(|refusal| self.metrics.refused(refusal.code))
    }

    /// Returns the registry of the metrics of dispatch.
    #[must_use]
    pub fn registry(&self) -> &prometheus::Registry {
        self.metrics.registry()
    }

    /// Queues tasks.
    pub fn enqueue(&self, waiting: Vec<Waiting>) {
        let mut by_service: BTreeMap<Name, Vec<Waiting>> = BTreeMap::new();
        for task in waiting {
            let service = task.key.service.clone();
            by_service.entry(service).or_default().push(task);
        }
        for (service, tasks) in by_service {
            let handle = self.service_or_new(&service);
            let mut shard = handle.shard.lock();
            for task in tasks {
                shard.push(task);
            }
            drop(shard);
            handle.wake();
        }
    }

    /// Takes all waiting tasks of a job out of the queues.
    pub fn remove(&self, key: &JobKey) {
        if let Some(handle) = self.service(&key.service) {
            handle.shard.lock().remove(key);
        }
    }

    /// Uses up one retry of a task, if the budget allows it. Beyond the budget the job has to fail.
    #[must_use]
    pub fn may_retry(&self) -> bool {
        let allowed = self.budget.lock().try_retry(Instant::now());
        if allowed {
            self.metrics.retried();
        }
        allowed
    }

    /// Asks all connected agents for what they know of a partition. The answers go to
    /// [`Owner::gathered`]. Returns the agents asked.
    pub fn gather(&self, partition: Partition, epoch: Epoch) -> Vec<AgentId> {
        let sessions = self.sessions.all();
        let asked = sessions
            .iter()
            .filter(|s| s.send(Frame::Gather(Gather { partition, epoch })));
        asked.map(|s| s.agent.clone()).collect()
    }

    /// Asks one agent for what it knows of a partition. Tasks go to the agent again when it has
    /// answered. Returns false if it is not connected.
    pub fn gather_from(&self, agent: &AgentId, partition: Partition, epoch: Epoch) -> bool {
        let Some(session) = self.sessions.of_agent(agent) else {
            return false;
        };
        session.gather_started(partition);
        session.send(Frame::Gather(Gather { partition, epoch }))
    }

    /// Counts an attempt that a new owner found at an agent as outstanding there.
    pub fn adopt(&self, agent: &AgentId, report: &AttemptReport) {
        if let Some(handle) = self.service(&report.key.service) {
            let mut shard = handle.shard.lock();
            shard.adopt(&agent.worker, report, Instant::now());
        }
    }

    /// Stops attempts at an agent.
    pub fn stop(&self, agent: &AgentId, stop: StopTasks) {
        if let Some(session) = self.sessions.of_agent(agent) {
            session.send(Frame::Stop(stop));
        }
    }

    /// Tells agents that jobs were answered.
    pub fn release(&self, agents: &[AgentId], keys: &[JobKey]) {
        for session in agents.iter().filter_map(|a| self.sessions.of_agent(a)) {
            session.send(Frame::Release(keys.to_vec()));
        }
    }

    /// Lists the connected agents.
    #[must_use]
    pub fn connected(&self) -> Vec<AgentId> {
        let sessions = self.sessions.all();
        sessions.iter().map(|s| s.agent.clone()).collect()
    }

    fn owner(&self) -> Option<Arc<Owner>> {
        self.owner.get()?.upgrade()
    }

    fn service(&self, service: &Name) -> Option<Arc<ServiceHandle>> {
        self.services.read().get(service).cloned()
    }

    fn service_or_new(&self, service: &Name) -> Arc<ServiceHandle> {
        if let Some(handle) = self.service(service) {
            return handle;
        }
        let mut services = self.services.write();
        let new = || self.start_service(service);
        services.entry(service.clone()).or_insert_with(new).clone()
    }

    fn start_service(&self, service: &Name) -> Arc<ServiceHandle> {
        let now = Instant::now();
        let settings = ShardSettings {
            queue: QueuePolicy::default(),
            rule: PlacementRule::default(),
            zone: self.identity.zone.clone(),
            seed: self.identity.incarnation,
        };
        let shard = Shard::new(service.clone(), &settings, self.usage.clone(), now);
        ServiceHandle::start(self.this.clone(), service.clone(), shard, now)
    }
}
