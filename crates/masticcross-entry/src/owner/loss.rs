//! Agents that are lost and come back: what of their attempts did not start, and what may be run
//! again.

use masticcross_basics::{AttemptId, Code, JobKey, TaskIndex};
use masticcross_wire::{AttemptReport, AttemptState, StopTasks};

use super::AgentId;
use super::effect::Effect;
use super::job::{Contact, Placement, Registration, Stage, TaskState};
use super::shard::{Cx, Missing, Phase, Shard};

impl Shard {
    /// Notes that the session with an agent is gone.
    pub(super) fn agent_lost(&mut self, agent: &AgentId, registration: Registration) {
        self.set_contact(Contact::Away(registration), |p| {
            p.agent == *agent && matches!(p.contact, Contact::Good | Contact::Asking)
        });
    }

    /// Notes that an agent is connected. What was sent to it before, and a partition in doubt, wait
    /// for what it reports.
    pub(super) fn agent_found(&mut self, agent: &AgentId, cx: &mut Cx<'_>) {
        let asked = self.set_contact(Contact::Asking, |p| {
            p.agent == *agent && p.contact != Contact::Good
        });
        if !asked.is_empty() || self.wants_report_of(agent) {
            cx.effects.push(Effect::Gather(agent.clone()));
        }
    }

    /// Looks for agents whose registration has ended: once the fence has passed they cannot start
    /// anything that was sent to them.
    pub(super) fn follow_registrations(
        &mut self,
        registration_of: impl Fn(&AgentId) -> Registration,
        cx: &mut Cx<'_>,
    ) {
        let fence_end = cx.now + cx.rules.fence;
        let lost = self.set_contact(Contact::Gone(fence_end), |p| match p.contact {
            Contact::Away(registration) => has_ended(registration, registration_of(&p.agent)),
            _ => false,
        });
        for (key, _) in lost {
            self.timers.insert((fence_end, key));
        }
        for (agent, missing) in &mut self.missing {
            if missing.gone_at.is_none() && has_ended(missing.registration, registration_of(agent))
            {
                missing.gone_at = Some(fence_end);
            }
        }
    }

    /// Stops waiting for agents that were lost without an answer.
    pub(super) fn judge_missing(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let before = self.missing.len();
        let is_gone = |missing: &Missing| missing.gone_at.is_some_and(|at| at <= now);
        self.missing.retain(|_, missing| !is_gone(missing));
        if self.missing.len() < before {
            self.has_lost_missing = true;
            self.resolve_if_none_missing(cx);
        }
    }

    /// Decides about tasks in doubt once no agent is missing any more.
    fn resolve_if_none_missing(&mut self, cx: &mut Cx<'_>) {
        if !self.missing.is_empty() {
            return;
        }
        let running = self.jobs.iter().filter(|(_, j)| j.stage == Stage::Running);
        let keys: Vec<JobKey> = running.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.resolve_uncertain(&key, cx);
        }
    }

    /// Decides about the tasks in doubt of a job: they did not start if every agent has answered and
    /// none was lost; else they may have.
    pub(super) fn resolve_uncertain(&mut self, key: &JobKey, cx: &mut Cx<'_>) {
        if !self.missing.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let uncertain = job.indexes(|state| *state == TaskState::Uncertain);
        if uncertain.is_empty() {
            return;
        }
        if !job.lost_before && !self.has_lost_missing {
            let waiting = job.queue_where(|state| *state == TaskState::Uncertain);
            cx.effects.push(Effect::Enqueue(waiting));
            return;
        }
        self.lose(key, uncertain, cx);
    }

    fn wants_report_of(&self, agent: &AgentId) -> bool {
        match self.phase {
            Phase::Recovering(_) => true,
            Phase::Open => {
                self.unstopped.contains(agent)
                    || self.missing.contains_key(agent)
                    || self.has_uncertain()
            }
            Phase::Closed | Phase::Moving => false,
        }
    }

    fn has_uncertain(&self) -> bool {
        let is_uncertain = |state: &TaskState| *state == TaskState::Uncertain;
        let mut tasks = self.jobs.values().flat_map(|job| &job.tasks);
        tasks.any(|task| is_uncertain(&task.state))
    }

    /// Takes over what an agent reports while the partition is open.
    pub(super) fn reported(
        &mut self,
        agent: &AgentId,
        reports: Vec<AttemptReport>,
        cx: &mut Cx<'_>,
    ) {
        for report in reports {
            self.take_report(agent, report, cx);
        }
    }

    /// Concludes that attempts which the agent has not reported did not start.
    pub(super) fn report_complete(&mut self, agent: &AgentId, cx: &mut Cx<'_>) {
        self.unstopped.remove(agent);
        if self.missing.remove(agent).is_some() {
            self.resolve_if_none_missing(cx);
        }
        for (key, index) in self.placed(|p| p.agent == *agent && p.contact == Contact::Asking) {
            self.place_again(&key, index, cx);
        }
    }

    fn take_report(&mut self, agent: &AgentId, report: AttemptReport, cx: &mut Cx<'_>) {
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
        let counts = match task.map(|t| &t.state) {
            Some(TaskState::Placed(p)) => {
                let is_news = matches!(state, AttemptState::Ended(_)) || p.contact != Contact::Good;
                p.attempt == attempt && p.agent == *agent && is_news
            }
            Some(TaskState::Uncertain) => true,
            _ => false,
        };
        if !counts {
            self.stop_if_ended(agent, key, attempt, &state, cx);
            return;
        }
        match state {
            AttemptState::Ended(outcome) => self.apply(agent, &key, index, outcome, cx),
            AttemptState::Queued | AttemptState::Running => {
                let report = AttemptReport {
                    key,
                    index,
                    attempt,
                    state,
                };
                self.adopt(agent, report, Contact::Good, cx);
            }
        }
    }

    /// Stops an attempt of a job that has ended.
    fn stop_if_ended(
        &self,
        agent: &AgentId,
        key: JobKey,
        attempt: AttemptId,
        state: &AttemptState,
        cx: &mut Cx<'_>,
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

    /// Counts an attempt that an agent has as the one that counts.
    pub(super) fn adopt(
        &mut self,
        agent: &AgentId,
        report: AttemptReport,
        contact: Contact,
        cx: &mut Cx<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(&report.key) else {
            return;
        };
        let task = &mut job.tasks[usize::from(report.index)];
        task.state = TaskState::Placed(Placement {
            attempt: report.attempt,
            agent: agent.clone(),
            contact,
        });
        cx.effects.push(Effect::Adopt(agent.clone(), report));
    }

    /// Runs again, or fails, what was lost and cannot start any more.
    pub(super) fn judge_lost(&mut self, key: &JobKey, cx: &mut Cx<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let now = cx.now;
        let lost = job.indexes(|state| match state {
            TaskState::Placed(p) => matches!(p.contact, Contact::Gone(at) if at <= now),
            _ => false,
        });
        if !lost.is_empty() {
            self.lose(key, lost, cx);
        }
    }

    /// Runs lost tasks of a job again if they may be repeated; else the job fails.
    fn lose(&mut self, key: &JobKey, lost: Vec<TaskIndex>, cx: &mut Cx<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.ran = true;
        if !job.repeatable {
            let detail = "a worker was lost with a task that may have run";
            self.fail(key, Code::WorkerLost, detail, cx);
            return;
        }
        for index in lost {
            self.run_again(key, index, cx);
        }
    }

    /// Runs a task of a repeatable job again after a proven loss.
    fn run_again(&mut self, key: &JobKey, index: TaskIndex, cx: &mut Cx<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.ran = true;
        let task = &mut job.tasks[usize::from(index)];
        if let Some(worker) = task.placement().map(|p| p.agent.worker.clone()) {
            task.avoid(&worker);
        }
        if job.stage == Stage::Running {
            self.reruns += 1;
            self.place_again(key, index, cx);
        } else {
            task.state = TaskState::Uncertain;
        }
    }

    /// Changes the contact of all placements that pass a filter, and lists them.
    fn set_contact(
        &mut self,
        contact: Contact,
        filter: impl Fn(&Placement) -> bool,
    ) -> Vec<(JobKey, TaskIndex)> {
        let chosen = self.placed(filter);
        for (key, index) in &chosen {
            let job = self.jobs.get_mut(key);
            let task = job.and_then(|j| j.tasks.get_mut(usize::from(*index)));
            if let Some(TaskState::Placed(placement)) = task.map(|t| &mut t.state) {
                placement.contact = contact;
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

/// Returns true if a registration is not the present one any more.
fn has_ended(before: Registration, now: Registration) -> bool {
    before.is_none() || before != now
}

/// The attempt that stands for one that no agent can be asked about.
pub(super) const UNCERTAIN_ATTEMPT: AttemptId = AttemptId {
    epoch: masticcross_basics::Epoch(0),
    seq: 0,
};
