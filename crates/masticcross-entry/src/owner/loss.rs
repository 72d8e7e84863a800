//! Loss and return of agents: finds out which of their attempts did not start, and reruns tasks
//! where that is allowed.

use masticcross_basics::{AttemptId, Code, JobKey, TaskIndex};
use masticcross_wire::{AttemptReport, AttemptState, StopTasks};

use super::AgentId;
use super::effect::Effect;
use super::job::{Connection, Placement, Registration, Stage, TaskState};
use super::shard::{Context, MissingAgent, Phase, Shard};

impl Shard {
    /// Marks the attempts of an agent as disconnected after its session ended.
    pub(super) fn disconnect(&mut self, agent: &AgentId, registration: Registration) {
        self.set_connection(Connection::Disconnected(registration), |p| {
            p.agent == *agent
                && matches!(
                    p.connection,
                    Connection::Connected | Connection::AwaitingReport
                )
        });
    }

    /// Handles a new session with an agent. Requests a report if attempts were sent on an earlier
    /// session or if the partition depends on the agent's report.
    pub(super) fn connect(&mut self, agent: &AgentId, cx: &mut Context<'_>) {
        let awaiting_report = self.set_connection(Connection::AwaitingReport, |p| {
            p.agent == *agent && p.connection != Connection::Connected
        });
        if !awaiting_report.is_empty() || self.needs_report_from(agent) {
            cx.effects.push(Effect::Gather(agent.clone()));
        }
    }

    /// Finds agents whose registration has ended. Once the fence has passed, they cannot start any
    /// attempt that was sent to them.
    pub(super) fn check_registrations(
        &mut self,
        registration_of: impl Fn(&AgentId) -> Registration,
        cx: &mut Context<'_>,
    ) {
        let fence_end = cx.now + cx.rules.fence;
        let lost = self.set_connection(Connection::Deregistered(fence_end), |p| {
            match p.connection {
                Connection::Disconnected(registration) => {
                    registration_ended(registration, registration_of(&p.agent))
                }
                _ => false,
            }
        });
        for (key, _) in lost {
            self.timers.insert((fence_end, key));
        }
        for (agent, missing) in &mut self.missing_agents {
            if missing.gone_at.is_none()
                && registration_ended(missing.registration, registration_of(agent))
            {
                missing.gone_at = Some(fence_end);
            }
        }
    }

    /// Removes missing agents that were lost and can no longer start a task.
    pub(super) fn remove_gone_agents(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        let before = self.missing_agents.len();
        let is_gone = |missing: &MissingAgent| missing.gone_at.is_some_and(|at| at <= now);
        self.missing_agents.retain(|_, missing| !is_gone(missing));
        if self.missing_agents.len() < before {
            self.lost_missing_agent = true;
            self.resolve_if_none_missing(cx);
        }
    }

    /// Resolves uncertain tasks once no agent is missing.
    fn resolve_if_none_missing(&mut self, cx: &mut Context<'_>) {
        if !self.missing_agents.is_empty() {
            return;
        }
        let running = self.jobs.iter().filter(|(_, j)| j.stage == Stage::Running);
        let keys: Vec<JobKey> = running.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.resolve_uncertain(&key, cx);
        }
    }

    /// Resolves the uncertain tasks of a job. They did not start if every agent has answered and none
    /// was lost; otherwise they may have started.
    pub(super) fn resolve_uncertain(&mut self, key: &JobKey, cx: &mut Context<'_>) {
        if !self.missing_agents.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let uncertain = job.indexes(|state| *state == TaskState::Uncertain);
        if uncertain.is_empty() {
            return;
        }
        if !job.lost_before_takeover && !self.lost_missing_agent {
            let waiting = job.queue_where(|state| *state == TaskState::Uncertain);
            cx.effects.push(Effect::Enqueue(waiting));
            return;
        }
        self.rerun_or_fail(key, uncertain, cx);
    }

    fn needs_report_from(&self, agent: &AgentId) -> bool {
        match self.phase {
            Phase::Recovering(_) => true,
            Phase::Open => {
                self.pending_stops.contains(agent)
                    || self.missing_agents.contains_key(agent)
                    || self.has_uncertain()
            }
            Phase::Closed | Phase::HandingOver => false,
        }
    }

    fn has_uncertain(&self) -> bool {
        let is_uncertain = |state: &TaskState| *state == TaskState::Uncertain;
        let mut tasks = self.jobs.values().flat_map(|job| &job.tasks);
        tasks.any(|task| is_uncertain(&task.state))
    }

    /// Applies the reports of an agent while the partition is open.
    pub(super) fn apply_reports(
        &mut self,
        agent: &AgentId,
        reports: Vec<AttemptReport>,
        cx: &mut Context<'_>,
    ) {
        for report in reports {
            self.apply_report(agent, report, cx);
        }
    }

    /// Handles the end of an agent's report: attempts that it does not list did not start.
    pub(super) fn report_complete(&mut self, agent: &AgentId, cx: &mut Context<'_>) {
        self.pending_stops.remove(agent);
        if self.missing_agents.remove(agent).is_some() {
            self.resolve_if_none_missing(cx);
        }
        for (key, index) in
            self.placed(|p| p.agent == *agent && p.connection == Connection::AwaitingReport)
        {
            self.requeue(&key, index, cx);
        }
    }

    fn apply_report(&mut self, agent: &AgentId, report: AttemptReport, cx: &mut Context<'_>) {
        let AttemptReport {
            key,
            index,
            attempt,
            state,
        } = report;
        let task = self
            .jobs
            .get(&key)
            .and_then(|j| j.tasks.get(usize::from(index)));
        let is_relevant = match task.map(|t| &t.state) {
            Some(TaskState::Placed(p)) => {
                let is_update = matches!(state, AttemptState::Ended(_))
                    || p.connection != Connection::Connected;
                p.attempt == attempt && p.agent == *agent && is_update
            }
            Some(TaskState::Uncertain) => true,
            _ => false,
        };
        if !is_relevant {
            self.stop_if_ended(agent, key, attempt, &state, cx);
            return;
        }
        match state {
            AttemptState::Ended(outcome) => self.apply_end(agent, &key, index, outcome, cx),
            AttemptState::Queued | AttemptState::Running => {
                let report = AttemptReport {
                    key,
                    index,
                    attempt,
                    state,
                };
                self.adopt(agent, report, Connection::Connected, cx);
            }
        }
    }

    /// Stops an attempt that has not ended if its job has ended.
    fn stop_if_ended(
        &self,
        agent: &AgentId,
        key: JobKey,
        attempt: AttemptId,
        state: &AttemptState,
        cx: &mut Context<'_>,
    ) {
        let is_over = matches!(state, AttemptState::Ended(_));
        if is_over || !self.ended.contains_key(&key) {
            return;
        }
        let stop = StopTasks {
            key,
            attempts: vec![attempt],
        };
        cx.effects.push(Effect::Stop(agent.clone(), stop));
    }

    /// Makes an attempt reported by an agent the current attempt of its task.
    pub(super) fn adopt(
        &mut self,
        agent: &AgentId,
        report: AttemptReport,
        connection: Connection,
        cx: &mut Context<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(&report.key) else {
            return;
        };
        let task = &mut job.tasks[usize::from(report.index)];
        task.state = TaskState::Placed(Placement {
            attempt: report.attempt,
            agent: agent.clone(),
            connection,
        });
        cx.effects.push(Effect::Adopt(agent.clone(), report));
    }

    /// Reruns or fails the tasks whose attempts were lost and can no longer start.
    pub(super) fn resolve_lost_attempts(&mut self, key: &JobKey, cx: &mut Context<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let now = cx.now;
        let lost = job.indexes(|state| match state {
            TaskState::Placed(p) => {
                matches!(p.connection, Connection::Deregistered(at) if at <= now)
            }
            _ => false,
        });
        if !lost.is_empty() {
            self.rerun_or_fail(key, lost, cx);
        }
    }

    /// Reruns lost tasks if the job is repeatable; otherwise fails the job.
    fn rerun_or_fail(&mut self, key: &JobKey, lost: Vec<TaskIndex>, cx: &mut Context<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.may_have_run_before = true;
        if !job.repeatable {
            let detail = "a worker was lost with a task that may have run";
            self.fail(key, Code::WorkerLost, detail, cx);
            return;
        }
        for index in lost {
            self.rerun(key, index, cx);
        }
    }

    /// Reruns a task of a repeatable job after a confirmed loss.
    fn rerun(&mut self, key: &JobKey, index: TaskIndex, cx: &mut Context<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.may_have_run_before = true;
        let task = &mut job.tasks[usize::from(index)];
        if let Some(worker) = task.placement().map(|p| p.agent.worker.clone()) {
            task.avoid(&worker);
        }
        if job.stage == Stage::Running {
            self.reruns += 1;
            self.requeue(key, index, cx);
        } else {
            task.state = TaskState::Uncertain;
        }
    }

    /// Sets the connection state of all placements that pass the filter, and lists them.
    fn set_connection(
        &mut self,
        connection: Connection,
        filter: impl Fn(&Placement) -> bool,
    ) -> Vec<(JobKey, TaskIndex)> {
        let chosen = self.placed(filter);
        for (key, index) in &chosen {
            let job = self.jobs.get_mut(key);
            let task = job.and_then(|j| j.tasks.get_mut(usize::from(*index)));
            if let Some(TaskState::Placed(placement)) = task.map(|t| &mut t.state) {
                placement.connection = connection;
            }
        }
        chosen
    }

    fn placed(&self, filter: impl Fn(&Placement) -> bool) -> Vec<(JobKey, TaskIndex)> {
        if matches!(self.phase, Phase::Closed) {
            return Vec::new();
        }
        let mut found = Vec::new();
        for (key, job) in &self.jobs {
            let indexes = job.indexes(|state| match state {
                TaskState::Placed(placement) => filter(placement),
                _ => false,
            });
            found.extend(indexes.into_iter().map(|index| (key.clone(), index)));
        }
        found
    }
}

/// Returns true if an agent's earlier registration is not its current one.
fn registration_ended(earlier: Registration, current: Registration) -> bool {
    earlier.is_none() || earlier != current
}

/// Placeholder for an attempt that may have started at an agent that can no longer report.
pub(super) const UNCERTAIN_ATTEMPT: AttemptId = AttemptId {
    epoch: masticcross_basics::Epoch(0),
    seq: 0,
};
