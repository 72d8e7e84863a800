//! Tests of what the scheduler does after crashes of workers.

use std::collections::BTreeSet;
use std::time::Duration;

use masticcross_basics::Code;
use masticcross_wire::NotStartedReason;
use masticcross_wire::crash::{CrashedRun, Isolation, WorkerCrash};
use masticcross_wire::pool::{PoolFrame, RunId, RunRequest, RunResult};
use smallvec::smallvec;

use super::{Effect, Fixture, SECOND, name, tasks, worker};
use crate::crashes::SPACING;
use crate::crashes::log::RETENTION;
use crate::job::{JobOutcome, JobRequest};
use crate::scheduler::SessionId;

/// Defines one test per case, with ten workers of 8 cores.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body(Fixture::with_workers(10)) })*
    };
}

impl Fixture {
    fn with_workers(count: SessionId) -> Self {
        let mut fixture = Self::new();
        for session in 1..=count {
            fixture.connect(session, 1, worker("zone-a", 8));
        }
        fixture
    }

    /// Submits a job of one task and returns where it was sent.
    fn submit_task(&mut self, id: &str) -> (SessionId, RunRequest) {
        self.submit(self.job(id, smallvec![tasks(1, 1)]));
        self.sent.pop().expect("there is room")
    }

    /// Crashes a worker with the given runs, which had run for 13 ms. It is back after a second.
    fn crash(&mut self, session: SessionId, runs: &[&RunRequest]) {
        self.now += Duration::from_millis(13);
        self.announce_crash(session, runs, "usual");
        for run in runs {
            self.end(session, &run.id, RunResult::Lost);
        }
        self.step(|s, now| s.worker_changed(&name(session), session, None, now));
    }

    fn announce_crash(&mut self, session: SessionId, runs: &[&RunRequest], queue: &str) {
        let runs = runs.iter().map(|run| CrashedRun {
            id: run.id.clone(),
            queue: queue.into(),
            ran_ms: 13,
            isolation: run.isolation,
        });
        let crash = WorkerCrash {
            worker: name(session),
            started_at_ms: 1,
            age_ms: 0,
            runs: runs.collect(),
        };
        self.step(|s, now| s.crashes_announced(session, &[crash], now));
    }

    /// Crashes workers under a task until its queue is confined.
    fn confine_usual_queue(&mut self) {
        let (first, run) = self.submit_task("crashing");
        self.crash(first, &[&run]);
        let (second, run) = self.sent.pop().expect("placed again");
        assert_eq!(run.isolation, Isolation::Spaced);
        self.crash(second, &[&run]);
    }

    fn urgent(&self, id: &str, count: u16) -> JobRequest {
        JobRequest {
            queue: "urgent".into(),
            ..self.job(id, smallvec![tasks(count, 1)])
        }
    }

    fn sessions_of_sent(&mut self) -> BTreeSet<SessionId> {
        self.sent.drain(..).map(|(session, _)| session).collect()
    }

    fn isolations(&self) -> Vec<Isolation> {
        self.sent.iter().map(|(_, run)| run.isolation).collect()
    }
}

fn run_of(id: &str) -> RunId {
    RunId {
        task: masticcross_wire::pool::TaskId {
            job: id.into(),
            step: 0,
            index: 0,
        },
        submission: 1,
        run: 1,
    }
}

cases! {
    runs_lost_in_a_crash_start_again_at_different_workers => |mut f: Fixture| {
        f.submit(f.job("job", smallvec![tasks(4, 1)]));
        let sent: Vec<_> = f.sent.drain(..).collect();
        let runs: Vec<&RunRequest> = sent.iter().map(|(_, run)| run).collect();
        f.announce_crash(1, &runs, "usual");
        for (session, run) in &sent {
            f.end(*session, &run.id, RunResult::Lost);
        }
        assert_eq!(f.isolations(), vec![Isolation::Spaced; 4]);
        assert_eq!(f.sessions_of_sent().len(), 4);
    };

    runs_lost_in_a_crash_wait_if_each_worker_has_just_started_one => |_| {
        let mut f = Fixture::with_workers(1);
        f.connect(2, 1, worker("zone-a", 8));
        f.submit(f.job("job", smallvec![tasks(3, 1)]));
        let sent: Vec<_> = f.sent.drain(..).collect();
        let runs: Vec<&RunRequest> = sent.iter().map(|(_, run)| run).collect();
        f.announce_crash(3, &runs, "usual");
        for (session, run) in &sent {
            f.end(*session, &run.id, RunResult::Lost);
        }
        assert_eq!(f.sent.len(), 2);
        f.advance(SPACING);
        assert_eq!(f.sent.len(), 3);
    };

    a_worker_that_refused_a_spaced_run_is_passed_over_for_a_while => |mut f: Fixture| {
        let (first, run) = f.submit_task("job");
        f.crash(first, &[&run]);
        let (second, run) = f.sent.pop().expect("placed again");
        let refused = RunResult::NotStarted(NotStartedReason::Isolated);
        f.end(second, &run.id, refused);
        assert_ne!(f.sent.pop().expect("placed again").0, second);
    };

    a_task_in_two_crashes_runs_alone => |mut f: Fixture| {
        f.confine_usual_queue();
        assert_eq!(f.isolations(), vec![Isolation::Alone]);
        let (session, _) = f.sent.pop().expect("placed again");
        f.submit(f.job("other", smallvec![tasks(16, 1)]));
        assert!(!f.sessions_of_sent().contains(&session));
    };

    a_job_whose_task_crashes_a_worker_alone_has_failed => |mut f: Fixture| {
        f.confine_usual_queue();
        let (third, run) = f.sent.pop().expect("placed again");
        f.crash(third, &[&run]);
        assert_eq!(f.outcomes(), vec![JobOutcome::Failed]);
        assert_eq!(f.sent.len(), 0);
    };

    a_job_waits_for_the_isolated_run_of_its_suspect => |mut f: Fixture| {
        f.confine_usual_queue();
        f.advance(SECOND);
        assert_eq!(f.outcomes(), vec![]);
        f.advance(SECOND * 4);
        assert_eq!(f.refusal(), (Code::DeadlineExceeded, false));
    };

    an_innocent_suspect_completes_its_job => |mut f: Fixture| {
        let (first, run) = f.submit_task("job");
        f.crash(first, &[&run]);
        f.end_all(RunResult::Done);
        assert_eq!(f.outcomes(), vec![JobOutcome::Completed]);
    };

    crashes_are_forgotten_without_a_further_crash => |mut f: Fixture| {
        let (first, run) = f.submit_task("job");
        f.crash(first, &[&run]);
        f.end_all(RunResult::Done);
        assert!(!f.scheduler.suspects.is_empty());
        f.advance(RETENTION);
        assert!(f.scheduler.suspects.is_empty());
    };

    a_job_that_is_submitted_again_keeps_its_crashes => |mut f: Fixture| {
        let (_, run) = f.submit_task("elsewhere");
        f.step(|s, now| s.cancel(1, now));
        f.announce_crash(1, &[&run], "usual");
        let alone = RunRequest { isolation: Isolation::Alone, ..run };
        f.announce_crash(2, &[&alone], "usual");
        f.submit(f.job("elsewhere", smallvec![tasks(1, 1)]));
        assert_eq!(f.outcomes(), vec![JobOutcome::Failed]);
        assert_eq!(f.sent.len(), 0);
    };

    a_job_that_is_submitted_again_after_a_crash_is_not_called_not_run => |mut f: Fixture| {
        let run = RunRequest { id: run_of("job"), ..f.submit_task("any").1 };
        f.announce_crash(1, &[&run], "usual");
        for session in 1..=10 {
            f.disconnect(session);
        }
        f.submit(f.job("job", smallvec![tasks(1, 1)]));
        f.advance(SECOND * 5);
        let refused = f.answers.iter().find(|(number, _)| *number == 2).expect("an answer");
        assert!(matches!(&refused.1, JobOutcome::Refused(refusal) if !refusal.not_run));
    };

    a_confined_queue_gets_its_part_of_the_workers_and_others_the_rest => |mut f: Fixture| {
        f.confine_usual_queue();
        f.sent.clear();
        for number in 0..20 {
            f.submit(f.urgent(&format!("urgent-{number}"), 2));
        }
        let others = f.sessions_of_sent();
        f.submit(f.job("usual", smallvec![tasks(8, 1)]));
        let confined = f.sessions_of_sent();
        assert!(others.is_disjoint(&confined), "{others:?} {confined:?}");
        assert!(confined.len() <= 2, "{confined:?}");
    };

    entries_choose_the_same_workers_for_a_confined_queue => |mut f: Fixture| {
        f.confine_usual_queue();
        let mut other = Fixture::new();
        for session in (1..=10).rev() {
            other.connect(session, 1, worker("zone-a", 8));
        }
        let crashes = f.scheduler.crash_log.recent(f.now);
        other.now = f.now;
        other.step(|s, now| s.crashes_announced(1, &crashes, now));
        assert_eq!(f.scheduler.places(f.now), other.scheduler.places(f.now));
        assert_eq!(other.scheduler.gauges().confined_queues, 1);
    };

    waiting_jobs_of_a_confined_queue_do_not_hold_up_others => |mut f: Fixture| {
        f.confine_usual_queue();
        f.sent.clear();
        for number in 0..40 {
            f.submit(f.job(&format!("usual-{number}"), smallvec![tasks(8, 1)]));
        }
        f.sent.clear();
        f.submit(f.urgent("urgent", 1));
        assert_eq!(f.sent.len(), 1);
        let refused = |o: &JobOutcome| matches!(o, JobOutcome::Refused(r) if r.code == Code::Overloaded);
        f.advance(Duration::from_millis(60));
        assert_eq!(f.outcomes().iter().filter(|o| refused(o)).count(), 0);
    };

    a_suspect_that_waits_does_not_hold_up_its_confined_queue => |mut f: Fixture| {
        f.confine_usual_queue();
        let (third, run) = f.sent.pop().expect("placed again");
        f.crash(third, &[&run]);
        for session in 1..=10 {
            f.connect(session, 1, worker("zone-a", 8));
        }
        let (fourth, run) = f.submit_task("suspect");
        // With one of the queue's two workers down, its suspects have to wait.
        f.crash(fourth, &[&run]);
        assert_eq!(f.sent.len(), 0);
        f.submit(f.job("other", smallvec![tasks(1, 1)]));
        assert_eq!(f.isolations(), vec![Isolation::Shared]);
    };

    jobs_of_a_confined_queue_are_refused_at_once_without_a_worker => |mut f: Fixture| {
        f.confine_usual_queue();
        let places = f.scheduler.places(f.now);
        for session in 1..=10 {
            if places[&name(session)].is_exclusive() {
                f.step(|s, now| s.worker_changed(&name(session), session, None, now));
            }
        }
        f.submit(f.job("job", smallvec![tasks(1, 1)]));
        assert_eq!(f.refusal(), (Code::QueueConfined, true));
        f.submit(f.urgent("urgent", 1));
        assert_eq!(f.outcomes().len(), 1);
    };

    a_crash_beside_runs_of_a_confined_queue_is_no_evidence_against_another_queue => |mut f: Fixture| {
        f.confine_usual_queue();
        let first = RunRequest { id: run_of("urgent"), ..f.submit_task("any").1 };
        let second = RunRequest { isolation: Isolation::Spaced, ..first.clone() };
        let other = RunRequest { id: run_of("usual"), ..first.clone() };
        f.announce_crash(11, &[&first], "urgent");
        f.now += SECOND;
        let runs = [(&second, "urgent"), (&other, "usual")].map(|(run, queue)| CrashedRun {
            id: run.id.clone(),
            queue: queue.into(),
            ran_ms: 13,
            isolation: run.isolation,
        });
        let crash = WorkerCrash {
            worker: name(12),
            started_at_ms: 1,
            age_ms: 0,
            runs: runs.to_vec(),
        };
        f.step(|s, now| s.crashes_announced(10, &[crash], now));
        assert_eq!(f.scheduler.gauges().confined_queues, 1);
    };

    repeated_suspects_are_passed_on_to_the_other_agents => |mut f: Fixture| {
        let (first, run) = f.submit_task("job");
        f.crash(first, &[&run]);
        let (second, run) = f.sent.pop().expect("placed again");
        let crash = WorkerCrash {
            worker: name(second),
            started_at_ms: 1,
            age_ms: 0,
            runs: vec![CrashedRun {
                id: run.id.clone(),
                queue: "usual".into(),
                ran_ms: 13,
                isolation: run.isolation,
            }],
        };
        f.scheduler.crashes_announced(second, &[crash], f.now);
        let effects = f.scheduler.take_effects();
        let told = effects.iter().filter_map(|effect| match effect {
            Effect::Send(to, PoolFrame::Crashes(_)) => Some(*to),
            _ => None,
        });
        let told: BTreeSet<SessionId> = told.collect();
        assert_eq!(told.len(), 9);
        assert!(!told.contains(&second));
    };
}
