//! Jobs of an entry and the states of their tasks.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::{Queue, RunId, TaskId};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::job::{JobRequest, StepRequest};

use super::admission::Work;
use super::workers::Stamp;

/// Number of a job at this entry. A job that is submitted again after its end gets another one.
pub type JobNumber = u64;

/// Position of a task: step and index.
pub type TaskPos = (u16, u16);

/// Multiple of the objective up to which a late answer is still of use (from the platform's
/// documentation).
const LATE_FACTOR: u32 = 3;

/// Maximum factor on the run time of a queue's objective.
const MAX_STRETCH: f64 = 1_000.0;

/// Share of the time in which an answer is of use after which a job that has not started is refused.
/// It is less than half, so that the caller has the other half for an alternative.
const REFUSE_AFTER_SHARE: f64 = 0.45;

/// Urgency of a job's tasks relative to those of other jobs, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Other tasks of the job have started, and their work is wasted unless all its tasks run.
    Started,
    /// The job can still be in time. The number is the priority of its queue.
    InTime(u32),
    /// The job cannot be in time any more.
    Late,
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// An earlier step must be done first.
    Blocked,
    /// The task can be placed.
    Waiting,
    /// The task can be placed from the given time on.
    Delayed(Instant),
    /// The task waits for a worker near its data, although it could run elsewhere.
    AwaitingPlace,
    /// The task was sent to the given worker and may run there.
    Running(Name),
    /// The task may run at an unreachable worker until the given time.
    Unreachable(Name, Instant),
    /// The task is done.
    Done,
}

/// A task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Current state.
    pub state: TaskState,
    /// Number of the last run.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Workers on which the task failed.
    pub avoid: SmallVec<[Name; 2]>,
    /// Wait for a worker near the task's data, until the task is sent.
    pub place_wait: Option<PlaceWait>,
}

impl Task {
    /// Returns true if the task's current run is or may be at a worker.
    #[must_use]
    pub fn is_at(&self, worker: &str) -> bool {
        match &self.state {
            TaskState::Running(name) | TaskState::Unreachable(name, _) => &**name == worker,
            _ => false,
        }
    }
}

/// Wait of a task for a worker near its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceWait {
    /// When it began.
    pub since: Instant,
    /// How long it was expected to take when it began.
    pub expected: Duration,
}

/// A job that has not ended.
#[derive(Debug)]
pub struct Job {
    /// Its number, which distinguishes its runs from those of another submission of the same job.
    pub number: JobNumber,
    /// Request of the caller.
    pub request: JobRequest,
    /// Settings of its queue.
    pub queue: Queue,
    /// When it arrived.
    pub arrived: Instant,
    /// Time within which the answer should arrive.
    pub objective: Duration,
    /// True once a run that may have started has ended.
    pub ran: bool,
    /// When the first run was sent.
    pub first_sent: Option<Instant>,
    /// Runs sent.
    pub runs: u32,
    /// Runs that were lost, stalled, stopped or failed.
    pub bad_runs: u32,
    /// Longest time for which a task waited for a worker near its data.
    pub place_wait: Duration,
    /// Values of `runs` and `ran` when the job was ranked last, unless it must be ranked again.
    pub(super) ranked_with: Option<(u32, bool)>,
    /// True if the job waits and could be in time when it was ranked last.
    pub(super) ranked_in_time: bool,
    /// Step whose tasks no worker had room for, and the change of workers after which this was found.
    pub(super) no_room: Option<(u16, Stamp)>,
    /// Tasks of each step.
    tasks: Vec<Vec<Task>>,
    /// Number of tasks that are not done.
    open: usize,
}

impl Job {
    /// Creates a job of which no task is placed.
    #[must_use]
    pub fn new(number: JobNumber, request: JobRequest, queue: Queue, arrived: Instant) -> Self {
        let chain = Duration::from_millis(request.longest_chain_ms());
        let target = Duration::from_millis(queue.latency_target_ms.into());
        let objective = chain.mul_f64(stretch(&queue)) + target;
        let tasks: Vec<Vec<Task>> = request.steps.iter().map(new_tasks).collect();
        let open = tasks.iter().map(Vec::len).sum();
        Self {
            number,
            request,
            queue,
            arrived,
            objective,
            ran: false,
            first_sent: None,
            runs: 0,
            bad_runs: 0,
            place_wait: Duration::ZERO,
            ranked_with: None,
            ranked_in_time: false,
            no_room: None,
            tasks,
            open,
        }
    }

    /// Returns a task.
    #[must_use]
    pub fn task(&self, pos: TaskPos) -> Option<&Task> {
        self.tasks.get(usize::from(pos.0))?.get(usize::from(pos.1))
    }

    /// Returns a mutable reference to a task.
    pub fn task_mut(&mut self, pos: TaskPos) -> Option<&mut Task> {
        self.tasks
            .get_mut(usize::from(pos.0))?
            .get_mut(usize::from(pos.1))
    }

    /// Returns the step of a task.
    #[must_use]
    pub fn step(&self, pos: TaskPos) -> &StepRequest {
        &self.request.steps[usize::from(pos.0)]
    }

    /// Iterates over all tasks with their positions.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskPos, &Task)> {
        let steps = self.tasks.iter().zip(0..);
        steps.flat_map(|(step, s)| step.iter().zip(0..).map(move |(task, i)| ((s, i), task)))
    }

    /// Returns the tasks that can be placed.
    #[must_use]
    pub fn waiting(&self) -> SmallVec<[TaskPos; 16]> {
        let waiting = |(_, task): &(TaskPos, &Task)| task.state == TaskState::Waiting;
        self.tasks().filter(waiting).map(|(pos, _)| pos).collect()
    }

    /// Returns the first task that can be placed.
    #[must_use]
    pub fn first_waiting(&self) -> Option<TaskPos> {
        let mut tasks = self.tasks();
        let first = tasks.find(|(_, task)| task.state == TaskState::Waiting);
        first.map(|(pos, _)| pos)
    }

    /// Returns the number of tasks of a step that are or may be at a worker.
    #[must_use]
    pub fn placed_on(&self, step: u16, worker: &str) -> usize {
        let tasks = self.tasks[usize::from(step)].iter();
        tasks.filter(|task| task.is_at(worker)).count()
    }

    /// Returns the runs that may be at workers.
    #[must_use]
    pub fn placed(&self) -> Vec<(Name, RunId)> {
        let placed = |(pos, task): (TaskPos, &Task)| match &task.state {
            TaskState::Running(worker) | TaskState::Unreachable(worker, _) => {
                Some((worker.clone(), self.run_id(pos, task.run)))
            }
            _ => None,
        };
        self.tasks().filter_map(placed).collect()
    }

    /// Returns true unless it is certain that no run has started.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        let placed = |task: &Task| {
            matches!(
                task.state,
                TaskState::Running(_) | TaskState::Unreachable(..) | TaskState::Done
            )
        };
        self.ran || self.tasks().any(|(_, task)| placed(task))
    }

    /// Returns true if a run was lost, stalled, stopped or failed, or is unreachable.
    #[must_use]
    pub fn has_lost_runs(&self) -> bool {
        let is_unreachable = |task: &Task| matches!(task.state, TaskState::Unreachable(..));
        self.bad_runs > 0 || self.tasks().any(|(_, task)| is_unreachable(task))
    }

    /// Returns the id of a run of a task.
    #[must_use]
    pub fn run_id(&self, pos: TaskPos, run: u32) -> RunId {
        RunId {
            task: TaskId {
                job: self.request.id.clone(),
                step: pos.0,
                index: pos.1,
            },
            submission: self.number,
            run,
        }
    }

    /// Marks a task as done and unblocks the steps that waited for it. Returns true if all tasks are
    /// done.
    pub fn done(&mut self, pos: TaskPos) -> bool {
        if let Some(task) = self.task_mut(pos)
            && task.state != TaskState::Done
        {
            task.state = TaskState::Done;
            self.open -= 1;
            self.unblock();
        }
        self.open == 0
    }

    /// Returns the time until which an answer is in time.
    #[must_use]
    pub fn due(&self) -> Instant {
        self.arrived + self.objective
    }

    /// Returns the latest start of the remaining tasks at which the answer is in time.
    #[must_use]
    pub fn latest_start(&self) -> Option<Instant> {
        self.due().checked_sub(self.expected_remaining_time())
    }

    /// Returns true if the job has not started and cannot be in time any more.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        self.latest_start().is_none_or(|start| start < now) && !self.may_have_run()
    }

    /// Returns the urgency of the job.
    #[must_use]
    pub fn urgency(&self, now: Instant) -> Urgency {
        if self.may_have_run() {
            Urgency::Started
        } else if self.is_late(now) {
            Urgency::Late
        } else {
            Urgency::InTime(self.queue.priority)
        }
    }

    /// Returns the time until which an answer is of use.
    #[must_use]
    pub fn useful_until(&self) -> Instant {
        let late = self.arrived + self.objective * LATE_FACTOR;
        late.min(self.request.deadline)
    }

    /// Returns the expected time to the end of the job if the remaining tasks start now.
    #[must_use]
    pub fn expected_remaining_time(&self) -> Duration {
        let waits = |task: &&Task| task.state != TaskState::Done;
        let steps = self.request.steps.iter().zip(&self.tasks);
        let open = steps.filter(|(_, tasks)| tasks.iter().any(|t| waits(&t)));
        let longest = open.map(|(step, _)| step.expected_ms).max().unwrap_or(0);
        Duration::from_millis(longest.into())
    }

    /// Returns the expected time from the start of a step to the end of the job.
    #[must_use]
    pub fn chain_from(&self, step: u16) -> Duration {
        let steps = &self.request.steps;
        let mut chains: SmallVec<[u64; 4]> = steps.iter().map(|s| s.expected_ms.into()).collect();
        for later in (0..steps.len()).rev() {
            for earlier in &steps[later].after {
                let earlier = usize::from(*earlier);
                let chain = u64::from(steps[earlier].expected_ms) + chains[later];
                chains[earlier] = chains[earlier].max(chain);
            }
        }
        let chain = chains.get(usize::from(step)).copied();
        Duration::from_millis(chain.unwrap_or_default())
    }

    /// Returns the latest start of the remaining tasks at which the answer is of use.
    #[must_use]
    pub fn latest_useful_start(&self) -> Instant {
        let useful = self.useful_until();
        let latest = useful.checked_sub(self.expected_remaining_time());
        latest.unwrap_or(useful)
    }

    /// Returns the CPU time of the tasks that wait.
    #[must_use]
    pub fn waiting_work(&self) -> Work {
        let waits = |(_, task): &(TaskPos, &Task)| task.state == TaskState::Waiting;
        let work = |(pos, _): (TaskPos, &Task)| {
            let step = self.step(pos);
            step.resources.cpu.saturating_mul(step.expected_ms.into())
        };
        let work = self.tasks().filter(waits).map(work);
        work.fold(0, u64::saturating_add)
    }

    /// Returns the CPU of the job's runs, in thousandths of a core.
    #[must_use]
    pub fn running_cpu(&self) -> u64 {
        let runs = |(_, task): &(TaskPos, &Task)| matches!(task.state, TaskState::Running(_));
        let running = self.tasks().filter(runs);
        let cpu = running.map(|(pos, _)| self.step(pos).resources.cpu);
        cpu.fold(0, u64::saturating_add)
    }

    /// Returns the time at which the job is refused if it has not started.
    #[must_use]
    pub fn refuse_at(&self) -> Instant {
        let useful_time = self.useful_until().saturating_duration_since(self.arrived);
        let latest_start = self.latest_useful_start();
        latest_start.min(self.arrived + useful_time.mul_f64(REFUSE_AFTER_SHARE))
    }

    /// Returns a time before which the job is neither refused nor abandoned, ranked again nor a task of
    /// it released, if no run of it starts or ends.
    #[must_use]
    pub(super) fn attention_at(&self) -> Instant {
        let mut longest_ms = None;
        for (pos, task) in self.tasks() {
            match &task.state {
                TaskState::Delayed(_) | TaskState::Unreachable(..) => return self.arrived,
                TaskState::Waiting | TaskState::AwaitingPlace => {
                    longest_ms = longest_ms.max(Some(self.step(pos).expected_ms));
                }
                TaskState::Blocked | TaskState::Running(_) | TaskState::Done => {}
            }
        }
        let mut at = self.request.deadline;
        if !self.may_have_run() {
            at = at.min(self.refuse_at());
        }
        if let Some(longest_ms) = longest_ms {
            let longest = Duration::from_millis(longest_ms.into());
            let latest = self.useful_until().checked_sub(longest);
            at = at.min(latest.unwrap_or(self.arrived));
        }
        if self.ranked_in_time {
            at = at.min(self.latest_start().unwrap_or(self.arrived));
        }
        at
    }

    fn unblock(&mut self) {
        for number in 0..self.tasks.len() {
            let is_blocked = |t: &Task| t.state == TaskState::Blocked;
            if !self.tasks[number].iter().any(is_blocked) {
                continue;
            }
            let after = &self.request.steps[number].after;
            let is_done = |s: &u16| {
                let step = &self.tasks[usize::from(*s)];
                step.iter().all(|t| t.state == TaskState::Done)
            };
            if after.iter().all(is_done) {
                for task in &mut self.tasks[number] {
                    task.state = TaskState::Waiting;
                }
            }
        }
    }
}

/// Returns the factor on the run time of a queue's objective, within limits in which a duration can be
/// multiplied by it.
fn stretch(queue: &Queue) -> f64 {
    if queue.stretch.is_nan() {
        return 1.0;
    }
    queue.stretch.clamp(1.0, MAX_STRETCH)
}

fn new_tasks(step: &StepRequest) -> Vec<Task> {
    let state = if step.after.is_empty() {
        TaskState::Waiting
    } else {
        TaskState::Blocked
    };
    let task = Task {
        state,
        run: 0,
        failures: 0,
        avoid: SmallVec::new(),
        place_wait: None,
    };
    vec![task; usize::from(step.count)]
}
