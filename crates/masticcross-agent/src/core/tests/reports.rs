//! Reports to owners, the memory limit, and backend servers that fail, expire or renew.

use super::*;

#[test]
fn new_owner_receives_reports_of_all_attempts_and_later_outcomes() {
    let mut fixture = Fixture::new();
    let runs = fixture.start(&start("job", 1, 1, 4));
    fixture.finish(&runs[0], "7");
    fixture.gather(2, "job", 2);
    let gathered = fixture.gathered(2);
    let reports: Vec<_> = gathered.iter().flat_map(|g| &g.attempts).collect();
    let old_epoch = TaskOutcome::NotStarted(NotStartedReason::OldEpoch);
    let states: Vec<_> = reports.iter().map(|r| &r.state).collect();
    assert_eq!(
        states[0],
        &AttemptState::Ended(TaskOutcome::Done("7".into()))
    );
    assert_eq!(states[1], &AttemptState::Running);
    // The third task had taken the slot of the first, the fourth was queued.
    assert_eq!(states[2], &AttemptState::Running);
    assert_eq!(states[3], &AttemptState::Ended(old_epoch));
    assert!(gathered.last().is_some_and(|g| g.last));
    fixture.ended(1);
    let outcome = RunOutcome::Done("8".into());
    let _ = fixture.core.finished(runs[1].id, outcome, fixture.now);
    assert!(fixture.ended(1).is_empty());
    assert_eq!(fixture.outcomes(2), [TaskOutcome::Done("8".into())]);
}

#[test]
fn large_gather_answer_is_split_and_its_last_frame_is_marked() {
    let mut fixture = Fixture::new();
    fixture.core.drain(fixture.now);
    let _ = fixture.start(&start("job", 1, 1, 600));
    fixture.gather(2, "job", 2);
    let sizes: Vec<(usize, bool)> = fixture
        .gathered(2)
        .iter()
        .map(|g| (g.attempts.len(), g.last))
        .collect();
    assert_eq!(sizes, [(256, false), (256, false), (88, true)]);
}

#[test]
fn results_are_sent_once_to_the_new_owner_in_the_view() {
    let mut fixture = Fixture::new();
    let runs = fixture.start(&start("job", 1, 1, 1));
    fixture.finish(&runs[0], "7");
    fixture.receive_view(view_of_e2(2));
    assert_eq!(fixture.outcomes(2), [TaskOutcome::Done("7".into())]);
    fixture.receive_view(view_of_e2(3));
    assert!(fixture.ended(2).is_empty(), "sent once on each session");
}

#[test]
fn former_owner_cannot_stop_attempts_after_a_takeover() {
    let fixture = Fixture::new();
    let runs = fixture.start(&start("job", 1, 1, 1));
    fixture.gather(2, "job", 2);
    let stop = StopTasks {
        key: key("job"),
        attempts: vec![id(1, 1)],
    };
    fixture.core.stop(1, &stop, fixture.now);
    assert!(!*runs[0].stop.borrow());
    fixture.core.stop(2, &stop, fixture.now);
    assert!(*runs[0].stop.borrow());
}

#[test]
fn stopped_task_that_still_completes_keeps_its_result() {
    let mut fixture = Fixture::new();
    let runs = fixture.start(&start("job", 1, 1, 2));
    let stop = StopTasks {
        key: key("job"),
        attempts: vec![id(1, 1), id(1, 2)],
    };
    fixture.core.stop(1, &stop, fixture.now);
    let _ = fixture
        .core
        .finished(runs[0].id, RunOutcome::Done("7".into()), fixture.now);
    let _ = fixture
        .core
        .finished(runs[1].id, RunOutcome::Failed(String::new()), fixture.now);
    let expected = [TaskOutcome::Done("7".into()), TaskOutcome::Stopped];
    assert_eq!(fixture.outcomes(1), expected);
}

#[test]
fn over_memory_limit_released_attempts_are_evicted_before_other_results_are_dropped() {
    let limits = AgentLimits {
        result_memory: 2_500,
        ..AgentLimits::default()
    };
    let fixture = Fixture::with_limits(limits);
    let result = "x".repeat(900);
    for (seq, job) in [(1, "first"), (2, "second"), (3, "third")] {
        let runs = fixture.start(&start(job, 1, seq, 1));
        fixture.finish(&runs[0], &result);
        if job == "second" {
            fixture.core.release(&[key(job)], fixture.now);
        }
    }
    let state_of = |fixture: &AgentCore, seq| {
        let state = fixture.state.lock();
        state.attempts.get(id(1, seq)).map(|a| a.report().state)
    };
    let done = AttemptState::Ended(TaskOutcome::Done(result.as_str().into()));
    assert_eq!(state_of(&fixture.core, 1), Some(done.clone()));
    assert_eq!(
        state_of(&fixture.core, 2),
        None,
        "released, so it was evicted first"
    );
    assert_eq!(state_of(&fixture.core, 3), Some(done));
    let runs = fixture.start(&start("fourth", 1, 4, 1));
    fixture.finish(&runs[0], &result);
    let dropped = AttemptState::Ended(TaskOutcome::ResultDropped);
    assert_eq!(state_of(&fixture.core, 1), Some(dropped));
    assert!(fixture.start(&start("first", 1, 5, 1)).is_empty());
    assert!(fixture.core.stats(fixture.now).attempt_bytes <= 2_500 + 2 * 400);
}

#[test]
fn unreachable_backend_backs_off_and_returns_with_a_single_slot() {
    let mut fixture = Fixture::new();
    let runs = fixture.start(&start("job", 1, 1, 1));
    let refused = RunOutcome::NotSent("refused".to_owned());
    let _ = fixture.core.finished(runs[0].id, refused, fixture.now);
    let reason = TaskOutcome::NotStarted(NotStartedReason::ConnectFailed);
    assert_eq!(fixture.outcomes(1), [reason]);
    assert!(fixture.start(&start("job", 1, 2, 1)).is_empty());
    fixture.now += Duration::from_millis(200);
    let _ = fixture.core.tick(fixture.now);
    let runs = fixture.start(&start("job", 1, 3, 2));
    assert_eq!(runs.len(), 1);
    assert_eq!(fixture.finish(&runs[0], "7").len(), 1);
    assert_eq!(fixture.start(&start("next", 1, 9, 1)).len(), 1);
}

#[test]
fn expired_backend_finishes_its_running_tasks() {
    let mut fixture = Fixture::new();
    let runs = fixture.start(&start("job", 1, 1, 1));
    fixture.now += Duration::from_mins(1);
    let _ = fixture.core.tick(fixture.now);
    let infos = fixture.frames(1).into_iter().rev().find_map(|f| match f {
        Frame::Backends(infos) => Some(infos),
        _ => None,
    });
    assert_eq!(infos, Some(Vec::new()));
    let outcome = RunOutcome::Done("7".into());
    let _ = fixture.core.finished(runs[0].id, outcome, fixture.now);
    assert_eq!(fixture.outcomes(1), [TaskOutcome::Done("7".into())]);
}

#[test]
fn backend_renewed_before_expiry_stays_listed() {
    let mut fixture = Fixture::new();
    fixture.frames(1);
    fixture.now += Duration::from_mins(1).saturating_sub(MS);
    assert!(fixture.core.announce(backend(2), fixture.now).is_empty());
    fixture.now += 2 * MS;
    assert!(fixture.core.tick(fixture.now).is_empty());
    assert_eq!(fixture.core.stats(fixture.now).backends, 1);
    assert!(
        !fixture
            .frames(1)
            .iter()
            .any(|f| matches!(f, Frame::Backends(_)))
    );
}
