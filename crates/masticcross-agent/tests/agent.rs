//! A whole agent between an entry in memory and a backend server in memory, on the paused clock.

mod support;

use std::time::Duration;

use masticcross_basics::Code;
use masticcross_wire::{Frame, NotStartedReason, TaskOutcome};
use support::{Rig, start};
use tokio::time::sleep;

const RUN_TIME: Duration = Duration::from_millis(100);

#[tokio::test(start_paused = true)]
async fn tasks_run_and_their_results_come_back() {
    let mut rig = Rig::start(RUN_TIME);
    let mut entry = rig.accept().await;
    entry.beat().await;
    entry.send(Frame::Start(start("job", 6, 1)));
    for _ in 0..6 {
        let ended = entry.ended().await;
        assert_eq!(
            ended.outcome,
            TaskOutcome::Done(format!("{{\"n\":{}}}", ended.index).into())
        );
        assert_eq!(ended.run_us, 100_000);
    }
    assert_eq!(rig.backend.started.lock().len(), 6);
}

#[tokio::test(start_paused = true)]
async fn a_pause_between_arrival_and_start_refuses_the_task() {
    let mut rig = Rig::start(Duration::from_secs(4));
    let mut entry = rig.accept().await;
    entry.beat().await;
    entry.send(Frame::Start(start("job", 5, 1)));
    // Four places are taken, so the fifth task waits while the view grows old.
    let mut outcomes = Vec::new();
    for _ in 0..5 {
        outcomes.push(entry.ended().await.outcome);
    }
    let stale = TaskOutcome::NotStarted(NotStartedReason::ViewStale);
    assert_eq!(outcomes.iter().filter(|o| **o == stale).count(), 1);
    assert_eq!(rig.backend.started.lock().len(), 4);
}

#[tokio::test(start_paused = true)]
async fn results_go_to_the_next_session_until_released() {
    let mut rig = Rig::start(RUN_TIME);
    let mut entry = rig.accept().await;
    entry.beat().await;
    entry.send(Frame::Start(start("job", 1, 1)));
    sleep(RUN_TIME / 2).await;
    drop(entry);
    let mut entry = rig.accept().await;
    assert!(matches!(entry.ended().await.outcome, TaskOutcome::Done(_)));
    drop(entry);
    let mut entry = rig.accept().await;
    let ended = entry.ended().await;
    entry.send(Frame::Release(vec![ended.key]));
    sleep(RUN_TIME).await;
    assert_eq!(rig.agent.stats().unreleased, 0);
    assert_eq!(rig.backend.started.lock().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_stop_in_order_lets_running_tasks_end() {
    let mut rig = Rig::start(RUN_TIME);
    let mut entry = rig.accept().await;
    entry.beat().await;
    entry.send(Frame::Start(start("job", 5, 1)));
    sleep(RUN_TIME / 2).await;
    let closing = tokio::spawn(rig.agent.clone().close());
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
    closing.await.expect("the stop ends");
    assert!(rig.no_dial(), "an agent that left does not come back");
}

#[tokio::test(start_paused = true)]
async fn a_silent_entry_loses_its_session_and_what_it_sent_late() {
    let mut rig = Rig::start(RUN_TIME);
    let mut entry = rig.accept().await;
    entry.beat().await;
    sleep(Duration::from_millis(1_600)).await;
    let late = entry.try_send(Frame::Start(start("job", 1, 1)));
    assert!(!late, "the session is closed");
    assert_eq!(entry.goodbye().await, Some(Code::SessionTimeout));
    let mut entry = rig.accept().await;
    entry.beat().await;
    assert!(rig.backend.started.lock().is_empty());
}
