//! Messages about tasks with resources: an agent offers its worker's free resources, and entries
//! send it runs to start.
//!
//! An agent belongs to one worker and connects to some or all entries. It alone decides what fits on its
//! worker; an entry decides which task runs where. Runs belong to the entry's process, not to the
//! session: they continue when a session breaks, and are still running when it is opened again.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use masticcross_basics::Name;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Incarnation;
use crate::crash::{Isolation, WorkerCrash};
use crate::frame::NotStartedReason;

/// An amount of a worker's resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
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

    /// Adds an amount. No value goes above the maximum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Subtracts an amount. No value goes below zero.
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

/// One run of a task. No two runs of an entry's process have the same id, although a job may be
/// submitted again under its id, with the same tasks, while ends of its earlier runs are still reported.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the job's submission, unique in the entry's process.
    pub submission: u64,
    /// Number of the run within the submission, from 1 for each task.
    pub run: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// A request to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The run.
    pub id: RunId,
    /// Resources that the run requires.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Queue of the job.
    pub queue: Name,
    /// Specification of the task.
    pub spec: Name,
    /// What else may run at the worker beside the run.
    pub isolation: Isolation,
    /// Run time expected by the caller, in milliseconds.
    pub expected_ms: u32,
    /// True if the job will be late in any case. Such runs only use resources that no other run
    /// needs.
    pub late: bool,
    /// Priority of the job's queue; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// The task succeeded.
    Done,
    /// The task failed because of itself or of the worker.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run was lost with its worker, or its lease expired.
    Lost,
    /// The run stalled and was stopped.
    Stuck,
    /// The run did not start and never will.
    NotStarted(NotStartedReason),
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The run.
    pub id: RunId,
    /// How it ended.
    pub result: RunResult,
    /// Time from the request to the end of the run at the agent, in milliseconds.
    pub took_ms: u32,
}

/// Properties of a worker, as its agent reports them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Service of the worker.
    pub service: Name,
    /// Availability zone of the worker.
    pub zone: Name,
    /// Labels of the worker.
    pub labels: SmallVec<[Name; 4]>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// True if the worker accepts no new runs.
    pub leaving: bool,
}

/// What a worker has told its agent of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedWorker {
    /// Id of the worker.
    pub id: Name,
    /// When the worker started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Properties of the worker. It is leaving only if it has said so itself.
    pub info: WorkerInfo,
}

/// What an earlier process of an agent has told an entry of its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierReport {
    /// The worker, as the earlier process knew it last.
    pub worker: ReportedWorker,
    /// Time since the entry last heard from that process, in milliseconds.
    pub age_ms: u32,
}

/// Resources that are free at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeResources {
    /// Free resources.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Number of run requests received on the session that are already subtracted.
    #[serde(rename = "orders_seen")]
    pub requests_seen: u64,
}

/// Work of one priority that waits at an entry for an agent's worker and can still be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PriorityDemand {
    /// Priority of the queues; 0 is the highest.
    pub priority: u32,
    /// This worker's part of the CPU that the waiting tasks require, in thousandths of a core.
    pub cpu: u64,
    /// This worker's part of the CPU that the arriving tasks take, in thousandths of a core.
    pub arriving_cpu: u64,
    /// Smallest CPU that a waiting task requires, in thousandths of a core.
    pub task_cpu: u64,
    /// Time from now until which at least one of the tasks is of use if it starts, in milliseconds.
    pub latest_start_ms: u32,
}

/// Work that waits at an entry for an agent's worker, by priority.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RoomDemand {
    /// The most urgent priorities, at most [`Self::MAX_PRIORITIES`], most urgent first.
    pub priorities: SmallVec<[PriorityDemand; 4]>,
}

impl RoomDemand {
    /// Largest number of priorities in a message.
    pub const MAX_PRIORITIES: usize = 4;
}

/// Runs that an agent has for an entry when a session opens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Incarnation of the entry that the runs belong to.
    pub entry: Incarnation,
    /// Runs that have not ended.
    pub running: Vec<RunId>,
    /// Runs that ended recently. The entry may have received their ends already.
    pub ended: Vec<RunEnd>,
    /// True if no other run of the entry is at the worker. An agent that has just started does not
    /// know which runs its predecessor left behind.
    pub complete: bool,
}

/// A queue: the requests that belong to it, and how their jobs are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Host in the callers' requests.
    pub host: Name,
    /// Prefix of the path in the callers' requests.
    pub path_prefix: Name,
    /// Service whose workers run the jobs.
    pub service: Name,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task is abandoned.
    pub max_attempts: u32,
    /// Part of the latency objective: factor on the run time of the job's longest chain of tasks.
    pub stretch: f64,
    /// Part of the latency objective: time added to that, in milliseconds.
    pub latency_target_ms: u32,
}

/// Operator settings, as read up to a position of the operators' stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct OperatorView {
    /// Position in the operators' stream up to which records were applied.
    pub position: u64,
    /// Version of the configuration.
    pub config_version: u64,
    /// Queues of the configuration.
    pub queues: Vec<Queue>,
    /// Services of the configuration.
    pub services: BTreeSet<Name>,
    /// Largest accepted body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Availability zones that are out of service; nothing may start in them.
    pub zones_out: BTreeSet<Name>,
}

impl OperatorView {
    /// Returns the part of the view that agents decide by.
    #[must_use]
    pub fn summary(&self) -> ViewSummary {
        ViewSummary {
            position: self.position,
            config_version: self.config_version,
            zones_out: self.zones_out.clone(),
        }
    }
}

/// The part of an [`OperatorView`] that agents decide by.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ViewSummary {
    /// Position in the operators' stream up to which records were applied; 0 without a view.
    pub position: u64,
    /// Version of the configuration.
    pub config_version: u64,
    /// Availability zones that are out of service; nothing may start in them.
    pub zones_out: BTreeSet<Name>,
}

/// Announcement of a process's operator view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewAnnouncement {
    /// Summary of the view.
    pub summary: ViewSummary,
    /// From an entry: whether the agent is asked to keep a copy of the whole view.
    pub keep_copy: bool,
    /// Time since a read of the operators' records showed that there is no newer view, in
    /// milliseconds; none if that is not known.
    pub age_ms: Option<u32>,
}

/// Answer of an entry to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EchoFields", into = "EchoFields")]
pub struct Echo {
    /// The time of the probe, sent back.
    pub probe: u64,
    /// Position of the entry's operator view; 0 without a view.
    pub view_position: u64,
    /// Age of that view as in a [`ViewAnnouncement`], in milliseconds.
    pub view_age_ms: Option<u32>,
}

/// Encoded form of an [`Echo`], without the names of the fields, as it is sent several times a second.
type EchoFields = (u64, u64, Option<u32>);

impl From<EchoFields> for Echo {
    fn from((probe, view_position, view_age_ms): EchoFields) -> Self {
        Self {
            probe,
            view_position,
            view_age_ms,
        }
    }
}

impl From<Echo> for EchoFields {
    fn from(echo: Echo) -> Self {
        (echo.probe, echo.view_position, echo.view_age_ms)
    }
}

/// A part of an encoded operator view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRange {
    /// Position of the view.
    pub position: u64,
    /// Offset of the first byte.
    pub offset: u64,
}

/// Bytes of an encoded operator view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewPart {
    /// Position of the view.
    pub position: u64,
    /// `XxHash3` of all bytes of the view.
    pub digest: u64,
    /// Number of bytes of the view.
    pub total: u64,
    /// Offset of the first byte of this part.
    pub offset: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// Address at which an entry accepts agents.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryAddr {
    /// Name of the entry.
    pub name: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone, if known.
    pub zone: Option<Name>,
    /// Incarnation of the process that announced the address.
    pub incarnation: Incarnation,
}

impl EntryAddr {
    /// Replaces this address with another one of the same entry, unless that is from an earlier
    /// process of the entry. Returns true if the address or the zone changed.
    pub fn update(&mut self, other: &Self) -> bool {
        if other.incarnation < self.incarnation {
            return false;
        }
        let changed = self.addr != other.addr || (other.zone.is_some() && self.zone != other.zone);
        let zone = other.zone.clone().or_else(|| self.zone.take());
        *self = Self {
            zone,
            ..other.clone()
        };
        changed
    }
}

/// A message between an agent and an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PoolFrame {
    /// From the agent: the time on its own clock, in milliseconds.
    Probe(u64),
    /// From the entry: the answer to a probe.
    Echo(Echo),
    /// From the entry, before an echo: work that waits for free resources. Not sent while none waits.
    Demand(RoomDemand),
    /// From either: summary of the sender's operator settings.
    View(ViewAnnouncement),
    /// From either: a request for a part of the operator settings.
    FetchView(ViewRange),
    /// From either: a part of the operator settings, as requested, or the first part of newer ones.
    ViewPart(ViewPart),
    /// From either: the entries known to the sender.
    Entries(Vec<EntryAddr>),
    /// From the agent: its worker; none if there is no worker at present.
    Worker(Option<WorkerInfo>),
    /// From the agent: what its worker has told it in a heartbeat.
    Report(ReportedWorker),
    /// From the entry, if the agent's process is new: what the one before has told of the worker.
    EarlierReport(EarlierReport),
    /// From the agent: free resources of its worker.
    Free(FreeResources),
    /// From the agent: the runs that it has for the entry.
    Resume(Resume),
    /// From the entry: runs to start.
    Run(Vec<RunRequest>),
    /// From the entry: runs to stop.
    Stop(Vec<RunId>),
    /// From the agent: runs that ended.
    Ended(Vec<RunEnd>),
    /// From either: crashes of workers.
    Crashes(Vec<WorkerCrash>),
}

impl PoolFrame {
    /// Returns the label of the kind for logs and metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Probe(_) => "probe",
            Self::Echo(_) => "echo",
            Self::Demand(_) => "demand",
            Self::View(_) => "operator_view",
            Self::FetchView(_) => "fetch_view",
            Self::ViewPart(_) => "view_part",
            Self::Entries(_) => "entries",
            Self::Worker(_) => "worker",
            Self::Report(_) => "worker_report",
            Self::EarlierReport(_) => "earlier_report",
            Self::Free(_) => "free",
            Self::Resume(_) => "resume",
            Self::Run(_) => "run",
            Self::Stop(_) => "stop_runs",
            Self::Ended(_) => "runs_ended",
            Self::Crashes(_) => "crashes",
        }
    }

    /// Returns the number of parts, for an estimate of the encoded size.
    #[must_use]
    pub(crate) fn part_count(&self) -> usize {
        match self {
            Self::Probe(_)
            | Self::Echo(_)
            | Self::FetchView(_)
            | Self::ViewPart(_)
            | Self::Worker(_)
            | Self::Report(_)
            | Self::EarlierReport(_)
            | Self::Free(_) => 1,
            Self::Demand(demand) => demand.priorities.len(),
            Self::View(view) => view.summary.zones_out.len() + 1,
            Self::Entries(entries) => entries.len(),
            Self::Resume(resume) => resume.running.len() + resume.ended.len(),
            Self::Run(requests) => requests.len(),
            Self::Stop(ids) => ids.len(),
            Self::Ended(ends) => ends.len(),
            Self::Crashes(crashes) => crashes.iter().map(|c| c.runs.len() + 1).sum(),
        }
    }

    /// Returns the total length of task specifications and of parts of views, in bytes.
    #[must_use]
    pub(crate) fn text_bytes(&self) -> usize {
        match self {
            Self::ViewPart(part) => part.bytes.len(),
            Self::Run(requests) => requests.iter().map(|request| request.spec.len()).sum(),
            _ => 0,
        }
    }
}
