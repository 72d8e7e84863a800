//! The messages between processes.
//!
//! Agents connect to entries, and entries connect to each other. Between entries, the one that
//! opened the session sends requests on it and receives the answers on the same session. When a
//! process opens a newer session, its older session is closed and no further frame of it is
//! handled.

use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name, Partition, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::job::{JobAnswer, JobRecord, JobRequest, Json};
use crate::peer::PeerFrame;
use crate::pool::PoolFrame;
use crate::view::{AgentView, ViewVersion};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// An entry.
    Entry,
    /// The agent of a worker.
    Agent,
}

/// First frame in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the protocol.
    pub protocol: u16,
    /// Role of the process.
    pub role: Role,
    /// Stable name: that of the entry, or for an agent that of its worker.
    pub name: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Availability zone of the process.
    pub zone: Name,
    /// Number of the session, larger than those of all earlier sessions of the same incarnation.
    pub session: u64,
}

/// Last frame before a session closes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Goodbye {
    /// Why the session closes.
    pub code: Code,
    /// Description for people.
    pub detail: String,
}

/// A heartbeat request. The sender counts the age of the view in the answer from the time at which
/// it sent this request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Number by which the answer is matched to the request.
    pub nonce: u64,
    /// Version of the view that the sender has.
    pub known: ViewVersion,
    /// Timestamp from the sender's hybrid logical clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// A heartbeat answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// Number of the request.
    pub nonce: u64,
    /// Age of the entry's view at sending, in milliseconds: that long ago the view was complete,
    /// that is, it included every record of the log. None if the entry has no usable view.
    pub age_ms: Option<u32>,
    /// The view, if it differs from the one that the requester has.
    pub view: Option<Box<AgentView>>,
    /// Timestamp from the sender's hybrid logical clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// A backend server behind an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendInfo {
    /// Name chosen by the backend server.
    pub name: Name,
    /// Service that it provides.
    pub service: Name,
    /// Number of tasks that it runs concurrently.
    pub slots: u16,
}

/// Permission to send tasks: the entry may send tasks of the service until it has sent `total` of
/// them on this session. `total` never decreases within a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The service.
    pub service: Name,
    /// Total number of tasks that the entry may send on this session.
    pub total: u64,
}

/// Number of tasks of a service that wait at an entry. Agents distribute their credits according to
/// it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The service.
    pub service: Name,
    /// Number of tasks that wait for a credit.
    pub waiting: u32,
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub attempt: AttemptId,
    /// Payload for the backend server.
    pub payload: Json,
}

/// Tasks of one job to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTasks {
    /// The job.
    pub key: JobKey,
    /// Partition of the job.
    pub partition: Partition,
    /// Epoch in which the sender owns the partition.
    pub epoch: Epoch,
    /// Time left until the deadline, in milliseconds. No task is started after the deadline.
    pub left_ms: u32,
    /// The tasks.
    pub tasks: Vec<TaskStart>,
    /// Timestamp from the sender's hybrid logical clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// Tasks of one job to stop. Those that have not started will never start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopTasks {
    /// The job.
    pub key: JobKey,
    /// Attempts to stop.
    pub attempts: Vec<AttemptId>,
}

/// Why an agent did not start a task. The agent will never start this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The agent's view is too old.
    ViewStale,
    /// The sender's epoch is not the current one.
    OldEpoch,
    /// The agent's availability zone is out of service.
    ZoneOut,
    /// No backend server of the service is registered with the agent.
    NoBackend,
    /// The agent has no capacity for another task.
    NoRoom,
    /// The agent is shutting down.
    ShuttingDown,
    /// The task was stopped before it started.
    Stopped,
    /// The deadline passed before it started.
    DeadlinePassed,
    /// The connection to the backend server could not be established.
    ConnectFailed,
    /// An earlier attempt of the task is queued, running or ended at this agent, which reports the
    /// end of that attempt as well; or the attempt is older than the agent's records.
    AlreadyKnown,
    /// Another run needs the worker for itself, or started there a moment ago.
    Isolated,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The task succeeded with this result of the backend server.
    Done(Json),
    /// The backend server reported a failure, or closed the connection while the task ran.
    Failed(String),
    /// The task was stopped while it ran.
    Stopped,
    /// The task did not start, and will not start under this attempt.
    NotStarted(NotStartedReason),
    /// The task ended, but its result was dropped for lack of memory.
    ResultDropped,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnded {
    /// The job.
    pub key: JobKey,
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// Run time at the backend server, in microseconds.
    pub run_us: u64,
    /// Timestamp from the sender's hybrid logical clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// Request of a new owner for all attempts of a partition that an agent has recorded. From then on
/// the agent refuses to start tasks under older epochs of the partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gather {
    /// The partition.
    pub partition: Partition,
    /// The new owner's epoch.
    pub epoch: Epoch,
}

/// State of an attempt at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// Accepted but not started; it starts as soon as a slot is free.
    Queued,
    /// Running at the backend server.
    Running,
    /// Ended.
    Ended(TaskOutcome),
}

/// An attempt that an agent has recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The job.
    pub key: JobKey,
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub attempt: AttemptId,
    /// State of the attempt.
    pub state: AttemptState,
}

/// Answer to [`Gather`], which may span several frames.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gathered {
    /// The partition.
    pub partition: Partition,
    /// Epoch of the owner that sent the request.
    pub epoch: Epoch,
    /// Recorded attempts.
    pub attempts: Vec<AttemptReport>,
    /// True in the last frame of the answer.
    pub last: bool,
}

/// When a request was sent, relative to the last heartbeat answer that its sender had received on
/// the session. As the receiver knows when it sent that answer, it can compute an upper bound for
/// the age of the request without comparing clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct SentAfter {
    /// Number of the heartbeat answer; 0 for the answer to [`Hello`].
    pub pong: u64,
    /// Time from the arrival of that answer until the request was sent, in microseconds.
    pub elapsed_us: u64,
}

/// A job, sent to its owner by the entry that has the caller's connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Number of the request, unique within the sender's incarnation.
    pub id: u64,
    /// Epoch in which the receiver owns the partition, according to the sender's view.
    pub epoch: Epoch,
    /// The job.
    pub request: JobRequest,
    /// When it was sent.
    pub after: SentAfter,
    /// Timestamp from the sender's hybrid logical clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// Request to the owner for the state of a job, or to cancel it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Number of the request, unique within the sender's incarnation.
    pub id: u64,
    /// Epoch in which the receiver owns the partition, according to the sender's view.
    pub epoch: Epoch,
    /// The job.
    pub key: JobKey,
    /// True to cancel the job.
    pub cancel: bool,
    /// When it was sent.
    pub after: SentAfter,
}

/// One incarnation of an agent, identified by its worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AgentIncarnation {
    /// The worker.
    pub worker: Name,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
}

/// Answer to [`Submit`] or [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the request.
    pub id: u64,
    /// The answer.
    pub answer: JobAnswer,
    /// Timestamp from the sender's hybrid logical clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// Part of a partition's job table, sent by the outgoing owner to the next one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The partition.
    pub partition: Partition,
    /// Epoch of the outgoing owner.
    pub epoch: Epoch,
    /// Jobs of the partition.
    pub jobs: Vec<JobRecord>,
    /// True in the last frame for the partition.
    pub last: bool,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame in both directions.
    Hello(Hello),
    /// Last frame before the session closes.
    Goodbye(Goodbye),
    /// Heartbeat request, from the process that opened the session.
    Ping(Ping),
    /// Heartbeat answer.
    Pong(Pong),
    /// Backend servers of an agent. Replaces the list sent before.
    Backends(Vec<BackendInfo>),
    /// Permission for an entry to send tasks.
    Credit(Credit),
    /// Number of waiting tasks at an entry.
    Demand(Demand),
    /// Tasks for an agent to start.
    Start(StartTasks),
    /// Tasks for an agent to stop.
    Stop(StopTasks),
    /// End of an attempt, from an agent.
    Ended(TaskEnded),
    /// The jobs were answered; an agent short of memory drops their results first.
    Release(Vec<JobKey>),
    /// Request of a new owner to an agent for its attempts.
    Gather(Gather),
    /// Answer of an agent to [`Frame::Gather`].
    Gathered(Gathered),
    /// A job for its owner.
    Submit(Submit),
    /// A status query or cancellation for the owner of a job.
    Query(Query),
    /// Answer of an owner to [`Frame::Submit`] or [`Frame::Query`].
    Reply(Reply),
    /// Part of a partition's job table at a handover.
    Handover(Handover),
    /// Confirms that the complete job table of the partition and epoch was received.
    #[serde(rename = "HandoverTaken")]
    HandoverReceived(Gather),
    /// The sender is shutting down and accepts no new work.
    Drain,
    /// Asks another entry which of these agents it is in contact with.
    #[serde(rename = "WhoHears")]
    AgentContactQuery(Vec<AgentIncarnation>),
    /// Answer to [`Frame::AgentContactQuery`].
    #[serde(rename = "Heard")]
    AgentContactReply {
        /// The agents of the query.
        #[serde(rename = "asked")]
        queried: Vec<AgentIncarnation>,
        /// Those of them that the sender is in contact with.
        #[serde(rename = "heard")]
        in_contact: Vec<AgentIncarnation>,
    },
    /// A message about tasks with resources.
    Pool(PoolFrame),
    /// A message between entries about transferred jobs.
    Peer(PeerFrame),
}
