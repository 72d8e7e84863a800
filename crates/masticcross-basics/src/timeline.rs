//! The time line: events of one process in a bounded ring, ordered over processes by a hybrid
//! logical clock.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::job::{AttemptId, JobKey, Partition, TaskIndex};
use crate::name::Name;

/// A hybrid logical time timestamp: microseconds since the Unix epoch, then a counter.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default, Hash,
)]
pub struct Timestamp {
    /// Microseconds since the Unix epoch.
    pub micros: u64,
    /// Orders events with the same microsecond.
    pub count: u32,
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A request arrived from a caller.
    Received,
    /// The request went on to the owner of the job.
    Forwarded,
    /// The job's admission is durable.
    Admitted,
    /// A task was sent to an agent.
    Placed,
    /// An agent started a task.
    Started,
    /// An agent refused to start a task.
    NotStarted,
    /// A task ended at its backend server.
    Ended,
    /// The whole answer went to the caller.
    Answered,
    /// The request was refused or the job failed.
    Refused,
    /// The job was cancelled.
    Cancelled,
    /// The entry became the owner of a partition.
    Acquired,
    /// The entry stopped being the owner of a partition.
    Released,
    /// A configuration version came into force at this process.
    ConfigApplied,
    /// A process joined.
    Joined,
    /// A process left or was lost.
    Left,
    /// A backend server announced itself.
    BackendUp,
    /// A backend server left.
    BackendDown,
    /// The view of the log grew old.
    ViewStale,
    /// The view of the log is fresh again.
    ViewFresh,
}

/// One event of the time line. Absent fields do not apply to the kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened, ordered over all processes.
    pub at: Timestamp,
    /// Process that recorded the event.
    pub process: Name,
    /// What happened.
    pub kind: EventKind,
    /// Job concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub job: Option<JobKey>,
    /// Task concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub task: Option<TaskIndex>,
    /// Attempt concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub attempt: Option<AttemptId>,
    /// Worker concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub worker: Option<Name>,
    /// Availability zone concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub zone: Option<Name>,
    /// Partition concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub partition: Option<Partition>,
    /// Result code, for refusals and failures.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub code: Option<Code>,
    /// Further text, for people.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub detail: Option<String>,
}

impl Event {
    /// Creates an event of a kind. The ring fills in time and process.
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

    /// Names the job.
    #[must_use]
    pub fn job(mut self, job: &JobKey) -> Self {
        self.job = Some(job.clone());
        self
    }

    /// Names the task and its attempt.
    #[must_use]
    pub fn task(mut self, task: TaskIndex, attempt: AttemptId) -> Self {
        self.task = Some(task);
        self.attempt = Some(attempt);
        self
    }

    /// Names the worker.
    #[must_use]
    pub fn worker(mut self, worker: &Name) -> Self {
        self.worker = Some(worker.clone());
        self
    }

    /// Names the availability zone.
    #[must_use]
    pub fn zone(mut self, zone: &Name) -> Self {
        self.zone = Some(zone.clone());
        self
    }

    /// Names the partition.
    #[must_use]
    pub fn partition(mut self, partition: Partition) -> Self {
        self.partition = Some(partition);
        self
    }

    /// Adds a result code.
    #[must_use]
    pub fn code(mut self, code: Code) -> Self {
        self.code = Some(code);
        self
    }

    /// Adds text for people.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }
}

/// A bounded ring of events with the hybrid logical clock of one process. Clones share the ring.
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
    /// Creates an empty ring for a process. Beyond `capacity` events the oldest is dropped.
    #[must_use]
    pub fn new(process: Name, capacity: usize) -> Self {
        Self {
            process,
            capacity,
            inner: Arc::default(),
        }
    }

    /// Records an event now.
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

    /// Takes over a timestamp received with a message, so that later events here come after it.
    pub fn observe(&self, received: Timestamp) {
        let mut inner = self.inner.lock();
        if received > inner.last {
            inner.last = received;
        }
    }

    /// Copies the events that are still kept, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.inner.lock().events.iter().cloned().collect()
    }

    /// Returns the number of events dropped for lack of room.
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
