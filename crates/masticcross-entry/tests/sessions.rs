//! Sessions from other entries: frames of older sessions and requests that may have timed out are
//! not handled.

mod scripted;

use std::time::Duration;

use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{Code, Name};
use masticcross_ledger::PartitionsChange;
use masticcross_wire::{Frame, Hello, JobRequest, Link, Ping, SentAfter, Submit, ViewVersion};
use scripted::{ContactScript, Harness, hello, request};
use tokio::time::sleep;

/// Starts an entry that owns all partitions.
async fn start_owner() -> Harness {
    let harness = Harness::new().await;
    harness.run().await;
    harness
}

fn submit(harness: &Harness, request: &JobRequest, after: SentAfter) -> Frame {
    let partition = request.partition();
    Frame::Submit(Submit {
        id: 1,
        epoch: harness.ledger.owned_epoch(partition).expect("an epoch"),
        request: request.clone(),
        after,
        timestamp: Timestamp::default(),
    })
}

async fn code_of_goodbye(link: &mut Link) -> Code {
    loop {
        match link.rx.recv().await {
            Some(Frame::Goodbye(goodbye)) => return goodbye.code,
            Some(_) => {}
            None => panic!("closed without a goodbye"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_on_the_newest_session_reaches_the_owner() {
    let harness = start_owner().await;
    let _agent = harness.add_agent().await;
    let link = harness.dial("b", 1, 1);
    let job = request("job-1", 5_000);
    let frame = submit(&harness, &job, SentAfter::default());
    link.tx.send(frame).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(harness.has_job(&job.key).await);
}

#[tokio::test(start_paused = true)]
async fn a_frame_of_an_older_session_is_not_handled() {
    let harness = start_owner().await;
    let _agent = harness.add_agent().await;
    let mut old = harness.dial("b", 1, 1);
    sleep(Duration::from_millis(10)).await;
    let job = request("job-1", 5_000);
    let frame = submit(&harness, &job, SentAfter::default());
    let _new = harness.dial("b", 1, 2);
    tokio::task::yield_now().await;
    let _ = old.tx.try_send(frame);
    assert_eq!(code_of_goodbye(&mut old).await, Code::Superseded);
    sleep(Duration::from_millis(50)).await;
    assert!(!harness.has_job(&job.key).await);
}

#[tokio::test(start_paused = true)]
async fn a_late_session_with_an_older_number_or_incarnation_is_refused() {
    let harness = start_owner().await;
    let mut first = harness.dial("b", 2, 5);
    sleep(Duration::from_millis(10)).await;
    let mut older_session = harness.dial("b", 2, 4);
    assert_eq!(code_of_goodbye(&mut older_session).await, Code::Superseded);
    let mut older_incarnation = harness.dial("b", 1, 9);
    assert_eq!(
        code_of_goodbye(&mut older_incarnation).await,
        Code::Superseded
    );
    let _newer_incarnation = harness.dial("b", 3, 1);
    assert_eq!(code_of_goodbye(&mut first).await, Code::Superseded);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_have_timed_out_at_its_sender_is_dropped() {
    let harness = start_owner().await;
    let _agent = harness.add_agent().await;
    let link = harness.dial("b", 1, 1);
    sleep(Duration::from_millis(500)).await;
    let late = request("late", 400);
    let frame = submit(&harness, &late, SentAfter::default());
    link.tx.send(frame).await.unwrap();
    let in_time = request("in-time", 400);
    let after = SentAfter {
        pong: 0,
        elapsed_us: 450_000,
    };
    let frame = submit(&harness, &in_time, after);
    link.tx.send(frame).await.unwrap();
    let unknown = request("unknown-pong", 400);
    let after = SentAfter {
        pong: 77,
        elapsed_us: 0,
    };
    let frame = submit(&harness, &unknown, after);
    link.tx.send(frame).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(!harness.has_job(&late.key).await);
    assert!(harness.has_job(&in_time.key).await);
    assert!(!harness.has_job(&unknown.key).await);
}

#[tokio::test(start_paused = true)]
async fn the_age_of_a_request_is_counted_from_the_last_heartbeat() {
    let harness = start_owner().await;
    let mut link = harness.dial("b", 1, 1);
    sleep(Duration::from_secs(1)).await;
    let _agent = harness.add_agent().await;
    let ping = Ping {
        nonce: 9,
        known: ViewVersion::default(),
        timestamp: Timestamp::default(),
    };
    link.tx.send(Frame::Ping(ping)).await.unwrap();
    assert!(matches!(link.rx.recv().await, Some(Frame::Hello(_))));
    assert!(matches!(link.rx.recv().await, Some(Frame::Pong(_))));
    let job = request("job-1", 400);
    let after = SentAfter {
        pong: 9,
        elapsed_us: 0,
    };
    let frame = submit(&harness, &job, after);
    link.tx.send(frame).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(harness.has_job(&job.key).await);
}

#[tokio::test(start_paused = true)]
async fn another_protocol_version_or_an_unexpected_frame_closes_the_session() {
    let harness = start_owner().await;
    let mut link = harness.dial_with(Hello {
        protocol: 999,
        ..hello("b")
    });
    assert_eq!(code_of_goodbye(&mut link).await, Code::ProtocolVersion);
    let mut link = harness.dial("b", 1, 1);
    link.tx.send(Frame::Release(Vec::new())).await.unwrap();
    assert_eq!(code_of_goodbye(&mut link).await, Code::MalformedFrame);
}

fn is_registered(harness: &Harness, worker: &str) -> bool {
    harness.ledger.state().agents.contains_key(worker)
}

#[tokio::test(start_paused = true)]
async fn an_agent_is_registered_while_connected_and_deregistered_after_its_loss() {
    let harness = start_owner().await;
    let (worker, zone) = (Name::from("worker-1"), Name::from("perth-north"));
    harness.peers.register_agent(&worker, 5, &zone);
    sleep(Duration::from_millis(200)).await;
    assert!(is_registered(&harness, "worker-1"));
    let down = PartitionsChange::AgentDown {
        worker: worker.clone(),
        incarnation: 5,
    };
    harness.append(down).await;
    sleep(Duration::from_secs(2)).await;
    assert!(is_registered(&harness, "worker-1"));
    let appended = harness.log.append_count();
    sleep(Duration::from_secs(30)).await;
    assert_eq!(harness.log.append_count(), appended);
    harness.peers.agent_disconnected(&worker, 5);
    sleep(Duration::from_secs(2)).await;
    assert!(is_registered(&harness, "worker-1"));
    sleep(Duration::from_secs(5)).await;
    assert!(!is_registered(&harness, "worker-1"));
}

/// Generates one test per answer that another entry may give about an agent that disconnected from
/// this entry.
macro_rules! disconnected_agent_tests {
    ($($name:ident: $contact_script:expr => $registered:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let harness = Harness::new().await;
            let _b = harness.add_peer("b", $contact_script).await;
            harness.run().await;
            let worker = Name::from("worker-1");
            harness.peers.register_agent(&worker, 5, &Name::from("perth-north"));
            sleep(Duration::from_millis(500)).await;
            harness.peers.agent_disconnected(&worker, 5);
            sleep(Duration::from_secs(20)).await;
            assert_eq!(is_registered(&harness, "worker-1"), $registered);
        }
    )*};
}

disconnected_agent_tests! {
    an_agent_connected_to_another_entry_stays_registered: ContactScript::InContact => true;
    an_agent_that_no_entry_is_in_contact_with_is_deregistered: ContactScript::NoContact => false;
    an_agent_stays_registered_while_another_entry_does_not_answer: ContactScript::NoAnswer => true;
}
