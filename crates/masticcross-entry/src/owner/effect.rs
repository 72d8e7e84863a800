//! What a decision asks the shell to do once the shard's lock is dropped.

use masticcross_basics::JobKey;
use masticcross_basics::timeline::Event;
use masticcross_ledger::EndedRecord;
use masticcross_wire::{AttemptReport, JobAnswer, StopTasks};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::AgentId;
use crate::dispatch::WaitingTask;

/// Submissions that wait for the answer of a job.
pub(super) type Waiters = SmallVec<[oneshot::Sender<JobAnswer>; 1]>;

/// The end of a job, as far as others have to learn of it.
#[derive(Debug)]
pub(super) struct JobEnd {
    /// Record for the log.
    pub record: EndedRecord,
    /// Agents that keep results of the job.
    pub agents: Vec<AgentId>,
    /// Bytes of the kept answer.
    pub bytes: usize,
    /// Submissions that are answered only once the record is durable.
    pub after_record: Option<(Waiters, JobAnswer)>,
}

/// One thing to do.
#[derive(Debug)]
pub(super) enum Effect {
    /// Queue tasks.
    Enqueue(Vec<WaitingTask>),
    /// Take the tasks of a job out of the queue.
    Remove(JobKey),
    /// Stop attempts at an agent.
    Stop(AgentId, StopTasks),
    /// Count an attempt as outstanding at an agent.
    Adopt(AgentId, AttemptReport),
    /// Ask an agent for what it knows of the partition.
    Gather(AgentId),
    /// Answer submissions.
    Answer(Waiters, JobAnswer),
    /// Count a kept answer, with its bytes.
    Keep(JobKey, usize),
    /// Record the end of a job, then release its results.
    Ended(JobEnd),
    /// Release a late result of a job whose end is recorded.
    Release(AgentId, JobKey),
    /// Put an event into the time line.
    Event(Box<Event>),
}

/// All that a decision asks for, in order.
pub(super) type Effects = SmallVec<[Effect; 4]>;
