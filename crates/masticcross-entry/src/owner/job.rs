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

/// Pause before the second placement of a task that did not start; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause before a further placement.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Most workers that a task avoids.
const MAX_AVOIDED: usize = 4;

/// How far a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The admission is not durable yet; nothing may start.
    Admitting,
    /// Tasks may start.
    Running,
    /// Found at a takeover; the payloads have not come back yet.
    Recovered,
}

/// Offset after the record that registered an agent; none if it was not registered.
pub(super) type Registration = Option<u64>;

/// What is known of the contact to the agent that has an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Contact {
    /// The session on which the attempt was sent is open.
    Good,
    /// There is no session. The agent may still start the task while the registration lasts that it
    /// had when the session ended.
    Away(Registration),
    /// The agent is connected again and will say whether it has the attempt.
    Asking,
    /// The registration ended; from the time named on no start is possible.
    Gone(Instant),
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Not queued: the job is being admitted, or its payload is missing.
    Idle,
    /// In the queue.
    Waiting,
    /// To be queued again later.
    Pausing(Instant),
    /// Sent to an agent; it may have started.
    Placed(Placement),
    /// Perhaps started at an agent that has not been asked yet, or cannot be.
    Uncertain,
    /// Ended with a result.
    Done(Json),
}

/// An attempt that was sent to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Placement {
    pub attempt: AttemptId,
    pub agent: AgentId,
    pub contact: Contact,
}

/// One task.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub state: TaskState,
    pub avoid: Vec<Name>,
    pub failures: u8,
    not_started: u8,
}

impl Task {
    pub(super) fn new(state: TaskState) -> Self {
        Self {
            state,
            avoid: Vec::new(),
            failures: 0,
            not_started: 0,
        }
    }

    /// Returns the attempt that counts now.
    pub(super) fn placement(&self) -> Option<&Placement> {
        match &self.state {
            TaskState::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Lets later placements try other workers first.
    pub(super) fn avoid(&mut self, worker: &Name) {
        if self.avoid.contains(worker) {
            return;
        }
        if self.avoid.len() >= MAX_AVOIDED {
            self.avoid.remove(0);
        }
        self.avoid.push(worker.clone());
    }

    /// Returns the pause before the next placement of a task that did not start.
    pub(super) fn next_pause(&mut self) -> Duration {
        let earlier = u32::from(self.not_started);
        self.not_started = self.not_started.saturating_add(1);
        if earlier == 0 {
            return Duration::ZERO;
        }
        let doubled = FIRST_PAUSE.saturating_mul(1 << (earlier - 1).min(16));
        doubled.min(MAX_PAUSE)
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
    /// Agents that keep results of the job.
    pub agents: BTreeSet<AgentId>,
    /// True once an attempt may have started that is not placed any more.
    pub ran: bool,
    /// True if an agent that could have started a task was lost before the takeover.
    pub lost_before: bool,
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
            agents: BTreeSet::new(),
            ran: false,
            lost_before: false,
        }
    }

    /// Returns true if a task has started, or may have.
    pub(super) fn may_have_run(&self) -> bool {
        self.ran
            || self.tasks.iter().any(|task| {
                matches!(
                    task.state,
                    TaskState::Placed(_) | TaskState::Uncertain | TaskState::Done(_)
                )
            })
    }

    /// Returns how far the job has come.
    pub(super) fn state(&self) -> JobState {
        JobState {
            tasks: count(self.tasks.len()),
            ended: count(self.tasks.iter().filter(|t| is_done(t)).count()),
            admitted: self.stage != Stage::Admitting,
        }
    }

    /// Returns the whole answer if every task has a result.
    pub(super) fn results(&self) -> Option<Arc<[Json]>> {
        self.tasks
            .iter()
            .map(|task| match &task.state {
                TaskState::Done(result) => Some(result.clone()),
                _ => None,
            })
            .collect()
    }

    /// Marks a task as queued and describes it for the queue.
    pub(super) fn queue(&mut self, index: TaskIndex) -> WaitingTask {
        let job_tasks = count(self.tasks.len());
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

    /// Queues every task for which the filter holds.
    pub(super) fn queue_where(&mut self, filter: impl Fn(&TaskState) -> bool) -> Vec<WaitingTask> {
        let chosen = self.indexes(filter);
        chosen.into_iter().map(|index| self.queue(index)).collect()
    }

    /// Lists the tasks whose state passes a filter.
    pub(super) fn indexes(&self, filter: impl Fn(&TaskState) -> bool) -> Vec<TaskIndex> {
        (0..count(self.tasks.len()))
            .filter(|index| filter(&self.tasks[usize::from(*index)].state))
            .collect()
    }

    /// Lists the agents that keep results of the job or still have attempts of it.
    pub(super) fn all_agents(&self) -> Vec<AgentId> {
        let placed = self.tasks.iter().filter_map(Task::placement);
        let mut agents = self.agents.clone();
        agents.extend(placed.map(|p| p.agent.clone()));
        agents.into_iter().collect()
    }

    /// Lists the agents that have attempts of the job and no session.
    pub(super) fn agents_out_of_contact(&self) -> impl Iterator<Item = AgentId> {
        let placed = self.tasks.iter().filter_map(Task::placement);
        let lost = placed.filter(|p| p.contact != Contact::Good);
        lost.map(|p| p.agent.clone())
    }

    /// Asks to stop every attempt that is placed.
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

/// Converts a number of tasks, which the limit on tasks keeps small.
pub(super) fn count(tasks: usize) -> u16 {
    u16::try_from(tasks).unwrap_or(u16::MAX)
}
