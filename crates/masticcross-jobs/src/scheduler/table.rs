//! Jobs of an entry and the state of their tasks.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::{Queue, RunId, TaskId};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::job::{JobRequest, StepRequest};

/// Number of a job at this entry.
pub type JobNumber = u64;

/// Position of a task: step and index.
pub type TaskPos = (u16, u16);

/// Times the objective up to which a job is late rather than lost (the platform's pages).
const LATE_FACTOR: u32 = 3;

/// Part of the time in which an answer is of use after which a job that has not begun is refused, so
/// that its caller has the other half for something else.
const REFUSE_AFTER_SHARE: f64 = 0.45;

/// How much a job's tasks matter against those of others, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Other tasks of the job have begun, which is of no use without the rest.
    Started,
    /// The job can be in time; the number is its queue's priority.
    InTime(u32),
    /// The job will be late whatever happens.
    Late,
}

/// Where a task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// A step that it waits for is not done.
    Blocked,
    /// It may be placed.
    Waiting,
    /// It may be placed from a time on.
    Delayed(Instant),
    /// It was sent to a worker and may run there.
    Running(Name),
    /// It may run at a worker that cannot be reached, until a time.
    Unreachable(Name, Instant),
    /// It is done.
    Done,
}

/// A task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Where it is.
    pub state: TaskState,
    /// Number of the last run.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Workers on which it failed.
    pub avoid: SmallVec<[Name; 2]>,
}

/// A job that has not ended.
#[derive(Debug)]
pub struct Job {
    /// What the caller asked for.
    pub request: JobRequest,
    /// How its queue is served.
    pub queue: Queue,
    /// When it arrived.
    pub arrived: Instant,
    /// Time within which the caller wants the answer.
    pub objective: Duration,
    /// True once a run has ended that may have started.
    pub ran: bool,
    /// When the first run was sent.
    pub first_sent: Option<Instant>,
    /// Runs sent.
    pub runs: u32,
    /// Runs that were lost, stuck or failed.
    pub bad_runs: u32,
    tasks: Vec<Vec<Task>>,
    open: usize,
}

impl Job {
    /// Creates a job with nothing placed.
    #[must_use]
    pub fn new(request: JobRequest, queue: Queue, arrived: Instant) -> Self {
        let chain = Duration::from_millis(request.longest_chain_ms());
        let target = Duration::from_millis(queue.latency_target_ms.into());
        let objective = chain.mul_f64(queue.stretch.max(1.0)) + target;
        let tasks: Vec<Vec<Task>> = request.steps.iter().map(new_tasks).collect();
        let open = tasks.iter().map(Vec::len).sum();
        Self {
            request,
            queue,
            arrived,
            objective,
            ran: false,
            first_sent: None,
            runs: 0,
            bad_runs: 0,
            tasks,
            open,
        }
    }

    /// Returns a task.
    #[must_use]
    pub fn task(&self, pos: TaskPos) -> Option<&Task> {
        self.tasks.get(usize::from(pos.0))?.get(usize::from(pos.1))
    }

    /// Returns a task to be changed.
    pub fn task_mut(&mut self, pos: TaskPos) -> Option<&mut Task> {
        self.tasks
            .get_mut(usize::from(pos.0))?
            .get_mut(usize::from(pos.1))
    }

    /// Returns a step.
    #[must_use]
    pub fn step(&self, pos: TaskPos) -> &StepRequest {
        &self.request.steps[usize::from(pos.0)]
    }

    /// Lists all tasks with their positions.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskPos, &Task)> {
        let steps = self.tasks.iter().zip(0..);
        steps.flat_map(|(step, s)| step.iter().zip(0..).map(move |(task, i)| ((s, i), task)))
    }

    /// Lists the tasks that may be placed.
    #[must_use]
    pub fn waiting(&self) -> SmallVec<[TaskPos; 16]> {
        let waiting = |(_, task): &(TaskPos, &Task)| task.state == TaskState::Waiting;
        self.tasks().filter(waiting).map(|(pos, _)| pos).collect()
    }

    /// Counts the tasks of a step that are at a worker or may be.
    #[must_use]
    pub fn placed_on(&self, step: u16, worker: &str) -> usize {
        let on = |task: &&Task| match &task.state {
            TaskState::Running(name) | TaskState::Unreachable(name, _) => &**name == worker,
            _ => false,
        };
        self.tasks[usize::from(step)].iter().filter(on).count()
    }

    /// Lists the runs that may be at workers.
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

    /// Returns true if a run was lost, stuck or failed, or cannot be reached.
    #[must_use]
    pub fn has_lost_runs(&self) -> bool {
        let is_unreachable = |task: &Task| matches!(task.state, TaskState::Unreachable(..));
        self.bad_runs > 0 || self.tasks().any(|(_, task)| is_unreachable(task))
    }

    /// Names a run of a task.
    #[must_use]
    pub fn run_id(&self, pos: TaskPos, run: u32) -> RunId {
        RunId {
            task: TaskId {
                job: self.request.id.clone(),
                step: pos.0,
                index: pos.1,
            },
            run,
        }
    }

    /// Marks a task as done and opens the steps that waited for it. Returns true if all are done.
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

    /// Returns when the answer is due to be in time.
    #[must_use]
    pub fn due(&self) -> Instant {
        self.arrived + self.objective
    }

    /// Returns the latest start of the tasks that wait at which the answer is in time.
    #[must_use]
    pub fn latest_start(&self) -> Option<Instant> {
        self.due().checked_sub(self.expected_rest())
    }

    /// Returns true if the job has not begun and cannot be in time any more.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        self.latest_start().is_none_or(|start| start < now) && !self.may_have_run()
    }

    /// Returns how much the job's tasks matter against others.
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

    /// Returns until when an answer is of any use.
    #[must_use]
    pub fn useful_until(&self) -> Instant {
        let late = self.arrived + self.objective * LATE_FACTOR;
        late.min(self.request.deadline)
    }

    /// Returns the expected time from now to the end if the tasks that wait start now.
    #[must_use]
    pub fn expected_rest(&self) -> Duration {
        let waits = |task: &&Task| task.state != TaskState::Done;
        let steps = self.request.steps.iter().zip(&self.tasks);
        let open = steps.filter(|(_, tasks)| tasks.iter().any(|t| waits(&t)));
        let longest = open.map(|(step, _)| step.expected_ms).max().unwrap_or(0);
        Duration::from_millis(longest.into())
    }

    /// Returns when the job is given up if it has not begun.
    #[must_use]
    pub fn refuse_at(&self) -> Instant {
        let useful = self.useful_until();
        let useful_time = useful.saturating_duration_since(self.arrived);
        let latest_start = useful.checked_sub(self.expected_rest()).unwrap_or(useful);
        latest_start.min(self.arrived + useful_time.mul_f64(REFUSE_AFTER_SHARE))
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
    };
    vec![task; usize::from(step.count)]
}
