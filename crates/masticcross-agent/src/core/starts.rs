//! A task's path through the agent: arrival, queue, check before the start, and end.

use std::time::Duration;

use masticcross_basics::timeline::{Event, EventKind};
use masticcross_basics::{AttemptId, Name};
use masticcross_wire::{NotStartedReason, StartTasks, StopTasks, TaskOutcome, TaskStart};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Announcement;
use crate::backend::{RunOutcome, TaskBody};

use super::attempts::{Lookup, NewAttempt};
use super::queue::QueuedTask;
use super::view::Result;
use super::{AgentCore, SessionId, State};

/// A task that has been assigned a slot and is ready to be sent to its backend server.
#[derive(Debug)]
pub struct Run {
    /// The attempt.
    pub id: AttemptId,
    /// The backend server.
    pub backend: Announcement,
    /// Content of the request to the backend server.
    pub body: TaskBody,
    /// Becomes true when an entry asks to stop the task.
    pub stop: watch::Receiver<bool>,
}

/// A task that occupies a slot of a backend server.
#[derive(Debug)]
pub struct Running {
    /// The task.
    pub task: QueuedTask,
    backend: Name,
    stop: watch::Sender<bool>,
    started_at: Option<Instant>,
}

impl AgentCore {
    /// Receives tasks of one job. Each of them is answered exactly once, with its outcome or with
    /// the reason why it did not start. Returns the tasks to run now.
    #[must_use]
    pub fn start(&self, session: SessionId, start: &StartTasks, now: Instant) -> Vec<Run> {
        self.timeline.observe(start.timestamp);
        let mut state = self.state.lock();
        // A replaced session may still deliver frames; only the newer session is authoritative.
        let Some(origin) = self.sessions.entry_of(session) else {
            return Vec::new();
        };
        let deadline = now + Duration::from_millis(start.left_ms.into());
        let mut runs = Vec::new();
        for task in &start.tasks {
            self.receive_task(&mut state, session, &origin, start, task, deadline, now);
            runs.extend(self.fill_slots(&mut state, now));
        }
        self.grant(&mut state, now);
        state.attempts.trim(now);
        runs
    }

    /// Stops attempts: queued ones never start, running ones are stopped at their backend server.
    /// Attempts of jobs that this session's entry no longer owns are ignored.
    pub fn stop(&self, session: SessionId, stop: &StopTasks, now: Instant) {
        let mut state = self.state.lock();
        let Some(entry) = self.sessions.entry_of(session) else {
            return;
        };
        let is_recipient = |id: &&AttemptId| {
            let attempt = state.attempts.get(**id);
            attempt.is_some_and(|attempt| self.recipient(&state, attempt) == entry)
        };
        let ids: Vec<AttemptId> = stop.attempts.iter().filter(is_recipient).copied().collect();
        for id in &ids {
            if let Some(running) = state.running.get(id) {
                running.stop.send_replace(true);
            }
        }
        let stopped = state.queue.remove_where(|task| ids.contains(&task.id));
        self.refuse(&mut state, &stopped, NotStartedReason::Stopped, now);
        self.grant(&mut state, now);
    }

    /// Decides whether a task with a slot may start, and records the start. This is the last step
    /// before the request is sent.
    ///
    /// # Errors
    /// Returns the reason why the task must not start.
    pub fn confirm_start(&self, id: AttemptId, now: Instant) -> Result<()> {
        let mut state = self.state.lock();
        let running = state.running.get(&id).ok_or(NotStartedReason::Stopped)?;
        if *running.stop.borrow() {
            return Err(NotStartedReason::Stopped);
        }
        self.check_start(&state, &running.task, now)?;
        let Some(running) = state.running.get_mut(&id) else {
            return Err(NotStartedReason::Stopped);
        };
        if running.started_at.replace(now).is_none() {
            self.record_start(&running.task);
        }
        Ok(())
    }

    /// Records the outcome of a run and frees its slot. Returns the tasks to run now.
    #[must_use]
    pub fn finished(&self, id: AttemptId, outcome: RunOutcome, now: Instant) -> Vec<Run> {
        let mut state = self.state.lock();
        let Some(running) = state.running.remove(&id) else {
            return Vec::new();
        };
        let reached = !matches!(outcome, RunOutcome::NotSent(_));
        state.backends.free_slot(&running.backend);
        if state
            .backends
            .record_contact(&running.backend, reached, now)
        {
            self.send_backends(&state, now);
            self.refuse_without_backend(&mut state, now);
        }
        let run = running.started_at.map_or(Duration::ZERO, |at| now - at);
        let outcome = task_outcome(outcome, *running.stop.borrow());
        self.end(&mut state, id, outcome, run, now);
        state.attempts.trim(now);
        self.dispatch(&mut state, now)
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one task, with the fields shared by all tasks of its frame"
    )]
    fn receive_task(
        &self,
        state: &mut State,
        session: SessionId,
        origin: &Name,
        start: &StartTasks,
        task: &TaskStart,
        deadline: Instant,
        now: Instant,
    ) {
        self.refuse_older_attempts(state, start, task, now);
        let lookup = state.attempts.lookup(&start.key, task.index, task.attempt);
        if lookup == Lookup::Duplicate {
            self.report(state, task.attempt);
            return;
        }
        if let Some(credits) = state.credits.get_mut(&start.key.service) {
            credits.receive(session);
        }
        let new = NewAttempt {
            key: start.key.clone(),
            partition: start.key.partition(),
            index: task.index,
            id: task.attempt,
            origin: origin.clone(),
        };
        let queued = QueuedTask {
            key: start.key.clone(),
            partition: new.partition,
            epoch: start.epoch.min(task.attempt.epoch),
            index: task.index,
            id: task.attempt,
            payload: task.payload.clone(),
            deadline,
            registered_at: self.view.registered_at(),
        };
        state.attempts.insert(new, now);
        match self.check_admission(state, &lookup, &queued, now) {
            Ok(()) => state.queue.push(queued),
            Err(reason) => self.not_started(state, task.attempt, reason, now),
        }
        if let Lookup::Earlier(earlier) = lookup {
            self.report(state, earlier);
        }
    }

    /// Refuses queued attempts of the same task that have an older epoch.
    fn refuse_older_attempts(
        &self,
        state: &mut State,
        start: &StartTasks,
        task: &TaskStart,
        now: Instant,
    ) {
        let older = state.queue.remove_where(|queued| {
            queued.key == start.key && queued.index == task.index && queued.epoch < start.epoch
        });
        self.refuse(state, &older, NotStartedReason::OldEpoch, now);
    }

    /// Checks that a task may enter the queue.
    fn check_admission(
        &self,
        state: &State,
        lookup: &Lookup,
        task: &QueuedTask,
        now: Instant,
    ) -> Result<()> {
        match lookup {
            Lookup::New | Lookup::Duplicate => {}
            Lookup::Evicted | Lookup::Earlier(_) => return Err(NotStartedReason::AlreadyKnown),
        }
        if state.draining {
            return Err(NotStartedReason::ShuttingDown);
        }
        self.check_start(state, task, now)?;
        let service = &task.key.service;
        if state.backends.usable_slots(service, now) == 0 {
            return Err(NotStartedReason::NoBackend);
        }
        if state.queue.len(service) >= self.limits.queue {
            return Err(NotStartedReason::NoRoom);
        }
        Ok(())
    }

    /// Checks the deadline, the epoch and the view for a start at this moment.
    fn check_start(&self, state: &State, task: &QueuedTask, now: Instant) -> Result<()> {
        if now >= task.deadline {
            return Err(NotStartedReason::DeadlinePassed);
        }
        if task.epoch < state.fence(task.partition) {
            return Err(NotStartedReason::OldEpoch);
        }
        self.view
            .check_start(now, &self.identity.zone, task.start_conditions())
    }

    /// Assigns free slots to queued tasks, then grants credits for the remaining slots.
    pub(super) fn dispatch(&self, state: &mut State, now: Instant) -> Vec<Run> {
        let runs = self.fill_slots(state, now);
        self.grant(state, now);
        runs
    }

    fn fill_slots(&self, state: &mut State, now: Instant) -> Vec<Run> {
        let mut runs = Vec::new();
        for service in state.queue.services() {
            while state.queue.len(&service) > 0 {
                let Some(backend) = state.backends.take_slot(&service, now) else {
                    break;
                };
                let Some(task) = state.queue.pop(&service) else {
                    break;
                };
                match self.prepare_run(state, task, &backend, now) {
                    Some(run) => runs.push(run),
                    None => state.backends.free_slot(&backend.name),
                }
            }
        }
        runs
    }

    /// Creates the run of a queued task, or refuses the task if it may no longer start.
    fn prepare_run(
        &self,
        state: &mut State,
        task: QueuedTask,
        backend: &Announcement,
        now: Instant,
    ) -> Option<Run> {
        if let Err(reason) = self.check_start(state, &task, now) {
            self.not_started(state, task.id, reason, now);
            return None;
        }
        if !state.attempts.start(task.id) {
            return None;
        }
        let (stop_tx, stop) = watch::channel(false);
        let run = Run {
            id: task.id,
            backend: backend.clone(),
            body: task_body(&task),
            stop,
        };
        let running = Running {
            task,
            backend: backend.name.clone(),
            stop: stop_tx,
            started_at: None,
        };
        state.running.insert(run.id, running);
        Some(run)
    }

    fn record_start(&self, task: &QueuedTask) {
        self.metrics.started();
        let event = Event::new(EventKind::Started)
            .job(&task.key)
            .task(task.index, task.id)
            .worker(&self.identity.name)
            .zone(&self.identity.zone);
        self.timeline.record(event);
    }

    /// Records the end of an attempt and reports it.
    pub(super) fn end(
        &self,
        state: &mut State,
        id: AttemptId,
        outcome: TaskOutcome,
        run: Duration,
        now: Instant,
    ) {
        self.metrics.ended(&outcome);
        let kind = match outcome {
            TaskOutcome::NotStarted(_) => EventKind::NotStarted,
            _ => EventKind::Ended,
        };
        let detail = describe(&outcome);
        if !state.attempts.end(id, outcome, run, now) {
            return;
        }
        if let Some(attempt) = state.attempts.get(id) {
            let event = Event::new(kind)
                .job(&attempt.key)
                .task(attempt.index, id)
                .worker(&self.identity.name)
                .zone(&self.identity.zone)
                .detail(detail);
            self.timeline.record(event);
        }
        self.report(state, id);
    }
}

fn task_body(task: &QueuedTask) -> TaskBody {
    TaskBody {
        service: task.key.service.clone(),
        job: task.key.job.clone(),
        index: task.index,
        attempt: task.id,
        payload: task.payload.clone(),
    }
}

/// Converts the outcome of a run. A result that arrives after a stop request is kept.
fn task_outcome(outcome: RunOutcome, stopped: bool) -> TaskOutcome {
    match outcome {
        RunOutcome::Done(json) => TaskOutcome::Done(json),
        RunOutcome::NotSent(_) => TaskOutcome::NotStarted(NotStartedReason::ConnectFailed),
        RunOutcome::Refused(reason) => TaskOutcome::NotStarted(reason),
        RunOutcome::Failed(_) | RunOutcome::Stopped if stopped => TaskOutcome::Stopped,
        RunOutcome::Failed(text) => TaskOutcome::Failed(text),
        RunOutcome::Stopped => TaskOutcome::Stopped,
    }
}

/// Describes an outcome for the timeline.
fn describe(outcome: &TaskOutcome) -> String {
    match outcome {
        TaskOutcome::Done(_) => "done".to_owned(),
        TaskOutcome::Failed(text) => format!("failed: {text}"),
        TaskOutcome::Stopped => "stopped".to_owned(),
        TaskOutcome::NotStarted(reason) => format!("not started: {reason:?}"),
        TaskOutcome::ResultDropped => "result dropped".to_owned(),
    }
}
