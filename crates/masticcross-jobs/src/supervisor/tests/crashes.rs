//! Tests of crash records, of runs that must be alone, and of a capacity that changes.

use std::time::Duration;

use masticcross_wire::NotStartedReason;
use masticcross_wire::crash::{Isolation, WorkerCrash};
use masticcross_wire::pool::{PoolFrame, RunRequest, RunResult};

use super::{
    AUTHORITY_TIMEOUT, CallError, Effect, Fixture, SESSION, WorkerEnd, announced, client, ended,
    report, request, resources, run, running,
};
use crate::crashes::SPACING;
use crate::supervisor::SessionId;
use crate::worker_client::StartOutcome;

/// Defines one test per case.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body(Fixture::new()) })*
    };
}

impl Fixture {
    /// Returns the crashes that were announced on a session.
    fn crashes(&self, session: SessionId) -> Vec<WorkerCrash> {
        let announced = self.effects.iter().filter_map(|e| match e {
            Effect::Send(to, PoolFrame::Crashes(crashes)) if *to == session => {
                Some(crashes.clone())
            }
            _ => None,
        });
        announced.flatten().collect()
    }

    fn refuse_poll(&mut self) {
        let call = self.next_poll();
        let refused = CallError::Refused("nothing listens".to_owned());
        self.step(|s, now| s.poll_answered(&call, Err(refused), now));
    }

    /// Leaves polls unanswered until the leases have expired.
    fn silence(&mut self) {
        for _ in 0..20 {
            self.miss_poll();
            self.advance_in_contact(Duration::from_millis(150));
        }
    }

    fn report_capacity(&mut self, sequence: u64, cores: u64) -> bool {
        let mut report = report(1, sequence, false);
        report.info.capacity = resources(cores);
        let accepted = self.supervisor.worker_reported(report, self.now);
        self.effects.extend(self.supervisor.take_effects());
        accepted
    }
}

fn isolated(index: u16, cores: u64, isolation: Isolation) -> RunRequest {
    RunRequest {
        isolation,
        ..request(index, cores)
    }
}

fn not_started(reason: NotStartedReason) -> RunResult {
    RunResult::NotStarted(reason)
}

cases! {
    a_refused_connection_is_a_crash_and_announced_before_the_ends => |mut f: Fixture| {
        f.start_run(0, 4);
        f.advance_in_contact(Duration::from_millis(20));
        f.start_run(1, 4);
        f.effects.clear();
        f.refuse_poll();
        let crash = &f.crashes(SESSION)[0];
        assert_eq!((&*crash.worker, crash.started_at_ms), ("agent-1", 1));
        assert_eq!(crash.runs.iter().map(|r| r.ran_ms).collect::<Vec<_>>(), [28, 4]);
        assert!(matches!(f.effects[0], Effect::Send(_, PoolFrame::Crashes(_))));
        assert_eq!(f.results(), vec![RunResult::Lost, RunResult::Lost]);
    };

    a_new_incarnation_in_a_report_is_a_crash => |mut f: Fixture| {
        f.start_run(0, 4);
        f.confirmed_report(2);
        assert_eq!(f.crashes(SESSION).len(), 1);
    };

    a_new_incarnation_in_a_listing_is_a_crash => |mut f: Fixture| {
        f.start_run(0, 4);
        let call = f.next_poll();
        f.answer(&call, 2, vec![], vec![]);
        assert_eq!(f.crashes(SESSION).len(), 1);
        f.report(2, 1, false);
        assert_eq!(f.crashes(SESSION).len(), 1);
    };

    a_worker_without_runs_does_not_crash => |mut f: Fixture| {
        f.refuse_poll();
        assert_eq!(f.crashes(SESSION).len(), 0);
    };

    a_worker_that_leaves_does_not_crash => |mut f: Fixture| {
        f.start_run(0, 4);
        f.report(1, 2, true);
        f.refuse_poll();
        assert_eq!(f.crashes(SESSION).len(), 0);
        assert_eq!(f.results(), vec![RunResult::Lost]);
    };

    an_orderly_shutdown_is_no_crash => |mut f: Fixture| {
        f.start_run(0, 4);
        f.step(|s, _| s.worker_left("w-1"));
        f.refuse_poll();
        assert_eq!((f.crashes(SESSION).len(), f.results()), (0, vec![RunResult::Lost]));
    };

    a_silent_worker_that_answers_again_has_not_crashed => |mut f: Fixture| {
        f.start_run(0, 4);
        f.silence();
        assert_eq!(f.results(), vec![RunResult::Lost]);
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::LeaseExpired)]);
        f.confirmed_report(2);
        assert_eq!(f.crashes(SESSION).len(), 0);
    };

    a_silent_worker_that_has_restarted_had_crashed => |mut f: Fixture| {
        f.start_run(0, 4);
        f.silence();
        f.confirmed_report(2);
        let crash = &f.crashes(SESSION)[0];
        assert_eq!(crash.runs.len(), 1);
        assert!(crash.age_ms > 500, "{}", crash.age_ms);
    };

    a_session_that_opens_gets_the_recent_crashes => |mut f: Fixture| {
        f.start_run(0, 4);
        f.refuse_poll();
        f.advance(Duration::from_secs(5));
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        let crashes = f.crashes(2);
        assert_eq!(crashes.len(), 1);
        assert_eq!(crashes[0].age_ms, 5_000);
    };

    a_crash_that_an_entry_announces_is_passed_on_once => |mut f: Fixture| {
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        f.start_run(0, 4);
        f.refuse_poll();
        let mut crash = f.crashes(SESSION).remove(0);
        crash.worker = "agent-2".into();
        f.effects.clear();
        for _ in 0..2 {
            f.step(|s, now| s.crashes_announced(SESSION, vec![crash.clone()], now));
        }
        assert_eq!(f.crashes(SESSION).len(), 0);
        assert_eq!(f.crashes(2), vec![crash]);
    };

    a_run_that_must_be_alone_waits_for_the_others => |mut f: Fixture| {
        f.start_run(0, 4);
        f.submit(isolated(1, 4, Isolation::Alone));
        assert!(f.take_start().is_none());
        assert_eq!(f.free_cores(), 0);
        f.submit(request(2, 1));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::NoRoom)]);
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        let call = f.take_start().expect("the worker is free");
        assert_eq!(call.request.id, run(1, 1));
        f.submit(request(3, 1));
        f.submit(isolated(4, 1, Isolation::Alone));
        assert_eq!(f.results()[2..], [
            not_started(NotStartedReason::NoRoom),
            not_started(NotStartedReason::Isolated),
        ]);
        f.started(&call, StartOutcome::Started);
        f.advance_in_contact(Duration::from_millis(2));
        f.poll(vec![], vec![ended(2, 1, WorkerEnd::Done)]);
        assert_eq!(f.free_cores(), 10);
    };

    a_run_that_must_be_alone_starts_at_once_on_an_idle_worker => |mut f: Fixture| {
        f.submit(isolated(0, 4, Isolation::Alone));
        assert!(f.take_start().is_some());
    };

    a_run_that_needs_no_resources_does_not_start_beside_one_that_must_be_alone => |mut f: Fixture| {
        f.submit(isolated(0, 4, Isolation::Alone));
        f.submit(request(1, 0));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::NoRoom)]);
    };

    a_queued_run_that_is_stopped_has_not_started => |mut f: Fixture| {
        f.start_run(0, 4);
        f.submit(isolated(1, 4, Isolation::Alone));
        f.step(|s, now| s.stop(SESSION, &[run(1, 1)], now));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::Stopped)]);
        assert_eq!(f.free_cores(), 6);
    };

    a_queued_run_is_not_part_of_a_crash => |mut f: Fixture| {
        f.start_run(0, 4);
        f.submit(isolated(1, 4, Isolation::Alone));
        f.refuse_poll();
        assert_eq!(f.crashes(SESSION)[0].runs.len(), 1);
        assert_eq!(f.results(), vec![
            not_started(NotStartedReason::NoBackend),
            RunResult::Lost,
        ]);
    };

    a_queued_run_does_not_start_in_a_zone_that_is_out => |mut f: Fixture| {
        f.start_run(0, 4);
        f.submit(isolated(1, 4, Isolation::Alone));
        f.step(|s, now| s.view_announced(SESSION, announced(5, &["zone-a"]), now));
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert!(f.take_start().is_none());
        assert_eq!(f.results(), vec![
            RunResult::Done,
            not_started(NotStartedReason::ZoneOut),
        ]);
    };

    a_queued_run_does_not_start_on_a_worker_that_leaves => |mut f: Fixture| {
        f.start_run(0, 4);
        f.submit(isolated(1, 4, Isolation::Alone));
        f.report(1, 2, true);
        f.advance_in_contact(Duration::from_millis(20));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::ShuttingDown)]);
    };

    a_queued_run_of_a_silent_entry_does_not_start => |mut f: Fixture| {
        f.start_run(0, 4);
        f.submit(isolated(1, 4, Isolation::Alone));
        f.advance(AUTHORITY_TIMEOUT);
        assert_eq!(f.results(), vec![not_started(NotStartedReason::Stopped)]);
    };

    spaced_runs_do_not_start_close_to_each_other => |mut f: Fixture| {
        f.submit(isolated(0, 2, Isolation::Spaced));
        f.submit(isolated(1, 2, Isolation::Spaced));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::Isolated)]);
        f.submit(request(2, 2));
        f.advance_in_contact(SPACING);
        f.submit(isolated(3, 2, Isolation::Spaced));
        assert_eq!(f.results().len(), 1);
    };

    nothing_starts_while_a_shrunk_capacity_is_exceeded => |mut f: Fixture| {
        f.start_run(0, 4);
        f.start_run(1, 4);
        assert!(f.report_capacity(2, 6));
        assert_eq!(f.free_cores(), 0);
        f.submit(request(2, 1));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::NoRoom)]);
        f.poll(vec![running(1, 10)], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!(f.free_cores(), 2);
        f.submit(request(3, 3));
        f.submit(request(4, 2));
        assert_eq!(f.results()[2..], [not_started(NotStartedReason::NoRoom)]);
        assert_eq!(f.take_start().expect("it fits").request.id, run(4, 1));
    };

    a_run_that_is_being_stopped_counts_against_a_shrunk_capacity => |mut f: Fixture| {
        f.start_run(0, 6);
        f.step(|s, now| s.stop(SESSION, &[run(0, 1)], now));
        f.report_capacity(2, 8);
        f.submit(request(1, 3));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::NoRoom)]);
    };

    a_shrunk_and_a_regained_capacity_are_announced_at_once => |mut f: Fixture| {
        f.effects.clear();
        f.report_capacity(2, 4);
        f.report_capacity(3, 10);
        assert_eq!(f.announced_free(SESSION), vec![resources(4), resources(10)]);
        f.submit(request(0, 10));
        assert!(f.take_start().is_some());
    };

    a_late_report_of_a_larger_capacity_is_ignored => |mut f: Fixture| {
        f.report_capacity(3, 4);
        assert!(!f.report_capacity(2, 10));
        f.submit(request(0, 5));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::NoRoom)]);
    };

    a_queued_run_that_no_longer_fits_the_capacity_does_not_start => |mut f: Fixture| {
        f.start_run(0, 4);
        f.submit(isolated(1, 8, Isolation::Alone));
        f.report_capacity(2, 6);
        f.advance_in_contact(Duration::from_millis(20));
        assert_eq!(f.results(), vec![not_started(NotStartedReason::NoRoom)]);
        assert_eq!(f.free_cores(), 2);
    };
}
