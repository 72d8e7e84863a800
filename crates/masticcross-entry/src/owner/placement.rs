//! Placement of tasks, and the outcome of attempts.

use masticcross_basics::{AttemptId, Code, JobKey, TaskIndex};
use masticcross_wire::{JobAnswer, NotStartedReason, Refusal, TaskEnded, TaskOutcome};

use super::effect::Effect;
use super::job::{Connection, Placement, Stage, TaskState};
use super::shard::{Context, Phase, Shard};
use super::{AgentId, Grant};
use crate::dispatch::WaitingTask;

impl Shard {
    /// Marks a waiting task as placed if it may start.
    pub(super) fn grant(
        &mut self,
        waiting: &WaitingTask,
        agent: &AgentId,
        connection: Connection,
        seq: u64,
        cx: &mut Context<'_>,
    ) -> Option<Grant> {
        if !matches!(self.phase, Phase::Open) {
            return None;
        }
        let epoch = self.epoch;
        let job = self.jobs.get_mut(&waiting.key)?;
        if job.stage != Stage::Running || job.deadline <= cx.now {
            return None;
        }
        let payload = job.payloads.get(usize::from(waiting.index))?.clone();
        let deadline = job.deadline;
        let task = job.tasks.get_mut(usize::from(waiting.index))?;
        if task.state != TaskState::Waiting {
            return None;
        }
        let attempt = AttemptId { epoch, seq };
        task.state = TaskState::Placed(Placement {
            attempt,
            agent: agent.clone(),
            connection,
        });
        Some(Grant {
            epoch,
            attempt,
            payload,
            deadline,
        })
    }

    /// Handles the end of an attempt. Ends of attempts that are no longer current are dropped.
    pub(super) fn attempt_ended(
        &mut self,
        agent: &AgentId,
        ended: TaskEnded,
        cx: &mut Context<'_>,
    ) {
        match self.phase {
            Phase::Closed => return,
            Phase::Recovering(_) | Phase::HandingOver => {
                self.deferred_ends.push((agent.clone(), ended));
                return;
            }
            Phase::Open => {}
        }
        if self.ended.get(&ended.key).is_some_and(|e| e.recorded) {
            cx.effects.push(Effect::Release(agent.clone(), ended.key));
            return;
        }
        let is_current = self.is_current(agent, &ended.key, ended.index, ended.attempt);
        if is_current {
            self.apply_end(agent, &ended.key, ended.index, ended.outcome, cx);
        }
    }

    fn is_current(
        &self,
        agent: &AgentId,
        key: &JobKey,
        index: TaskIndex,
        attempt: AttemptId,
    ) -> bool {
        let task = self
            .jobs
            .get(key)
            .and_then(|j| j.tasks.get(usize::from(index)));
        let placement = task.and_then(|t| t.placement());
        placement.is_some_and(|p| p.attempt == attempt && p.agent == *agent)
    }

    /// Applies the end of a task's current attempt.
    pub(super) fn apply_end(
        &mut self,
        agent: &AgentId,
        key: &JobKey,
        index: TaskIndex,
        outcome: TaskOutcome,
        cx: &mut Context<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(usize::from(index)) else {
            return;
        };
        match outcome {
            TaskOutcome::Done(result) => {
                task.state = TaskState::Done(result);
                job.result_holders.insert(agent.clone());
                self.finish_if_complete(key, cx);
            }
            TaskOutcome::NotStarted(reason) => self.not_started(agent, key, index, reason, cx),
            TaskOutcome::Failed(detail) => self.task_failed(agent, key, index, &detail, cx),
            TaskOutcome::Stopped => {
                job.result_holders.insert(agent.clone());
                self.fail(key, Code::TaskFailed, "a task was stopped", cx);
            }
            TaskOutcome::ResultDropped => {
                job.result_holders.insert(agent.clone());
                self.fail(key, Code::ResultLost, "the result of a task was lost", cx);
            }
        }
    }

    /// Retries a task that is confirmed not to have started.
    fn not_started(
        &mut self,
        agent: &AgentId,
        key: &JobKey,
        index: TaskIndex,
        reason: NotStartedReason,
        cx: &mut Context<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = &mut job.tasks[usize::from(index)];
        match reason {
            NotStartedReason::Stopped | NotStartedReason::DeadlinePassed => {
                task.state = TaskState::Idle;
                return;
            }
            NotStartedReason::AlreadyKnown => {
                // The agent has an earlier attempt, so another placement could start the task twice.
                task.state = TaskState::Uncertain;
                cx.effects.push(Effect::Gather(agent.clone()));
                return;
            }
            NotStartedReason::ViewStale
            | NotStartedReason::OldEpoch
            | NotStartedReason::ZoneOut
            | NotStartedReason::NoBackend
            | NotStartedReason::NoRoom
            | NotStartedReason::Isolated
            | NotStartedReason::ShuttingDown
            | NotStartedReason::ConnectFailed => task.avoid(&agent.worker),
        }
        let backoff = task.next_backoff();
        if backoff.is_zero() {
            self.requeue(key, index, cx);
            return;
        }
        let until = cx.now + backoff;
        task.state = TaskState::Backoff(until);
        self.schedule_wakeup(until, key);
    }

    /// Queues a task again, or leaves it idle until its payload is available.
    pub(super) fn requeue(&mut self, key: &JobKey, index: TaskIndex, cx: &mut Context<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage == Stage::Running {
            let waiting = job.queue(index);
            cx.effects.push(Effect::Enqueue(vec![waiting]));
        } else {
            job.tasks[usize::from(index)].state = TaskState::Idle;
        }
    }

    fn task_failed(
        &mut self,
        agent: &AgentId,
        key: &JobKey,
        index: TaskIndex,
        detail: &str,
        cx: &mut Context<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.may_have_run_before = true;
        job.result_holders.insert(agent.clone());
        let may_retry = job.repeatable && job.stage == Stage::Running;
        let task = &mut job.tasks[usize::from(index)];
        task.failures = task.failures.saturating_add(1);
        task.avoid(&agent.worker);
        if may_retry && cx.may_retry && task.failures <= cx.rules.failure_retries {
            self.reruns += 1;
            self.requeue(key, index, cx);
            return;
        }
        let code = if task.failures > 1 {
            Code::TaskFailedRepeatedly
        } else {
            Code::TaskFailed
        };
        self.fail(key, code, &format!("task {index} failed: {detail}"), cx);
    }

    /// Expires ended jobs and handles the timers that are due.
    pub(super) fn on_timer(&mut self, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::Open) {
            return;
        }
        self.expire(cx);
        self.remove_gone_agents(cx);
        while let Some((at, key)) = self.timers.first().cloned() {
            if at > cx.now {
                return;
            }
            self.timers.remove(&(at, key.clone()));
            self.on_job_timer(&key, cx);
        }
    }

    fn on_job_timer(&mut self, key: &JobKey, cx: &mut Context<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.deadline <= cx.now {
            self.deadline_passed(key, cx);
            return;
        }
        let now = cx.now;
        let due = job.indexes(|state| matches!(state, TaskState::Backoff(at) if *at <= now));
        for index in due {
            self.requeue(key, index, cx);
        }
        self.resolve_lost_attempts(key, cx);
    }

    fn deadline_passed(&mut self, key: &JobKey, cx: &mut Context<'_>) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let detail = "the deadline passed before the job was complete";
        let refusal = if job.may_have_run() || job.stage == Stage::Recovered {
            Refusal::failed(Code::DeadlineExceeded, detail)
        } else {
            Refusal::not_run(Code::DeadlineExceeded, detail)
        };
        self.finish(key, JobAnswer::Refused(refusal), cx);
    }
}
