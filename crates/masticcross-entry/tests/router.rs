//! A request reaches the owner of its job, after retries if necessary, and gets exactly one answer.

mod scripted;

use std::time::Duration;

use masticcross_basics::Code;
use masticcross_wire::{JobAnswer, Refusal};
use scripted::{ContactScript, Harness, request};
use tokio::time::{Instant, sleep};

fn done() -> JobAnswer {
    JobAnswer::Complete(["1".into()].into())
}

fn refusal_of(answer: JobAnswer) -> (Code, bool) {
    match answer {
        JobAnswer::Refused(refusal) => (refusal.code, refusal.not_run),
        answer => panic!("{answer:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn the_owners_answer_is_returned_to_the_caller_unchanged() {
    let harness = Harness::new().await;
    let mut b = harness.add_peer("b", ContactScript::InContact).await;
    let epoch = harness.assign_all_to("b").await;
    harness.run().await;
    let router = harness.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 1_000)).await });
    let received = b.next().await;
    assert_eq!(received.submit.epoch, epoch);
    let refusal = Refusal::not_run(Code::Overloaded, "full");
    received.answer(JobAnswer::Refused(refusal)).await;
    assert_eq!(refusal_of(caller.await.unwrap()), (Code::Overloaded, true));
}

#[tokio::test(start_paused = true)]
async fn a_request_on_a_lost_session_is_resent_on_a_newer_one() {
    let harness = Harness::new().await;
    let mut b = harness.add_peer("b", ContactScript::InContact).await;
    harness.assign_all_to("b").await;
    harness.run().await;
    let router = harness.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 5_000)).await });
    let first = b.next().await;
    first.close().await;
    let second = b.next().await;
    assert_ne!(first.submit.id, second.submit.id);
    assert!(second.submit.request.deadline_ms <= first.submit.request.deadline_ms);
    let late_refusal = Refusal::failed(Code::TaskFailed, "an answer to the first sending");
    second
        .reply(first.submit.id, JobAnswer::Refused(late_refusal))
        .await;
    second.answer(done()).await;
    second.answer(JobAnswer::NotOwner).await;
    assert_eq!(caller.await.unwrap(), done());
    sleep(Duration::from_secs(5)).await;
    assert!(b.is_idle());
}

#[tokio::test(start_paused = true)]
async fn a_request_is_resent_to_the_new_owner_of_its_partition() {
    let harness = Harness::new().await;
    let mut b = harness.add_peer("b", ContactScript::InContact).await;
    let mut c = harness.add_peer("c", ContactScript::InContact).await;
    harness.assign_all_to("b").await;
    harness.run().await;
    let router = harness.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 5_000)).await });
    let first = b.next().await;
    let epoch = harness.assign_all_to("c").await;
    first.answer(JobAnswer::NotOwner).await;
    let second = c.next().await;
    assert_eq!(second.submit.epoch, epoch);
    second.answer(done()).await;
    assert_eq!(caller.await.unwrap(), done());
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_previous_owner_does_not_delay_a_request() {
    let harness = Harness::new().await;
    let mut b = harness.add_peer("b", ContactScript::InContact).await;
    let mut c = harness.add_peer("c", ContactScript::InContact).await;
    harness.assign_all_to("b").await;
    harness.run().await;
    let router = harness.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 5_000)).await });
    let first = b.next().await;
    harness.assign_all_to("c").await;
    let second = c.next().await;
    let late = Refusal::failed(Code::TaskFailed, "late");
    first.answer(JobAnswer::Refused(late)).await;
    sleep(Duration::from_millis(100)).await;
    second.answer(done()).await;
    assert_eq!(caller.await.unwrap(), done());
}

#[tokio::test(start_paused = true)]
async fn the_outcome_is_unknown_if_the_owner_does_not_answer_before_the_deadline() {
    let harness = Harness::new().await;
    let mut b = harness.add_peer("b", ContactScript::InContact).await;
    harness.assign_all_to("b").await;
    harness.run().await;
    let router = harness.router.clone();
    let start = Instant::now();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 1_000)).await });
    b.next().await;
    assert_eq!(
        refusal_of(caller.await.unwrap()),
        (Code::OutcomeUnknown, false)
    );
    assert!(start.elapsed() <= Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn a_refusal_for_lack_of_an_owner_does_not_say_not_run() {
    let harness = Harness::new().await;
    let answer = harness.router.submit(request("job-1", 1_000)).await;
    assert_eq!(refusal_of(answer), (Code::NoOwner, false));
    let answer = harness.router.query(request("job-1", 1).key, false).await;
    assert_eq!(refusal_of(answer), (Code::NoOwner, false));
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_until_its_partition_has_an_owner() {
    let harness = Harness::new().await;
    let mut b = harness.add_peer("b", ContactScript::InContact).await;
    let router = harness.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 8_000)).await });
    sleep(Duration::from_secs(2)).await;
    harness.assign_all_to("b").await;
    harness.run().await;
    b.next().await.answer(done()).await;
    assert_eq!(caller.await.unwrap(), done());
}
