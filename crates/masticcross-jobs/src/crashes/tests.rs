//! Tests of what crashes say about tasks and queues.

use std::time::Duration;

use masticcross_wire::crash::{CrashedRun, Isolation, WorkerCrash};
use masticcross_wire::pool::{RunId, TaskId};
use tokio::time::Instant;

use super::confinement::{Confinement, Limit, Place};
use super::log::{CrashLog, RETENTION};
use super::suspects::{Evidence, Suspects, Verdict};

/// Defines one test per case.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body(Fixture::new()) })*
    };
}

const SECOND: Duration = Duration::from_secs(1);

const PROOF: Evidence = Evidence::Proof(Duration::from_millis(13));

struct Fixture {
    log: CrashLog,
    suspects: Suspects,
    confinement: Confinement,
    now: Instant,
    crashes: u64,
}

impl Fixture {
    fn new() -> Self {
        Self {
            log: CrashLog::default(),
            suspects: Suspects::default(),
            confinement: Confinement::default(),
            now: Instant::now(),
            crashes: 0,
        }
    }

    /// Records a crash of another worker.
    fn crash(&mut self, runs: &[CrashedRun]) {
        self.crashes += 1;
        let crash = crash(self.crashes, runs);
        self.announce(&crash);
        self.now += Duration::from_millis(30);
    }

    fn announce(&mut self, crash: &WorkerCrash) {
        if let Some(new) = self.log.add(crash, self.now) {
            self.suspects.add(&new, self.now);
        }
    }

    fn verdict(&self, index: u16) -> Verdict {
        self.suspects.verdict(&task(index))
    }

    fn succeed(&mut self, runs: u32, time: Duration) {
        for _ in 0..runs {
            self.confinement.succeeded("queue", self.now);
            self.now += time / runs;
        }
        self.confinement.relax(self.now);
    }

    fn add_evidence(&mut self, evidence: Evidence) {
        let now = self.now;
        self.confinement
            .add_evidence(&"queue".into(), evidence, now, now);
    }
}

fn crash(number: u64, runs: &[CrashedRun]) -> WorkerCrash {
    WorkerCrash {
        worker: format!("agent-{number}").into(),
        started_at_ms: number,
        age_ms: 0,
        runs: runs.to_vec(),
    }
}

fn task(index: u16) -> TaskId {
    TaskId {
        job: "job".into(),
        step: 0,
        index,
    }
}

fn run(index: u16, ran_ms: u32, isolation: Isolation) -> CrashedRun {
    CrashedRun {
        id: RunId {
            task: task(index),
            submission: 1,
            run: 1,
        },
        queue: "queue".into(),
        ran_ms,
        isolation,
    }
}

fn shared(index: u16, ran_ms: u32) -> CrashedRun {
    run(index, ran_ms, Isolation::Shared)
}

cases! {
    tasks_in_one_crash_are_suspects => |mut f: Fixture| {
        f.crash(&[shared(0, 13), shared(1, 80)]);
        assert_eq!(f.verdict(0), Verdict::Suspect);
        assert_eq!(f.verdict(1), Verdict::Suspect);
        assert_eq!(f.verdict(2), Verdict::Clear);
    };

    a_task_that_was_alone_in_its_second_crash_is_the_cause => |mut f: Fixture| {
        f.crash(&[shared(0, 13), shared(1, 80)]);
        f.crash(&[run(0, 13, Isolation::Alone)]);
        assert_eq!(f.verdict(0), Verdict::Cause);
        assert_eq!(f.verdict(1), Verdict::Suspect);
    };

    a_task_that_was_never_alone_is_not_the_cause => |mut f: Fixture| {
        for _ in 0..3 {
            f.crash(&[shared(0, 13), shared(1, 13)]);
        }
        assert_eq!(f.verdict(0), Verdict::RepeatedSuspect);
        f.crash(&[shared(0, 13), shared(1, 13)]);
        assert_eq!(f.verdict(0), Verdict::Exhausted);
    };

    the_first_crash_proves_nothing_even_alone => |mut f: Fixture| {
        f.crash(&[run(0, 13, Isolation::Alone)]);
        assert_eq!(f.verdict(0), Verdict::Suspect);
    };

    crashes_of_several_workers_at_once_are_no_evidence => |mut f: Fixture| {
        for number in 1..=3 {
            let index = u16::try_from(number).expect("small");
            f.announce(&crash(number, &[shared(index, 40)]));
        }
        for index in 1..=3 {
            assert_eq!(f.verdict(index), Verdict::Clear);
        }
    };

    crashes_in_a_row_under_one_task_are_evidence => |mut f: Fixture| {
        for number in 1..=3 {
            f.announce(&crash(number, &[shared(0, 3), shared(10, 3)]));
            f.now += Duration::from_millis(4);
        }
        assert_eq!(f.verdict(0), Verdict::RepeatedSuspect);
    };

    a_crash_counts_once_however_often_it_is_announced => |mut f: Fixture| {
        let crash = crash(1, &[shared(0, 13)]);
        f.announce(&crash);
        f.announce(&crash);
        assert_eq!(f.suspects.crashes_under(&task(0)), 1);
    };

    further_runs_of_a_known_crash_are_added => |mut f: Fixture| {
        f.announce(&crash(1, &[shared(0, 13)]));
        f.announce(&crash(1, &[shared(0, 13), shared(1, 20)]));
        assert_eq!(f.verdict(0), Verdict::Suspect);
        assert_eq!(f.verdict(1), Verdict::Suspect);
        assert_eq!(f.log.recent(f.now)[0].runs.len(), 2);
    };

    crashes_are_forgotten_after_a_while => |mut f: Fixture| {
        f.crash(&[shared(0, 13)]);
        f.now += RETENTION;
        f.crash(&[shared(1, 13)]);
        assert_eq!(f.verdict(0), Verdict::Clear);
        assert_eq!(f.log.recent(f.now).len(), 1);
    };

    an_announced_crash_keeps_its_time => |mut f: Fixture| {
        f.crash(&[shared(0, 13)]);
        f.now += SECOND * 10;
        let recent = f.log.recent(f.now);
        assert_eq!(recent[0].age_ms, 10_030);
        f.now += SECOND * 19;
        let mut other = Fixture { now: f.now, ..Fixture::new() };
        other.announce(&f.log.recent(f.now)[0]);
        assert_eq!(other.verdict(0), Verdict::Suspect);
        other.now += SECOND * 2;
        other.crash(&[]);
        assert_eq!(other.verdict(0), Verdict::Clear);
    };

    a_spaced_run_that_crashes_as_soon_as_before_is_evidence_against_its_queue => |mut f: Fixture| {
        f.crash(&[shared(0, 13), shared(1, 13)]);
        let second = [run(0, 15, Isolation::Spaced), shared(2, 5)];
        f.crash(&second);
        assert_eq!(f.suspects.evidence_against_queue(&second[0]), Some(Evidence::Strong));
        assert_eq!(f.suspects.evidence_against_queue(&second[1]), None);
    };

    a_spaced_run_that_had_run_longer_before_is_no_evidence => |mut f: Fixture| {
        f.crash(&[shared(0, 130)]);
        let second = [run(0, 15, Isolation::Spaced)];
        f.crash(&second);
        assert_eq!(f.suspects.evidence_against_queue(&second[0]), None);
    };

    a_run_that_was_alone_and_ran_as_long_as_before_is_proof => |mut f: Fixture| {
        f.crash(&[shared(0, 690)]);
        let second = [run(0, 700, Isolation::Alone)];
        f.crash(&second);
        let proof = Evidence::Proof(Duration::from_millis(700));
        assert_eq!(f.suspects.evidence_against_queue(&second[0]), Some(proof));
        assert_eq!(f.verdict(0), Verdict::Cause);
    };

    a_task_that_was_alone_but_ran_for_another_time_is_not_the_cause => |mut f: Fixture| {
        f.crash(&[shared(0, 13)]);
        let second = [run(0, 300, Isolation::Alone)];
        f.crash(&second);
        assert_eq!(f.suspects.evidence_against_queue(&second[0]), None);
        assert_eq!(f.verdict(0), Verdict::RepeatedSuspect);
        f.crash(&[run(0, 310, Isolation::Alone)]);
        assert_eq!(f.verdict(0), Verdict::Cause);
    };

    a_queue_without_proof_regains_all_workers_at_once => |mut f: Fixture| {
        f.add_evidence(Evidence::Strong);
        assert_eq!(f.confinement.limit("queue"), Some(Limit::Exclusive));
        f.succeed(40, SECOND);
        assert_eq!(f.confinement.limit("queue"), Some(Limit::Exclusive));
        f.succeed(40, SECOND);
        assert_eq!(f.confinement.limit("queue"), None);
    };

    a_queue_with_proof_regains_workers_in_steps => |mut f: Fixture| {
        f.add_evidence(PROOF);
        f.succeed(40, SECOND * 2);
        assert_eq!(f.confinement.limit("queue"), Some(Limit::Relaxed));
        f.succeed(40, SECOND * 2);
        assert_eq!(f.confinement.limit("queue"), None);
    };

    a_queue_does_not_regain_workers_while_none_of_its_runs_ends => |mut f: Fixture| {
        f.add_evidence(PROOF);
        f.now += SECOND * 9;
        f.confinement.relax(f.now);
        assert_eq!(f.confinement.limit("queue"), Some(Limit::Exclusive));
    };

    a_queue_without_jobs_regains_workers_in_the_end => |mut f: Fixture| {
        f.add_evidence(PROOF);
        for _ in 0..2 {
            f.now += SECOND * 10;
            f.confinement.relax(f.now);
        }
        assert!(f.confinement.is_empty());
    };

    a_crash_takes_the_regained_workers_away => |mut f: Fixture| {
        f.add_evidence(PROOF);
        f.succeed(40, SECOND * 2);
        f.confinement.crashed("queue", f.now);
        assert_eq!(f.confinement.limit("queue"), Some(Limit::Exclusive));
    };

    a_queue_waits_longer_after_each_crash => |mut f: Fixture| {
        f.add_evidence(PROOF);
        f.confinement.crashed("queue", f.now);
        f.succeed(40, SECOND / 2);
        assert_eq!(f.confinement.limit("queue"), Some(Limit::Relaxed));
        for _ in 0..3 {
            f.confinement.crashed("queue", f.now);
        }
        f.succeed(40, SECOND);
        assert_eq!(f.confinement.limit("queue"), Some(Limit::Exclusive));
        f.succeed(40, SECOND / 2);
        assert_eq!(f.confinement.limit("queue"), Some(Limit::Relaxed));
    };

    a_crash_does_not_prolong_a_confinement_without_proof => |mut f: Fixture| {
        f.add_evidence(Evidence::Strong);
        f.succeed(40, SECOND);
        f.confinement.crashed("queue", f.now);
        f.succeed(40, SECOND);
        assert!(f.confinement.is_empty());
    };

    a_fifth_of_the_workers_is_left_to_confined_queues => |_| {
        let exclusive = |workers| {
            (0..workers).filter(|rank| Place { rank: *rank, workers }.is_exclusive()).count()
        };
        assert_eq!([1, 3, 4, 11, 60].map(exclusive), [0, 0, 1, 2, 12]);
        let within = |workers| {
            let place = |rank| Place { rank, workers };
            (0..workers).filter(|rank| place(*rank).is_within(Limit::Exclusive)).count()
        };
        assert_eq!([1, 3, 4, 11, 60].map(within), [1, 1, 1, 2, 12]);
    };
}
