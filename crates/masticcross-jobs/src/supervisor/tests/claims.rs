//! Tests of heartbeats and saved reports that are not the worker's.

use super::*;

impl Fixture {
    fn send(&mut self, report: WorkerReport) -> bool {
        let accepted = self.supervisor.worker_reported(report, self.now);
        self.effects.extend(self.supervisor.take_effects());
        accepted
    }

    /// Answers the next polls, as the worker with start time 1 does.
    fn answer_polls(&mut self, running: &[ListedRun]) {
        for _ in 0..12 {
            let call = self.next_poll();
            let is_own = call.incarnation.as_ref().is_some_and(|i| &*i.id == "w-1");
            if is_own {
                self.answer(&call, 1, running.to_vec(), vec![]);
            } else {
                let other = Err(CallError::OtherIncarnation);
                self.step(|s, now| s.poll_answered(&call, other, now));
            }
            self.advance_in_contact(Duration::from_millis(20));
        }
    }

    fn has_no_crash(&self) -> bool {
        let is_crash = |e: &Effect| matches!(e, Effect::Send(_, PoolFrame::Crashes(_)));
        !self.effects.iter().any(is_crash)
    }
}

fn claim(id: &str, started_at_ms: u64) -> WorkerReport {
    let mut claim = report(started_at_ms, 1, false);
    claim.incarnation.id = id.into();
    claim
}

fn with_service(sequence: u64, service: &str) -> WorkerReport {
    let mut report = report(1, sequence, false);
    report.info.service = service.into();
    report
}

cases! {
    // Guards against runs that are reported as lost, and start elsewhere, while they go on.
    a_heartbeat_that_the_worker_does_not_confirm_ends_no_run => |_| {
        for foreign in [claim("x-1", 9), claim("x-1", u64::MAX), claim("w-1", 9), claim("w-1", u64::MAX)] {
            let mut f = Fixture::new();
            f.start_run(0, 6);
            f.send(foreign.clone());
            f.answer_polls(&[running(0, 10)]);
            assert_eq!((f.results(), f.has_no_crash(), f.free_cores()), (vec![], true, 4), "{foreign:?}");
            assert!(f.report(1, 2, false), "{foreign:?}");
            f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
            assert_eq!(f.results(), vec![RunResult::Done], "{foreign:?}");
        }
    };

    // Guards against the same while the worker answers no poll.
    a_claim_without_an_answer_ends_no_run => |mut f: Fixture| {
        f.start_run(0, 6);
        f.send(claim("x-1", 9));
        let call = f.next_poll();
        for error in [no_answer(), CallError::Refused("down".to_owned())] {
            f.step(|s, now| s.poll_answered(&call, Err(error), now));
        }
        assert_eq!((f.results(), f.has_no_crash()), (vec![], true));
    };

    // Guards against a restart that is noticed later than with the first answer of the new worker.
    a_restart_under_another_id_ends_the_runs_with_one_poll => |mut f: Fixture| {
        f.start_run(0, 6);
        f.send(claim("w-2", 9));
        let call = f.next_poll();
        assert_eq!(call.incarnation.as_ref().map(|i| &*i.id), Some("w-2"));
        f.answer(&call, 9, vec![], vec![]);
        assert_eq!((f.results(), f.free_cores()), (vec![RunResult::Lost], 10));
    };

    // Guards against a worker that is not noticed because others are claimed.
    a_restart_is_confirmed_among_claims_of_others => |mut f: Fixture| {
        for number in 0..10 {
            f.send(claim(&format!("x-{number}"), 9));
        }
        f.send(claim("w-2", 10));
        let mut asked = BTreeSet::new();
        for _ in 0..5 {
            let call = f.next_poll();
            let id = call.incarnation.as_ref().map(|i| i.id.clone());
            if id.as_deref() == Some("w-2") {
                f.answer(&call, 10, vec![], vec![]);
            }
            asked.extend(id);
        }
        assert_eq!((asked.contains("w-2"), f.free_cores()), (true, 10));
    };

    // Guards against an answer to a poll of an earlier worker that replaces its successor.
    an_answer_to_an_earlier_claim_does_not_replace_the_worker => |mut f: Fixture| {
        f.send(claim("w-2", 5));
        let earlier = f.next_poll();
        f.send(claim("w-3", 9));
        let later = f.next_poll();
        f.answer(&later, 9, vec![], vec![]);
        f.submit(request(0, 6));
        f.answer(&earlier, 5, vec![], vec![]);
        let token = f.next_poll().token;
        f.step(|s, now| s.poll_answered(&earlier, Err(CallError::Fenced), now));
        assert_eq!((f.results(), f.free_cores(), f.next_poll().token), (vec![], 4, token));
    };

    // Guards against the same if a listing has shown the restart.
    an_answer_to_an_earlier_claim_does_not_replace_a_listed_restart => |mut f: Fixture| {
        let regular = f.next_poll();
        f.send(claim("w-1", 5));
        let earlier = f.next_poll();
        f.answer(&regular, 9, vec![], vec![]);
        f.report(9, 1, false);
        f.submit(request(0, 6));
        f.answer(&earlier, 5, vec![], vec![]);
        assert_eq!((f.results(), f.free_cores()), (vec![], 4));
    };

    // Guards against a worker that entries take for one of another service, and real heartbeats that are
    // then out of date.
    a_heartbeat_with_another_service_does_not_change_the_worker => |mut f: Fixture| {
        assert!(!f.send(with_service(90, "other")));
        assert!(f.report(1, 2, true));
        f.submit(request(0, 1));
        assert_eq!(f.results(), vec![RunResult::NotStarted(NotStartedReason::ShuttingDown)]);
    };

    // Guards against an agent without a worker for good after a number too large in the store.
    a_saved_report_with_a_wrong_start_time_is_replaced_by_a_heartbeat => |_| {
        let mut f = Fixture::without_worker(Instant::now());
        f.step(|s, now| s.restore_report(report(u64::MAX, 3, false), now));
        let call = f.next_poll();
        f.answer(&call, 1, vec![], vec![]);
        assert_eq!(f.free_cores(), 0);
        f.confirmed_report(1);
        assert_eq!(f.free_cores(), 10);
    };

    // Guards against a late leave of an earlier incarnation with the same id, which ends runs that go on.
    a_leave_that_the_worker_does_not_confirm_ends_no_run => |mut f: Fixture| {
        f.confirmed_report(5);
        f.start_run(0, 6);
        f.effects.clear();
        f.step(|s, _| s.worker_left("w-1"));
        assert!(f.effects.iter().any(|e| matches!(e, Effect::Poll)));
        let call = f.next_poll();
        f.answer(&call, 5, vec![running(0, 10)], vec![]);
        assert_eq!((f.results(), f.free_cores()), (vec![], 4));
    };

    // Guards against runs that are given up late after a worker has left.
    a_leave_that_the_worker_confirms_ends_the_runs_with_one_poll => |_| {
        for gone in [CallError::Refused("down".to_owned()), CallError::OtherIncarnation] {
            let mut f = Fixture::new();
            f.start_run(0, 6);
            f.step(|s, _| s.worker_left("w-1"));
            let call = f.next_poll();
            f.step(|s, now| s.poll_answered(&call, Err(gone), now));
            assert_eq!((f.results(), f.has_no_crash()), (vec![RunResult::Lost], true));
        }
    };

    // Guards against a crash that is taken for a planned end because of an earlier leave.
    a_worker_that_goes_on_reporting_has_not_left => |mut f: Fixture| {
        f.step(|s, _| s.worker_left("w-1"));
        f.report(1, 2, false);
        f.start_run(0, 6);
        let call = f.next_poll();
        f.step(|s, now| s.poll_answered(&call, Err(CallError::OtherIncarnation), now));
        assert!(!f.has_no_crash());
    };

    // Guards against a saved report whose service stays in force although the worker reports another.
    a_saved_service_is_replaced_by_a_heartbeat => |_| {
        let mut f = Fixture::without_worker(Instant::now());
        f.step(|s, now| s.restore_report(with_service(7, "other"), now));
        let call = f.next_poll();
        f.answer(&call, 1, vec![], vec![]);
        assert!(f.report(1, 1, false));
        let service = f.supervisor.advertised(f.now).map(|info| info.service);
        assert_eq!(service, Some(report(1, 1, false).info.service));
    };
}
