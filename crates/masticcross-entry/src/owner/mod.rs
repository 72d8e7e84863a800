//! The owner of jobs: decides which task of a job starts, and puts the job's answer together.

use std::sync::Arc;

use masticcross_basics::timeline::Timeline;
use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name};
use masticcross_ledger::Agreement;
use masticcross_wire::{
    Gathered, Handover, Incarnation, JobAnswer, JobRequest, Json, Refusal, TaskEnded,
};
use tokio::time::Instant;

use crate::admission::Admissions;
use crate::dispatch::{Dispatch, Waiting};

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

/// Tables of the jobs of all partitions that this entry owns.
pub struct Owner {
    agreement: Arc<Agreement>,
    admissions: Arc<Admissions>,
    dispatch: Arc<Dispatch>,
    timeline: Timeline,
}

impl Owner {
    /// Creates the tables with no partition open.
    #[must_use]
    pub fn new(
        agreement: Arc<Agreement>,
        admissions: Arc<Admissions>,
        dispatch: Arc<Dispatch>,
        timeline: Timeline,
    ) -> Arc<Self> {
        Arc::new(Self {
            agreement,
            admissions,
            dispatch,
            timeline,
        })
    }

    /// Opens and closes partitions as the agreed state changes, and watches deadlines, until the
    /// process ends.
    pub async fn run(self: Arc<Self>) {
        let _ = (
            &self.agreement,
            &self.admissions,
            &self.dispatch,
            &self.timeline,
        );
        std::future::pending::<()>().await;
    }

    /// Runs a job, or joins the submission that runs it already, and returns its answer when it has
    /// ended. Returns [`JobAnswer::NotOwner`] if this entry does not own the job's partition under
    /// the epoch.
    pub async fn submit(&self, epoch: Epoch, request: JobRequest) -> JobAnswer {
        let _ = (epoch, request);
        JobAnswer::Refused(Refusal::not_run(Code::NoOwner, "no partition is open"))
    }

    /// Returns the state of a job or its answer, after cancelling it if asked to.
    pub async fn query(&self, epoch: Epoch, key: JobKey, cancel: bool) -> JobAnswer {
        let _ = (epoch, key, cancel);
        JobAnswer::NotOwner
    }

    /// Marks a waiting task as placed at an agent, just before it is sent. Returns nothing if the
    /// task must not start any more.
    #[must_use]
    pub fn grant(&self, waiting: &Waiting, agent: &AgentId) -> Option<Grant> {
        let _ = (waiting, agent);
        None
    }

    /// Takes over the end of an attempt.
    pub fn ended(&self, agent: &AgentId, ended: TaskEnded) {
        let _ = (agent, ended);
    }

    /// Takes over what an agent knows of a partition.
    pub fn gathered(&self, agent: &AgentId, gathered: Gathered) {
        let _ = (agent, gathered);
    }

    /// Learns that an agent has connected, or connected again: what was sent to it before and is
    /// not in its next report never arrived.
    pub fn agent_connected(&self, agent: &AgentId) {
        let _ = agent;
    }

    /// Learns that the session with an agent is gone. Its attempts may still run.
    pub fn agent_disconnected(&self, agent: &AgentId) {
        let _ = agent;
    }

    /// Takes over part of a table from the owner that stops.
    pub fn handed_over(&self, from: &Name, handover: Handover) {
        let _ = (from, handover);
    }

    /// Hands all partitions to other members, or waits for their jobs to end. Returns when nothing
    /// is owned any more.
    pub async fn close(&self) {}
}
