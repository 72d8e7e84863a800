//! A request reaches the owner of its job, again if need be, and gets exactly one answer.

mod scripted;

use std::time::Duration;

use masticcross_basics::Code;
use masticcross_wire::{JobAnswer, Refusal};
use scripted::{Bench, Hearing, request};
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
async fn an_answer_of_the_owner_goes_to_the_caller_as_it_is() {
    let bench = Bench::new().await;
    let mut b = bench.add_peer("b", Hearing::All).await;
    let epoch = bench.give_all_to("b").await;
    bench.run().await;
    let router = bench.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 1_000)).await });
    let arrived = b.next().await;
    assert_eq!(arrived.submit.epoch, epoch);
    let refusal = Refusal::not_run(Code::Overloaded, "full");
    arrived.answer(JobAnswer::Refused(refusal)).await;
    assert_eq!(refusal_of(caller.await.unwrap()), (Code::Overloaded, true));
}

#[tokio::test(start_paused = true)]
async fn after_a_lost_session_the_request_goes_again_on_a_newer_one() {
    let bench = Bench::new().await;
    let mut b = bench.add_peer("b", Hearing::All).await;
    bench.give_all_to("b").await;
    bench.run().await;
    let router = bench.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 5_000)).await });
    let first = b.next().await;
    first.close().await;
    let second = b.next().await;
    assert_ne!(first.submit.id, second.submit.id);
    assert!(second.submit.request.deadline_ms <= first.submit.request.deadline_ms);
    let crossed = Refusal::failed(Code::TaskFailed, "an answer to the first sending");
    second
        .reply(first.submit.id, JobAnswer::Refused(crossed))
        .await;
    second.answer(done()).await;
    second.answer(JobAnswer::NotOwner).await;
    assert_eq!(caller.await.unwrap(), done());
    sleep(Duration::from_secs(5)).await;
    assert!(b.is_idle());
}

#[tokio::test(start_paused = true)]
async fn a_request_follows_the_partition_to_its_new_owner() {
    let bench = Bench::new().await;
    let mut b = bench.add_peer("b", Hearing::All).await;
    let mut c = bench.add_peer("c", Hearing::All).await;
    bench.give_all_to("b").await;
    bench.run().await;
    let router = bench.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 5_000)).await });
    let first = b.next().await;
    let epoch = bench.give_all_to("c").await;
    first.answer(JobAnswer::NotOwner).await;
    let second = c.next().await;
    assert_eq!(second.submit.epoch, epoch);
    second.answer(done()).await;
    assert_eq!(caller.await.unwrap(), done());
}

#[tokio::test(start_paused = true)]
async fn an_old_owner_that_says_nothing_holds_nothing_up() {
    let bench = Bench::new().await;
    let mut b = bench.add_peer("b", Hearing::All).await;
    let mut c = bench.add_peer("c", Hearing::All).await;
    bench.give_all_to("b").await;
    bench.run().await;
    let router = bench.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 5_000)).await });
    let first = b.next().await;
    bench.give_all_to("c").await;
    let second = c.next().await;
    let late = Refusal::failed(Code::TaskFailed, "late");
    first.answer(JobAnswer::Refused(late)).await;
    sleep(Duration::from_millis(100)).await;
    second.answer(done()).await;
    assert_eq!(caller.await.unwrap(), done());
}

#[tokio::test(start_paused = true)]
async fn without_an_answer_the_outcome_is_unknown_at_the_deadline() {
    let bench = Bench::new().await;
    let mut b = bench.add_peer("b", Hearing::All).await;
    bench.give_all_to("b").await;
    bench.run().await;
    let router = bench.router.clone();
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
async fn without_an_owner_the_router_does_not_say_that_nothing_ran() {
    let bench = Bench::new().await;
    let answer = bench.router.submit(request("job-1", 1_000)).await;
    assert_eq!(refusal_of(answer), (Code::NoOwner, false));
    let answer = bench.router.query(request("job-1", 1).key, false).await;
    assert_eq!(refusal_of(answer), (Code::NoOwner, false));
}

#[tokio::test(start_paused = true)]
async fn a_request_without_an_owner_waits_for_one() {
    let bench = Bench::new().await;
    let mut b = bench.add_peer("b", Hearing::All).await;
    let router = bench.router.clone();
    let caller = tokio::spawn(async move { router.submit(request("job-1", 8_000)).await });
    sleep(Duration::from_secs(2)).await;
    bench.give_all_to("b").await;
    bench.run().await;
    b.next().await.answer(done()).await;
    assert_eq!(caller.await.unwrap(), done());
}
