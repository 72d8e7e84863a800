//! Rules of a start: what refuses it, and that it happens once.

use super::*;

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
