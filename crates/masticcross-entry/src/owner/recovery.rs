//! Takeover after a crash: rebuilds the table from the admissions in the log and the reports of
//! agents.

use std::collections::{BTreeMap, BTreeSet};

use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name, TaskIndex};
use masticcross_ledger::{AdmissionRecord, RegisteredAgent};
use masticcross_wire::{
    AttemptReport, AttemptState, Gathered, JobAnswer, JobRequest, Json, Refusal, TaskOutcome,
};

use super::AgentId;
use super::effect::{Effect, Waiters};
use super::job::{Connection, Job, Registration, Stage, Task, TaskState};
use super::shard::{Context, MissingAgent, Phase, Shard};
use crate::admission::AdmissionEvent;

/// Reports of agents received so far.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    reports: BTreeMap<(JobKey, TaskIndex, AttemptId), (AgentId, AttemptState)>,
    answered: BTreeSet<AgentId>,
}

impl Recovery {
    /// Adds a report.
    pub(super) fn add(&mut self, agent: &AgentId, gathered: Gathered) {
        for report in gathered.attempts {
            let id = (report.key, report.index, report.attempt);
            self.reports.insert(id, (agent.clone(), report.state));
        }
        if gathered.last {
            self.answered.insert(agent.clone());
        }
    }

    /// Returns true if an agent has sent its complete report.
    pub(super) fn has_answered(&self, agent: &AgentId) -> bool {
        self.answered.contains(agent)
    }
}

/// Agents in the replicated state at the end of the recovery.
pub(super) struct RegisteredAgents<'a> {
    pub agents: &'a BTreeMap<Name, RegisteredAgent>,
    pub agents_lost_at: u64,
    pub connected: &'a BTreeSet<AgentId>,
}

impl RegisteredAgents<'_> {
    /// Returns the registered agents that have not answered.
    fn missing_agents(&self, recovery: &Recovery) -> BTreeMap<AgentId, MissingAgent> {
        let mut missing = BTreeMap::new();
        for (worker, entry) in self.agents {
            let agent = AgentId {
                worker: worker.clone(),
                incarnation: entry.incarnation,
            };
            if !recovery.has_answered(&agent) {
                let registration = Some(entry.registered_at);
                let gone_at = None;
                missing.insert(
                    agent,
                    MissingAgent {
                        registration,
                        gone_at,
                    },
                );
            }
        }
        missing
    }

    fn registration_of(&self, agent: &AgentId) -> Registration {
        let entry = self.agents.get(&agent.worker)?;
        (entry.incarnation == agent.incarnation).then_some(entry.registered_at)
    }
}

/// A job as recorded in the log.
struct LoggedJob {
    record: AdmissionRecord,
    has_ended: bool,
}

type Reports = Vec<(AgentId, AttemptReport)>;

impl Shard {
    /// Completes the recovery: rebuilds the table and opens the partition.
    pub(super) fn recover(
        &mut self,
        recent: &[AdmissionEvent],
        registered: &RegisteredAgents<'_>,
        cx: &mut Context<'_>,
    ) {
        let Phase::Recovering(recovery) = &mut self.phase else {
            return;
        };
        let recovery = std::mem::take(recovery);
        self.missing_agents = registered.missing_agents(&recovery);
        self.lost_missing_agent = false;
        let mut reports = group_by_job(recovery.reports);
        for (key, logged) in logged_jobs(recent) {
            let job_reports = reports.remove(&key).unwrap_or_default();
            self.rebuild_job(&logged, job_reports, registered, cx);
        }
        for key in reports.keys() {
            log::warn!(job:% = key; "an agent reported a job whose admission is not in the log");
        }
        self.open(cx);
    }

    fn rebuild_job(
        &mut self,
        logged: &LoggedJob,
        reports: Reports,
        registered: &RegisteredAgents<'_>,
        cx: &mut Context<'_>,
    ) {
        let key = logged.record.key.clone();
        let lost_before_takeover = registered.agents_lost_at > logged.record.view;
        let job = recovered_job(&logged.record, lost_before_takeover, cx);
        self.jobs.insert(key.clone(), job);
        self.schedule_wakeup(cx.now + cx.rules.recovered_job_timeout, &key);
        for (agent, report) in best_reports(reports) {
            self.rebuild_task(&agent, report, registered, cx);
        }
        if !self.jobs.contains_key(&key) {
            return;
        }
        if self.finish_if_complete(&key, cx) {
            return;
        }
        if logged.has_ended {
            let detail = "the job ended and its answer was lost with its owner";
            self.fail(&key, Code::AnswerExpired, detail, cx);
        }
    }

    fn rebuild_task(
        &mut self,
        agent: &AgentId,
        report: AttemptReport,
        registered: &RegisteredAgents<'_>,
        cx: &mut Context<'_>,
    ) {
        let key = report.key.clone();
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if usize::from(report.index) >= job.tasks.len() {
            return;
        }
        match report.state {
            AttemptState::Ended(TaskOutcome::NotStarted(_)) => {}
            AttemptState::Ended(TaskOutcome::Stopped) => {
                let detail = "the job was stopped by the owner before";
                self.fail(&key, Code::OutcomeUnknown, detail, cx);
            }
            AttemptState::Ended(outcome) => self.apply_end(agent, &key, report.index, outcome, cx),
            AttemptState::Queued | AttemptState::Running => {
                let connection = if registered.connected.contains(agent) {
                    Connection::Connected
                } else {
                    Connection::Disconnected(registered.registration_of(agent))
                };
                self.adopt(agent, report, connection, cx);
            }
        }
    }

    /// Resumes a recovered job that was submitted again.
    pub(super) fn resume_recovered(&mut self, request: &JobRequest, cx: &mut Context<'_>) {
        let key = &request.key;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        self.timers.remove(&(job.deadline, key.clone()));
        job.team = request.team.clone();
        job.payloads.clone_from(&request.tasks);
        job.stage = Stage::Running;
        job.deadline = cx.now + std::time::Duration::from_millis(request.deadline_ms.into());
        let deadline = job.deadline;
        let waiting = job.queue_where(|state| *state == TaskState::Idle);
        if !waiting.is_empty() {
            cx.effects.push(Effect::Enqueue(waiting));
        }
        self.schedule_wakeup(deadline, key);
        self.resolve_uncertain(key, cx);
    }
}

fn recovered_job(record: &AdmissionRecord, lost_before_takeover: bool, cx: &Context<'_>) -> Job {
    Job {
        key: record.key.clone(),
        team: Name::from(""),
        repeatable: record.repeatable,
        digest: record.digest,
        payloads: Vec::<Json>::new(),
        tasks: vec![Task::new(TaskState::Uncertain); usize::from(record.tasks)],
        stage: Stage::Recovered,
        arrived: cx.now,
        deadline: cx.now + cx.rules.recovered_job_timeout,
        waiters: Waiters::new(),
        result_holders: BTreeSet::new(),
        may_have_run_before: false,
        lost_before_takeover,
    }
}

/// Combines the log records of a partition into jobs. Ignores late records of an older epoch.
fn logged_jobs(recent: &[AdmissionEvent]) -> BTreeMap<JobKey, LoggedJob> {
    let mut ended: BTreeMap<&JobKey, Epoch> = BTreeMap::new();
    let mut jobs: BTreeMap<JobKey, LoggedJob> = BTreeMap::new();
    for entry in recent {
        match entry {
            AdmissionEvent::Admitted(record) => {
                let ended_epoch = ended.get(&record.key).copied();
                let admitted_epoch = jobs.get(&record.key).map(|l| l.record.epoch);
                if ended_epoch
                    .max(admitted_epoch)
                    .is_some_and(|e| e > record.epoch)
                {
                    continue;
                }
                let logged = LoggedJob {
                    record: record.clone(),
                    has_ended: false,
                };
                jobs.insert(record.key.clone(), logged);
            }
            AdmissionEvent::Ended(record) => {
                let ended_epoch = ended.entry(&record.key).or_default();
                *ended_epoch = (*ended_epoch).max(record.epoch);
                if let Some(logged) = jobs.get_mut(&record.key) {
                    logged.has_ended |= logged.record.epoch <= record.epoch;
                }
            }
        }
    }
    jobs
}

fn group_by_job(
    reports: BTreeMap<(JobKey, TaskIndex, AttemptId), (AgentId, AttemptState)>,
) -> BTreeMap<JobKey, Reports> {
    let mut jobs: BTreeMap<JobKey, Reports> = BTreeMap::new();
    for ((key, index, attempt), (agent, state)) in reports {
        let report = AttemptReport {
            key: key.clone(),
            index,
            attempt,
            state,
        };
        jobs.entry(key).or_default().push((agent, report));
    }
    jobs
}

/// Chooses the current attempt of each task: an attempt with a result first, then the newest attempt
/// that started or may still start.
fn best_reports(reports: Reports) -> Vec<(AgentId, AttemptReport)> {
    let mut best: BTreeMap<TaskIndex, (AgentId, AttemptReport)> = BTreeMap::new();
    for (agent, report) in reports {
        let is_better = best
            .get(&report.index)
            .is_none_or(|(_, other)| rank(&report) > rank(other));
        if is_better {
            best.insert(report.index, (agent, report));
        }
    }
    best.into_values().collect()
}

fn rank(report: &AttemptReport) -> (u8, AttemptId) {
    let class = match &report.state {
        AttemptState::Ended(TaskOutcome::Done(_)) => 2,
        AttemptState::Ended(TaskOutcome::NotStarted(_)) => 0,
        AttemptState::Ended(_) | AttemptState::Running | AttemptState::Queued => 1,
    };
    (class, report.attempt)
}

/// Returns the answer to a submission or query that timed out during a recovery or a handover.
pub(super) fn still_recovering() -> JobAnswer {
    let detail = "the owner of the job is still being recovered";
    JobAnswer::Refused(Refusal::failed(Code::NoOwner, detail))
}
