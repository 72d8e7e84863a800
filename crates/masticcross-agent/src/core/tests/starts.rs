//! Conditions that refuse a start, and the guarantee that an attempt starts at most once.

use super::*;

/// Defines cases in which a task passes the checks on arrival but must not start after a change.
/// Each case runs twice: the change happens while the task is queued, and while the connection to
/// its backend server is being made.
macro_rules! refused_after_a_change {
    ($($name:ident: $change:expr => $reason:ident;)*) => {
        mod while_queued {
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
                // After a gather the outcome goes to the new owner, otherwise to the old one.
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
    stale_view_refuses_start: |rig| rig.now += FRESHNESS => ViewStale;
    zone_taken_out_refuses_start: |rig| rig.offer(view_without_zone()) => ZoneOut;
    agent_no_longer_registered_refuses_start: |rig| rig.offer(view_without_agent()) => ViewStale;
    agent_registered_again_refuses_start:
        |rig| rig.offer(view_of_a_new_registration()) => ViewStale;
    new_owner_in_the_view_refuses_start: |rig| rig.offer(view_of_e2(2)) => OldEpoch;
    gather_of_new_owner_refuses_start: |rig| rig.gather(2, "job", 2) => OldEpoch;
    passed_deadline_refuses_start: |rig| {
        rig.now += Duration::from_secs(10);
        rig.offer(view());
    } => DeadlinePassed;
    stop_by_the_owner_refuses_start: |rig| {
        let attempts = vec![id(1, 1)];
        rig.core.stop(1, &StopTasks { key: key("job"), attempts }, rig.now);
    } => Stopped;
}

/// Defines cases in which a task is refused on arrival.
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
    stale_view_refuses_arriving_task: |rig| rig.now += FRESHNESS => ViewStale;
    zone_taken_out_refuses_arriving_task: |rig| rig.offer(view_without_zone()) => ZoneOut;
    newer_epoch_in_the_view_refuses_arriving_task: |rig| rig.offer(view_of_e2(2)) => OldEpoch;
    gather_under_newer_epoch_refuses_arriving_task: |rig| rig.gather(2, "job", 2) => OldEpoch;
    withdrawn_backend_refuses_arriving_task:
        |rig| assert!(rig.core.withdraw("b1", rig.now)) => NoBackend;
    expired_backend_refuses_arriving_task: |rig| {
        rig.now += Duration::from_mins(1);
        rig.offer(view());
    } => NoBackend;
    full_queue_refuses_arriving_task: |rig| {
        rig.fill();
        assert!(rig.start(&start("third", 1, 201, 1)).is_empty());
    } => NoRoom;
    graceful_shutdown_refuses_arriving_task: |rig| rig.core.drain(rig.now) => ShuttingDown;
    running_earlier_attempt_refuses_arriving_task: |rig| {
        assert_eq!(rig.start(&start("job", 1, 9, 1)).len(), 1);
    } => AlreadyKnown;
}

#[test]
fn task_does_not_start_without_a_view() {
    let mut rig = Rig::new();
    rig.core.view = ViewStore::default();
    assert!(rig.start(&start("job", 1, 1, 1)).is_empty());
    let stale = TaskOutcome::NotStarted(NotStartedReason::ViewStale);
    assert_eq!(rig.outcomes(1), [stale]);
}

#[test]
fn attempt_that_arrives_repeatedly_starts_once() {
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
    assert!(
        rig.start(&frame).is_empty(),
        "evicted, but must not start again"
    );
}

#[test]
fn new_attempt_of_a_done_task_is_answered_with_the_existing_result() {
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
fn failed_task_can_start_under_a_new_attempt() {
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
