//! Takeover after a crash, and planned handover.

use std::collections::{BTreeMap, BTreeSet};

use masticcross_basics::{AttemptId, Code, Epoch, Name, Partition};
use masticcross_ledger::{AdmissionRecord, EndedRecord, RegisteredAgent};
use masticcross_wire::{AttemptReport, AttemptState, Gathered, JobAnswer};

use super::super::recovery::{Recovery, Registered};
use super::super::shard::Phase;
use super::{EPOCH, Table, VIEW, agent, done, job, queued};
use crate::admission::Recent;
use crate::dispatch::Waiting;

/// A takeover of a job of two tasks, with what the log and one agent say.
struct Takeover {
    recent: Vec<Recent>,
    reports: Vec<AttemptReport>,
    answered: bool,
    lost_at: u64,
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
            recent: vec![Recent::Admitted(record)],
            reports: Vec::new(),
            answered: true,
            lost_at: 0,
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
        self.recent.push(Recent::Ended(EndedRecord {
            key: job(2, true).key,
            epoch: Epoch(epoch),
        }));
        self
    }

    /// Takes over, then submits the job again. Returns the table and the tasks queued.
    fn run(self) -> (Table, Vec<Waiting>) {
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
        let registered = Registered {
            agents: &BTreeMap::from([(Name::from("a"), entry)]),
            lost_at: self.lost_at,
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
fn a_takeover_adopts_what_runs_and_starts_what_is_missing() {
    let takeover = Takeover::new(false).report(0, AttemptState::Running);
    let (mut table, queued) = takeover.run();
    assert_eq!(queued.iter().map(|w| w.index).collect::<Vec<_>>(), [1]);
    let attempt = AttemptId {
        epoch: Epoch(4),
        seq: 1,
    };
    let first = Waiting {
        index: 0,
        ..queued[0].clone()
    };
    table.end(&agent("a"), &first, attempt, done("0"));
    let second = table.place(&queued[0], &agent("a"));
    table.end(&agent("a"), &queued[0], second, done("1"));
    assert!(matches!(
        table.answer(&first.key),
        Some(JobAnswer::Complete(_))
    ));
}

#[test]
fn a_takeover_puts_the_answer_of_an_ended_job_together_again() {
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
fn a_takeover_starts_nothing_of_a_job_that_ended() {
    let (table, queued) = Takeover::new(true).ended(4).run();
    assert!(queued.is_empty());
    assert_eq!(
        table.code(&job(2, true).key),
        Some((Code::AnswerExpired, false))
    );
}

#[test]
fn a_late_admission_of_an_older_owner_does_not_bring_an_ended_job_back() {
    let mut takeover = Takeover::new(true).ended(6);
    let Recent::Admitted(mut newer) = takeover.recent[0].clone() else {
        panic!("the first record is an admission");
    };
    newer.epoch = Epoch(6);
    takeover.recent.rotate_left(1);
    takeover.recent.insert(0, Recent::Admitted(newer));
    let (table, queued) = takeover.run();
    assert!(queued.is_empty());
    assert_eq!(
        table.code(&job(2, true).key),
        Some((Code::AnswerExpired, false))
    );
}

#[test]
fn a_takeover_waits_for_an_agent_that_has_not_answered() {
    let mut takeover = Takeover::new(true);
    takeover.answered = false;
    let (mut table, early) = takeover.run();
    assert!(early.is_empty());
    let effects = table.decide(|shard, cx| shard.report_complete(&agent("a"), cx));
    assert_eq!(queued(&effects).len(), 2);
}

#[test]
fn a_takeover_fails_what_a_lost_agent_may_have_started_and_may_not_be_repeated() {
    let mut takeover = Takeover::new(false);
    takeover.lost_at = VIEW + 1;
    let (table, queued) = takeover.run();
    assert!(queued.is_empty());
    assert_eq!(
        table.code(&job(2, true).key),
        Some((Code::WorkerLost, false))
    );
}

#[test]
fn a_table_survives_its_handover() {
    let mut table = Table::open();
    let job = job(3, true);
    let waiting = table.admit(&job);
    let first = table.place(&waiting[0], &agent("a"));
    table.place(&waiting[1], &agent("a"));
    table.end(&agent("a"), &waiting[0], first, done("0"));
    assert!(table.shard.begin_move() && table.shard.is_settled());
    let frames = table.shard.export(table.now);
    assert!(frames.last().is_some_and(|f| f.last));
    let jobs = frames.into_iter().flat_map(|f| f.jobs).collect();
    let mut next = Table::open();
    let mut holders = Vec::new();
    let effects = next.decide(|shard, cx| holders = shard.import(jobs, cx));
    assert_eq!(holders, [agent("a")]);
    let tasks: Vec<u16> = queued(&effects).iter().map(|w| w.index).collect();
    assert_eq!(tasks, [2]);
}
