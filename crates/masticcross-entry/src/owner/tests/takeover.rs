//! Tests of takeover after a crash and of planned handover.

use std::collections::{BTreeMap, BTreeSet};

use masticcross_basics::{AttemptId, Code, Epoch, Name, Partition};
use masticcross_ledger::{AdmissionRecord, EndedRecord, RegisteredAgent};
use masticcross_wire::{AttemptReport, AttemptState, Gathered, JobAnswer};

use super::super::recovery::{Recovery, RegisteredAgents};
use super::super::shard::Phase;
use super::{EPOCH, Table, VIEW, agent, done, job, queued};
use crate::admission::AdmissionEvent;
use crate::dispatch::WaitingTask;

/// A takeover of a job with two tasks, from records in the log and the report of one agent.
struct Takeover {
    recent: Vec<AdmissionEvent>,
    reports: Vec<AttemptReport>,
    answered: bool,
    agents_lost_at: u64,
    repeatable: bool,
}

impl Takeover {
    fn new(repeatable: bool) -> Self {
        let job = job(2, repeatable);
        let record = AdmissionRecord {
            key: job.key.clone(),
            epoch: Epoch(4),
            digest: job.digest(),
            repeatable,
            tasks: 2,
            view: VIEW,
        };
        Self {
            recent: vec![AdmissionEvent::Admitted(record)],
            reports: Vec::new(),
            answered: true,
            agents_lost_at: 0,
            repeatable,
        }
    }

    fn report(mut self, index: u16, state: AttemptState) -> Self {
        let attempt = AttemptId {
            epoch: Epoch(4),
            seq: u64::from(index) + 1,
        };
        self.reports.push(AttemptReport {
            key: job(2, true).key,
            index,
            attempt,
            state,
        });
        self
    }

    fn ended(mut self, epoch: u64) -> Self {
        self.recent.push(AdmissionEvent::Ended(EndedRecord {
            key: job(2, true).key,
            epoch: Epoch(epoch),
        }));
        self
    }

    /// Recovers the partition, then submits the job again. Returns the table and the queued tasks.
    fn run(self) -> (Table, Vec<WaitingTask>) {
        let mut table = Table::open();
        let mut recovery = Recovery::default();
        let gathered = Gathered {
            partition: Partition(0),
            epoch: EPOCH,
            attempts: self.reports,
            last: self.answered,
        };
        recovery.add(&agent("a"), gathered);
        table.shard.phase = Phase::Recovering(recovery);
        let entry = RegisteredAgent {
            incarnation: 1,
            registered_at: 3,
            zone: Name::from("north"),
        };
        let registered = RegisteredAgents {
            agents: &BTreeMap::from([(Name::from("a"), entry)]),
            agents_lost_at: self.agents_lost_at,
            connected: &BTreeSet::from([agent("a")]),
        };
        table.decide(|shard, cx| shard.recover(&self.recent, &registered, cx));
        let job = job(2, self.repeatable);
        let effects = table.decide(|shard, cx| {
            let _ = shard.look_up(EPOCH, &job, job.digest(), cx);
        });
        (table, queued(&effects))
    }
}

#[test]
fn takeover_adopts_running_attempt_and_queues_missing_task() {
    let takeover = Takeover::new(false).report(0, AttemptState::Running);
    let (mut table, queued) = takeover.run();
    assert_eq!(queued.iter().map(|w| w.index).collect::<Vec<_>>(), [1]);
    let attempt = AttemptId {
        epoch: Epoch(4),
        seq: 1,
    };
    let first = WaitingTask {
        index: 0,
        ..queued[0].clone()
    };
    table.end_attempt(&agent("a"), &first, attempt, done("0"));
    let second = table.place(&queued[0], &agent("a"));
    table.end_attempt(&agent("a"), &queued[0], second, done("1"));
    assert!(matches!(
        table.answer(&first.key),
        Some(JobAnswer::Complete(_))
    ));
}

#[test]
fn takeover_restores_answer_of_ended_job_from_reported_results() {
    let takeover = Takeover::new(true)
        .report(0, AttemptState::Ended(done("0")))
        .report(1, AttemptState::Ended(done("1")))
        .ended(4);
    let (table, queued) = takeover.run();
    assert!(queued.is_empty());
    assert!(matches!(
        table.answer(&job(2, true).key),
        Some(JobAnswer::Complete(_))
    ));
}

#[test]
fn takeover_queues_no_task_of_ended_job_without_results() {
    let (table, queued) = Takeover::new(true).ended(4).run();
    assert!(queued.is_empty());
    assert_eq!(
        table.code(&job(2, true).key),
        Some((Code::AnswerExpired, false))
    );
}

#[test]
fn late_admission_with_older_epoch_does_not_reopen_ended_job() {
    let mut takeover = Takeover::new(true).ended(6);
    let AdmissionEvent::Admitted(mut newer) = takeover.recent[0].clone() else {
        panic!("the first record is an admission");
    };
    newer.epoch = Epoch(6);
    takeover.recent.rotate_left(1);
    takeover.recent.insert(0, AdmissionEvent::Admitted(newer));
    let (table, queued) = takeover.run();
    assert!(queued.is_empty());
    assert_eq!(
        table.code(&job(2, true).key),
        Some((Code::AnswerExpired, false))
    );
}

#[test]
fn takeover_queues_tasks_only_after_missing_agent_answered() {
    let mut takeover = Takeover::new(true);
    takeover.answered = false;
    let (mut table, queued_before) = takeover.run();
    assert!(queued_before.is_empty());
    let effects = table.decide(|shard, cx| shard.report_complete(&agent("a"), cx));
    assert_eq!(queued(&effects).len(), 2);
}

#[test]
fn takeover_fails_non_repeatable_job_if_agent_was_lost() {
    let mut takeover = Takeover::new(false);
    takeover.agents_lost_at = VIEW + 1;
    let (table, queued) = takeover.run();
    assert!(queued.is_empty());
    assert_eq!(
        table.code(&job(2, true).key),
        Some((Code::WorkerLost, false))
    );
}

#[test]
fn handed_over_table_lists_agents_with_attempts_and_queues_waiting_tasks() {
    let mut table = Table::open();
    let job = job(3, true);
    let waiting = table.admit(&job);
    let first = table.place(&waiting[0], &agent("a"));
    table.place(&waiting[1], &agent("a"));
    table.end_attempt(&agent("a"), &waiting[0], first, done("0"));
    assert!(table.shard.begin_handover() && table.shard.is_ready_for_handover());
    let frames = table.shard.export(table.now);
    assert!(frames.last().is_some_and(|f| f.last));
    let jobs = frames.into_iter().flat_map(|f| f.jobs).collect();
    let mut next = Table::open();
    let mut placed_agents = Vec::new();
    let effects = next.decide(|shard, cx| placed_agents = shard.import(jobs, cx));
    assert_eq!(placed_agents, [agent("a")]);
    let tasks: Vec<u16> = queued(&effects).iter().map(|w| w.index).collect();
    assert_eq!(tasks, [2]);
}
