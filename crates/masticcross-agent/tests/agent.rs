//! A complete agent between an in-memory entry and an in-memory backend server, with a paused
//! clock.

mod support;

use std::time::Duration;

use masticcross_basics::Code;
use masticcross_wire::{Frame, NotStartedReason, TaskOutcome};
use support::{Fixture, start};
use tokio::time::sleep;

const RUN_TIME: Duration = Duration::from_millis(100);

#[tokio::test(start_paused = true)]
async fn tasks_run_and_return_their_results() {
    let mut fixture = Fixture::start(RUN_TIME);
    let mut entry = fixture.accept().await;
    entry.answer_heartbeat().await;
    entry.send(Frame::Start(start("job", 6, 1)));
    for _ in 0..6 {
        let ended = entry.ended().await;
        assert_eq!(
            ended.outcome,
            TaskOutcome::Done(format!("{{\"n\":{}}}", ended.index).into())
        );
        assert_eq!(ended.run_us, 100_000);
    }
    assert_eq!(fixture.backend.started.lock().len(), 6);
}

#[tokio::test(start_paused = true)]
async fn queued_task_is_refused_once_the_view_is_stale() {
    let mut fixture = Fixture::start(Duration::from_secs(4));
    let mut entry = fixture.accept().await;
    entry.answer_heartbeat().await;
    entry.send(Frame::Start(start("job", 5, 1)));
    // All four slots are occupied, so the fifth task is queued until the view is stale.
    let mut outcomes = Vec::new();
    for _ in 0..5 {
        outcomes.push(entry.ended().await.outcome);
    }
    let stale = TaskOutcome::NotStarted(NotStartedReason::ViewStale);
    assert_eq!(outcomes.iter().filter(|o| **o == stale).count(), 1);
    assert_eq!(fixture.backend.started.lock().len(), 4);
}

#[tokio::test(start_paused = true)]
async fn results_are_resent_on_each_new_session_until_released() {
    let mut fixture = Fixture::start(RUN_TIME);
    let mut entry = fixture.accept().await;
    entry.answer_heartbeat().await;
    entry.send(Frame::Start(start("job", 1, 1)));
    sleep(RUN_TIME / 2).await;
    drop(entry);
    let mut entry = fixture.accept().await;
    assert!(matches!(entry.ended().await.outcome, TaskOutcome::Done(_)));
    drop(entry);
    let mut entry = fixture.accept().await;
    let ended = entry.ended().await;
    entry.send(Frame::Release(vec![ended.key]));
    sleep(RUN_TIME).await;
    assert_eq!(fixture.agent.stats().unreleased, 0);
    assert_eq!(fixture.backend.started.lock().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn graceful_shutdown_lets_running_tasks_end() {
    let mut fixture = Fixture::start(RUN_TIME);
    let mut entry = fixture.accept().await;
    entry.answer_heartbeat().await;
    entry.send(Frame::Start(start("job", 5, 1)));
    sleep(RUN_TIME / 2).await;
    let closing = tokio::spawn(fixture.agent.clone().close());
    entry.next(|f| matches!(f, Frame::Drain)).await;
    let shutting_down = TaskOutcome::NotStarted(NotStartedReason::ShuttingDown);
    let queued = entry.ended().await;
    assert_eq!(queued.outcome, shutting_down);
    for _ in 0..4 {
        assert!(matches!(entry.ended().await.outcome, TaskOutcome::Done(_)));
    }
    assert!(!closing.is_finished());
    entry.send(Frame::Release(vec![queued.key]));
    entry.next(|f| matches!(f, Frame::Goodbye(_))).await;
    drop(entry);
    closing.await.expect("the shutdown completes");
    assert!(
        fixture.has_not_dialed(),
        "an agent that shut down does not reconnect"
    );
}

#[tokio::test(start_paused = true)]
async fn unresponsive_entry_loses_its_session_and_its_late_frames() {
    let mut fixture = Fixture::start(RUN_TIME);
    let mut entry = fixture.accept().await;
    entry.answer_heartbeat().await;
    sleep(Duration::from_millis(1_600)).await;
    let was_sent = entry.try_send(Frame::Start(start("job", 1, 1)));
    assert!(!was_sent, "the session is closed");
    assert_eq!(entry.goodbye().await, Some(Code::SessionTimeout));
    let mut entry = fixture.accept().await;
    entry.answer_heartbeat().await;
    assert!(fixture.backend.started.lock().is_empty());
}
