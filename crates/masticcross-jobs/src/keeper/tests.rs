//! Tests of an agent's decisions.

use std::collections::BTreeSet;
use std::time::Duration;

use masticcross_wire::NotStartedReason;
use masticcross_wire::pool::{
    EntryAddr, OperatorView, PoolFrame, Resources, RunEnd, RunId, RunRequest, RunResult, TaskId,
    WorkerInfo,
};
use smallvec::smallvec;
use tokio::time::Instant;

use super::clients::{AUTHORITY, ClientId};
use super::{Effect, Keeper, START_TIMEOUT, SessionId, WorkerReport};
use crate::worker_client::{
    CallError, EndedEntry, LookCall, RunningEntry, StartAnswer, StartCall, StartVerdict, WorkerEnd,
    WorkerLife, WorkerLists,
};

/// Names each test case.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)*) => {
        $(#[test] $(#[$meta])* fn $name() { $body(Bench::new()) })*
    };
}

const LEASE: Duration = Duration::from_secs(1);
const SESSION: SessionId = 1;

/// An agent with one worker of 10 cores and one entry, and a clock.
struct Bench {
    keeper: Keeper,
    start: Instant,
    now: Instant,
    effects: Vec<Effect>,
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now();
        let mut bench = Self::without_worker(now);
        bench.report(1, 1, false);
        bench.look(vec![], vec![]);
        bench.effects.clear();
        bench
    }

    fn without_worker(now: Instant) -> Self {
        let mut keeper = Keeper::new(LEASE, 1_000, now);
        keeper.session_opened(&client(1), SESSION, now);
        Self {
            keeper,
            start: now,
            now,
            effects: Vec::new(),
        }
    }

    fn step(&mut self, f: impl FnOnce(&mut Keeper, Instant)) {
        f(&mut self.keeper, self.now);
        self.effects.extend(self.keeper.take_effects());
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.step(Keeper::tick);
    }

    /// Lets time pass in which the entry answers probes and the worker answers looks.
    fn pass_in_contact(&mut self, time: Duration) {
        self.pass(time);
        let probe = self.keeper.probe(self.now);
        self.step(|k, now| k.echoed(SESSION, probe, now));
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from((self.now - self.start).as_millis()).expect("short tests")
    }

    fn report(&mut self, born_ms: u64, sequence: u64, leaving: bool) -> bool {
        let accepted = self
            .keeper
            .worker_reported(report(born_ms, sequence, leaving), self.now);
        self.effects.extend(self.keeper.take_effects());
        accepted
    }

    fn next_look(&mut self) -> LookCall {
        self.keeper
            .next_look(0, Duration::ZERO, self.now)
            .expect("there is a worker")
    }

    fn look(&mut self, running: Vec<RunningEntry>, ended: Vec<EndedEntry>) {
        let call = self.next_look();
        self.answer(&call, 1, running, ended);
    }

    fn answer(
        &mut self,
        call: &LookCall,
        born_ms: u64,
        running: Vec<RunningEntry>,
        ended: Vec<EndedEntry>,
    ) {
        let lists = WorkerLists {
            born_ms,
            clock_ms: self.clock_ms(),
            running,
            ended,
        };
        self.step(|k, now| k.looked(call, Ok(lists), now));
    }

    fn order(&mut self, run: RunRequest) {
        self.step(|k, now| k.run(SESSION, vec![run], now));
    }

    /// Orders a run and lets the worker start it.
    fn start_run(&mut self, index: u16, cores: u64) -> StartCall {
        self.order(order(index, cores));
        let call = self.take_start().expect("the run fits");
        self.pass_in_contact(Duration::from_millis(2));
        self.started(&call, StartVerdict::Started);
        self.pass_in_contact(Duration::from_millis(2));
        call
    }

    fn started(&mut self, call: &StartCall, verdict: StartVerdict) {
        let answer = StartAnswer {
            clock_ms: self.clock_ms(),
            verdict,
        };
        self.step(|k, now| k.started(call, Ok(answer), now));
    }

    fn take_start(&mut self) -> Option<StartCall> {
        let is_start = |e: &Effect| matches!(e, Effect::Start(_));
        let position = self.effects.iter().position(is_start)?;
        match self.effects.remove(position) {
            Effect::Start(call) => Some(call),
            _ => None,
        }
    }

    /// Counts the runs that the worker was told to stop.
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

    /// Lists what a session was told of the free room.
    fn told_free(&self, session: SessionId) -> Vec<Resources> {
        let told = self.effects.iter().filter_map(|e| match e {
            Effect::Send(to, PoolFrame::Free(free)) if *to == session => Some(free.resources),
            _ => None,
        });
        told.collect()
    }

    fn free_cores(&self) -> u64 {
        self.keeper.levels(self.now).free.cpu / 1_000
    }
}

fn client(incarnation: u64) -> ClientId {
    ClientId {
        name: "entry-1".into(),
        incarnation,
    }
}

fn report(born_ms: u64, sequence: u64, leaving: bool) -> WorkerReport {
    WorkerReport {
        life: WorkerLife {
            id: "w-1".into(),
            born_ms,
        },
        sequence,
        info: WorkerInfo {
            service: "quotes".into(),
            zone: "zone-a".into(),
            labels: smallvec![],
            capacity: room(10),
            leaving,
        },
    }
}

fn room(cores: u64) -> Resources {
    Resources {
        cpu: cores * 1_000,
        memory_mb: cores,
        gpus: 0,
    }
}

fn order(index: u16, cores: u64) -> RunRequest {
    RunRequest {
        id: run(index, 1),
        resources: room(cores),
        spec: "x".into(),
        expected_ms: 100,
        late: false,
    }
}

fn run(index: u16, run: u32) -> RunId {
    RunId {
        task: TaskId {
            job: "job".into(),
            step: 0,
            index,
        },
        run,
    }
}

fn running(index: u16, percent: u32) -> RunningEntry {
    RunningEntry {
        run: run(index, 1),
        percent,
    }
}

fn ended(number: u64, index: u16, end: WorkerEnd) -> EndedEntry {
    EndedEntry {
        number,
        run: run(index, 1),
        end,
    }
}

fn no_answer() -> CallError {
    CallError::NoAnswer("lost".to_owned())
}

cases! {
    room_is_held_until_the_end_is_listed => |mut b: Bench| {
        b.start_run(0, 6);
        assert_eq!(b.free_cores(), 4);
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((b.free_cores(), b.results()), (10, vec![RunResult::Done]));
    };

    a_run_beyond_the_room_is_refused_at_once => |mut b: Bench| {
        b.start_run(0, 6);
        b.order(order(1, 5));
        assert_eq!(b.results(), vec![RunResult::NotStarted(NotStartedReason::NoRoom)]);
        assert!(b.take_start().is_none());
    };

    a_run_that_is_being_stopped_still_holds_room => |mut b: Bench| {
        b.start_run(0, 6);
        b.step(|k, now| k.stop(SESSION, &[run(0, 1)], now));
        assert_eq!((b.stops(), b.free_cores()), (1, 4));
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!((b.free_cores(), b.results()), (10, vec![RunResult::Stopped]));
    };

    an_unanswered_start_holds_room_until_a_look_under_a_higher_token => |mut b: Bench| {
        b.order(order(0, 6));
        let call = b.take_start().expect("the run fits");
        let before = b.next_look();
        b.pass(START_TIMEOUT);
        b.step(|k, now| k.started(&call, Err(no_answer()), now));
        // A look that was sent before does not keep a late execution from happening.
        b.answer(&before, 1, vec![], vec![]);
        assert_eq!((b.free_cores(), b.results()), (4, vec![]));
        let after = b.next_look();
        assert!(after.token > call.token);
        b.answer(&after, 1, vec![], vec![]);
        let reason = NotStartedReason::ConnectFailed;
        assert_eq!((b.free_cores(), b.results()), (10, vec![RunResult::NotStarted(reason)]));
    };

    an_unanswered_start_that_happened_goes_on => |mut b: Bench| {
        b.order(order(0, 6));
        let call = b.take_start().expect("the run fits");
        b.pass(START_TIMEOUT);
        b.step(|k, now| k.started(&call, Err(no_answer()), now));
        b.look(vec![running(0, 10)], vec![]);
        assert_eq!((b.free_cores(), b.results()), (4, vec![]));
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!(b.results(), vec![RunResult::Done]);
    };

    a_start_overtaken_by_a_higher_token_is_sent_again => |mut b: Bench| {
        b.order(order(0, 3));
        let call = b.take_start().expect("the run fits");
        b.step(|k, now| k.started(&call, Err(CallError::Fenced), now));
        let again = b.take_start().expect("sent again");
        assert_eq!((again.order.id, b.results()), (call.order.id, vec![]));
    };

    runs_of_a_silent_entry_are_stopped => |mut b: Bench| {
        b.start_run(0, 6);
        b.pass(AUTHORITY.checked_sub(Duration::from_millis(50)).expect("longer"));
        assert_eq!(b.stops(), 0);
        b.pass(Duration::from_millis(60));
        assert_eq!(b.stops(), 1);
    };

    an_answer_counts_from_when_its_probe_was_sent => |mut b: Bench| {
        b.start_run(0, 6);
        let old_probe = b.keeper.probe(b.now);
        b.pass(AUTHORITY / 2);
        b.step(|k, now| k.echoed(SESSION, old_probe, now));
        b.pass(AUTHORITY / 2 + Duration::from_millis(10));
        assert_eq!(b.stops(), 1);
    };

    a_session_that_opens_again_finds_its_runs => |mut b: Bench| {
        b.start_run(0, 3);
        b.start_run(1, 3);
        b.step(|k, _| k.session_closed(SESSION));
        b.look(vec![running(1, 5)], vec![ended(1, 0, WorkerEnd::Done)]);
        b.effects.clear();
        b.step(|k, now| k.session_opened(&client(1), 2, now));
        let resume = b.effects.iter().find_map(|e| match e {
            Effect::Send(2, PoolFrame::Resume(resume)) => Some(resume.clone()),
            _ => None,
        });
        let resume = resume.expect("sent first");
        assert_eq!(resume.running, vec![run(1, 1)]);
        let ended: Vec<RunId> = resume.ended.into_iter().map(|end| end.id).collect();
        assert_eq!((ended, resume.complete), (vec![run(0, 1)], true));
    };

    a_new_start_of_an_entry_does_not_get_the_runs_of_the_old_one => |mut b: Bench| {
        b.start_run(0, 3);
        b.effects.clear();
        b.step(|k, now| k.session_opened(&client(2), 2, now));
        let lists_runs = |e: &Effect| matches!(e, Effect::Send(2, PoolFrame::Resume(r)) if !r.running.is_empty());
        assert!(!b.effects.iter().any(lists_runs));
    };

    a_task_has_one_run_at_a_time => |mut b: Bench| {
        b.start_run(0, 3);
        let mut again = order(0, 3);
        again.id.run = 2;
        b.order(again);
        let reason = NotStartedReason::AlreadyKnown;
        assert_eq!(b.results(), vec![RunResult::NotStarted(reason)]);
    };

    a_run_of_the_same_number_is_numbered_on_at_the_worker => |mut b: Bench| {
        b.start_run(0, 3);
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Failed)]);
        b.order(order(0, 3));
        assert_eq!(b.take_start().map(|call| call.worker_run), Some(2));
    };

    what_an_earlier_agent_left_is_stopped_before_anything_is_offered => |_| {
        let mut b = Bench::without_worker(Instant::now());
        b.report(1, 1, false);
        b.look(vec![running(0, 50)], vec![]);
        assert_eq!((b.free_cores(), b.stops()), (0, 1));
        b.order(order(1, 1));
        assert!(b.take_start().is_none());
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!(b.free_cores(), 10);
    };

    an_agent_that_has_seen_no_list_does_not_claim_to_know_all_runs => |_| {
        let mut b = Bench::without_worker(Instant::now());
        b.report(1, 1, false);
        b.step(|k, now| k.session_opened(&client(1), 2, now));
        let claims = |e: &Effect| matches!(e, Effect::Send(_, PoolFrame::Resume(r)) if r.complete);
        assert!(!b.effects.iter().any(claims));
    };

    runs_at_a_silent_worker_are_lost_only_when_the_lease_has_lapsed => |mut b: Bench| {
        b.start_run(0, 6);
        let call = b.next_look();
        assert!(call.lease_until_ms.is_some());
        for _ in 0..10 {
            b.pass_in_contact(Duration::from_millis(100));
        }
        assert_eq!(b.results(), vec![], "the lease may last a second and 2%");
        b.pass_in_contact(Duration::from_millis(150));
        assert_eq!(b.results(), vec![RunResult::Lost]);
    };

    a_lease_is_not_extended_after_unanswered_looks => |mut b: Bench| {
        b.start_run(0, 6);
        let call = b.keeper.next_look(2, Duration::ZERO, b.now).expect("a worker");
        assert_eq!(call.lease_until_ms, None);
    };

    a_lease_ends_a_second_after_the_last_known_clock => |mut b: Bench| {
        b.start_run(0, 6);
        let clock = b.clock_ms();
        let until = b.next_look().lease_until_ms.expect("runs need it");
        assert!(until <= clock + 1_000 && until > clock + 900, "{until} at {clock}");
    };

    a_worker_that_starts_anew_under_its_id_keeps_only_listed_runs => |mut b: Bench| {
        b.start_run(0, 3);
        b.order(order(1, 3));
        let call = b.next_look();
        b.answer(&call, 2, vec![running(1, 0)], vec![]);
        assert_eq!(b.results(), vec![], "the list may be older than the start's arrival");
        let call = b.next_look();
        b.answer(&call, 2, vec![running(1, 0)], vec![]);
        assert_eq!(b.ends().iter().map(|e| e.id.clone()).collect::<Vec<_>>(), vec![run(0, 1)]);
        assert_eq!(b.free_cores(), 0, "its resources may have changed");
        b.report(2, 1, false);
        assert_eq!(b.free_cores(), 7);
    };

    lists_of_an_earlier_life_change_nothing => |mut b: Bench| {
        b.report(5, 1, false);
        let call = b.next_look();
        b.answer(&call, 1, vec![], vec![]);
        assert_eq!(b.free_cores(), 0);
        let call = b.next_look();
        b.answer(&call, 5, vec![], vec![]);
        assert_eq!(b.free_cores(), 10);
    };

    reports_out_of_order_change_nothing => |mut b: Bench| {
        assert!(b.report(1, 5, true));
        assert!(!b.report(1, 4, false));
        assert!(!b.report(0, 9, false));
        b.order(order(0, 1));
        let reason = NotStartedReason::ShuttingDown;
        assert_eq!(b.results(), vec![RunResult::NotStarted(reason)]);
    };

    a_refused_connection_ends_all_runs => |mut b: Bench| {
        b.start_run(0, 6);
        let call = b.next_look();
        b.step(|k, now| k.looked(&call, Err(CallError::Refused("down".to_owned())), now));
        assert_eq!((b.results(), b.free_cores()), (vec![RunResult::Lost], 0));
    };

    a_refused_token_is_raised_above_all_earlier_ones => |mut b: Bench| {
        let call = b.next_look();
        b.step(|k, now| k.looked(&call, Err(CallError::Fenced), now));
        assert!(b.next_look().token > call.token + 60_000);
    };

    nothing_starts_in_a_zone_that_is_out => |mut b: Bench| {
        let view = OperatorView {
            position: 1,
            zones_out: ["zone-a".into()].into(),
            ..OperatorView::default()
        };
        b.step(|k, now| k.view_offered(SESSION, view, now));
        b.order(order(0, 1));
        let reason = NotStartedReason::ZoneOut;
        assert_eq!(b.results(), vec![RunResult::NotStarted(reason)]);
    };

    an_older_view_does_not_replace_a_newer_one => |mut b: Bench| {
        let out = OperatorView {
            position: 2,
            zones_out: ["zone-a".into()].into(),
            ..OperatorView::default()
        };
        b.step(|k, now| k.view_offered(SESSION, out, now));
        let older = OperatorView { position: 1, ..OperatorView::default() };
        b.step(|k, now| k.view_offered(SESSION, older, now));
        b.order(order(0, 1));
        assert!(b.take_start().is_none());
    };

    ends_listed_twice_are_told_once => |mut b: Bench| {
        b.start_run(0, 3);
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((b.results().len(), b.next_look().seen), (1, 1));
    };

    a_run_without_progress_is_stopped_and_told_as_stuck => |mut b: Bench| {
        b.start_run(0, 3);
        for _ in 0..6 {
            b.pass_in_contact(Duration::from_millis(100));
            b.look(vec![running(0, 20)], vec![]);
        }
        assert!(b.stops() > 0);
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!(b.results(), vec![RunResult::Stuck]);
    };

    a_slow_run_is_stopped_once => |mut b: Bench| {
        b.start_run(0, 3);
        for percent in [4, 8, 12, 16] {
            b.pass_in_contact(Duration::from_millis(40));
            b.look(vec![running(0, percent)], vec![]);
        }
        assert_eq!(b.stops(), 1);
        b.look(vec![], vec![ended(1, 0, WorkerEnd::Stopped)]);
        assert_eq!(b.results(), vec![RunResult::Stuck]);
        let mut again = order(0, 3);
        again.id.run = 2;
        b.order(again);
        let call = b.take_start().expect("the run fits");
        b.started(&call, StartVerdict::Started);
        for percent in [4, 8, 12, 16] {
            b.pass_in_contact(Duration::from_millis(40));
            let mut entry = running(0, percent);
            entry.run.run = call.worker_run;
            b.look(vec![entry], vec![]);
        }
        assert_eq!(b.stops(), 1);
    };

    a_run_of_a_sound_worker_is_not_taken_for_slow => |mut b: Bench| {
        b.start_run(0, 3);
        for percent in [15, 30, 45, 60, 75, 90] {
            b.pass_in_contact(Duration::from_millis(40));
            b.look(vec![running(0, percent)], vec![]);
        }
        assert_eq!(b.stops(), 0);
    };

    a_late_run_yields_to_others_for_a_while => |mut b: Bench| {
        b.start_run(0, 8);
        b.order(order(1, 5));
        let mut late = order(2, 1);
        late.late = true;
        b.order(late.clone());
        assert_eq!(b.results().len(), 2);
        b.pass_in_contact(Duration::from_millis(200));
        b.order(late);
        assert!(b.take_start().is_some());
    };

    a_closing_agent_takes_nothing_and_waits_for_what_runs => |mut b: Bench| {
        b.start_run(0, 3);
        b.step(Keeper::close);
        b.order(order(1, 1));
        let reason = NotStartedReason::ShuttingDown;
        assert_eq!((b.results(), b.keeper.is_idle()), (vec![RunResult::NotStarted(reason)], false));
    };

    a_recalled_report_is_used_only_after_a_look => |_| {
        let mut b = Bench::without_worker(Instant::now());
        b.step(|k, _| k.worker_recalled(report(1, 0, false)));
        assert_eq!(b.free_cores(), 0);
        b.look(vec![], vec![]);
        assert_eq!(b.free_cores(), 10);
    };

    a_recalled_report_of_another_life_is_not_used => |_| {
        let mut b = Bench::without_worker(Instant::now());
        b.step(|k, _| k.worker_recalled(report(1, 0, false)));
        let call = b.next_look();
        b.answer(&call, 2, vec![], vec![]);
        assert_eq!(b.free_cores(), 0);
    };

    entries_learned_are_passed_on => |mut b: Bench| {
        let entry = EntryAddr {
            name: "entry-2".into(),
            addr: "10.0.0.2:7000".parse().expect("an address"),
        };
        b.step(|k, _| assert!(k.learn_entries(std::slice::from_ref(&entry))));
        b.step(|k, _| assert!(!k.learn_entries(std::slice::from_ref(&entry))));
        let told = |e: &&Effect| matches!(e, Effect::Send(_, PoolFrame::Entries(_)));
        assert_eq!(b.effects.iter().filter(told).count(), 1);
    };
    many_entries_are_told_together_of_each_others_runs => |mut b: Bench| {
        for number in 2..42 {
            b.step(|k, now| k.session_opened(&client(number), number, now));
        }
        b.pass_in_contact(Duration::from_millis(20));
        b.effects.clear();
        for index in 0..5 {
            b.start_run(index, 1);
        }
        let own = b.told_free(SESSION);
        assert_eq!(own.last(), Some(&room(5)), "its own runs are told at once");
        assert!(b.told_free(30).len() <= 2, "{} frames for 5 runs", b.told_free(30).len());
        b.pass_in_contact(Duration::from_millis(20));
        assert_eq!(b.told_free(30).last(), Some(&room(5)));
    };
    few_entries_are_told_of_every_run_at_once => |mut b: Bench| {
        b.step(|k, now| k.session_opened(&client(2), 2, now));
        b.effects.clear();
        b.order(order(0, 1));
        assert_eq!(b.told_free(2), vec![room(9)]);
    };
    a_list_of_a_new_life_made_before_a_start_arrived_loses_no_run => |mut b: Bench| {
        b.order(order(0, 2));
        let call = b.take_start().expect("the run fits");
        let look = b.next_look();
        b.pass_in_contact(Duration::from_millis(2));
        b.started(&call, StartVerdict::Started);
        b.answer(&look, 2, vec![], vec![]);
        assert_eq!(b.results(), vec![], "the start may have reached the new life");
        b.report(2, 1, false);
        let look = b.next_look();
        b.answer(&look, 2, vec![running(0, 10)], vec![]);
        assert_eq!((b.results(), b.free_cores()), (vec![], 8));
        let look = b.next_look();
        b.answer(&look, 2, vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((b.results(), b.free_cores()), (vec![RunResult::Done], 10));
    };
    an_unanswered_start_to_a_former_life_may_have_run => |mut b: Bench| {
        b.order(order(0, 2));
        b.take_start().expect("the run fits");
        let look = b.next_look();
        b.answer(&look, 2, vec![], vec![]);
        let look = b.next_look();
        b.answer(&look, 2, vec![], vec![]);
        assert_eq!(b.results(), vec![RunResult::Lost]);
    };
}
