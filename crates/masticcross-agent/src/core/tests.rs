//! Rules of a start, of reports to owners, and of a bounded memory.

use std::time::Duration;

use masticcross_basics::timeline::{Stamp, Timeline};
use masticcross_basics::{AttemptId, Epoch, JobKey, Name, PARTITIONS};
use masticcross_wire::{
    AgentView, AttemptState, Frame, Gather, Gathered, Json, Member, NotStartedReason,
    PartitionOwner, StartTasks, StopTasks, TaskEnded, TaskOutcome, TaskStart, ViewVersion,
};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::sessions::Outlet;
use super::starts::Run;
use super::view::ViewKeeper;
use super::{AgentCore, SessionId};
use crate::backend::RunOutcome;
use crate::metrics::Metrics;
use crate::{AgentLimits, Announcement, Identity};

const SERVICE: &str = "quote-desk";
const FRESHNESS: Duration = Duration::from_secs(2);
const MS: Duration = Duration::from_millis(1);

/// The decisions, with a clock and two entries in the hands of the test.
struct Rig {
    core: AgentCore,
    now: Instant,
    frames: [mpsc::Receiver<Frame>; 2],
}

impl Rig {
    /// Creates an agent with a fresh view, a backend server of two slots, and sessions 1 and 2 with
    /// the entries `e1` and `e2`.
    fn new() -> Self {
        Self::with_limits(AgentLimits::default())
    }

    fn with_limits(limits: AgentLimits) -> Self {
        let identity = Identity {
            name: "w1".into(),
            incarnation: 1,
            zone: "z1".into(),
        };
        let timeline = Timeline::new("w1".into(), 100);
        let metrics = Metrics::new().expect("metrics register");
        let core = AgentCore::new(identity, limits, timeline, metrics);
        let now = Instant::now();
        let frames = [connect(&core, 1, "e1", now), connect(&core, 2, "e2", now)];
        let rig = Self { core, now, frames };
        rig.offer(view());
        let runs = rig.core.announce(backend(2), now);
        assert!(runs.is_empty());
        rig
    }

    fn offer(&self, view: AgentView) {
        self.core.view_offered(Some(view), Some(self.now), self.now);
    }

    fn start(&self, start: &StartTasks) -> Vec<Run> {
        self.core.start(1, start, self.now)
    }

    /// Starts as many other tasks as there are slots.
    fn fill(&self) -> Vec<Run> {
        let runs = self.start(&start("other", 1, 101, 2));
        assert_eq!(runs.len(), 2);
        runs
    }

    fn finish(&self, run: &Run, result: &str) -> Vec<Run> {
        let passed = self.core.confirm_start(run.id, self.now);
        assert_eq!(passed, Ok(()));
        let outcome = RunOutcome::Done(Json::from(result));
        self.core.finished(run.id, outcome, self.now)
    }

    fn gather(&self, session: SessionId, job: &str, epoch: u64) {
        let partition = key(job).partition();
        let epoch = Epoch(epoch);
        self.core
            .gather(session, Gather { partition, epoch }, self.now);
    }

    /// Takes the frames that the entry of a session got so far.
    fn frames(&mut self, session: usize) -> Vec<Frame> {
        let rx = &mut self.frames[session - 1];
        std::iter::from_fn(|| rx.try_recv().ok()).collect()
    }

    fn ended(&mut self, session: usize) -> Vec<TaskEnded> {
        let ended = |frame| match frame {
            Frame::Ended(ended) => Some(ended),
            _ => None,
        };
        self.frames(session).into_iter().filter_map(ended).collect()
    }

    fn outcomes(&mut self, session: usize) -> Vec<TaskOutcome> {
        self.ended(session).into_iter().map(|e| e.outcome).collect()
    }

    fn gathered(&mut self, session: usize) -> Vec<Gathered> {
        let gathered = |frame| match frame {
            Frame::Gathered(gathered) => Some(gathered),
            _ => None,
        };
        self.frames(session)
            .into_iter()
            .filter_map(gathered)
            .collect()
    }
}

fn connect(
    core: &AgentCore,
    session: SessionId,
    entry: &str,
    now: Instant,
) -> mpsc::Receiver<Frame> {
    let (tx, rx) = mpsc::channel(1_024);
    let outlet = Outlet {
        entry: entry.into(),
        incarnation: 1,
        tx,
        close: watch::channel(None).0,
    };
    core.session_opened(session, outlet, now);
    rx
}

fn backend(slots: u16) -> Announcement {
    Announcement {
        name: "b1".into(),
        service: SERVICE.into(),
        url: "http://127.0.0.1:9".into(),
        slots,
        connections: 8,
        ttl: Duration::from_mins(1),
    }
}

/// A view in which `e1` owns every partition under epoch 1.
fn view() -> AgentView {
    let member = |name: &str| Member {
        name: name.into(),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 7200).into(),
        zone: "z1".into(),
    };
    let owner = PartitionOwner {
        member: Some(0),
        epoch: Epoch(1),
    };
    AgentView {
        version: ViewVersion {
            config: 1,
            partitions: 1,
        },
        config_version: 1,
        zones_out: Vec::new(),
        freshness_ms: 2_000,
        members: vec![member("e1"), member("e2")],
        partitions: vec![owner; usize::from(PARTITIONS)],
        registered: true,
        registered_at: 1,
    }
}

/// A later view in which `e2` owns every partition under a new epoch.
fn view_of_e2(epoch: u64) -> AgentView {
    let mut view = view();
    view.version.partitions += epoch;
    let owner = PartitionOwner {
        member: Some(1),
        epoch: Epoch(epoch),
    };
    view.partitions = vec![owner; usize::from(PARTITIONS)];
    view
}

fn view_without_zone() -> AgentView {
    let mut view = view();
    view.version.config += 1;
    view.config_version += 1;
    view.zones_out = vec!["z1".into()];
    view
}

fn view_without_agent() -> AgentView {
    let mut view = view();
    view.version.partitions += 1;
    view.registered = false;
    view
}

fn view_of_a_new_registration() -> AgentView {
    let mut view = view();
    view.version.partitions += 2;
    view.registered_at += 2;
    view
}

fn key(job: &str) -> JobKey {
    JobKey::new(SERVICE, job).expect("valid names")
}

fn id(epoch: u64, seq: u64) -> AttemptId {
    let epoch = Epoch(epoch);
    AttemptId { epoch, seq }
}

fn start(job: &str, epoch: u64, seq: u64, tasks: u16) -> StartTasks {
    let tasks = (0..tasks).map(|index| TaskStart {
        index,
        attempt: id(epoch, seq + u64::from(index)),
        payload: Name::from("1"),
    });
    StartTasks {
        key: key(job),
        partition: key(job).partition(),
        epoch: Epoch(epoch),
        left_ms: 10_000,
        tasks: tasks.collect(),
        stamp: Stamp::default(),
    }
}

/// Names cases in which a task that was in order on arrival must not start later. Each case runs
/// twice: the change comes while the task waits for a place, and while its connection is made.
macro_rules! refused_after_a_change {
    ($($name:ident: $change:expr => $reason:ident;)*) => {
        mod while_waiting {
            use super::*;
            $(#[test]
            fn $name() {
                let mut rig = Rig::new();
                let runs = rig.fill();
                assert!(rig.start(&start("job", 1, 1, 1)).is_empty());
                let change: fn(&mut Rig) = $change;
                change(&mut rig);
                let outcome = RunOutcome::Failed(String::new());
                let next = rig.core.finished(runs[0].id, outcome, rig.now);
                assert!(next.is_empty());
                // What is gathered goes to the new owner, the rest to the old one.
                let ended: Vec<TaskEnded> = [rig.ended(1), rig.ended(2)].concat();
                let outcome = ended.iter().find(|e| e.attempt == id(1, 1)).map(|e| &e.outcome);
                let reason = NotStartedReason::$reason;
                assert_eq!(outcome, Some(&TaskOutcome::NotStarted(reason)));
            })*
        }
        mod while_connecting {
            use super::*;
            $(#[test]
            fn $name() {
                let mut rig = Rig::new();
                let runs = rig.start(&start("job", 1, 1, 1));
                let change: fn(&mut Rig) = $change;
                change(&mut rig);
                let reason = NotStartedReason::$reason;
                assert_eq!(rig.core.confirm_start(runs[0].id, rig.now), Err(reason));
            })*
        }
    };
}

refused_after_a_change! {
    view_grew_old: |rig| rig.now += FRESHNESS => ViewStale;
    zone_went_out: |rig| rig.offer(view_without_zone()) => ZoneOut;
    agent_was_replaced: |rig| rig.offer(view_without_agent()) => ViewStale;
    agent_was_registered_again: |rig| rig.offer(view_of_a_new_registration()) => ViewStale;
    owner_changed_in_the_view: |rig| rig.offer(view_of_e2(2)) => OldEpoch;
    new_owner_gathered: |rig| rig.gather(2, "job", 2) => OldEpoch;
    deadline_passed: |rig| {
        rig.now += Duration::from_secs(10);
        rig.offer(view());
    } => DeadlinePassed;
    owner_stopped_it: |rig| {
        let attempts = vec![id(1, 1)];
        rig.core.stop(1, &StopTasks { key: key("job"), attempts }, rig.now);
    } => Stopped;
}

/// Names cases in which a task is refused on arrival.
macro_rules! refused_on_arrival {
    ($($name:ident: $before:expr => $reason:ident;)*) => {
        $(#[test]
        fn $name() {
            let mut rig = Rig::with_limits(AgentLimits { queue: 1, ..AgentLimits::default() });
            let before: fn(&mut Rig) = $before;
            before(&mut rig);
            rig.ended(1);
            assert!(rig.start(&start("job", 1, 1, 1)).is_empty());
            let reason = TaskOutcome::NotStarted(NotStartedReason::$reason);
            let ended = [rig.ended(1), rig.ended(2)].concat();
            let outcomes: Vec<&TaskOutcome> = ended
                .iter()
                .filter(|e| e.attempt == id(1, 1))
                .map(|e| &e.outcome)
                .collect();
            assert_eq!(outcomes, [&reason]);
        })*
    };
}

refused_on_arrival! {
    an_old_view: |rig| rig.now += FRESHNESS => ViewStale;
    a_zone_out: |rig| rig.offer(view_without_zone()) => ZoneOut;
    an_old_epoch: |rig| rig.offer(view_of_e2(2)) => OldEpoch;
    a_fenced_epoch: |rig| rig.gather(2, "job", 2) => OldEpoch;
    no_backend: |rig| assert!(rig.core.withdraw("b1", rig.now)) => NoBackend;
    a_backend_whose_time_ended: |rig| {
        rig.now += Duration::from_mins(1);
        rig.offer(view());
    } => NoBackend;
    a_full_queue: |rig| {
        rig.fill();
        assert!(rig.start(&start("third", 1, 201, 1)).is_empty());
    } => NoRoom;
    a_stop_in_order: |rig| rig.core.drain(rig.now) => ShuttingDown;
    a_task_that_runs_under_an_earlier_attempt: |rig| {
        assert_eq!(rig.start(&start("job", 1, 9, 1)).len(), 1);
    } => AlreadyKnown;
}

#[test]
fn without_any_view_nothing_starts() {
    let mut rig = Rig::new();
    rig.core.view = ViewKeeper::default();
    assert!(rig.start(&start("job", 1, 1, 1)).is_empty());
    let stale = TaskOutcome::NotStarted(NotStartedReason::ViewStale);
    assert_eq!(rig.outcomes(1), [stale]);
}

#[test]
fn an_attempt_starts_once_however_often_it_arrives() {
    let mut rig = Rig::new();
    let frame = start("job", 1, 1, 1);
    let runs = rig.start(&frame);
    assert!(rig.start(&frame).is_empty());
    rig.finish(&runs[0], "7");
    assert!(rig.start(&frame).is_empty());
    let done = TaskOutcome::Done("7".into());
    assert_eq!(rig.outcomes(1), [done.clone(), done]);
    rig.core.release(&[key("job")], rig.now);
    assert!(rig.start(&frame).is_empty());
    rig.now += Duration::from_mins(11);
    rig.offer(view());
    let _ = rig.core.announce(backend(2), rig.now);
    assert!(rig.core.tick(rig.now).is_empty());
    assert!(rig.start(&frame).is_empty(), "forgotten, but not startable");
}

#[test]
fn a_done_task_answers_a_new_attempt_with_its_result() {
    let mut rig = Rig::new();
    let runs = rig.start(&start("job", 1, 1, 1));
    rig.finish(&runs[0], "7");
    rig.ended(1);
    assert!(rig.start(&start("job", 1, 2, 1)).is_empty());
    let ended = rig.ended(1);
    assert_eq!(ended.len(), 2);
    assert_eq!(ended[1].attempt, id(1, 1));
    assert_eq!(ended[1].outcome, TaskOutcome::Done("7".into()));
}

#[test]
fn a_failed_task_may_be_tried_again() {
    let rig = Rig::new();
    let runs = rig.start(&start("job", 1, 1, 1));
    let outcome = RunOutcome::Failed("status 500".to_owned());
    let _ = rig.core.finished(runs[0].id, outcome, rig.now);
    assert_eq!(rig.start(&start("job", 1, 2, 1)).len(), 1);
}

#[test]
fn frames_of_a_replaced_session_are_dropped() {
    let mut rig = Rig::new();
    let mut newer = connect(&rig.core, 3, "e1", rig.now);
    assert!(rig.start(&start("job", 1, 1, 1)).is_empty());
    assert_eq!(rig.core.stats(rig.now).attempts, 0);
    assert!(rig.ended(1).is_empty());
    assert!(newer.try_recv().is_ok());
}

#[test]
fn a_new_owner_learns_of_all_attempts_and_gets_later_ends() {
    let mut rig = Rig::new();
    let runs = rig.start(&start("job", 1, 1, 4));
    rig.finish(&runs[0], "7");
    rig.gather(2, "job", 2);
    let gathered = rig.gathered(2);
    let reports: Vec<_> = gathered.iter().flat_map(|g| &g.attempts).collect();
    let old_epoch = TaskOutcome::NotStarted(NotStartedReason::OldEpoch);
    let states: Vec<_> = reports.iter().map(|r| &r.state).collect();
    assert_eq!(
        states[0],
        &AttemptState::Ended(TaskOutcome::Done("7".into()))
    );
    assert_eq!(states[1], &AttemptState::Running);
    // The third had taken the first one's place, the fourth was waiting.
    assert_eq!(states[2], &AttemptState::Running);
    assert_eq!(states[3], &AttemptState::Ended(old_epoch));
    assert!(gathered.last().is_some_and(|g| g.last));
    rig.ended(1);
    let outcome = RunOutcome::Done("8".into());
    let _ = rig.core.finished(runs[1].id, outcome, rig.now);
    assert!(rig.ended(1).is_empty());
    assert_eq!(rig.outcomes(2), [TaskOutcome::Done("8".into())]);
}

#[test]
fn a_gather_answer_is_split_and_its_last_frame_marked() {
    let mut rig = Rig::new();
    rig.core.drain(rig.now);
    let _ = rig.start(&start("job", 1, 1, 600));
    rig.gather(2, "job", 2);
    let sizes: Vec<(usize, bool)> = rig
        .gathered(2)
        .iter()
        .map(|g| (g.attempts.len(), g.last))
        .collect();
    assert_eq!(sizes, [(256, false), (256, false), (88, true)]);
}

#[test]
fn results_move_to_the_owner_of_the_view() {
    let mut rig = Rig::new();
    let runs = rig.start(&start("job", 1, 1, 1));
    rig.finish(&runs[0], "7");
    rig.offer(view_of_e2(2));
    assert_eq!(rig.outcomes(2), [TaskOutcome::Done("7".into())]);
    rig.offer(view_of_e2(3));
    assert!(rig.ended(2).is_empty(), "sent once on each session");
}

#[test]
fn a_former_owner_cannot_stop_what_was_taken_over() {
    let rig = Rig::new();
    let runs = rig.start(&start("job", 1, 1, 1));
    rig.gather(2, "job", 2);
    let stop = StopTasks {
        key: key("job"),
        attempts: vec![id(1, 1)],
    };
    rig.core.stop(1, &stop, rig.now);
    assert!(!*runs[0].stop.borrow());
    rig.core.stop(2, &stop, rig.now);
    assert!(*runs[0].stop.borrow());
}

#[test]
fn a_stopped_task_that_ends_all_the_same_keeps_its_result() {
    let mut rig = Rig::new();
    let runs = rig.start(&start("job", 1, 1, 2));
    let stop = StopTasks {
        key: key("job"),
        attempts: vec![id(1, 1), id(1, 2)],
    };
    rig.core.stop(1, &stop, rig.now);
    let _ = rig
        .core
        .finished(runs[0].id, RunOutcome::Done("7".into()), rig.now);
    let _ = rig
        .core
        .finished(runs[1].id, RunOutcome::Failed(String::new()), rig.now);
    let expected = [TaskOutcome::Done("7".into()), TaskOutcome::Stopped];
    assert_eq!(rig.outcomes(1), expected);
}

#[test]
fn under_pressure_released_results_go_first_and_then_only_results() {
    let limits = AgentLimits {
        result_memory: 2_500,
        ..AgentLimits::default()
    };
    let rig = Rig::with_limits(limits);
    let result = "x".repeat(900);
    for (seq, job) in [(1, "first"), (2, "second"), (3, "third")] {
        let runs = rig.start(&start(job, 1, seq, 1));
        rig.finish(&runs[0], &result);
        if job == "second" {
            rig.core.release(&[key(job)], rig.now);
        }
    }
    let kept = |rig: &AgentCore, seq| {
        let state = rig.state.lock();
        state.attempts.get(id(1, seq)).map(|a| a.report().state)
    };
    let done = AttemptState::Ended(TaskOutcome::Done(result.as_str().into()));
    assert_eq!(kept(&rig.core, 1), Some(done.clone()));
    assert_eq!(kept(&rig.core, 2), None, "released, so it went first");
    assert_eq!(kept(&rig.core, 3), Some(done));
    let runs = rig.start(&start("fourth", 1, 4, 1));
    rig.finish(&runs[0], &result);
    let dropped = AttemptState::Ended(TaskOutcome::ResultDropped);
    assert_eq!(kept(&rig.core, 1), Some(dropped));
    assert!(rig.start(&start("first", 1, 5, 1)).is_empty());
    assert!(rig.core.stats(rig.now).attempt_bytes <= 2_500 + 2 * 400);
}

#[test]
fn a_backend_that_cannot_be_reached_pauses_and_comes_back_with_one_task() {
    let mut rig = Rig::new();
    let runs = rig.start(&start("job", 1, 1, 1));
    let refused = RunOutcome::NotSent("refused".to_owned());
    let _ = rig.core.finished(runs[0].id, refused, rig.now);
    let reason = TaskOutcome::NotStarted(NotStartedReason::ConnectFailed);
    assert_eq!(rig.outcomes(1), [reason]);
    assert!(rig.start(&start("job", 1, 2, 1)).is_empty());
    rig.now += Duration::from_millis(200);
    let _ = rig.core.tick(rig.now);
    let runs = rig.start(&start("job", 1, 3, 2));
    assert_eq!(runs.len(), 1);
    assert_eq!(rig.finish(&runs[0], "7").len(), 1);
    assert_eq!(rig.start(&start("next", 1, 9, 1)).len(), 1);
}

#[test]
fn a_backend_whose_time_ended_finishes_what_runs() {
    let mut rig = Rig::new();
    let runs = rig.start(&start("job", 1, 1, 1));
    rig.now += Duration::from_mins(1);
    let _ = rig.core.tick(rig.now);
    let infos = rig.frames(1).into_iter().rev().find_map(|f| match f {
        Frame::Backends(infos) => Some(infos),
        _ => None,
    });
    assert_eq!(infos, Some(Vec::new()));
    let outcome = RunOutcome::Done("7".into());
    let _ = rig.core.finished(runs[0].id, outcome, rig.now);
    assert_eq!(rig.outcomes(1), [TaskOutcome::Done("7".into())]);
}

#[test]
fn a_renewal_in_time_keeps_the_backend() {
    let mut rig = Rig::new();
    rig.frames(1);
    rig.now += Duration::from_mins(1).saturating_sub(MS);
    assert!(rig.core.announce(backend(2), rig.now).is_empty());
    rig.now += 2 * MS;
    assert!(rig.core.tick(rig.now).is_empty());
    assert_eq!(rig.core.stats(rig.now).backends, 1);
    assert!(
        !rig.frames(1)
            .iter()
            .any(|f| matches!(f, Frame::Backends(_)))
    );
}
