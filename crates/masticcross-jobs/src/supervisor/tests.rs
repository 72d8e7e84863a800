//! Tests of the supervisor.

mod crashes;
mod offers;

use std::collections::BTreeSet;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::NotStartedReason;
use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{
    Echo, EntryAddr, PoolFrame, Resources, RunEnd, RunId, RunRequest, RunResult, TaskId,
    ViewAnnouncement, ViewPart, ViewRange, ViewSummary, WorkerInfo,
};
use smallvec::smallvec;
use tokio::time::Instant;

use super::clients::ClientId;
use super::notifications::ANNOUNCE_INTERVAL;
use super::{Effect, START_TIMEOUT, SessionId, Supervisor, WorkerReport};
use crate::run_lifetime::{AUTHORITY_TIMEOUT, END_MARGIN, MAX_LEASE};
use crate::view::encoded::{EncodedView, PART_BYTES};
use crate::worker_client::{
    CallError, ListedEnd, ListedRun, PollCall, RunListing, StartAnswer, StartCall, StartOutcome,
    WorkerEnd, WorkerIncarnation, WorkerRun,
};

/// Defines one test per case.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)*) => {
        $(#[test] $(#[$meta])* fn $name() { $body(Fixture::new()) })*
    };
}

// Declared here because they use the macro above.
mod claims;
mod lease;
mod restart;
mod view_age;

const LEASE: Duration = Duration::from_secs(1);
const SESSION: SessionId = 1;

/// Maximum time between a change and an agent's first request for a copy of the operator view.
const MAX_FETCH_DELAY: Duration = Duration::from_secs(3);

/// A supervisor with a worker of 10 cores, a session with one entry, and a simulated clock.
struct Fixture {
    supervisor: Supervisor,
    start: Instant,
    now: Instant,
    effects: Vec<Effect>,
}

impl Fixture {
    fn new() -> Self {
        let now = Instant::now();
        let mut fixture = Self::without_worker(now);
        fixture.report(1, 1, false);
        fixture.poll(vec![], vec![]);
        fixture.effects.clear();
        fixture
    }

    fn without_worker(now: Instant) -> Self {
        let mut fixture = Self::without_view(now);
        fixture.echo(SESSION, fixture.supervisor.probe(now));
        fixture
    }

    /// Returns a supervisor whose entry has not told how old its operator view is.
    fn without_view(now: Instant) -> Self {
        let mut supervisor = Supervisor::new("agent-1", LEASE, 1_000, now);
        supervisor.session_opened(&client(1), SESSION, now);
        Self {
            supervisor,
            start: now,
            now,
            effects: Vec::new(),
        }
    }

    fn step(&mut self, f: impl FnOnce(&mut Supervisor, Instant)) {
        f(&mut self.supervisor, self.now);
        self.effects.extend(self.supervisor.take_effects());
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.step(Supervisor::tick);
    }

    /// Advances the clock and answers a probe for the entry.
    fn advance_in_contact(&mut self, time: Duration) {
        self.advance(time);
        let probe = self.supervisor.probe(self.now);
        self.echo(SESSION, probe);
    }

    /// Answers a probe as an entry without a view does that has just read the operators' records.
    fn echo(&mut self, session: SessionId, probe: u64) {
        self.step(|s, now| s.echoed(session, echo(probe, 0, Some(0)), now));
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from((self.now - self.start).as_millis()).expect("short tests")
    }

    fn report(&mut self, started_at_ms: u64, sequence: u64, leaving: bool) -> bool {
        let accepted = self
            .supervisor
            .worker_reported(report(started_at_ms, sequence, leaving), self.now);
        self.effects.extend(self.supervisor.take_effects());
        accepted
    }

    /// Sends the first heartbeat of an incarnation, which the worker confirms.
    fn confirmed_report(&mut self, started_at_ms: u64) {
        self.report(started_at_ms, 1, false);
        let call = self.next_poll();
        self.answer(&call, started_at_ms, vec![], vec![]);
    }

    fn next_poll(&mut self) -> PollCall {
        self.supervisor
            .next_poll(Duration::ZERO, self.now)
            .expect("there is a worker")
    }

    /// Leaves a poll unanswered.
    fn miss_poll(&mut self) {
        let call = self.next_poll();
        self.step(|s, now| s.poll_answered(&call, Err(no_answer()), now));
    }

    fn poll(&mut self, running: Vec<ListedRun>, ended: Vec<ListedEnd>) {
        let call = self.next_poll();
        self.answer(&call, 1, running, ended);
    }

    fn answer(
        &mut self,
        call: &PollCall,
        started_at_ms: u64,
        running: Vec<ListedRun>,
        ended: Vec<ListedEnd>,
    ) {
        let listing = RunListing {
            started_at_ms,
            clock_ms: self.clock_ms(),
            running,
            ended,
        };
        self.step(|s, now| s.poll_answered(call, Ok(listing), now));
    }

    fn submit(&mut self, run: RunRequest) {
        self.step(|s, now| s.run(SESSION, vec![run], now));
    }

    /// Requests a run and answers its start as started.
    fn start_run(&mut self, index: u16, cores: u64) -> StartCall {
        self.submit(request(index, cores));
        let call = self.take_start().expect("the run fits");
        self.advance_in_contact(Duration::from_millis(2));
        self.started(&call, StartOutcome::Started);
        self.advance_in_contact(Duration::from_millis(2));
        call
    }

    fn started(&mut self, call: &StartCall, outcome: StartOutcome) {
        let answer = StartAnswer {
            clock_ms: self.clock_ms(),
            outcome,
        };
        self.step(|s, now| s.started(call, Ok(answer), now));
    }

    fn take_start(&mut self) -> Option<StartCall> {
        let is_start = |e: &Effect| matches!(e, Effect::Start(_));
        let position = self.effects.iter().position(is_start)?;
        match self.effects.remove(position) {
            Effect::Start(call) => Some(call),
            _ => None,
        }
    }

    /// Returns the number of different runs for which a stop was sent.
    fn stops(&self) -> usize {
        let stopped = self.effects.iter().filter_map(|e| match e {
            Effect::Stop(call) => Some(call.run.clone()),
            _ => None,
        });
        stopped.collect::<BTreeSet<_>>().len()
    }

    fn ends(&self) -> Vec<RunEnd> {
        let ends = self.effects.iter().filter_map(|e| match e {
            Effect::Send(_, PoolFrame::Ended(ends)) => Some(ends.clone()),
            _ => None,
        });
        ends.flatten().collect()
    }

    fn results(&self) -> Vec<RunResult> {
        self.ends().into_iter().map(|end| end.result).collect()
    }

    /// Returns the free resources announced on a session.
    fn announced_free(&self, session: SessionId) -> Vec<Resources> {
        let announced = self.effects.iter().filter_map(|e| match e {
            Effect::Send(to, PoolFrame::Free(free)) if *to == session => Some(free.resources),
            _ => None,
        });
        announced.collect()
    }

    /// Returns the sessions on which the operator view was requested.
    fn view_requests(&self) -> Vec<SessionId> {
        let request = |effect: &Effect| match effect {
            Effect::Send(session, PoolFrame::FetchView(_)) => Some(*session),
            _ => None,
        };
        self.effects.iter().filter_map(request).collect()
    }

    /// Returns the parts of the operator view that were sent on a session.
    fn view_parts(&self, session: SessionId) -> Vec<ViewPart> {
        let part = |effect: &Effect| match effect {
            Effect::Send(to, PoolFrame::ViewPart(part)) if *to == session => Some(part.clone()),
            _ => None,
        };
        self.effects.iter().filter_map(part).collect()
    }

    fn free_cores(&self) -> u64 {
        self.supervisor.gauges(self.now).free.cpu / 1_000
    }
}

fn client(incarnation: u64) -> ClientId {
    ClientId {
        name: "entry-1".into(),
        incarnation,
    }
}

fn report(started_at_ms: u64, sequence: u64, leaving: bool) -> WorkerReport {
    WorkerReport {
        incarnation: WorkerIncarnation {
            id: "w-1".into(),
            started_at_ms,
        },
        sequence,
        info: WorkerInfo {
            service: "quotes".into(),
            zone: "zone-a".into(),
            labels: smallvec![],
            capacity: resources(10),
            leaving,
        },
    }
}

fn resources(cores: u64) -> Resources {
    Resources {
        cpu: cores * 1_000,
        memory_mb: cores,
        gpus: 0,
    }
}

fn request(index: u16, cores: u64) -> RunRequest {
    RunRequest {
        id: run(index, 1),
        resources: resources(cores),
        queue: "queue".into(),
        spec: "x".into(),
        isolation: Isolation::Shared,
        expected_ms: 100,
        late: false,
        priority: 0,
    }
}

fn run(index: u16, run: u32) -> RunId {
    RunId {
        task: TaskId {
            job: "job".into(),
            step: 0,
            index,
        },
        submission: 1,
        run,
    }
}

fn at_worker(index: u16) -> WorkerRun {
    WorkerRun {
        task: run(index, 1).task,
        run: 1,
    }
}

fn running(index: u16, percent: u32) -> ListedRun {
    ListedRun {
        run: at_worker(index),
        percent,
    }
}

fn ended(number: u64, index: u16, end: WorkerEnd) -> ListedEnd {
    ListedEnd {
        number,
        run: at_worker(index),
        end,
    }
}

/// Returns the announcement of a view, by an entry that asks for a copy.
fn announced(position: u64, zones_out: &[&str]) -> ViewAnnouncement {
    ViewAnnouncement {
        summary: ViewSummary {
            position,
            config_version: position,
            zones_out: zones_out.iter().map(|zone| Name::from(*zone)).collect(),
        },
        keep_copy: true,
        age_ms: Some(0),
    }
}

fn echo(probe: u64, view_position: u64, view_age_ms: Option<u32>) -> Echo {
    Echo {
        probe,
        view_position,
        view_age_ms,
    }
}

fn no_answer() -> CallError {
    CallError::NoAnswer("lost".to_owned())
}

cases! {
    a_copy_of_the_operator_view_is_fetched_once_when_all_entries_announce_it => |mut f: Fixture| {
        for session in 2..9 {
            f.step(|s, now| s.session_opened(&client(session), session, now));
        }
        for session in 1..9 {
            f.step(|s, now| s.view_announced(session, announced(5, &[]), now));
        }
        assert_eq!(f.view_requests().len(), 0);
        f.advance(MAX_FETCH_DELAY);
        assert_eq!(f.view_requests().len(), 1);
        let session = f.view_requests()[0];
        let part = EncodedView::new(5, "view".into()).part(ViewRange { position: 5, offset: 0 });
        f.step(|s, now| s.view_part_received(session, &part, now));
        f.advance(MAX_FETCH_DELAY);
        f.advance(MAX_FETCH_DELAY);
        assert_eq!(f.view_requests().len(), 1);
    };

    a_copy_of_the_operator_view_is_fetched_elsewhere_if_it_does_not_arrive => |mut f: Fixture| {
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        f.step(|s, now| s.view_announced(SESSION, announced(5, &[]), now));
        f.step(|s, now| s.view_announced(2, announced(5, &[]), now));
        f.advance(MAX_FETCH_DELAY);
        f.advance(Duration::from_millis(500));
        let asked = f.view_requests();
        assert!(asked.len() == 2 && asked[0] != asked[1], "{asked:?}");
        f.step(|s, _| s.session_closed(asked[1]));
        f.advance(Duration::from_millis(50));
        assert_eq!(f.view_requests(), vec![asked[0], asked[1], asked[0]]);
    };

    an_operator_view_is_sent_only_on_request => |mut f: Fixture| {
        let copy = EncodedView::new(5, vec![7; 3 * PART_BYTES].into());
        f.step(|s, now| s.view_announced(SESSION, announced(5, &[]), now));
        f.advance(MAX_FETCH_DELAY);
        for part in 0..3 {
            let range = ViewRange { position: 5, offset: part * PART_BYTES as u64 };
            f.step(|s, now| s.view_part_received(SESSION, &copy.part(range), now));
        }
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        assert_eq!(f.view_parts(2).len(), 0);
        let range = ViewRange { position: 5, offset: PART_BYTES as u64 };
        f.step(|s, _| s.view_requested(2, range));
        assert_eq!(f.view_parts(2), vec![copy.part(range)]);
    };

    an_older_copy_is_sent_if_no_entry_has_the_newer_view => |mut f: Fixture| {
        let copy = EncodedView::new(5, "view".into());
        let range = |position| ViewRange { position, offset: 0 };
        f.step(|s, now| s.view_announced(SESSION, announced(5, &[]), now));
        f.advance(MAX_FETCH_DELAY);
        f.step(|s, now| s.view_part_received(SESSION, &copy.part(range(5)), now));
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        f.step(|s, now| s.view_announced(SESSION, announced(6, &[]), now));
        f.step(|s, _| s.session_closed(SESSION));
        f.step(|s, _| s.view_requested(2, range(6)));
        assert_eq!(f.view_parts(2), vec![copy.part(range(5))]);
    };

    no_copy_of_the_operator_view_is_fetched_unless_an_entry_asks_for_it => |mut f: Fixture| {
        let asked = announced(5, &[]);
        let not_asked = ViewAnnouncement { keep_copy: false, ..asked.clone() };
        f.step(|s, now| s.view_announced(SESSION, not_asked, now));
        f.advance(MAX_FETCH_DELAY);
        f.advance(MAX_FETCH_DELAY);
        assert!(f.view_requests().is_empty());
        f.step(|s, now| s.view_announced(SESSION, asked, now));
        f.advance(MAX_FETCH_DELAY);
        assert_eq!(f.view_requests(), vec![SESSION]);
    };

    a_request_for_a_view_that_the_agent_has_not_copied_is_passed_on => |mut f: Fixture| {
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        f.step(|s, now| s.view_announced(SESSION, announced(5, &[]), now));
        let range = ViewRange { position: 5, offset: 0 };
        f.step(|s, _| s.view_requested(2, range));
        assert_eq!(f.view_requests(), vec![SESSION]);
        let part = EncodedView::new(5, "view".into()).part(range);
        f.step(|s, now| s.view_part_received(SESSION, &part, now));
        assert_eq!(f.view_parts(2), vec![part.clone()]);
        // An answer is passed on once.
        f.step(|s, now| s.view_part_received(SESSION, &part, now));
        assert_eq!(f.view_parts(2).len(), 1);
    };

    a_request_for_a_view_that_nobody_has_is_not_passed_on => |mut f: Fixture| {
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        f.step(|s, now| s.view_announced(SESSION, announced(4, &[]), now));
        f.step(|s, now| s.view_announced(2, announced(5, &[]), now));
        f.step(|s, _| s.view_requested(2, ViewRange { position: 5, offset: 0 }));
        assert!(f.view_requests().is_empty());
    };

    an_address_of_an_earlier_process_of_an_entry_is_not_used_again => |mut f: Fixture| {
        let entry = |port: u16, incarnation| EntryAddr {
            name: "entry-2".into(),
            addr: ([10, 0, 0, 2], port).into(),
            zone: None,
            incarnation,
        };
        f.step(|s, _| assert!(s.add_entries(&[entry(7001, 2)])));
        f.step(|s, _| assert!(!s.add_entries(&[entry(7000, 1)])));
        assert_eq!(f.supervisor.entries(), vec![entry(7001, 2)]);
    };

    a_suspended_agent_does_not_start_runs_for_entries_that_have_given_it_up => |mut f: Fixture| {
        let probe = f.supervisor.probe(f.now);
        f.advance(Duration::from_millis(5));
        f.step(|s, _| s.suspended_for(Duration::from_secs(2)));
        f.submit(request(0, 2));
        // The answer to a probe from before the suspension may arrive after it.
        f.echo(SESSION, probe);
        f.submit(request(1, 2));
        let not_started = RunResult::NotStarted(NotStartedReason::ViewStale);
        assert_eq!(f.results(), vec![not_started, not_started]);
        f.advance_in_contact(Duration::from_millis(5));
        f.submit(request(2, 2));
        assert!(f.take_start().is_some());
    };

    resources_stay_reserved_until_the_end_is_listed => |mut f: Fixture| {
        f.start_run(0, 6);
        assert_eq!(f.free_cores(), 4);
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((f.free_cores(), f.results()), (10, vec![RunResult::Done]));
    };

    a_run_that_exceeds_the_free_resources_is_refused_immediately => |mut f: Fixture| {
        f.start_run(0, 6);
        f.submit(request(1, 5));
        assert_eq!(f.results(), vec![RunResult::NotStarted(NotStartedReason::NoRoom)]);
        assert!(f.take_start().is_none());
    };

    a_run_that_is_being_stopped_keeps_its_resources_reserved => |mut f: Fixture| {
        f.start_run(0, 6);
        f.step(|s, now| s.stop(SESSION, &[run(0, 1)], now));
        assert_eq!((f.stops(), f.free_cores()), (1, 4));
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!((f.free_cores(), f.results()), (10, vec![RunResult::Stopped]));
    };

    // Guards against a stop for an earlier submission of a job that ends the run of the present one.
    a_stop_of_an_earlier_submission_leaves_the_present_run => |mut f: Fixture| {
        f.start_run(0, 6);
        let earlier = RunId { submission: 0, ..run(0, 1) };
        f.step(|s, now| s.stop(SESSION, &[earlier], now));
        assert_eq!(f.stops(), 0);
    };

    an_unanswered_start_keeps_resources_reserved_until_a_poll_with_a_higher_token => |mut f: Fixture| {
        f.submit(request(0, 6));
        let call = f.take_start().expect("the run fits");
        let old_poll = f.next_poll();
        f.advance(START_TIMEOUT);
        f.step(|s, now| s.started(&call, Err(no_answer()), now));
        // The answer to a poll with the old token does not exclude that the start is executed late.
        f.answer(&old_poll, 1, vec![], vec![]);
        assert_eq!((f.free_cores(), f.results()), (4, vec![]));
        let new_poll = f.next_poll();
        assert!(new_poll.token > call.token);
        f.answer(&new_poll, 1, vec![], vec![]);
        let reason = NotStartedReason::ConnectFailed;
        assert_eq!((f.free_cores(), f.results()), (10, vec![RunResult::NotStarted(reason)]));
    };

    an_unanswered_start_that_was_executed_continues => |mut f: Fixture| {
        f.submit(request(0, 6));
        let call = f.take_start().expect("the run fits");
        f.advance(START_TIMEOUT);
        f.step(|s, now| s.started(&call, Err(no_answer()), now));
        f.poll(vec![running(0, 10)], vec![]);
        assert_eq!((f.free_cores(), f.results()), (4, vec![]));
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!(f.results(), vec![RunResult::Done]);
    };

    a_start_refused_for_its_token_is_retried => |mut f: Fixture| {
        f.submit(request(0, 3));
        let call = f.take_start().expect("the run fits");
        f.step(|s, now| s.started(&call, Err(CallError::Fenced), now));
        let retried = f.take_start().expect("the start is retried");
        assert_eq!((retried.request.id, f.results()), (call.request.id, vec![]));
    };

    runs_of_an_unresponsive_entry_are_stopped => |mut f: Fixture| {
        f.start_run(0, 6);
        f.advance(AUTHORITY_TIMEOUT.checked_sub(Duration::from_millis(50)).expect("longer"));
        assert_eq!(f.stops(), 0);
        f.advance(Duration::from_millis(60));
        assert_eq!(f.stops(), 1);
    };

    // Guards against a run that goes on beside the next one: its entry hears nothing of the agent, whose
    // sessions are reset as soon as they open.
    sessions_that_open_do_not_extend_authority_over_runs => |mut f: Fixture| {
        f.start_run(0, 6);
        let step = AUTHORITY_TIMEOUT / 6;
        for session in 2..9 {
            f.step(|s, _| s.session_closed(session - 1));
            f.step(|s, now| s.session_opened(&client(1), session, now));
            f.advance(step);
        }
        assert_eq!(f.stops(), 1);
    };

    // Guards against runs that are refused after a reset, as the entry's request is its first word.
    a_run_request_on_a_new_session_extends_authority => |mut f: Fixture| {
        f.start_run(0, 6);
        f.step(|s, _| s.session_closed(SESSION));
        f.advance(AUTHORITY_TIMEOUT.checked_sub(Duration::from_millis(50)).expect("longer"));
        f.step(|s, now| s.session_opened(&client(1), 2, now));
        f.advance(Duration::from_millis(40));
        f.step(|s, now| s.run(2, vec![request(1, 1)], now));
        f.advance(Duration::from_millis(40));
        assert_eq!((f.take_start().is_some(), f.stops()), (true, 0));
    };

    an_echo_extends_authority_from_the_time_its_probe_was_sent => |mut f: Fixture| {
        f.start_run(0, 6);
        let old_probe = f.supervisor.probe(f.now);
        f.advance(AUTHORITY_TIMEOUT / 2);
        f.echo(SESSION, old_probe);
        f.advance(AUTHORITY_TIMEOUT / 2 + Duration::from_millis(10));
        assert_eq!(f.stops(), 1);
    };

    a_reopened_session_receives_its_running_and_ended_runs => |mut f: Fixture| {
        f.start_run(0, 3);
        f.start_run(1, 3);
        f.step(|s, _| s.session_closed(SESSION));
        f.poll(vec![running(1, 5)], vec![ended(1, 0, WorkerEnd::Done)]);
        f.effects.clear();
        f.step(|s, now| s.session_opened(&client(1), 2, now));
        let resume = f.effects.iter().find_map(|e| match e {
            Effect::Send(2, PoolFrame::Resume(resume)) => Some(resume.clone()),
            _ => None,
        });
        let resume = resume.expect("a resume frame is sent");
        assert_eq!(resume.running, vec![run(1, 1)]);
        let ended: Vec<RunId> = resume.ended.into_iter().map(|end| end.id).collect();
        assert_eq!((ended, resume.complete), (vec![run(0, 1)], true));
    };

    a_restarted_entry_does_not_get_the_runs_of_its_earlier_process => |mut f: Fixture| {
        f.start_run(0, 3);
        f.effects.clear();
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        let lists_runs = |e: &Effect| matches!(e, Effect::Send(2, PoolFrame::Resume(r)) if !r.running.is_empty());
        assert!(!f.effects.iter().any(lists_runs));
    };

    a_second_run_of_a_running_task_is_refused => |mut f: Fixture| {
        f.start_run(0, 3);
        let mut second_run = request(0, 3);
        second_run.id.run = 2;
        f.submit(second_run);
        let reason = NotStartedReason::AlreadyKnown;
        assert_eq!(f.results(), vec![RunResult::NotStarted(reason)]);
    };

    a_repeated_run_number_is_increased_at_the_worker => |mut f: Fixture| {
        f.start_run(0, 3);
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Failed)]);
        f.submit(request(0, 3));
        assert_eq!(f.take_start().map(|call| call.worker_run), Some(2));
    };

    runs_of_an_earlier_agent_are_stopped_before_resources_are_offered => |_| {
        let mut f = Fixture::without_worker(Instant::now());
        f.report(1, 1, false);
        f.poll(vec![running(0, 50)], vec![]);
        assert_eq!((f.free_cores(), f.stops()), (0, 1));
        f.submit(request(1, 1));
        assert!(f.take_start().is_none());
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!(f.free_cores(), 10);
    };

    a_resume_before_the_first_run_listing_is_not_complete => |_| {
        let mut f = Fixture::without_worker(Instant::now());
        f.report(1, 1, false);
        f.step(|s, now| s.session_opened(&client(1), 2, now));
        let is_complete = |e: &Effect| matches!(e, Effect::Send(_, PoolFrame::Resume(r)) if r.complete);
        assert!(!f.effects.iter().any(is_complete));
    };

    runs_at_an_unresponsive_worker_are_lost_only_after_the_lease_expires => |mut f: Fixture| {
        f.start_run(0, 6);
        let call = f.next_poll();
        assert!(call.lease_until_ms.is_some());
        let millisecond = Duration::from_millis(1);
        let before_end = (MAX_LEASE + END_MARGIN).checked_sub(millisecond);
        f.advance_in_contact(before_end.expect("longer"));
        assert_eq!(f.results(), vec![], "the lease may last so long on a clock 2% slow");
        f.advance_in_contact(millisecond);
        f.advance_in_contact(millisecond);
        assert_eq!(f.results(), vec![RunResult::Lost]);
    };

    a_lease_is_not_extended_after_unanswered_polls => |mut f: Fixture| {
        f.start_run(0, 6);
        f.miss_poll();
        f.miss_poll();
        let call = f.next_poll();
        assert_eq!(call.lease_until_ms, None);
    };

    a_lease_ends_in_time_on_a_slow_clock_after_the_last_known_worker_clock => |mut f: Fixture| {
        f.start_run(0, 6);
        let clock = f.clock_ms();
        let until = f.next_poll().lease_until_ms.expect("runs need it");
        let longest = u64::try_from(MAX_LEASE.mul_f64(0.98).as_millis()).expect("short");
        assert!(until <= clock + longest && until > clock + longest - 10, "{until} at {clock}");
    };

    a_lease_at_a_worker_with_a_slow_clock_does_not_grow => |mut f: Fixture| {
        f.start_run(0, 6);
        for _ in 0..200 {
            f.advance_in_contact(Duration::from_millis(100));
            let call = f.next_poll();
            let clock_ms = f.clock_ms() * 98 / 100;
            let until = call.lease_until_ms.expect("runs need it");
            assert!(until <= clock_ms + 612, "{until} at {clock_ms}");
            let listing = RunListing {
                started_at_ms: 1,
                clock_ms,
                running: vec![running(0, 10)],
                ended: vec![],
            };
            f.step(|s, now| s.poll_answered(&call, Ok(listing), now));
        }
    };

    a_worker_restarted_with_the_same_id_loses_unlisted_runs => |mut f: Fixture| {
        f.start_run(0, 3);
        f.submit(request(1, 3));
        let call = f.next_poll();
        f.answer(&call, 2, vec![running(1, 0)], vec![]);
        assert_eq!(f.results(), vec![], "the listing may be older than the arrival of the start");
        let call = f.next_poll();
        f.answer(&call, 2, vec![running(1, 0)], vec![]);
        assert_eq!(f.ends().iter().map(|e| e.id.clone()).collect::<Vec<_>>(), vec![run(0, 1)]);
        assert_eq!(f.free_cores(), 0, "the worker's resources may have changed");
        f.report(2, 1, false);
        assert_eq!(f.free_cores(), 7);
    };

    run_listings_of_an_earlier_incarnation_are_ignored => |mut f: Fixture| {
        let earlier = f.next_poll();
        f.confirmed_report(5);
        f.start_run(0, 6);
        f.answer(&earlier, 1, vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        let call = f.next_poll();
        f.answer(&call, 1, vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((f.free_cores(), f.results()), (4, vec![]));
        let call = f.next_poll();
        f.answer(&call, 5, vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((f.free_cores(), f.results()), (10, vec![RunResult::Done]));
    };

    out_of_order_reports_are_ignored => |mut f: Fixture| {
        assert!(f.report(1, 5, true));
        assert!(!f.report(1, 4, false));
        assert!(!f.report(0, 9, false));
        f.submit(request(0, 1));
        let reason = NotStartedReason::ShuttingDown;
        assert_eq!(f.results(), vec![RunResult::NotStarted(reason)]);
    };

    a_refused_connection_marks_all_runs_lost => |mut f: Fixture| {
        f.start_run(0, 6);
        let call = f.next_poll();
        f.step(|s, now| s.poll_answered(&call, Err(CallError::Refused("down".to_owned())), now));
        assert_eq!((f.results(), f.free_cores()), (vec![RunResult::Lost], 0));
    };

    a_refused_token_is_raised_above_all_earlier_tokens => |mut f: Fixture| {
        let call = f.next_poll();
        f.step(|s, now| s.poll_answered(&call, Err(CallError::Fenced), now));
        assert!(f.next_poll().token > call.token + 60_000);
    };

    runs_in_a_zone_that_is_out_are_refused => |mut f: Fixture| {
        f.step(|s, now| s.view_announced(SESSION, announced(1, &["zone-a"]), now));
        f.submit(request(0, 1));
        let reason = NotStartedReason::ZoneOut;
        assert_eq!(f.results(), vec![RunResult::NotStarted(reason)]);
    };

    an_older_operator_view_does_not_replace_a_newer_one => |mut f: Fixture| {
        f.step(|s, now| s.view_announced(SESSION, announced(2, &["zone-a"]), now));
        f.step(|s, now| s.view_announced(SESSION, announced(1, &[]), now));
        f.submit(request(0, 1));
        assert!(f.take_start().is_none());
    };

    an_end_that_is_listed_twice_is_reported_once => |mut f: Fixture| {
        f.start_run(0, 3);
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((f.results().len(), f.next_poll().last_seen_end), (1, 1));
    };

    a_run_without_progress_is_stopped_and_reported_as_stuck => |mut f: Fixture| {
        f.start_run(0, 3);
        for _ in 0..6 {
            f.advance_in_contact(Duration::from_millis(100));
            f.poll(vec![running(0, 20)], vec![]);
        }
        assert!(f.stops() > 0);
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!(f.results(), vec![RunResult::Stuck]);
    };

    only_the_first_slow_run_of_a_task_is_stopped => |mut f: Fixture| {
        f.start_run(0, 3);
        for percent in [4, 8, 12, 16] {
            f.advance_in_contact(Duration::from_millis(40));
            f.poll(vec![running(0, percent)], vec![]);
        }
        assert_eq!(f.stops(), 1);
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!(f.results(), vec![RunResult::Stuck]);
        let mut second_run = request(0, 3);
        second_run.id.run = 2;
        f.submit(second_run);
        let call = f.take_start().expect("the run fits");
        f.started(&call, StartOutcome::Started);
        for percent in [4, 8, 12, 16] {
            f.advance_in_contact(Duration::from_millis(40));
            let mut entry = running(0, percent);
            entry.run.run = call.worker_run;
            f.poll(vec![entry], vec![]);
        }
        assert_eq!(f.stops(), 1);
    };

    a_run_within_the_expected_time_is_not_stopped_as_slow => |mut f: Fixture| {
        f.start_run(0, 3);
        for percent in [15, 30, 45, 60, 75, 90] {
            f.advance_in_contact(Duration::from_millis(40));
            f.poll(vec![running(0, percent)], vec![]);
        }
        assert_eq!(f.stops(), 0);
    };

    a_late_run_is_refused_for_a_time_after_another_run_was_refused => |mut f: Fixture| {
        f.start_run(0, 8);
        f.submit(request(1, 5));
        let mut late = request(2, 1);
        late.late = true;
        f.submit(late.clone());
        assert_eq!(f.results().len(), 2);
        f.advance_in_contact(Duration::from_millis(200));
        f.submit(late);
        assert!(f.take_start().is_some());
    };

    a_closing_agent_refuses_new_runs_and_waits_for_current_ones => |mut f: Fixture| {
        f.start_run(0, 3);
        f.step(Supervisor::close);
        f.submit(request(1, 1));
        let reason = NotStartedReason::ShuttingDown;
        assert_eq!((f.results(), f.supervisor.is_idle()), (vec![RunResult::NotStarted(reason)], false));
    };

    a_restored_report_of_another_incarnation_is_not_used => |_| {
        let mut f = Fixture::without_worker(Instant::now());
        f.step(|s, now| s.restore_report(report(1, 0, false), now));
        let call = f.next_poll();
        f.answer(&call, 2, vec![], vec![]);
        assert_eq!(f.free_cores(), 0);
    };

    new_entry_addresses_are_forwarded_once => |mut f: Fixture| {
        let entry = EntryAddr {
            name: "entry-2".into(),
            addr: "10.0.0.2:7000".parse().expect("an address"),
            zone: None,
            incarnation: 1,
        };
        f.step(|s, _| assert!(s.add_entries(std::slice::from_ref(&entry))));
        f.step(|s, _| assert!(!s.add_entries(std::slice::from_ref(&entry))));
        let announced = |e: &&Effect| matches!(e, Effect::Send(_, PoolFrame::Entries(_)));
        assert_eq!(f.effects.iter().filter(announced).count(), 1);
    };
    with_many_entries_changes_by_other_entries_are_batched => |mut f: Fixture| {
        for number in 2..42 {
            f.step(|s, now| s.session_opened(&client(number), number, now));
        }
        f.advance_in_contact(ANNOUNCE_INTERVAL);
        f.effects.clear();
        for index in 0..5 {
            f.start_run(index, 1);
        }
        let own = f.announced_free(SESSION);
        assert_eq!(own.last(), Some(&resources(5)), "changes by its own runs are announced immediately");
        f.advance_in_contact(ANNOUNCE_INTERVAL);
        assert_eq!(f.announced_free(30), vec![resources(5)], "one frame for 5 runs");
    };
    with_few_entries_every_change_is_announced_immediately => |mut f: Fixture| {
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        f.effects.clear();
        f.submit(request(0, 1));
        assert_eq!(f.announced_free(2), vec![resources(9)]);
    };
    a_listing_of_a_new_incarnation_made_before_a_start_arrives_loses_no_run => |mut f: Fixture| {
        f.submit(request(0, 2));
        let call = f.take_start().expect("the run fits");
        let poll = f.next_poll();
        f.advance_in_contact(Duration::from_millis(2));
        f.started(&call, StartOutcome::Started);
        f.answer(&poll, 2, vec![], vec![]);
        assert_eq!(f.results(), vec![], "the start may have reached the new incarnation");
        f.report(2, 1, false);
        let poll = f.next_poll();
        f.answer(&poll, 2, vec![running(0, 10)], vec![]);
        assert_eq!((f.results(), f.free_cores()), (vec![], 8));
        let poll = f.next_poll();
        f.answer(&poll, 2, vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((f.results(), f.free_cores()), (vec![RunResult::Done], 10));
    };
    a_lost_run_is_reported_after_an_earlier_start_of_its_task_was_stopped => |mut f: Fixture| {
        f.submit(RunRequest { id: run(0, 2), ..request(0, 4) });
        let start = f.take_start().expect("the run fits");
        f.started(&start, StartOutcome::Started);
        f.report(5, 1, false);
        let poll = f.next_poll();
        // A delayed start of the task's first run has reached the new incarnation.
        f.answer(&poll, 5, vec![running(0, 10)], vec![]);
        assert_eq!(f.results(), vec![]);
        assert_eq!(f.stops(), 1);
        let poll = f.next_poll();
        f.advance_in_contact(Duration::from_millis(20));
        f.answer(&poll, 5, vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!(f.results(), vec![RunResult::Lost]);
    };

    an_unanswered_start_to_an_earlier_incarnation_is_reported_lost => |mut f: Fixture| {
        f.submit(request(0, 2));
        f.take_start().expect("the run fits");
        let poll = f.next_poll();
        f.answer(&poll, 2, vec![], vec![]);
        let poll = f.next_poll();
        f.answer(&poll, 2, vec![], vec![]);
        assert_eq!(f.results(), vec![RunResult::Lost]);
    };
}
