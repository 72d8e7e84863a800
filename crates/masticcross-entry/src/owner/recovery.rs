//! Takeover after a crash: the table is put together from the admissions in the log and from what
//! agents report.

use std::collections::{BTreeMap, BTreeSet};

use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name, TaskIndex};
use masticcross_ledger::{AdmissionRecord, RegisteredAgent};
use masticcross_wire::{
    AttemptReport, AttemptState, Gathered, JobAnswer, JobRequest, Json, Refusal, TaskOutcome,
};

use super::AgentId;
use super::effect::{Effect, Waiters};
use super::job::{Contact, Job, Registration, Stage, Task, TaskState};
use super::shard::{Cx, Missing, Phase, Shard};
use crate::admission::Recent;

/// What agents have reported so far.
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

    /// Returns true if an agent has answered.
    pub(super) fn has_answered(&self, agent: &AgentId) -> bool {
        self.answered.contains(agent)
    }
}

/// What the agreed state says about agents at the end of the recovery.
pub(super) struct Registered<'a> {
    pub agents: &'a BTreeMap<Name, RegisteredAgent>,
    pub lost_at: u64,
    pub connected: &'a BTreeSet<AgentId>,
}

impl Registered<'_> {
    /// Lists the registered agents that have not answered.
    fn missing(&self, recovery: &Recovery) -> BTreeMap<AgentId, Missing> {
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
                    Missing {
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

/// What the log says about a job.
struct Logged {
    record: AdmissionRecord,
    has_ended: bool,
}

type Reports = Vec<(AgentId, AttemptReport)>;

impl Shard {
    /// Ends the recovery: builds the table and opens the partition.
    pub(super) fn recover(
        &mut self,
        recent: &[Recent],
        registered: &Registered<'_>,
        cx: &mut Cx<'_>,
    ) {
        let Phase::Recovering(recovery) = &mut self.phase else {
            return;
        };
        let recovery = std::mem::take(recovery);
        self.missing = registered.missing(&recovery);
        self.has_lost_missing = false;
        let mut reports = by_job(recovery.reports);
        for (key, logged) in logged_jobs(recent) {
            let known = reports.remove(&key).unwrap_or_default();
            self.rebuild(&logged, known, registered, cx);
        }
        for key in reports.keys() {
            log::warn!(job:% = key; "an agent reports a job whose admission is not in the log");
        }
        self.open(cx);
    }

    fn rebuild(
        &mut self,
        logged: &Logged,
        reports: Reports,
        registered: &Registered<'_>,
        cx: &mut Cx<'_>,
    ) {
        let key = logged.record.key.clone();
        let lost_before = registered.lost_at > logged.record.view;
        let job = recovered_job(&logged.record, lost_before, cx);
        self.jobs.insert(key.clone(), job);
        self.wake_at(cx.now + cx.rules.revive_within, &key);
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
        registered: &Registered<'_>,
        cx: &mut Cx<'_>,
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
            AttemptState::Ended(outcome) => self.apply(agent, &key, report.index, outcome, cx),
            AttemptState::Queued | AttemptState::Running => {
                let contact = if registered.connected.contains(agent) {
                    Contact::Good
                } else {
                    Contact::Away(registered.registration_of(agent))
                };
                self.adopt(agent, report, contact, cx);
            }
        }
    }

    /// Goes on with a recovered job whose request has come back.
    pub(super) fn revive(&mut self, request: &JobRequest, cx: &mut Cx<'_>) {
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
        self.wake_at(deadline, key);
        self.resolve_uncertain(key, cx);
    }
}

fn recovered_job(record: &AdmissionRecord, lost_before: bool, cx: &Cx<'_>) -> Job {
    Job {
        key: record.key.clone(),
        team: Name::from(""),
        repeatable: record.repeatable,
        digest: record.digest,
        payloads: Vec::<Json>::new(),
        tasks: vec![Task::new(TaskState::Uncertain); usize::from(record.tasks)],
        stage: Stage::Recovered,
        arrived: cx.now,
        deadline: cx.now + cx.rules.revive_within,
        waiters: Waiters::new(),
        agents: BTreeSet::new(),
        ran: false,
        lost_before,
    }
}

/// Folds the log's records of a partition. A late record of an older epoch changes nothing.
fn logged_jobs(recent: &[Recent]) -> BTreeMap<JobKey, Logged> {
    let mut ended: BTreeMap<&JobKey, Epoch> = BTreeMap::new();
    let mut jobs: BTreeMap<JobKey, Logged> = BTreeMap::new();
    for entry in recent {
        match entry {
            Recent::Admitted(record) => {
                let ended_at = ended.get(&record.key).copied();
                let known_at = jobs.get(&record.key).map(|l| l.record.epoch);
                if ended_at.max(known_at).is_some_and(|e| e > record.epoch) {
                    continue;
                }
                let logged = Logged {
                    record: record.clone(),
                    has_ended: false,
                };
                jobs.insert(record.key.clone(), logged);
            }
            Recent::Ended(record) => {
                let at = ended.entry(&record.key).or_default();
                *at = (*at).max(record.epoch);
                if let Some(logged) = jobs.get_mut(&record.key) {
                    logged.has_ended |= logged.record.epoch <= record.epoch;
                }
            }
        }
    }
    jobs
}

fn by_job(
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

/// Chooses for each task the attempt that counts: a result before anything else, then the newest
/// attempt that started or still may.
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

/// Returns the answer to a submission that came while the owner was being found.
pub(super) fn still_recovering() -> JobAnswer {
    let detail = "the owner of the job is still being recovered";
    JobAnswer::Refused(Refusal::failed(Code::NoOwner, detail))
}
