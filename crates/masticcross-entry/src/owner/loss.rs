//! Agents that are lost and come back: what of their attempts did not start, and what may be run
//! again.

use std::collections::BTreeSet;

use masticcross_basics::{AttemptId, Code, JobKey, TaskIndex};
use masticcross_wire::{AttemptReport, AttemptState, StopTasks};

use super::AgentId;
use super::effect::Effect;
use super::job::{Contact, Placement, Stage, TaskState};
use super::shard::{Cx, Phase, Shard};

impl Shard {
    /// Notes that the session with an agent is gone.
    pub(super) fn agent_lost(&mut self, agent: &AgentId, cx: &mut Cx<'_>) {
        let contact = Contact::LostSince(cx.now);
        let lost = self.set_contact(contact, |p| p.agent == *agent);
        self.wake_after_fence(&lost, cx);
    }

    /// Notes that an agent is connected. Attempts of an earlier start of the worker are lost; those
    /// of this start wait for what the agent reports, and so does a partition that recovers.
    pub(super) fn agent_found(&mut self, agent: &AgentId, cx: &mut Cx<'_>) {
        let asked = self.set_contact(Contact::Asking, |p| {
            p.agent == *agent && p.contact != Contact::Good
        });
        if !asked.is_empty() || self.wants_report_of(agent) {
            cx.effects.push(Effect::Gather(agent.clone()));
        }
        let lost = self.set_contact(Contact::LostSince(cx.now), |p| {
            p.agent.worker == agent.worker
                && p.agent.incarnation < agent.incarnation
                && !matches!(p.contact, Contact::LostSince(_))
        });
        self.wake_after_fence(&lost, cx);
    }

    fn wants_report_of(&self, agent: &AgentId) -> bool {
        match self.phase {
            Phase::Recovering(_) => true,
            Phase::Open => self.unstopped.contains(agent) || self.has_uncertain(),
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

    /// Runs again, or fails, what was lost for longer than the fence.
    pub(super) fn judge_lost(&mut self, key: &JobKey, cx: &mut Cx<'_>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let (now, fence) = (cx.now, cx.rules.fence);
        let lost = job.indexes(|state| match state {
            TaskState::Placed(p) => is_fenced(p, now, fence),
            _ => false,
        });
        if lost.is_empty() {
            return;
        }
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
    pub(super) fn run_again(&mut self, key: &JobKey, index: TaskIndex, cx: &mut Cx<'_>) {
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

    fn wake_after_fence(&mut self, lost: &[(JobKey, TaskIndex)], cx: &Cx<'_>) {
        let at = Self::fence_end(cx.now, cx);
        let keys: BTreeSet<&JobKey> = lost.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.timers.insert((at, key.clone()));
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

fn is_fenced(placement: &Placement, now: tokio::time::Instant, fence: std::time::Duration) -> bool {
    matches!(placement.contact, Contact::LostSince(since) if since + fence <= now)
}

/// The attempt that stands for one that no agent can be asked about.
pub(super) const UNCERTAIN_ATTEMPT: AttemptId = AttemptId {
    epoch: masticcross_basics::Epoch(0),
    seq: 0,
};
