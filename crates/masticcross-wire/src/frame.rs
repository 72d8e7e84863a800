//! The messages between processes.
//!
//! Agents dial entries, and entries dial each other. Requests go from the entry that dialled;
//! answers come back on the same session. A session whose dialler opened a newer one is closed, and
//! no frame of it is handled after that.

use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name, Partition, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::Incarnation;
use crate::job::{JobAnswer, JobRecord, JobRequest, Json};
use crate::pool::PoolFrame;
use crate::view::{AgentView, ViewVersion};

/// What a process is.
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
    /// What the process is.
    pub role: Role,
    /// Stable name: the entry's, or the worker's of an agent.
    pub name: Name,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// Availability zone of the process.
    pub zone: Name,
    /// Number of the session, larger than that of any earlier one from the same incarnation.
    pub session: u64,
}

/// Last frame before a session closes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Goodbye {
    /// Why the session closes.
    pub code: Code,
    /// A sentence for people.
    pub detail: String,
}

/// A heartbeat request. The sender measures the age of the answer's view from when it sent this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Matches the answer.
    pub nonce: u64,
    /// The view that the sender has.
    pub known: ViewVersion,
    /// Timestamp of the sender's clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// A heartbeat answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The request's number.
    pub nonce: u64,
    /// Age of the entry's view when it sent this, in milliseconds: at that time ago it held all
    /// records of the log. None if the entry has no view that may be used.
    pub age_ms: Option<u32>,
    /// The view, if it differs from the one the sender has.
    pub view: Option<Box<AgentView>>,
    /// Timestamp of the sender's clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// A backend server behind an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendInfo {
    /// Name chosen by the backend server.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Tasks that it runs at once.
    pub slots: u16,
}

/// Permission to send tasks: the entry may send tasks of the service until it has sent `total` on
/// this session. The number never shrinks within a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// Service concerned.
    pub service: Name,
    /// Tasks that the entry may have sent in total on this session.
    pub total: u64,
}

/// How many tasks of a service wait at an entry, so that agents share their credits by need.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Service concerned.
    pub service: Name,
    /// Tasks that wait for a credit.
    pub waiting: u32,
}

/// One task to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Position in the job.
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
    /// The sender's epoch for the partition.
    pub epoch: Epoch,
    /// Time left until the deadline, in milliseconds; a task is not started after that.
    pub left_ms: u32,
    /// The tasks.
    pub tasks: Vec<TaskStart>,
    /// Timestamp of the sender's clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// Tasks of one job to stop. What has not started never starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopTasks {
    /// The job.
    pub key: JobKey,
    /// Attempts to stop.
    pub attempts: Vec<AttemptId>,
}

/// Why an agent did not start a task. It never will start this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotStartedReason {
    /// The agent's view is too old.
    ViewStale,
    /// The sender's epoch is not the current one.
    OldEpoch,
    /// The agent's availability zone is out of service.
    ZoneOut,
    /// No backend server of the service is announced here.
    NoBackend,
    /// The agent has no room for another task.
    NoRoom,
    /// The agent is shutting down.
    ShuttingDown,
    /// The task was stopped before it started.
    Stopped,
    /// The deadline passed before it started.
    DeadlinePassed,
    /// The backend server could not be connected to.
    ConnectFailed,
    /// An earlier attempt of the task waits, runs or is done here, and its end is sent as well; or
    /// the attempt is older than what the agent remembers.
    AlreadyKnown,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The backend server's result.
    Done(Json),
    /// The backend server answered that the task failed, or broke the connection while it ran.
    Failed(String),
    /// The task ran and was stopped.
    Stopped,
    /// The task never started and never will under this attempt.
    NotStarted(NotStartedReason),
    /// The task ended and its result was dropped for lack of room.
    ResultDropped,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnded {
    /// The job.
    pub key: JobKey,
    /// Position in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// Time from start to end at the backend server, in microseconds.
    pub run_us: u64,
    /// Timestamp of the sender's clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// Asks an agent for all attempts of a partition that it knows. From then on the agent refuses
/// starts of older epochs of the partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gather {
    /// Partition concerned.
    pub partition: Partition,
    /// The new owner's epoch.
    pub epoch: Epoch,
}

/// State of an attempt at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// Taken over, not started, and it will start when a slot is free.
    Queued,
    /// Runs at the backend server.
    Running,
    /// Ended.
    Ended(TaskOutcome),
}

/// An attempt that an agent knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The job.
    pub key: JobKey,
    /// Position in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub attempt: AttemptId,
    /// Its state.
    pub state: AttemptState,
}

/// Answer to [`Gather`], perhaps in several frames.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gathered {
    /// Partition concerned.
    pub partition: Partition,
    /// The asking owner's epoch.
    pub epoch: Epoch,
    /// Attempts known.
    pub attempts: Vec<AttemptReport>,
    /// True in the last frame of the answer.
    pub last: bool,
}

/// When a request was sent, counted from the last heartbeat answer that its sender had got on the
/// session. The receiver knows when it sent that answer, so it can tell how old the request is at
/// most, without any clock of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct SentAfter {
    /// Number of the heartbeat answer; 0 for the answer to [`Hello`].
    pub pong: u64,
    /// Time from its arrival until the request was sent, in microseconds.
    pub elapsed_us: u64,
}

/// A job sent to its owner by the entry that holds the caller's connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Number of the request, unique in the sender's incarnation.
    pub id: u64,
    /// Epoch under which the sender believes the receiver to be the owner.
    pub epoch: Epoch,
    /// The job.
    pub request: JobRequest,
    /// When it was sent.
    pub after: SentAfter,
    /// Timestamp of the sender's clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// Asks the owner about a job, or cancels it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Number of the request, unique in the sender's incarnation.
    pub id: u64,
    /// Epoch under which the sender believes the receiver to be the owner.
    pub epoch: Epoch,
    /// The job.
    pub key: JobKey,
    /// True to cancel the job.
    pub cancel: bool,
    /// When it was sent.
    pub after: SentAfter,
}

/// An agent's start, by worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AgentIncarnation {
    /// The worker.
    pub worker: Name,
    /// The agent's start.
    pub incarnation: Incarnation,
}

/// Answer to [`Submit`] or [`Query`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the request.
    pub id: u64,
    /// The answer.
    pub answer: JobAnswer,
    /// Timestamp of the sender's clock.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
}

/// Part of a partition's table, from the owner that stops to the next one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Partition concerned.
    pub partition: Partition,
    /// Epoch of the owner that stops.
    pub epoch: Epoch,
    /// Jobs of the partition.
    pub jobs: Vec<JobRecord>,
    /// True in the last frame for the partition.
    pub last: bool,
}

/// One message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame in both directions.
    Hello(Hello),
    /// Last frame before a close.
    Goodbye(Goodbye),
    /// Heartbeat request, from the dialler.
    Ping(Ping),
    /// Heartbeat answer.
    Pong(Pong),
    /// Backend servers of an agent; replaces the list sent before.
    Backends(Vec<BackendInfo>),
    /// Permission for an entry to send tasks.
    Credit(Credit),
    /// Waiting tasks at an entry.
    Demand(Demand),
    /// Tasks for an agent to start.
    Start(StartTasks),
    /// Tasks for an agent to stop.
    Stop(StopTasks),
    /// End of an attempt, from an agent.
    Ended(TaskEnded),
    /// The jobs were answered; an agent may drop their results first.
    Release(Vec<JobKey>),
    /// Question of a new owner to an agent.
    Gather(Gather),
    /// Answer of an agent to a new owner.
    Gathered(Gathered),
    /// A job for its owner.
    Submit(Submit),
    /// A question or cancellation for the owner of a job.
    Query(Query),
    /// Answer of an owner.
    Reply(Reply),
    /// Part of a table handed over.
    Handover(Handover),
    /// The whole table of the partition and epoch has arrived.
    #[serde(rename = "HandoverTaken")]
    HandoverReceived(Gather),
    /// The sender is shutting down; send it nothing new.
    Drain,
    /// An entry asks another one which of these agents it is in contact with.
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
    /// About tasks with resources.
    Pool(PoolFrame),
}
