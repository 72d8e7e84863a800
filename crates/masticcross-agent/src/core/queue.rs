//! FIFO queues of tasks that wait for a slot of a backend server.

use std::collections::{BTreeMap, VecDeque};

use masticcross_basics::{AttemptId, Epoch, JobKey, Name, Partition, TaskIndex};
use masticcross_wire::Json;
use tokio::time::Instant;

use super::view::StartConditions;

/// A task that waits for a slot.
#[derive(Debug, Clone)]
pub struct QueuedTask {
    /// The job.
    pub key: JobKey,
    /// Partition of the job.
    pub partition: Partition,
    /// Epoch under which the task was sent.
    pub epoch: Epoch,
    /// Position in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub id: AttemptId,
    /// Payload for the backend server.
    pub payload: Json,
    /// Time from which the task must not start.
    pub deadline: Instant,
    /// Registration of the agent when the task arrived; the task does not start under a later one.
    pub registered_at: u64,
}

impl QueuedTask {
    /// Returns the conditions under which the task was sent here.
    #[must_use]
    pub fn start_conditions(&self) -> StartConditions {
        StartConditions {
            partition: self.partition,
            epoch: self.epoch,
            registered_at: self.registered_at,
        }
    }
}

/// One queue per service.
#[derive(Debug, Default)]
pub struct Queue {
    by_service: BTreeMap<Name, VecDeque<QueuedTask>>,
}

impl Queue {
    /// Adds a task at the end.
    pub fn push(&mut self, task: QueuedTask) {
        let service = task.key.service.clone();
        self.by_service.entry(service).or_default().push_back(task);
    }

    /// Removes and returns the first task of a service.
    pub fn pop(&mut self, service: &Name) -> Option<QueuedTask> {
        self.by_service.get_mut(service)?.pop_front()
    }

    /// Returns the number of queued tasks of a service.
    #[must_use]
    pub fn len(&self, service: &Name) -> usize {
        self.by_service.get(service).map_or(0, VecDeque::len)
    }

    /// Returns the number of queued tasks of all services.
    #[must_use]
    pub fn total(&self) -> usize {
        self.by_service.values().map(VecDeque::len).sum()
    }

    /// Lists all services for which a task was ever queued.
    #[must_use]
    pub fn services(&self) -> Vec<Name> {
        self.by_service.keys().cloned().collect()
    }

    /// Removes and returns the tasks that match a condition.
    pub fn remove_where(
        &mut self,
        mut condition: impl FnMut(&QueuedTask) -> bool,
    ) -> Vec<QueuedTask> {
        let mut removed = Vec::new();
        for queue in self.by_service.values_mut() {
            let (matching, remaining): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(queue).into_iter().partition(&mut condition);
            removed.extend(matching);
            *queue = remaining;
        }
        removed
    }
}
