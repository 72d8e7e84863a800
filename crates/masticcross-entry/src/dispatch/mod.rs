//! Sessions of agents, the queues of waiting tasks, and placement.

use std::sync::{Arc, OnceLock, Weak};

use masticcross_basics::timeline::Timeline;
use masticcross_basics::{Epoch, JobKey, Name, Partition, TaskIndex};
use masticcross_ledger::Agreement;
use masticcross_wire::{AttemptReport, Hello, JobRequest, Link, Refusal, StopTasks};
use tokio::time::Instant;

use crate::Identity;
use crate::owner::{AgentId, Owner};

/// A task that waits for a credit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The job.
    pub key: JobKey,
    /// Position in the job.
    pub index: TaskIndex,
    /// Team that pays.
    pub team: Name,
    /// When the job's deadline passes.
    pub deadline: Instant,
    /// When the job arrived.
    pub arrived: Instant,
    /// Tasks of the job in all.
    pub job_tasks: u16,
    /// Workers that failed this task or did not start it, not to be tried first.
    pub avoid: Vec<Name>,
}

/// Result of the check before an admission.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Queues, credits and agents' sessions of one entry.
pub struct Dispatch {
    identity: Identity,
    agreement: Arc<Agreement>,
    timeline: Timeline,
    owner: OnceLock<Weak<Owner>>,
}

impl Dispatch {
    /// Creates empty queues.
    #[must_use]
    pub fn new(identity: Identity, agreement: Arc<Agreement>, timeline: Timeline) -> Arc<Self> {
        Arc::new(Self {
            identity,
            agreement,
            timeline,
            owner: OnceLock::new(),
        })
    }

    /// Names the tables that decide about starts. Called once, before any session.
    pub fn bind(&self, owner: Weak<Owner>) {
        let _ = self.owner.set(owner);
    }

    /// Serves the session of an agent whose hello has been read, until it ends.
    pub async fn serve_agent(self: Arc<Self>, hello: Hello, link: Link) {
        let _ = (&self.identity, &self.agreement, &self.timeline, hello, link);
    }

    /// Checks whether a job would be taken now: rate, deadline, quota, queue.
    ///
    /// # Errors
    /// Returns the refusal; nothing of the job ran.
    pub fn check(&self, request: &JobRequest) -> Result<()> {
        let _ = request;
        Ok(())
    }

    /// Queues tasks.
    pub fn enqueue(&self, waiting: Vec<Waiting>) {
        let _ = waiting;
    }

    /// Takes all waiting tasks of a job out of the queues.
    pub fn remove(&self, key: &JobKey) {
        let _ = key;
    }

    /// Asks all connected agents for what they know of a partition. The answers go to
    /// [`Owner::gathered`]. Returns the agents asked.
    pub fn gather(&self, partition: Partition, epoch: Epoch) -> Vec<AgentId> {
        let _ = (partition, epoch);
        Vec::new()
    }

    /// Asks one agent for what it knows of a partition. Returns false if it is not connected.
    pub fn gather_from(&self, agent: &AgentId, partition: Partition, epoch: Epoch) -> bool {
        let _ = (agent, partition, epoch);
        false
    }

    /// Counts an attempt that a new owner found at an agent as outstanding there.
    pub fn adopt(&self, agent: &AgentId, report: &AttemptReport) {
        let _ = (agent, report);
    }

    /// Stops attempts at an agent.
    pub fn stop(&self, agent: &AgentId, stop: StopTasks) {
        let _ = (agent, stop);
    }

    /// Tells agents that jobs were answered.
    pub fn release(&self, agents: &[AgentId], keys: &[JobKey]) {
        let _ = (agents, keys);
    }

    /// Lists the connected agents.
    #[must_use]
    pub fn connected(&self) -> Vec<AgentId> {
        Vec::new()
    }
}
