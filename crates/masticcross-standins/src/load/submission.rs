//! One submission of a job.

use std::time::Duration;

use bytes::Bytes;
use masticcross_basics::{Digest, Name};
use serde::Serialize;

/// Mask that limits values to 53 bits, which JSON parsers that use doubles represent exactly.
const VALUE_MASK: u64 = (1 << 53) - 1;

/// A task of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSpec {
    /// Run time on a healthy backend server, in milliseconds.
    pub run_ms: u32,
    /// Value that the result must contain.
    pub value: u64,
}

/// One submission of a job. A resubmission has the same job and tasks and a larger `copy`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Scheduled time, measured from the start of the run.
    pub at: Duration,
    /// Job id.
    pub job: String,
    /// 0 for the first submission of the job.
    pub copy: u32,
    /// Service that runs the job.
    pub service: Name,
    /// Team on whose behalf the job is submitted.
    pub team: Name,
    /// False if its tasks must run at most once.
    pub repeatable: bool,
    /// Time allowed for the whole job.
    pub deadline: Duration,
    /// Tasks, in the order of their index.
    pub tasks: Vec<TaskSpec>,
}

#[derive(Serialize)]
struct Body<'a> {
    team: &'a str,
    repeatable: bool,
    deadline_ms: u64,
    tasks: Vec<TaskBody>,
}

#[derive(Serialize)]
struct TaskBody {
    payload: Payload,
}

#[derive(Serialize)]
struct Payload {
    ms: u32,
    value: u64,
}

impl Submission {
    /// Returns the response time of the job if all its tasks started immediately.
    #[must_use]
    pub fn ideal(&self) -> Duration {
        let longest = self.tasks.iter().map(|task| task.run_ms).max();
        Duration::from_millis(longest.unwrap_or_default().into())
    }

    /// Returns the total run time of the job's tasks.
    #[must_use]
    pub fn work(&self) -> Duration {
        let ms = self.tasks.iter().map(|task| u64::from(task.run_ms)).sum();
        Duration::from_millis(ms)
    }

    /// Returns the body of the request.
    #[must_use]
    pub fn body(&self) -> Bytes {
        let tasks = self.tasks.iter().map(|task| TaskBody {
            payload: Payload {
                ms: task.run_ms,
                value: task.value,
            },
        });
        let body = Body {
            team: &self.team,
            repeatable: self.repeatable,
            deadline_ms: u64::try_from(self.deadline.as_millis()).unwrap_or(u64::MAX),
            tasks: tasks.collect(),
        };
        // Numbers and strings can always be encoded.
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    /// Returns the index, below `entries`, of the entry for an attempt. Each resubmission and each
    /// retry uses the next entry.
    #[must_use]
    pub fn entry(&self, attempt: u32, entries: usize) -> usize {
        let first = Digest::of([self.job.as_bytes()]).0[0];
        let offset = u64::from(self.copy) + u64::from(attempt);
        let position = first.wrapping_add(offset) % (entries.max(1) as u64);
        usize::try_from(position).unwrap_or_default()
    }
}

/// Returns the default value of a task, which differs between all tasks of all jobs.
#[must_use]
pub fn task_value(job: &str, index: usize) -> u64 {
    let index = (index as u64).to_le_bytes();
    Digest::of([job.as_bytes(), &index[..]]).0[0] & VALUE_MASK
}
