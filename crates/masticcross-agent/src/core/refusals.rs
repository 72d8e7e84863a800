//! Refusals of queued tasks, each with its reason.

use std::time::Duration;

use masticcross_basics::AttemptId;
use masticcross_wire::{NotStartedReason, TaskOutcome};
use tokio::time::Instant;

use super::queue::QueuedTask;
use super::{AgentCore, State};

impl AgentCore {
    /// Refuses tasks that were removed from the queue.
    pub(super) fn refuse(
        &self,
        state: &mut State,
        tasks: &[QueuedTask],
        reason: NotStartedReason,
        now: Instant,
    ) {
        for task in tasks {
            self.not_started(state, task.id, reason, now);
        }
    }

    pub(super) fn refuse_all_queued(
        &self,
        state: &mut State,
        reason: NotStartedReason,
        now: Instant,
    ) {
        let tasks = state.queue.remove_where(|_| true);
        self.refuse(state, &tasks, reason, now);
    }

    pub(super) fn refuse_past_deadline(&self, state: &mut State, now: Instant) {
        let tasks = state.queue.remove_where(|task| task.deadline <= now);
        self.refuse(state, &tasks, NotStartedReason::DeadlinePassed, now);
    }

    /// Refuses queued tasks of services that have no live backend server left.
    pub(super) fn refuse_without_backend(&self, state: &mut State, now: Instant) {
        for service in state.queue.services() {
            if state.backends.usable_slots(&service, now) == 0 {
                let tasks = state.queue.remove_where(|task| task.key.service == service);
                self.refuse(state, &tasks, NotStartedReason::NoBackend, now);
            }
        }
    }

    pub(super) fn not_started(
        &self,
        state: &mut State,
        id: AttemptId,
        reason: NotStartedReason,
        now: Instant,
    ) {
        let outcome = TaskOutcome::NotStarted(reason);
        self.end(state, id, outcome, Duration::ZERO, now);
    }
}
