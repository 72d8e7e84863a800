//! The failures of a transfer of jobs (docs/design/hard-load.md, part 2): a real entry as origin or as
//! receiver, and scripted processes around it, on a paused clock.

#[path = "handover/fakes.rs"]
mod fakes;

use std::time::Duration;

use fakes::{Agent, World, hello, request, view, yield_often};
use masticcross_basics::Code;
use masticcross_jobs::JobOutcome;
use masticcross_jobs::handover::to_wire;
use masticcross_wire::peer::{PeerEcho, PeerFrame, TransferAnswer, TransferredJob};
use masticcross_wire::pool::RunRequest;
use masticcross_wire::{Frame, Link, Refusal, Role};
use tokio::sync::mpsc::error::TryRecvError;
use tokio::time::{Instant, advance, sleep, timeout};

const MS: Duration = Duration::from_millis(1);

fn refusal(outcome: JobOutcome) -> Refusal {
    match outcome {
        JobOutcome::Refused(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn wire_job(number: u64, id: &str, age: Duration) -> TransferredJob {
    let now = Instant::now();
    to_wire(&request(id), number, now - age, 1, now)
}

/// Sends a frame as origin.
async fn send(link: &Link, frame: PeerFrame) {
    link.tx.send(Frame::Peer(frame)).await.expect("open");
    yield_often().await;
}

/// Returns the next answer that a scripted origin gets.
async fn answer(link: &mut Link) -> (u64, TransferAnswer) {
    loop {
        match timeout(200 * MS, link.rx.recv()).await {
            Ok(Some(Frame::Peer(PeerFrame::Answer { number, answer }))) => return (number, answer),
            Ok(Some(_)) => {}
            other => panic!("expected an answer, got {other:?}"),
        }
    }
}

/// Opens a session as origin and gets a credit.
async fn origin(world: &World) -> (Link, u32) {
    let mut link = world.connect(hello(Role::Entry, "entry-3")).await;
    send(&link, PeerFrame::Probe(1)).await;
    match link.rx.recv().await {
        Some(Frame::Peer(PeerFrame::Echo(PeerEcho { probe: 1, credit }))) => (link, credit),
        other => panic!("expected an echo, got {other:?}"),
    }
}

/// A receiver with an agent, and a session with a credit.
async fn receiving() -> (World, Agent, Link) {
    let world = World::start(1_024);
    let agent = Agent::start(&world).await;
    let (link, credit) = origin(&world).await;
    assert!(credit > 1);
    (world, agent, link)
}

/// A receiver with one transferred job that runs.
async fn running() -> (World, Agent, Link) {
    let (world, mut agent, link) = receiving().await;
    send(&link, PeerFrame::Job(wire_job(1, "a", 100 * MS))).await;
    assert_eq!(&*agent_run(&mut agent).id.task.job, "a");
    (world, agent, link)
}

#[tokio::test(start_paused = true)]
async fn without_load_no_session_is_opened_and_jobs_run_here() {
    let world = World::start(1_024);
    let mut agent = Agent::start(&world).await;
    for number in 0..20 {
        let _caller = world.submit(&format!("job-{number}")).await;
        let run = agent_run(&mut agent);
        agent.end(run).await;
        sleep(50 * MS).await;
    }
    let metrics = world.entry.metrics_text();
    assert!(metrics.contains("masticcross_entry_jobs_transferred_total 0"));
}

#[tokio::test(start_paused = true)]
async fn a_transferred_job_is_answered_through_the_callers_connection() {
    let mut world = World::start(1_024);
    let mut agent = Agent::start(&world).await;
    let mut receiver = world.receiver().await;
    let caller = world.submit("a").await;
    let (number, id) = receiver.job();
    assert_eq!(&*id, "a");
    assert_eq!(world.entry.may_have_started("a"), Some(false));
    receiver.answer(number, TransferAnswer::Completed).await;
    assert_eq!(caller.await.expect("no panic"), JobOutcome::Completed);
    assert_eq!(world.entry.may_have_started("a"), None);
    assert_eq!(agent.started.try_recv(), Err(TryRecvError::Empty));
}

#[tokio::test(start_paused = true)]
async fn a_refusal_of_the_receiver_is_forwarded_with_its_not_run() {
    let mut world = World::start(1_024);
    let mut receiver = world.receiver().await;
    for (id, sent) in [
        (
            "a",
            Refusal::not_run(Code::Overloaded, "full").retry_after_ms(700),
        ),
        ("b", Refusal::failed(Code::WorkerLost, "lost")),
    ] {
        world.overload().await;
        let caller = world.submit(id).await;
        let answer = TransferAnswer::Refused(sent.clone());
        let (number, _) = receiver.job();
        receiver.answer(number, answer).await;
        assert_eq!(refusal(caller.await.expect("no panic")), sent);
    }
}

#[tokio::test(start_paused = true)]
async fn a_returned_job_runs_at_the_origin() {
    let mut world = World::start(1_024);
    let mut agent = Agent::start(&world).await;
    let mut receiver = world.receiver().await;
    let caller = world.submit("a").await;
    let (number, _) = receiver.job();
    receiver.answer(number, TransferAnswer::Returned).await;
    yield_often().await;
    let run = agent.started.try_recv().expect("a run");
    agent.end(run).await;
    assert_eq!(caller.await.expect("no panic"), JobOutcome::Completed);
}

#[tokio::test(start_paused = true)]
async fn a_job_whose_frame_cannot_be_queued_runs_at_the_origin() {
    let mut world = World::start(1);
    let mut agent = Agent::start(&world).await;
    let mut link = world.peer().await;
    let Some(Frame::Peer(PeerFrame::Probe(probe))) = link.rx.recv().await else {
        panic!("expected a probe");
    };
    let echo = PeerFrame::Echo(PeerEcho { probe, credit: 9 });
    send(&link, echo).await;
    // The next probe fills the queue, which is not read any more.
    for _ in 0..3 {
        advance(90 * MS).await;
        yield_often().await;
    }
    let _caller = world.submit("a").await;
    assert!(agent.started.try_recv().is_ok());
    sleep(200 * MS).await;
    let metrics = world.entry.metrics_text();
    for line in [
        "masticcross_entry_jobs_transferred_total 0",
        "masticcross_entry_transfers_blocked_total 0",
        "masticcross_entry_session_ends_total{reason=\"queue_full\"} 1",
    ] {
        assert!(metrics.contains(line), "{line} is missing in {metrics}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_session_closed_by_the_receiver_answers_its_jobs_at_once_and_runs_none() {
    let mut world = World::start(1_024);
    let mut agent = Agent::start(&world).await;
    let mut receiver = world.receiver().await;
    let caller = world.submit("a").await;
    receiver.job();
    receiver.close();
    let closed_at = Instant::now();
    let refusal = refusal(caller.await.expect("no panic"));
    assert!(closed_at.elapsed() <= MS);
    assert_eq!(
        (refusal.code, refusal.not_run),
        (Code::OutcomeUnknown, false)
    );
    sleep(3_000 * MS).await;
    assert_eq!(agent.started.try_recv(), Err(TryRecvError::Empty));
}

#[tokio::test(start_paused = true)]
async fn a_silent_receiver_counts_as_lost_after_0_6_s() {
    let mut world = World::start(1_024);
    let mut agent = Agent::start(&world).await;
    let mut receiver = world.receiver().await;
    let caller = world.submit("a").await;
    receiver.job();
    receiver.fall_silent();
    let silent_at = Instant::now();
    let refusal = refusal(caller.await.expect("no panic"));
    assert!(!refusal.not_run);
    // The last echo was up to one probe interval earlier.
    let took = silent_at.elapsed();
    assert!((400 * MS..=605 * MS).contains(&took), "{took:?}");
    assert_eq!(agent.started.try_recv(), Err(TryRecvError::Empty));
    assert!(receiver.is_ended());
}

#[tokio::test(start_paused = true)]
async fn a_job_is_cancelled_at_the_receiver_when_its_callers_disconnect() {
    let mut world = World::start(1_024);
    let mut receiver = world.receiver().await;
    let callers = [world.submit("a").await, world.submit("a").await];
    let (number, _) = receiver.job();
    callers[0].abort();
    yield_often().await;
    assert!(receiver.frames.try_recv().is_err());
    callers[1].abort();
    yield_often().await;
    assert_eq!(receiver.frames.try_recv(), Ok(PeerFrame::Cancel(number)));
    // An answer that crosses the cancellation is no violation.
    receiver.answer(number, TransferAnswer::Completed).await;
    sleep(500 * MS).await;
    assert!(!receiver.is_ended());
}

#[tokio::test(start_paused = true)]
async fn a_delete_at_the_origin_cancels_the_job_at_the_receiver() {
    let mut world = World::start(1_024);
    let mut receiver = world.receiver().await;
    let caller = world.submit("a").await;
    let (number, _) = receiver.job();
    assert!(world.entry.cancel("a"));
    assert_eq!(
        refusal(caller.await.expect("no panic")).code,
        Code::Cancelled
    );
    yield_often().await;
    assert_eq!(receiver.frames.try_recv(), Ok(PeerFrame::Cancel(number)));
    assert!(!world.entry.cancel("a"));
}

#[tokio::test(start_paused = true)]
async fn a_second_submission_at_the_origin_joins_the_transferred_job() {
    let mut world = World::start(1_024);
    let mut receiver = world.receiver().await;
    let callers = [world.submit("a").await, world.submit("a").await];
    let (number, _) = receiver.job();
    assert!(receiver.frames.try_recv().is_err());
    receiver.answer(number, TransferAnswer::Failed).await;
    for caller in callers {
        assert_eq!(caller.await.expect("no panic"), JobOutcome::Failed);
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_for_an_unknown_number_ends_that_session_only() {
    let mut world = World::start(1_024);
    let mut agent = Agent::start(&world).await;
    let mut receiver = world.receiver().await;
    let caller = world.submit("a").await;
    let (number, _) = receiver.job();
    receiver.answer(number + 1, TransferAnswer::Completed).await;
    assert!(!refusal(caller.await.expect("no panic")).not_run);
    yield_often().await;
    assert!(receiver.is_ended());
    sleep(15_000 * MS).await;
    let _caller = world.submit("b").await;
    assert!(agent.started.try_recv().is_ok());
}

#[tokio::test(start_paused = true)]
async fn jobs_are_refused_at_once_if_no_entry_accepts_them() {
    let world = World::start(1_024);
    let mut refused = 0;
    for number in 0..40 {
        world.overload().await;
        let caller = world.submit(&format!("job-{number}")).await;
        if caller.is_finished() {
            let refusal = refusal(caller.await.expect("no panic"));
            assert_eq!((refusal.code, refusal.not_run), (Code::Overloaded, true));
            assert!(refusal.retry_after_ms.is_some());
            refused += 1;
        }
    }
    assert!(refused > 10, "{refused}");
}

#[tokio::test(start_paused = true)]
async fn a_received_job_runs_and_is_answered() {
    let (_world, mut agent, mut link) = receiving().await;
    send(&link, PeerFrame::Job(wire_job(1, "a", 100 * MS))).await;
    let run = agent_run(&mut agent);
    agent.end(run).await;
    assert_eq!(answer(&mut link).await, (1, TransferAnswer::Completed));
}

fn agent_run(agent: &mut Agent) -> RunRequest {
    agent.started.try_recv().expect("a run")
}

#[tokio::test(start_paused = true)]
async fn the_objective_of_a_received_job_counts_from_its_arrival_at_the_origin() {
    let (_world, mut agent, link) = receiving().await;
    // The objective is 2 * 100 ms + 1 s.
    for (number, age, late) in [(1, 1_000 * MS, false), (2, 1_150 * MS, true)] {
        let job = wire_job(number, &format!("job-{number}"), age);
        send(&link, PeerFrame::Job(job)).await;
        assert_eq!(agent_run(&mut agent).late, late);
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_that_exceeds_the_credit_is_returned() {
    let world = World::start(1_024);
    let mut agent = Agent::start(&world).await;
    let (mut link, credit) = origin(&world).await;
    for number in 1..=u64::from(credit) + 1 {
        let job = wire_job(number, &format!("job-{number}"), MS);
        send(&link, PeerFrame::Job(job)).await;
    }
    let returned = (u64::from(credit) + 1, TransferAnswer::Returned);
    assert_eq!(answer(&mut link).await, returned);
    for _ in 0..credit {
        assert!(agent.started.try_recv().is_ok());
    }
    assert!(agent.started.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_job_of_a_newer_view_is_returned() {
    let (world, mut agent, mut link) = receiving().await;
    let job = TransferredJob {
        view_position: 2,
        ..wire_job(1, "a", MS)
    };
    send(&link, PeerFrame::Job(job)).await;
    assert_eq!(answer(&mut link).await, (1, TransferAnswer::Returned));
    world.entry.update_view(view(2));
    let job = TransferredJob {
        view_position: 2,
        ..wire_job(2, "a", MS)
    };
    send(&link, PeerFrame::Job(job)).await;
    assert!(agent.started.try_recv().is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_closing_receiver_returns_jobs_and_waits_for_those_that_it_has() {
    let (world, mut agent, mut link) = receiving().await;
    send(&link, PeerFrame::Job(wire_job(1, "a", MS))).await;
    let entry = world.entry.clone();
    let until = Instant::now() + 5_000 * MS;
    let drained = tokio::spawn(async move { entry.drain(until).await });
    yield_often().await;
    send(&link, PeerFrame::Job(wire_job(2, "b", MS))).await;
    assert_eq!(answer(&mut link).await, (2, TransferAnswer::Returned));
    assert!(!drained.is_finished());
    let run = agent_run(&mut agent);
    agent.end(run).await;
    assert_eq!(answer(&mut link).await, (1, TransferAnswer::Completed));
    timeout(100 * MS, drained)
        .await
        .expect("done")
        .expect("no panic");
}

#[tokio::test(start_paused = true)]
async fn the_receiver_stops_the_runs_when_the_session_is_closed() {
    let (world, mut agent, link) = running().await;
    drop(link);
    yield_often().await;
    assert!(agent.stopped.try_recv().is_ok());
    assert_eq!(world.entry.open_jobs(), 0);
}

#[tokio::test(start_paused = true)]
async fn the_receiver_stops_the_runs_of_an_origin_that_is_silent_for_0_6_s() {
    let (world, mut agent, _link) = running().await;
    sleep(590 * MS).await;
    assert!(agent.stopped.try_recv().is_err());
    sleep(20 * MS).await;
    assert!(agent.stopped.try_recv().is_ok());
    assert_eq!(world.entry.open_jobs(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_receiver_that_was_suspended_starts_none_of_the_queued_jobs() {
    let (world, mut agent, link) = running().await;
    let job = Frame::Peer(PeerFrame::Job(wire_job(2, "b", MS)));
    link.tx.send(job).await.expect("open");
    // No task of the entry has run since the frame was queued.
    advance(700 * MS).await;
    yield_often().await;
    assert!(agent.started.try_recv().is_err());
    assert!(agent.stopped.try_recv().is_ok());
    assert_eq!(world.entry.open_jobs(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_stops_the_runs_at_the_receiver() {
    let (world, mut agent, link) = running().await;
    send(&link, PeerFrame::Cancel(1)).await;
    assert!(agent.stopped.try_recv().is_ok());
    assert_eq!(world.entry.open_jobs(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_submission_at_the_receiver_joins_the_received_job() {
    let (world, mut agent, mut link) = receiving().await;
    send(&link, PeerFrame::Job(wire_job(1, "a", MS))).await;
    let caller = world.submit("a").await;
    let run = agent_run(&mut agent);
    assert!(agent.started.try_recv().is_err());
    agent.end(run).await;
    assert_eq!(answer(&mut link).await, (1, TransferAnswer::Completed));
    assert_eq!(caller.await.expect("no panic"), JobOutcome::Completed);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_both_have_goes_on_when_one_of_them_leaves() {
    let (world, mut agent, link) = running().await;
    let caller = world.submit("a").await;
    drop(link);
    yield_often().await;
    assert!(agent.stopped.try_recv().is_err());
    assert!(!caller.is_finished());
    assert_eq!(world.entry.open_jobs(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_delete_at_the_receiver_answers_the_origin() {
    let (world, _agent, mut link) = running().await;
    assert!(world.entry.cancel("a"));
    let (number, TransferAnswer::Refused(refusal)) = answer(&mut link).await else {
        panic!("expected a refusal");
    };
    assert_eq!((number, refusal.not_run), (1, false));
}

/// Generates one test per malformed frame of an origin, which must end its session and no other.
macro_rules! malformed {
    ($($name:ident: $frame:expr;)*) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            let (world, mut agent, mut link) = running().await;
            let (other, _) = origin(&world).await;
            send(&link, $frame).await;
            while link.rx.try_recv().is_ok() {}
            assert_eq!(link.rx.try_recv(), Err(TryRecvError::Disconnected));
            assert!(agent.stopped.try_recv().is_ok());
            assert!(!other.tx.is_closed());
        })*
    };
}

malformed! {
    an_echo_of_an_origin_ends_its_session:
        PeerFrame::Echo(PeerEcho { probe: 1, credit: 1 });
    an_answer_of_an_origin_ends_its_session:
        PeerFrame::Answer { number: 1, answer: TransferAnswer::Completed };
    a_number_used_twice_ends_the_session: PeerFrame::Job(wire_job(1, "b", MS));
    a_cancellation_of_an_unknown_number_ends_the_session: PeerFrame::Cancel(77);
    a_job_of_absurd_size_ends_the_session: PeerFrame::Job(TransferredJob {
        id: "x".repeat(5_000).into(),
        ..wire_job(2, "b", MS)
    });
}
