//! Agent sessions, queues of waiting tasks, and placement of tasks on workers.
//!
//! - [`serve`](Dispatch::serve_agent): serves the session of one agent.
//! - [`shard`]: queue, workers and admission check of one service, under one lock.
//! - [`queue`]: selects the next task.
//! - [`workers`]: selects the worker for a task, by its [health](masticcross_jobs::health) and its
//!   [run times](masticcross_jobs::run_times).
//!
//! Lock order: session, then the owner's tables, then shard, then team counts. The dispatch loop
//! does not hold a shard lock while it asks the owner whether a task may start.

mod admission_check;
mod arrivals;
pub mod budget;
mod demand;
mod dispatch_loop;
pub mod metrics;
pub mod queue;
mod reservation;
mod serve;
mod session;
pub mod shard;
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
use self::dispatch_loop::ServiceHandle;
use self::metrics::Metrics;
use self::queue::QueuePolicy;
use self::session::Sessions;
use self::shard::{Shard, ShardSettings};
pub use self::usage::TeamUsage;
pub use self::waiting::WaitingTask;
use self::workers::PlacementRule;
use crate::Identity;
use crate::owner::{AgentId, Owner};

/// Result of the admission check.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Queues, credits and agent sessions of one entry.
pub struct Dispatch {
    identity: Identity,
    ledger: Arc<Ledger>,
    timeline: Timeline,
    owner: OnceLock<Weak<Owner>>,
    weak_self: Weak<Dispatch>,
    sessions: Sessions,
    services: RwLock<BTreeMap<Name, Arc<ServiceHandle>>>,
    usage: Arc<TeamUsage>,
    budget: Mutex<RetryBudget>,
    metrics: Metrics,
}

impl Dispatch {
    /// Creates a dispatcher without services or sessions.
    ///
    /// # Panics
    /// Never: the metric names are distinct.
    #[must_use]
    pub fn new(identity: Identity, ledger: Arc<Ledger>, timeline: Timeline) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            identity,
            ledger,
            timeline,
            owner: OnceLock::new(),
            weak_self: weak_self.clone(),
            sessions: Sessions::default(),
            services: RwLock::default(),
            usage: Arc::default(),
            budget: Mutex::default(),
            metrics: Metrics::new().expect("distinct metric names"),
        })
    }

    /// Sets the owner, which decides whether a task may start. Must be called once, before any
    /// session opens.
    pub fn set_owner(&self, owner: Weak<Owner>) {
        let _ = self.owner.set(owner);
    }

    /// Checks whether a job can be admitted now: backend servers, queue limit, deadline and quota.
    /// Reserves queue capacity for its tasks until they are queued, the job is removed or the
    /// reservation expires.
    ///
    /// # Errors
    /// Returns the refusal if the job cannot be admitted. None of its tasks ran.
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

    /// Returns the registry of the dispatch metrics.
    #[must_use]
    pub fn registry(&self) -> &prometheus::Registry {
        self.metrics.registry()
    }

    /// Adds tasks to the queues of their services.
    pub fn enqueue(&self, waiting: Vec<WaitingTask>) {
        let mut by_service: BTreeMap<Name, Vec<WaitingTask>> = BTreeMap::new();
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

    /// Removes all waiting tasks of a job from the queue.
    pub fn remove(&self, key: &JobKey) {
        if let Some(handle) = self.service(&key.service) {
            handle.shard.lock().remove(key);
        }
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted; the job then has
    /// to fail.
    #[must_use]
    pub fn may_retry(&self) -> bool {
        let allowed = self.budget.lock().try_retry(Instant::now());
        if allowed {
            self.metrics.retried();
        }
        allowed
    }

    /// Requests the attempts of a partition from all connected agents, and returns the agents to
    /// which the request was sent. Their answers go to [`Owner::receive_report`].
    pub fn gather(&self, partition: Partition, epoch: Epoch) -> Vec<AgentId> {
        let sessions = self.sessions.all();
        let recipients = sessions
            .iter()
            .filter(|s| s.send(Frame::Gather(Gather { partition, epoch })));
        recipients.map(|s| s.agent.clone()).collect()
    }

    /// Requests the attempts of a partition from one agent. No tasks are sent to the agent until it
    /// has answered. Returns false if it is not connected or the request cannot be sent.
    pub fn gather_from(&self, agent: &AgentId, partition: Partition, epoch: Epoch) -> bool {
        let Some(session) = self.sessions.of_agent(agent) else {
            return false;
        };
        session.gather_started(partition);
        session.send(Frame::Gather(Gather { partition, epoch }))
    }

    /// Records an attempt that a new owner found at an agent as outstanding there.
    pub fn adopt(&self, agent: &AgentId, report: &AttemptReport) {
        if let Some(handle) = self.service(&report.key.service) {
            let mut shard = handle.shard.lock();
            shard.adopt(&agent.worker, report, Instant::now());
        }
    }

    /// Sends an agent a request to stop attempts.
    pub fn stop(&self, agent: &AgentId, stop: StopTasks) {
        if let Some(session) = self.sessions.of_agent(agent) {
            session.send(Frame::Stop(stop));
        }
    }

    /// Notifies agents that jobs were answered, so that they may drop the results.
    pub fn release(&self, agents: &[AgentId], keys: &[JobKey]) {
        for session in agents.iter().filter_map(|a| self.sessions.of_agent(a)) {
            session.send(Frame::Release(keys.to_vec()));
        }
    }

    /// Lists the connected agents.
    #[must_use]
    pub fn connected_agents(&self) -> Vec<AgentId> {
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
        ServiceHandle::start(self.weak_self.clone(), service.clone(), shard, now)
    }
}
