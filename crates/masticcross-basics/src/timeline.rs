//! The timeline: events of one process in a bounded ring buffer. A hybrid logical clock orders the
//! events of all processes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::job::{AttemptId, JobKey, Partition, TaskIndex};
use crate::name::Name;

/// A timestamp of a hybrid logical clock: microseconds since the Unix epoch, then a counter.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default, Hash,
)]
pub struct Timestamp {
    /// Microseconds since the Unix epoch.
    pub micros: u64,
    /// Counter that orders timestamps with the same microsecond.
    pub count: u32,
}

/// Kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A request arrived from a caller.
    Received,
    /// The request was forwarded to the owner of the job.
    Forwarded,
    /// The admission of the job was durably recorded.
    Admitted,
    /// A task was sent to an agent.
    Placed,
    /// An agent started a task.
    Started,
    /// An agent refused to start a task.
    NotStarted,
    /// A task ended at its backend server.
    Ended,
    /// The complete answer was sent to the caller.
    Answered,
    /// The request was refused or the job failed.
    Refused,
    /// The job was canceled.
    Cancelled,
    /// The entry became the owner of a partition.
    Acquired,
    /// The entry stopped being the owner of a partition.
    Released,
    /// A version of the configuration came into force at this process.
    ConfigApplied,
    /// A process joined.
    Joined,
    /// A process left, or was lost.
    Left,
    /// A backend server registered.
    BackendUp,
    /// A backend server left.
    BackendDown,
    /// The view of the log became stale.
    ViewStale,
    /// The view of the log is fresh again.
    ViewFresh,
}

/// An event of the timeline. Fields that do not apply to its kind are absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event, ordered across all processes.
    pub at: Timestamp,
    /// Process that recorded the event.
    pub process: Name,
    /// Kind of the event.
    pub kind: EventKind,
    /// The job.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub job: Option<JobKey>,
    /// The task.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub task: Option<TaskIndex>,
    /// The attempt.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub attempt: Option<AttemptId>,
    /// The worker.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub worker: Option<Name>,
    /// The availability zone.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub zone: Option<Name>,
    /// The partition.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub partition: Option<Partition>,
    /// Result code, for refusals and failures.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub code: Option<Code>,
    /// Further description for people.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub detail: Option<String>,
}

impl Event {
    /// Creates an event of a kind. [`Timeline::record`] sets its time and process.
    #[must_use]
    pub fn new(kind: EventKind) -> Self {
        Self {
            at: Timestamp::default(),
            process: Name::from(""),
            kind,
            job: None,
            task: None,
            attempt: None,
            worker: None,
            zone: None,
            partition: None,
            code: None,
            detail: None,
        }
    }

    /// Sets the job.
    #[must_use]
    pub fn job(mut self, job: &JobKey) -> Self {
        self.job = Some(job.clone());
        self
    }

    /// Sets the task and its attempt.
    #[must_use]
    pub fn task(mut self, task: TaskIndex, attempt: AttemptId) -> Self {
        self.task = Some(task);
        self.attempt = Some(attempt);
        self
    }

    /// Sets the worker.
    #[must_use]
    pub fn worker(mut self, worker: &Name) -> Self {
        self.worker = Some(worker.clone());
        self
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn zone(mut self, zone: &Name) -> Self {
        self.zone = Some(zone.clone());
        self
    }

    /// Sets the partition.
    #[must_use]
    pub fn partition(mut self, partition: Partition) -> Self {
        self.partition = Some(partition);
        self
    }

    /// Sets the result code.
    #[must_use]
    pub fn code(mut self, code: Code) -> Self {
        self.code = Some(code);
        self
    }

    /// Sets the description for people.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }
}

/// A bounded ring buffer of events and the hybrid logical clock of one process. Clones share both.
#[derive(Debug, Clone)]
pub struct Timeline {
    process: Name,
    capacity: usize,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    last: Timestamp,
    dropped: u64,
    events: VecDeque<Event>,
}

impl Timeline {
    /// Creates an empty timeline for a process. Beyond `capacity` events the oldest one is
    /// dropped.
    #[must_use]
    pub fn new(process: Name, capacity: usize) -> Self {
        Self {
            process,
            capacity,
            inner: Arc::default(),
        }
    }

    /// Records an event with the current time.
    pub fn record(&self, mut event: Event) {
        let wall = wall_clock_micros();
        let mut inner = self.inner.lock();
        event.at = inner.tick(wall);
        event.process = self.process.clone();
        if inner.events.len() >= self.capacity {
            inner.events.pop_front();
            inner.dropped += 1;
        }
        inner.events.push_back(event);
    }

    /// Returns a timestamp to send along with a message.
    #[must_use]
    pub fn timestamp(&self) -> Timestamp {
        self.inner.lock().tick(wall_clock_micros())
    }

    /// Advances the clock to a timestamp received with a message, so that later events of this
    /// process are ordered after it.
    pub fn observe(&self, received: Timestamp) {
        let mut inner = self.inner.lock();
        if received > inner.last {
            inner.last = received;
        }
    }

    /// Returns the events in the buffer, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.inner.lock().events.iter().cloned().collect()
    }

    /// Returns the number of events that were dropped because the buffer was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.inner.lock().dropped
    }
}

impl Inner {
    fn tick(&mut self, wall_micros: u64) -> Timestamp {
        self.last = if wall_micros > self.last.micros {
            Timestamp {
                micros: wall_micros,
                count: 0,
            }
        } else {
            Timestamp {
                micros: self.last.micros,
                count: self.last.count + 1,
            }
        };
        self.last
    }
}

fn wall_clock_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|d| u64::try_from(d.as_micros()).ok())
        .unwrap_or_default()
}
