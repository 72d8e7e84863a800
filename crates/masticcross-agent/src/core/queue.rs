//! Tasks that wait here for a place at a backend server, first come first served.

use std::collections::{BTreeMap, VecDeque};

use masticcross_basics::{AttemptId, Epoch, JobKey, Name, Partition, TaskIndex};
use masticcross_wire::Json;
use tokio::time::Instant;

use super::view::StartTerms;

/// A task that waits for a place.
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
    /// It is not started after that.
    pub deadline: Instant,
    /// Registration of the agent when the task arrived; it does not start under a later one.
    pub registered_at: u64,
}

impl QueuedTask {
    /// Returns under what the task was sent here.
    #[must_use]
    pub fn terms(&self) -> StartTerms {
        StartTerms {
            partition: self.partition,
            epoch: self.epoch,
            registered_at: self.registered_at,
        }
    }
}

/// Queues by service.
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

    /// Takes the first task of a service.
    pub fn pop(&mut self, service: &Name) -> Option<QueuedTask> {
        self.by_service.get_mut(service)?.pop_front()
    }

    /// Returns the number of tasks of a service.
    #[must_use]
    pub fn len(&self, service: &Name) -> usize {
        self.by_service.get(service).map_or(0, VecDeque::len)
    }

    /// Returns the number of tasks.
    #[must_use]
    pub fn total(&self) -> usize {
        self.by_service.values().map(VecDeque::len).sum()
    }

    /// Lists the services that were ever queued.
    #[must_use]
    pub fn services(&self) -> Vec<Name> {
        self.by_service.keys().cloned().collect()
    }

    /// Takes out the tasks that a condition names.
    pub fn take(&mut self, mut condition: impl FnMut(&QueuedTask) -> bool) -> Vec<QueuedTask> {
        let mut taken = Vec::new();
        for queue in self.by_service.values_mut() {
            let (out, kept): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(queue).into_iter().partition(&mut condition);
            taken.extend(out);
            *queue = kept;
        }
        taken
    }
}
