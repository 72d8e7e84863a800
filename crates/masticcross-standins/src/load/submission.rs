//! One submission of a job.

use std::time::Duration;

use bytes::Bytes;
use masticcross_basics::{Digest, Name};
use serde::Serialize;

/// Mask that keeps values exact in readers of JSON that use doubles.
const VALUE_MASK: u64 = (1 << 53) - 1;

/// One task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSpec {
    /// Run time at a healthy backend server, in milliseconds.
    pub ms: u32,
    /// Value that the result must echo.
    pub value: u64,
}

/// One submission of a job. A resubmission has the same job and tasks and a larger `copy`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// When it is sent, from the begin of the run.
    pub at: Duration,
    /// Job id.
    pub job: String,
    /// 0 for the first submission of the job.
    pub copy: u32,
    /// Service that runs the job.
    pub service: Name,
    /// Team that pays for it.
    pub team: Name,
    /// False if its tasks must run at most once.
    pub repeatable: bool,
    /// Time allowed for the whole job.
    pub deadline: Duration,
    /// Tasks in order.
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
    /// Returns the response time if every task started at once.
    #[must_use]
    pub fn ideal(&self) -> Duration {
        let longest = self.tasks.iter().map(|task| task.ms).max();
        Duration::from_millis(longest.unwrap_or_default().into())
    }

    /// Returns the slot time that the job needs.
    #[must_use]
    pub fn work(&self) -> Duration {
        let ms = self.tasks.iter().map(|task| u64::from(task.ms)).sum();
        Duration::from_millis(ms)
    }

    /// Writes the body of the request.
    #[must_use]
    pub fn body(&self) -> Bytes {
        let tasks = self.tasks.iter().map(|task| TaskBody {
            payload: Payload {
                ms: task.ms,
                value: task.value,
            },
        });
        let body = Body {
            team: &self.team,
            repeatable: self.repeatable,
            deadline_ms: u64::try_from(self.deadline.as_millis()).unwrap_or(u64::MAX),
            tasks: tasks.collect(),
        };
        // A body of numbers and strings always encodes.
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    /// Returns which of `entries` an attempt goes to. Each resubmission and each retry goes to
    /// another one than that before.
    #[must_use]
    pub fn entry(&self, attempt: u32, entries: usize) -> usize {
        let first = Digest::of([self.job.as_bytes()]).0[0];
        let turn = u64::from(self.copy) + u64::from(attempt);
        let position = first.wrapping_add(turn) % (entries.max(1) as u64);
        usize::try_from(position).unwrap_or_default()
    }
}

/// Returns the usual value of a task, different for all tasks of all jobs.
#[must_use]
pub fn task_value(job: &str, index: usize) -> u64 {
    let index = (index as u64).to_le_bytes();
    Digest::of([job.as_bytes(), &index[..]]).0[0] & VALUE_MASK
}
