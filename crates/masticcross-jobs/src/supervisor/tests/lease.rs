//! Tests of how long runs may live: their lease, and the stops of those that must go.

use super::*;
use crate::run_lifetime::{CLOCK_DRIFT, RESUBMIT_DELAY, SESSION_TIMEOUT};
use crate::supervisor::lease::Lease;

impl Fixture {
    /// Returns the end of the lease that a poll grants, on the agent's clock, if the worker's clock is slow.
    fn lease_end(&self, call: &PollCall) -> Option<Instant> {
        let remaining_ms = call.lease_until_ms?.saturating_sub(self.clock_ms());
        Some(self.now + Duration::from_millis(remaining_ms).div_f64(1.0 - CLOCK_DRIFT))
    }

    /// Requests a run whose start the worker does not answer.
    fn start_unanswered(&mut self, index: u16) -> StartCall {
        self.submit(request(index, 2));
        let call = self.take_start().expect("the run fits");
        self.advance_in_contact(START_TIMEOUT);
        self.step(|s, now| s.started(&call, Err(no_answer()), now));
        call
    }
}

/// A run with progress that is neither stalled nor slow.
fn running_run() -> ListedRun {
    running(0, 60)
}

cases! {
    // Guards against a run that the worker has carried out without an answer and that goes on although its
    // entry is gone.
    an_unanswered_start_of_a_silent_entry_is_stopped => |mut f: Fixture| {
        f.start_unanswered(0);
        f.miss_poll();
        f.advance(AUTHORITY_TIMEOUT);
        assert_eq!(f.stops(), 1);
    };

    // Guards against the same after a cancellation, before the start is known to be unanswered.
    a_start_without_an_answer_yet_is_stopped_on_request => |mut f: Fixture| {
        f.submit(request(0, 2));
        let call = f.take_start().expect("the run fits");
        f.step(|s, now| s.stop(SESSION, &[run(0, 1)], now));
        assert_eq!(f.stops(), 1);
        // The stop has overtaken the start, so that the worker refuses the latter.
        f.started(&call, StartOutcome::OldRun);
        assert_eq!(f.results(), vec![RunResult::NotStarted(NotStartedReason::Stopped)]);
        assert!(f.take_start().is_none());
    };

    // Guards against the same for a start that may have reached the next incarnation of the worker.
    a_run_in_doubt_is_stopped_on_request => |mut f: Fixture| {
        f.submit(request(0, 2));
        let poll = f.next_poll();
        f.answer(&poll, 2, vec![], vec![]);
        f.step(|s, now| s.stop(SESSION, &[run(0, 1)], now));
        assert_eq!(f.stops(), 1);
    };

    // Guards against stops of a run that was not sent to the worker.
    a_queued_run_is_removed_without_a_stop => |mut f: Fixture| {
        f.start_run(0, 2);
        f.submit(RunRequest { isolation: Isolation::Alone, ..request(1, 2) });
        f.step(|s, now| s.stop(SESSION, &[run(1, 1)], now));
        assert_eq!((f.stops(), f.results().len()), (0, 1));
    };

    // Guards against runs that never end at a worker that carries out calls without answering them: each
    // start and each poll of another loop extends their lease.
    no_call_extends_the_lease_of_a_worker_that_answers_no_polls => |mut f: Fixture| {
        f.start_unanswered(0);
        let first_lease = f.next_poll().lease_until_ms.expect("the worker may answer");
        for _ in 0..2 {
            f.miss_poll();
        }
        for index in 1..6 {
            f.advance_in_contact(Duration::from_millis(60));
            f.submit(request(index, 1));
            let start = f.take_start().expect("the run fits");
            assert!(start.lease_until_ms <= first_lease, "{} > {first_lease}", start.lease_until_ms);
            assert_eq!(f.next_poll().lease_until_ms, None);
        }
    };

    // Guards against a job that waits for as long as its worker is silent.
    runs_at_a_silent_worker_are_reported_lost_although_polls_go_on => |mut f: Fixture| {
        f.start_run(0, 2);
        for _ in 0..30 {
            f.miss_poll();
            f.advance_in_contact(Duration::from_millis(60));
        }
        assert_eq!(f.results(), vec![RunResult::Lost]);
    };

    // Guards against runs that end at a worker that fails a part of the calls.
    an_answered_start_shows_that_the_worker_is_not_silent => |mut f: Fixture| {
        f.start_run(0, 2);
        f.miss_poll();
        f.start_run(1, 2);
        f.miss_poll();
        f.advance_in_contact(Duration::from_millis(20));
        assert!(f.next_poll().lease_until_ms.is_some());
    };

    a_worker_that_answers_again_gets_its_lease_extended => |mut f: Fixture| {
        f.start_run(0, 2);
        for _ in 0..3 {
            f.miss_poll();
        }
        f.poll(vec![running(0, 10)], vec![]);
        assert!(f.next_poll().lease_until_ms.is_some());
    };

    // Guards against runs that outlive their entry because the lease goes on while their stops are late.
    the_lease_ends_before_the_callers_of_a_silent_entry_submit_again => |mut f: Fixture| {
        f.start_run(0, 2);
        let last_contact = f.now;
        let mut end = f.now;
        while f.now < last_contact + RESUBMIT_DELAY {
            f.advance(Duration::from_millis(20));
            let call = f.next_poll();
            end = end.max(f.lease_end(&call).unwrap_or(end));
            f.answer(&call, 1, vec![running_run()], vec![]);
        }
        assert!(end + END_MARGIN <= last_contact + RESUBMIT_DELAY, "{:?}", end - last_contact);
        assert!(f.stops() > 0);
    };

    // Guards against the same after an entry has asked for the stop, as the caller of the run has left.
    the_lease_is_not_extended_beyond_the_stop_of_a_run => |mut f: Fixture| {
        f.start_run(0, 2);
        f.advance_in_contact(Duration::from_millis(300));
        f.poll(vec![running_run()], vec![]);
        f.step(|s, now| s.stop(SESSION, &[run(0, 1)], now));
        let stopped_at = f.now;
        for step in 0..50 {
            f.advance_in_contact(Duration::from_millis(20));
            let call = f.next_poll();
            assert!(f.lease_end(&call) <= Some(stopped_at + MAX_LEASE), "step {step}");
            f.answer(&call, 1, vec![running_run()], vec![]);
            f.submit(request(1 + step, 1));
            if let Some(start) = f.take_start() {
                let until = f.start + Duration::from_millis(start.lease_until_ms).div_f64(0.98);
                assert!(until <= stopped_at + MAX_LEASE + Duration::from_millis(20), "start at step {step}");
            }
        }
    };

    // Guards against runs of other entries that end because of a stop that is confirmed soon, or because
    // the agent itself stops a run.
    the_lease_is_extended_again_once_a_run_is_confirmed_gone => |mut f: Fixture| {
        f.start_run(0, 2);
        f.start_run(1, 2);
        f.step(|s, now| s.stop(SESSION, &[run(0, 1)], now));
        f.advance_in_contact(Duration::from_millis(100));
        f.poll(vec![running(1, 10)], vec![ended(1, 0, WorkerEnd::Stopped)]);
        let call = f.next_poll();
        assert!(f.lease_end(&call) > Some(f.now + MAX_LEASE - Duration::from_millis(20)));
    };

    a_run_that_the_agent_stops_for_its_progress_does_not_end_the_lease => |mut f: Fixture| {
        f.start_run(0, 2);
        for _ in 0..12 {
            f.advance_in_contact(Duration::from_millis(100));
            f.poll(vec![running(0, 20)], vec![]);
        }
        assert!(f.stops() > 0);
        let call = f.next_poll();
        assert!(f.lease_end(&call) > Some(f.now + MAX_LEASE - Duration::from_millis(20)));
    };

    // Guards against a restarted agent that keeps the runs of the earlier one alive.
    runs_of_an_earlier_agent_get_no_more_time => |_| {
        let mut f = Fixture::without_worker(Instant::now());
        f.report(1, 1, false);
        for _ in 0..10 {
            let call = f.next_poll();
            assert_eq!(call.lease_until_ms, None);
            f.answer(&call, 1, vec![running(0, 10)], vec![]);
            f.advance_in_contact(Duration::from_millis(100));
        }
        assert_eq!(f.stops(), 1);
    };
}

/// Guards against a change of one bound that lets runs outlive the time after which callers submit again. All
/// links may be silent, one at a time: an entry, the origin of a transferred job, and the agent.
#[test]
fn the_bounds_end_every_run_before_callers_submit_again() {
    let noticed = [AUTHORITY_TIMEOUT, SESSION_TIMEOUT, Duration::ZERO];
    for silence in noticed {
        assert!(
            silence + MAX_LEASE + END_MARGIN <= RESUBMIT_DELAY,
            "{silence:?}"
        );
    }
    let worker_lease = LEASE;
    let mut lease = Lease::new(worker_lease, 1);
    let now = Instant::now();
    lease.record_clock(10_000, now);
    let until = lease
        .extend(now + RESUBMIT_DELAY, now)
        .expect("the clock is known");
    let on_slow_clock = Duration::from_millis(until - 10_000).div_f64(1.0 - CLOCK_DRIFT);
    assert!(on_slow_clock <= MAX_LEASE, "{on_slow_clock:?}");
}
