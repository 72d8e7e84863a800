//! Job requests that an entry receives.

use masticcross_basics::{Code, Name};
use masticcross_wire::Refusal;
use masticcross_wire::pool::Resources;
use smallvec::SmallVec;
use tokio::time::Instant;

/// Maximum number of tasks in a job.
pub const MAX_TASKS: usize = 4_096;

/// Maximum number of steps in a job.
pub const MAX_STEPS: usize = 64;

/// A step of a job: a number of tasks with the same requirements.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepRequest {
    /// Number of tasks.
    pub count: u16,
    /// Resources of each task.
    pub resources: Resources,
    /// Run time of a task as expected by the caller, in milliseconds.
    pub expected_ms: u32,
    /// Earlier steps that must be done before this one starts.
    pub after: SmallVec<[u16; 2]>,
    /// Label that a worker must have, if any.
    pub label: Option<Name>,
    /// Label of the workers that are near the step's data, if any.
    pub data_label: Option<Name>,
    /// Maximum number of tasks of the step on one worker, if limited.
    pub max_per_worker: Option<u16>,
}

/// A job that is answered when it ends and is not stored after that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRequest {
    /// Id chosen by the caller.
    pub id: Name,
    /// Name of the queue.
    pub queue: Name,
    /// Specification of the work, passed to the workers.
    pub spec: Name,
    /// Steps, at least one.
    pub steps: SmallVec<[StepRequest; 1]>,
    /// Time until which the caller waits.
    pub deadline: Instant,
}

impl JobRequest {
    /// Checks the numbers of steps and tasks and the order of the steps.
    ///
    /// # Errors
    /// Returns a refusal that describes the invalid field.
    pub fn check(&self) -> Result<(), Refusal> {
        let tasks: usize = self.steps.iter().map(|step| usize::from(step.count)).sum();
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(invalid(format!("a job has 1 to {MAX_STEPS} steps")));
        }
        if tasks > MAX_TASKS || self.steps.iter().any(|step| step.count == 0) {
            let text = format!("a step has a task at least, a job at most {MAX_TASKS}");
            return Err(invalid(text));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step
                .after
                .iter()
                .any(|earlier| usize::from(*earlier) >= number)
            {
                let text = format!("step {number} waits for a step that is not an earlier one");
                return Err(invalid(text));
            }
        }
        Ok(())
    }

    /// Returns the expected run time of the longest chain of steps, in milliseconds.
    #[must_use]
    pub fn longest_chain_ms(&self) -> u64 {
        let mut ends: SmallVec<[u64; 4]> = SmallVec::new();
        for step in &self.steps {
            let earlier = step.after.iter().filter_map(|s| ends.get(usize::from(*s)));
            let start = earlier.copied().max().unwrap_or(0);
            ends.push(start + u64::from(step.expected_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the CPU that the tasks of the largest step take at the same time, in thousandths of a
    /// core.
    #[must_use]
    pub fn concurrent_cpu(&self) -> u64 {
        let cpu = |s: &StepRequest| s.resources.cpu.saturating_mul(s.count.into());
        self.steps.iter().map(cpu).max().unwrap_or(0)
    }

    /// Returns the CPU time of all tasks, in thousandths of a core times milliseconds.
    #[must_use]
    pub fn work(&self) -> u64 {
        let work = |s: &StepRequest| {
            let task = s.resources.cpu.saturating_mul(s.expected_ms.into());
            task.saturating_mul(s.count.into())
        };
        self.steps.iter().map(work).fold(0, u64::saturating_add)
    }
}

fn invalid(detail: String) -> Refusal {
    Refusal::not_run(Code::InvalidField, detail)
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// The job was refused or abandoned.
    Refused(Refusal),
}
