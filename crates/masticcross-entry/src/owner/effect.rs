//! Effects that a decision requests; the driver applies them once the shard's lock is released.

use masticcross_basics::JobKey;
use masticcross_basics::timeline::Event;
use masticcross_ledger::EndedRecord;
use masticcross_wire::{AttemptReport, JobAnswer, StopTasks};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::AgentId;
use crate::dispatch::WaitingTask;

/// Submissions and queries that wait for the answer of a job.
pub(super) type Waiters = SmallVec<[oneshot::Sender<JobAnswer>; 1]>;

/// The end of a job, as reported to the log, agents and submissions.
#[derive(Debug)]
pub(super) struct JobEnd {
    /// Record for the log.
    pub record: EndedRecord,
    /// Agents that retain results of the job or have attempts of it.
    pub agents: Vec<AgentId>,
    /// Bytes of the retained answer.
    pub bytes: usize,
    /// Waiters that are answered only once the record is durable.
    pub after_record: Option<(Waiters, JobAnswer)>,
}

/// One effect of a decision.
#[derive(Debug)]
pub(super) enum Effect {
    /// Queue tasks.
    Enqueue(Vec<WaitingTask>),
    /// Remove the tasks of a job from the queue.
    Dequeue(JobKey),
    /// Stop attempts at an agent.
    Stop(AgentId, StopTasks),
    /// Count an attempt as outstanding at an agent.
    Adopt(AgentId, AttemptReport),
    /// Request an agent's report on the partition.
    Gather(AgentId),
    /// Send an answer to waiters.
    Answer(Waiters, JobAnswer),
    /// Count the bytes of a retained answer.
    TrackAnswer(JobKey, usize),
    /// Record the end of a job in the log, then release its results.
    RecordEnd(JobEnd),
    /// Release a late result of a job whose end is recorded.
    Release(AgentId, JobKey),
    /// Record an event in the timeline.
    Event(Box<Event>),
}

/// Effects of a decision, in order.
pub(super) type Effects = SmallVec<[Effect; 4]>;
