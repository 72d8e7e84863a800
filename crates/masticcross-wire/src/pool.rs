//! Messages about tasks with resources: an agent offers its worker's room, entries send runs.
//!
//! An agent belongs to one worker and dials every entry. It decides alone what fits on its worker;
//! an entry decides which task runs where. Runs belong to the entry's process, not to the session:
//! a session that breaks and is opened again finds them running.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use masticcross_basics::Name;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Incarnation;
use crate::frame::NotStartedReason;

/// An amount of a worker's resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Returns true if the other amount fits into this one.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        other.cpu <= self.cpu && other.memory_mb <= self.memory_mb && other.gpus <= self.gpus
    }

    /// Adds an amount.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Takes an amount away; nothing goes below zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Id of the job.
    pub job: Name,
    /// Number of the step in the job, from 0.
    pub step: u16,
    /// Position in the step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}

/// One run of a task. Runs of a task are numbered from 1 by the entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// A run to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The run.
    pub id: RunId,
    /// Resources that the task takes.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// What the task is to do.
    pub spec: Name,
    /// Run time that the caller expects, in milliseconds.
    pub expected_ms: u32,
    /// True if the job will be late whatever happens. Such runs only use room that nobody else wants.
    pub late: bool,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// The task is done.
    Done,
    /// The task failed, by its own fault or the worker's.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run ended with its worker, or its lease lapsed.
    Lost,
    /// The run made hardly any progress and was stopped.
    Stuck,
    /// The run never started and never will.
    NotStarted(NotStartedReason),
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The run.
    pub id: RunId,
    /// How it ended.
    pub result: RunResult,
    /// Time from the order to the end at the agent, in milliseconds.
    pub took_ms: u32,
}

/// What an agent tells of its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Service that the worker serves.
    pub service: Name,
    /// Availability zone of the worker.
    pub zone: Name,
    /// Labels of the worker.
    pub labels: SmallVec<[Name; 4]>,
    /// All of its resources.
    pub capacity: Resources,
    /// True if it takes no new runs.
    pub leaving: bool,
}

/// Resources that are free at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeResources {
    /// Free resources.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Runs of the session that were taken into account.
    #[serde(rename = "orders_seen")]
    pub requests_seen: u64,
}

/// What an agent holds for an entry when a session opens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The start of the entry that the runs belong to.
    pub entry: Incarnation,
    /// Runs that have not ended.
    pub running: Vec<RunId>,
    /// Runs that ended lately; the entry may know of them.
    pub ended: Vec<RunEnd>,
    /// True if nothing else of the entry runs at the worker. An agent that has just started does not
    /// know what an earlier one left.
    pub complete: bool,
}

/// A queue: a prefix of callers' requests and how their jobs are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Host that callers ask for.
    pub host: Name,
    /// Beginning of the path that callers ask for.
    pub path_prefix: Name,
    /// Service whose workers run the jobs.
    pub service: Name,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
    /// Factor on the run time of a job's longest chain of tasks that callers put up with.
    pub stretch: f64,
    /// Time that callers put up with beyond that, in milliseconds.
    pub latency_target_ms: u32,
}

/// What operators have ordered, as read at a position of their stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct OperatorView {
    /// Position in the operators' stream up to which this holds.
    pub position: u64,
    /// Version of the configuration.
    pub config_version: u64,
    /// Queues of the configuration.
    pub queues: Vec<Queue>,
    /// Services of the configuration.
    pub services: BTreeSet<Name>,
    /// Largest accepted body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Availability zones in which nothing may start.
    pub zones_out: BTreeSet<Name>,
}

/// Where an entry listens for agents.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryAddr {
    /// Name of the entry.
    pub name: Name,
    /// Its address.
    pub addr: SocketAddr,
}

/// A message between an agent and an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PoolFrame {
    /// Agent: the time on its own clock, in milliseconds.
    Probe(u64),
    /// Entry: the time of a probe, sent back.
    Echo(u64),
    /// Either: operators' orders, if they may be news.
    View(Box<OperatorView>),
    /// Either: entries known to the sender.
    Entries(Vec<EntryAddr>),
    /// Agent: its worker, or none.
    Worker(Option<WorkerInfo>),
    /// Agent: free resources.
    Free(FreeResources),
    /// Agent: what it holds for the entry.
    Resume(Resume),
    /// Entry: runs to start.
    Run(Vec<RunRequest>),
    /// Entry: runs to stop.
    Stop(Vec<RunId>),
    /// Agent: runs that ended.
    Ended(Vec<RunEnd>),
}

impl PoolFrame {
    /// Names the kind for logs and metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Probe(_) => "probe",
            Self::Echo(_) => "echo",
            Self::View(_) => "operator_view",
            Self::Entries(_) => "entries",
            Self::Worker(_) => "worker",
            Self::Free(_) => "free",
            Self::Resume(_) => "resume",
            Self::Run(_) => "run",
            Self::Stop(_) => "stop_runs",
            Self::Ended(_) => "runs_ended",
        }
    }

    /// Counts the parts, for an estimate of the size.
    #[must_use]
    pub(crate) fn parts(&self) -> usize {
        match self {
            Self::Probe(_) | Self::Echo(_) | Self::Worker(_) | Self::Free(_) => 1,
            Self::View(view) => view.queues.len() * 2 + view.services.len() + 1,
            Self::Entries(entries) => entries.len(),
            Self::Resume(resume) => resume.running.len() + resume.ended.len(),
            Self::Run(orders) => orders.len(),
            Self::Stop(ids) => ids.len(),
            Self::Ended(ends) => ends.len(),
        }
    }

    /// Returns the length of the texts in the message, in bytes.
    #[must_use]
    pub(crate) fn text_bytes(&self) -> usize {
        match self {
            Self::Run(orders) => orders.iter().map(|order| order.spec.len()).sum(),
            _ => 0,
        }
    }
}
