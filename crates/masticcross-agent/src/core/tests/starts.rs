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
                let mut fixture = Fixture::new();
                let runs = fixture.fill_slots();
                assert!(fixture.start(&start("job", 1, 1, 1)).is_empty());
                let change: fn(&mut Fixture) = $change;
                change(&mut fixture);
                let outcome = RunOutcome::Failed(String::new());
                let next = fixture.core.finished(runs[0].id, outcome, fixture.now);
                assert!(next.is_empty());
                // After a gather the outcome goes to the new owner, otherwise to the old one.
                let ended: Vec<TaskEnded> = [fixture.ended(1), fixture.ended(2)].concat();
                let outcome = ended.iter().find(|e| e.attempt == id(1, 1)).map(|e| &e.outcome);
                let reason = NotStartedReason::$reason;
                assert_eq!(outcome, Some(&TaskOutcome::NotStarted(reason)));
            })*
        }
        mod while_connecting {
            use super::*;
            $(#[test]
            fn $name() {
                let mut fixture = Fixture::new();
                let runs = fixture.start(&start("job", 1, 1, 1));
                let change: fn(&mut Fixture) = $change;
                change(&mut fixture);
                let reason = NotStartedReason::$reason;
                assert_eq!(fixture.core.confirm_start(runs[0].id, fixture.now), Err(reason));
            })*
        }
    };
}

refused_after_a_change! {
    stale_view_refuses_start: |fixture| fixture.now += FRESHNESS => ViewStale;
    zone_out_of_service_refuses_start: |fixture| fixture.receive_view(view_with_zone_out()) => ZoneOut;
    agent_no_longer_registered_refuses_start: |fixture| fixture.receive_view(view_without_registration()) => ViewStale;
    agent_registered_again_refuses_start:
        |fixture| fixture.receive_view(view_of_a_new_registration()) => ViewStale;
    new_owner_in_the_view_refuses_start: |fixture| fixture.receive_view(view_of_e2(2)) => OldEpoch;
    gather_of_new_owner_refuses_start: |fixture| fixture.gather(2, "job", 2) => OldEpoch;
    passed_deadline_refuses_start: |fixture| {
        fixture.now += Duration::from_secs(10);
        fixture.receive_view(view());
    } => DeadlinePassed;
    stop_by_the_owner_refuses_start: |fixture| {
        let attempts = vec![id(1, 1)];
        fixture.core.stop(1, &StopTasks { key: key("job"), attempts }, fixture.now);
    } => Stopped;
}

/// Defines cases in which a task is refused on arrival.
macro_rules! refused_on_arrival {
    ($($name:ident: $before:expr => $reason:ident;)*) => {
        $(#[test]
        fn $name() {
            let mut fixture = Fixture::with_limits(AgentLimits { queue: 1, ..AgentLimits::default() });
            let before: fn(&mut Fixture) = $before;
            before(&mut fixture);
            fixture.ended(1);
            assert!(fixture.start(&start("job", 1, 1, 1)).is_empty());
            let reason = TaskOutcome::NotStarted(NotStartedReason::$reason);
            let ended = [fixture.ended(1), fixture.ended(2)].concat();
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
    stale_view_refuses_arriving_task: |fixture| fixture.now += FRESHNESS => ViewStale;
    zone_out_of_service_refuses_arriving_task: |fixture| fixture.receive_view(view_with_zone_out()) => ZoneOut;
    newer_epoch_in_the_view_refuses_arriving_task: |fixture| fixture.receive_view(view_of_e2(2)) => OldEpoch;
    gather_under_newer_epoch_refuses_arriving_task: |fixture| fixture.gather(2, "job", 2) => OldEpoch;
    withdrawn_backend_refuses_arriving_task:
        |fixture| assert!(fixture.core.withdraw("b1", fixture.now)) => NoBackend;
    expired_backend_refuses_arriving_task: |fixture| {
        fixture.now += Duration::from_mins(1);
        fixture.receive_view(view());
    } => NoBackend;
    full_queue_refuses_arriving_task: |fixture| {
        fixture.fill_slots();
        assert!(fixture.start(&start("third", 1, 201, 1)).is_empty());
    } => NoRoom;
    graceful_shutdown_refuses_arriving_task: |fixture| fixture.core.drain(fixture.now) => ShuttingDown;
    running_earlier_attempt_refuses_arriving_task: |fixture| {
        assert_eq!(fixture.start(&start("job", 1, 9, 1)).len(), 1);
    } => AlreadyKnown;
}

#[test]
fn task_does_not_start_without_a_view() {
    let mut fixture = Fixture::new();
    fixture.core.view = ViewStore::default();
    assert!(fixture.start(&start("job", 1, 1, 1)).is_empty());
    let stale = TaskOutcome::NotStarted(NotStartedReason::ViewStale);
    assert_eq!(fixture.outcomes(1), [stale]);
}

#[test]
fn attempt_that_arrives_repeatedly_starts_once() {
    let mut fixture = Fixture::new();
    let frame = start("job", 1, 1, 1);
    let runs = fixture.start(&frame);
    assert!(fixture.start(&frame).is_empty());
    fixture.finish(&runs[0], "7");
    assert!(fixture.start(&frame).is_empty());
    let done = TaskOutcome::Done("7".into());
    assert_eq!(fixture.outcomes(1), [done.clone(), done]);
    fixture.core.release(&[key("job")], fixture.now);
    assert!(fixture.start(&frame).is_empty());
    fixture.now += Duration::from_mins(11);
    fixture.receive_view(view());
    let _ = fixture.core.announce(backend(2), fixture.now);
    assert!(fixture.core.tick(fixture.now).is_empty());
    assert!(
        fixture.start(&frame).is_empty(),
        "evicted, but must not start again"
    );
}

#[test]
fn new_attempt_of_a_done_task_is_answered_with_the_existing_result() {
    let mut fixture = Fixture::new();
    let runs = fixture.start(&start("job", 1, 1, 1));
    fixture.finish(&runs[0], "7");
    fixture.ended(1);
    assert!(fixture.start(&start("job", 1, 2, 1)).is_empty());
    let ended = fixture.ended(1);
    assert_eq!(ended.len(), 2);
    assert_eq!(ended[1].attempt, id(1, 1));
    assert_eq!(ended[1].outcome, TaskOutcome::Done("7".into()));
}

#[test]
fn failed_task_can_start_under_a_new_attempt() {
    let fixture = Fixture::new();
    let runs = fixture.start(&start("job", 1, 1, 1));
    let outcome = RunOutcome::Failed("status 500".to_owned());
    let _ = fixture.core.finished(runs[0].id, outcome, fixture.now);
    assert_eq!(fixture.start(&start("job", 1, 2, 1)).len(), 1);
}

#[test]
fn frames_of_a_replaced_session_are_dropped() {
    let mut fixture = Fixture::new();
    let mut newer = connect(&fixture.core, 3, "e1", fixture.now);
    assert!(fixture.start(&start("job", 1, 1, 1)).is_empty());
    assert_eq!(fixture.core.stats(fixture.now).attempts, 0);
    assert!(fixture.ended(1).is_empty());
    assert!(newer.try_recv().is_ok());
}
