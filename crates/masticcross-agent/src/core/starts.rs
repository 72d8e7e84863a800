//! The way of a task through the agent: arrival, wait, the check before its start, and its end.

use std::time::Duration;

use masticcross_basics::timeline::{Event, EventKind};
use masticcross_basics::{AttemptId, Name};
use masticcross_wire::{NotStartedReason, StartTasks, StopTasks, TaskOutcome, TaskStart};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Announcement;
use crate::backend::{RunOutcome, TaskBody};

use super::attempts::{Known, NewAttempt};
use super::queue::QueuedTask;
use super::view::Result;
use super::{AgentCore, SessionId, State};

/// A task that got a place and is to be sent to its backend server.
#[derive(Debug)]
pub struct Run {
    /// The attempt.
    pub id: AttemptId,
    /// The backend server.
    pub backend: Announcement,
    /// The request to it.
    pub body: TaskBody,
    /// Becomes true when the task is to be stopped.
    pub stop: watch::Receiver<bool>,
}

/// A task that has a place at a backend server.
#[derive(Debug)]
pub struct Running {
    /// The task.
    pub task: QueuedTask,
    backend: Name,
    stop: watch::Sender<bool>,
    started_at: Option<Instant>,
}

impl AgentCore {
    /// Takes over tasks of one job. Each is answered exactly once by its end, be it that it did not
    /// start. Returns the tasks to run now.
    #[must_use]
    pub fn start(&self, session: SessionId, start: &StartTasks, now: Instant) -> Vec<Run> {
        self.timeline.observe(start.timestamp);
        let mut state = self.state.lock();
        // A session that was replaced may have frames left; the newer one knows better.
        let Some(origin) = self.sessions.entry_of(session) else {
            return Vec::new();
        };
        let deadline = now + Duration::from_millis(start.left_ms.into());
        let mut runs = Vec::new();
        for task in &start.tasks {
            self.arrive(&mut state, session, &origin, start, task, deadline, now);
            runs.extend(self.fill_places(&mut state, now));
        }
        self.grant(&mut state, now);
        state.attempts.trim(now);
        runs
    }

    /// Stops attempts: what waits never starts, what runs is stopped at its backend server. An entry
    /// that does not decide about a job any more is not listened to.
    pub fn stop(&self, session: SessionId, stop: &StopTasks, now: Instant) {
        let mut state = self.state.lock();
        let Some(entry) = self.sessions.entry_of(session) else {
            return;
        };
        let mine = |id: &&AttemptId| {
            let attempt = state.attempts.get(**id);
            attempt.is_some_and(|attempt| self.addressee(&state, attempt) == entry)
        };
        let ids: Vec<AttemptId> = stop.attempts.iter().filter(mine).copied().collect();
        for id in &ids {
            if let Some(running) = state.running.get(id) {
                running.stop.send_replace(true);
            }
        }
        let stopped = state.queue.take(|task| ids.contains(&task.id));
        self.refuse(&mut state, &stopped, NotStartedReason::Stopped, now);
        self.grant(&mut state, now);
    }

    /// Decides about the start of a task that has a place. This is the last step before its request
    /// is sent.
    ///
    /// # Errors
    /// Says why the task must not start.
    pub fn confirm_start(&self, id: AttemptId, now: Instant) -> Result<()> {
        let mut state = self.state.lock();
        let running = state.running.get(&id).ok_or(NotStartedReason::Stopped)?;
        if *running.stop.borrow() {
            return Err(NotStartedReason::Stopped);
        }
        self.check(&state, &running.task, now)?;
        let Some(running) = state.running.get_mut(&id) else {
            return Err(NotStartedReason::Stopped);
        };
        if running.started_at.replace(now).is_none() {
            self.note_start(&running.task);
        }
        Ok(())
    }

    /// Takes over the end of a run. Returns the tasks to run now.
    #[must_use]
    pub fn finished(&self, id: AttemptId, outcome: RunOutcome, now: Instant) -> Vec<Run> {
        let mut state = self.state.lock();
        let Some(running) = state.running.remove(&id) else {
            return Vec::new();
        };
        let reached = !matches!(outcome, RunOutcome::NotSent(_));
        state.backends.free_place(&running.backend);
        if state.backends.note_contact(&running.backend, reached, now) {
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
        reason = "one task of a frame that has the rest"
    )]
    fn arrive(
        &self,
        state: &mut State,
        session: SessionId,
        origin: &Name,
        start: &StartTasks,
        task: &TaskStart,
        deadline: Instant,
        now: Instant,
    ) {
        self.refuse_older(state, start, task, now);
        let known = state.attempts.known(&start.key, task.index, task.attempt);
        if known == Known::Duplicate {
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
        match self.admit(state, &known, &queued, now) {
            Ok(()) => state.queue.push(queued),
            Err(reason) => self.not_started(state, task.attempt, reason, now),
        }
        if let Known::Earlier(earlier) = known {
            self.report(state, earlier);
        }
    }

    /// Refuses an attempt of the same task that still waits here under an older epoch.
    fn refuse_older(&self, state: &mut State, start: &StartTasks, task: &TaskStart, now: Instant) {
        let older = state.queue.take(|queued| {
            queued.key == start.key && queued.index == task.index && queued.epoch < start.epoch
        });
        self.refuse(state, &older, NotStartedReason::OldEpoch, now);
    }

    /// Checks that a task may wait here.
    fn admit(&self, state: &State, known: &Known, task: &QueuedTask, now: Instant) -> Result<()> {
        match known {
            Known::New | Known::Duplicate => {}
            Known::Forgotten | Known::Earlier(_) => return Err(NotStartedReason::AlreadyKnown),
        }
        if state.draining {
            return Err(NotStartedReason::ShuttingDown);
        }
        self.check(state, task, now)?;
        let service = &task.key.service;
        if state.backends.places(service, now) == 0 {
            return Err(NotStartedReason::NoBackend);
        }
        if state.queue.len(service) >= self.limits.queue {
            return Err(NotStartedReason::NoRoom);
        }
        Ok(())
    }

    /// Checks that a task may start at this moment.
    fn check(&self, state: &State, task: &QueuedTask, now: Instant) -> Result<()> {
        if now >= task.deadline {
            return Err(NotStartedReason::DeadlinePassed);
        }
        if task.epoch < state.fence(task.partition) {
            return Err(NotStartedReason::OldEpoch);
        }
        self.view.check(now, &self.identity.zone, task.terms())
    }

    /// Starts waiting tasks while places are free, then grants what is left.
    pub(super) fn dispatch(&self, state: &mut State, now: Instant) -> Vec<Run> {
        let runs = self.fill_places(state, now);
        self.grant(state, now);
        runs
    }

    fn fill_places(&self, state: &mut State, now: Instant) -> Vec<Run> {
        let mut runs = Vec::new();
        for service in state.queue.services() {
            while state.queue.len(&service) > 0 {
                let Some(backend) = state.backends.take_place(&service, now) else {
                    break;
                };
                let Some(task) = state.queue.pop(&service) else {
                    break;
                };
                match self.begin(state, task, &backend, now) {
                    Some(run) => runs.push(run),
                    None => state.backends.free_place(&backend.name),
                }
            }
        }
        runs
    }

    /// Gives a waiting task its place, unless it must not start any more.
    fn begin(
        &self,
        state: &mut State,
        task: QueuedTask,
        backend: &Announcement,
        now: Instant,
    ) -> Option<Run> {
        if let Err(reason) = self.check(state, &task, now) {
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
            body: body_of(&task),
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

    fn note_start(&self, task: &QueuedTask) {
        self.metrics.started();
        let event = Event::new(EventKind::Started)
            .job(&task.key)
            .task(task.index, task.id)
            .worker(&self.identity.name)
            .zone(&self.identity.zone);
        self.timeline.record(event);
    }

    /// Notes the end of an attempt and reports it.
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

fn body_of(task: &QueuedTask) -> TaskBody {
    TaskBody {
        service: task.key.service.clone(),
        job: task.key.job.clone(),
        index: task.index,
        attempt: task.id,
        payload: task.payload.clone(),
    }
}

/// Translates the end of a run. A result that came in spite of a stop is kept.
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

/// Names an outcome for the time line.
fn describe(outcome: &TaskOutcome) -> String {
    match outcome {
        TaskOutcome::Done(_) => "done".to_owned(),
        TaskOutcome::Failed(text) => format!("failed: {text}"),
        TaskOutcome::Stopped => "stopped".to_owned(),
        TaskOutcome::NotStarted(reason) => format!("not started: {reason:?}"),
        TaskOutcome::ResultDropped => "result dropped".to_owned(),
    }
}
