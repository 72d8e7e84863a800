//! One job that has not ended, and its tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{AttemptId, Digest, JobKey, Name, TaskIndex};
use masticcross_wire::{JobRequest, JobState, Json, StopTasks};
use tokio::time::Instant;

use super::AgentId;
use super::effect::{Effect, Effects, Waiters};
use crate::dispatch::WaitingTask;

/// Backoff before the second retry of a task that did not start; the first retry follows at once.
/// Each further retry doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Longest backoff before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum number of workers that a task avoids.
const MAX_AVOIDED_WORKERS: usize = 4;

/// Progress of a job that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The admission is not durable yet; no task may start.
    Admitting,
    /// Tasks may start.
    Running,
    /// Rebuilt after a takeover; its payloads are missing until it is submitted again.
    Recovered,
}

/// Log offset after the record that registered an agent; `None` if it was not registered.
pub(super) type Registration = Option<u64>;

/// Connection state of the agent that an attempt was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Connection {
    /// The session on which the attempt was sent is open.
    Connected,
    /// There is no session. The agent may still start the task while the registration that it had
    /// when the session ended is in force.
    Disconnected(Registration),
    /// The agent is connected again and has yet to report whether it has the attempt.
    AwaitingReport,
    /// The registration ended; no start is possible from this time on.
    Deregistered(Instant),
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Not queued: the job is being admitted, or its payload is missing.
    Idle,
    /// In the queue.
    Waiting,
    /// Queued again at this time.
    Backoff(Instant),
    /// Sent to an agent; it may have started.
    Placed(Placement),
    /// May have started at an agent that has not reported yet or cannot report.
    Uncertain,
    /// Ended with a result.
    Done(Json),
}

/// An attempt that was sent to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Placement {
    pub attempt: AttemptId,
    pub agent: AgentId,
    pub connection: Connection,
}

/// One task.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub state: TaskState,
    pub avoid: Vec<Name>,
    pub failures: u8,
    failed_starts: u8,
}

impl Task {
    pub(super) fn new(state: TaskState) -> Self {
        Self {
            state,
            avoid: Vec::new(),
            failures: 0,
            failed_starts: 0,
        }
    }

    /// Returns the current attempt.
    pub(super) fn placement(&self) -> Option<&Placement> {
        match &self.state {
            TaskState::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Makes later placements prefer other workers.
    pub(super) fn avoid(&mut self, worker: &Name) {
        if self.avoid.contains(worker) {
            return;
        }
        if self.avoid.len() >= MAX_AVOIDED_WORKERS {
            self.avoid.remove(0);
        }
        self.avoid.push(worker.clone());
    }

    /// Returns the backoff before the next placement of a task that did not start.
    pub(super) fn next_backoff(&mut self) -> Duration {
        let earlier = u32::from(self.failed_starts);
        self.failed_starts = self.failed_starts.saturating_add(1);
        if earlier == 0 {
            return Duration::ZERO;
        }
        let doubled = INITIAL_BACKOFF.saturating_mul(1 << (earlier - 1).min(16));
        doubled.min(MAX_BACKOFF)
    }
}

/// A job that has not ended.
#[derive(Debug)]
pub(super) struct Job {
    pub key: JobKey,
    pub team: Name,
    pub repeatable: bool,
    pub digest: Digest,
    pub payloads: Vec<Json>,
    pub tasks: Vec<Task>,
    pub stage: Stage,
    pub arrived: Instant,
    pub deadline: Instant,
    pub waiters: Waiters,
    /// Agents that retain results of the job.
    pub result_holders: BTreeSet<AgentId>,
    /// True if an attempt that is no longer current may have started.
    pub may_have_run_before: bool,
    /// True if an agent that may have started a task was lost before the takeover.
    pub lost_before_takeover: bool,
}

impl Job {
    /// Creates a job from its request.
    pub(super) fn new(request: JobRequest, digest: Digest, now: Instant) -> Self {
        let deadline = now + Duration::from_millis(request.deadline_ms.into());
        Self {
            key: request.key,
            team: request.team,
            repeatable: request.repeatable,
            digest,
            tasks: vec![Task::new(TaskState::Idle); request.tasks.len()],
            payloads: request.tasks,
            stage: Stage::Admitting,
            arrived: now,
            deadline,
            waiters: Waiters::new(),
            result_holders: BTreeSet::new(),
            may_have_run_before: false,
            lost_before_takeover: false,
        }
    }

    /// Returns true if a task has started, or may have.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run_before
            || self.tasks.iter().any(|task| {
                matches!(
                    task.state,
                    TaskState::Placed(_) | TaskState::Uncertain | TaskState::Done(_)
                )
            })
    }

    /// Returns the progress of the job.
    pub(super) fn state(&self) -> JobState {
        JobState {
            tasks: task_count(self.tasks.len()),
            ended: task_count(self.tasks.iter().filter(|t| is_done(t)).count()),
            admitted: self.stage != Stage::Admitting,
        }
    }

    /// Returns the results of all tasks, or `None` if one is missing.
    pub(super) fn results(&self) -> Option<Arc<[Json]>> {
        self.tasks
            .iter()
            .map(|task| match &task.state {
                TaskState::Done(result) => Some(result.clone()),
                _ => None,
            })
            .collect()
    }

    /// Marks a task as waiting and returns its queue entry.
    pub(super) fn queue(&mut self, index: TaskIndex) -> WaitingTask {
        let job_tasks = task_count(self.tasks.len());
        let task = &mut self.tasks[usize::from(index)];
        task.state = TaskState::Waiting;
        WaitingTask {
            key: self.key.clone(),
            index,
            team: self.team.clone(),
            deadline: self.deadline,
            arrived: self.arrived,
            job_tasks,
            avoid: task.avoid.clone(),
        }
    }

    /// Marks every task whose state passes the filter as waiting and returns the queue entries.
    pub(super) fn queue_where(&mut self, filter: impl Fn(&TaskState) -> bool) -> Vec<WaitingTask> {
        let chosen = self.indexes(filter);
        chosen.into_iter().map(|index| self.queue(index)).collect()
    }

    /// Lists the tasks whose state passes the filter.
    pub(super) fn indexes(&self, filter: impl Fn(&TaskState) -> bool) -> Vec<TaskIndex> {
        (0..task_count(self.tasks.len()))
            .filter(|index| filter(&self.tasks[usize::from(*index)].state))
            .collect()
    }

    /// Lists the agents that retain results of the job or have attempts of it.
    pub(super) fn all_agents(&self) -> Vec<AgentId> {
        let placed = self.tasks.iter().filter_map(Task::placement);
        let mut agents = self.result_holders.clone();
        agents.extend(placed.map(|p| p.agent.clone()));
        agents.into_iter().collect()
    }

    /// Lists the agents that have attempts of the job.
    pub(super) fn placed_agents(&self) -> impl Iterator<Item = AgentId> {
        let placed = self.tasks.iter().filter_map(Task::placement);
        placed.map(|p| p.agent.clone())
    }

    /// Requests that every placed attempt be stopped.
    pub(super) fn stop_placed(&self, effects: &mut Effects) {
        let mut by_agent: BTreeMap<&AgentId, Vec<AttemptId>> = BTreeMap::new();
        for placement in self.tasks.iter().filter_map(Task::placement) {
            let attempts = by_agent.entry(&placement.agent).or_default();
            attempts.push(placement.attempt);
        }
        for (agent, attempts) in by_agent {
            let stop = StopTasks {
                key: self.key.clone(),
                attempts,
            };
            effects.push(Effect::Stop(agent.clone(), stop));
        }
    }
}

fn is_done(task: &Task) -> bool {
    matches!(task.state, TaskState::Done(_))
}

/// Converts a number of tasks. The limit on tasks per job keeps it in range.
pub(super) fn task_count(tasks: usize) -> u16 {
    u16::try_from(tasks).unwrap_or(u16::MAX)
}
