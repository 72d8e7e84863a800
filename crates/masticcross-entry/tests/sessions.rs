//! What arrives from other entries: no frame of an older session, and no late request, is handled.

mod scripted;

use std::time::Duration;

use masticcross_basics::timeline::Stamp;
use masticcross_basics::{Code, Name};
use masticcross_ledger::PartitionsChange;
use masticcross_wire::{Frame, Hello, JobRequest, Link, Ping, SentAfter, Submit, ViewVersion};
use scripted::{Bench, Hearing, hello, request};
use tokio::time::sleep;

/// Starts an entry that owns all partitions.
async fn start_owner() -> Bench {
    let bench = Bench::new().await;
    bench.run().await;
    bench
}

fn submit(bench: &Bench, request: &JobRequest, after: SentAfter) -> Frame {
    let partition = request.partition();
    Frame::Submit(Submit {
        id: 1,
        epoch: bench.agreement.epoch_if_mine(partition).expect("an epoch"),
        request: request.clone(),
        after,
        stamp: Stamp::default(),
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
    let bench = start_owner().await;
    let _agent = bench.add_agent().await;
    let link = bench.dial("b", 1, 1);
    let job = request("job-1", 5_000);
    let frame = submit(&bench, &job, SentAfter::default());
    link.tx.send(frame).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(bench.knows(&job.key).await);
}

#[tokio::test(start_paused = true)]
async fn a_frame_of_an_older_session_is_not_handled() {
    let bench = start_owner().await;
    let _agent = bench.add_agent().await;
    let mut old = bench.dial("b", 1, 1);
    sleep(Duration::from_millis(10)).await;
    let job = request("job-1", 5_000);
    let frame = submit(&bench, &job, SentAfter::default());
    let _new = bench.dial("b", 1, 2);
    tokio::task::yield_now().await;
    let _ = old.tx.try_send(frame);
    assert_eq!(code_of_goodbye(&mut old).await, Code::Superseded);
    sleep(Duration::from_millis(50)).await;
    assert!(!bench.knows(&job.key).await);
}

#[tokio::test(start_paused = true)]
async fn an_older_session_or_start_that_comes_late_is_refused() {
    let bench = start_owner().await;
    let mut first = bench.dial("b", 2, 5);
    sleep(Duration::from_millis(10)).await;
    let mut older_session = bench.dial("b", 2, 4);
    assert_eq!(code_of_goodbye(&mut older_session).await, Code::Superseded);
    let mut older_start = bench.dial("b", 1, 9);
    assert_eq!(code_of_goodbye(&mut older_start).await, Code::Superseded);
    let _newer_start = bench.dial("b", 3, 1);
    assert_eq!(code_of_goodbye(&mut first).await, Code::Superseded);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_its_sender_gave_up_is_dropped() {
    let bench = start_owner().await;
    let _agent = bench.add_agent().await;
    let link = bench.dial("b", 1, 1);
    sleep(Duration::from_millis(500)).await;
    let late = request("late", 400);
    let frame = submit(&bench, &late, SentAfter::default());
    link.tx.send(frame).await.unwrap();
    let in_time = request("in-time", 400);
    let after = SentAfter {
        pong: 0,
        elapsed_us: 450_000,
    };
    let frame = submit(&bench, &in_time, after);
    link.tx.send(frame).await.unwrap();
    let unknown = request("unknown-pong", 400);
    let after = SentAfter {
        pong: 77,
        elapsed_us: 0,
    };
    let frame = submit(&bench, &unknown, after);
    link.tx.send(frame).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(!bench.knows(&late.key).await);
    assert!(bench.knows(&in_time.key).await);
    assert!(!bench.knows(&unknown.key).await);
}

#[tokio::test(start_paused = true)]
async fn the_age_of_a_request_is_counted_from_the_last_heartbeat() {
    let bench = start_owner().await;
    let mut link = bench.dial("b", 1, 1);
    sleep(Duration::from_secs(1)).await;
    let _agent = bench.add_agent().await;
    let ping = Ping {
        nonce: 9,
        known: ViewVersion::default(),
        stamp: Stamp::default(),
    };
    link.tx.send(Frame::Ping(ping)).await.unwrap();
    assert!(matches!(link.rx.recv().await, Some(Frame::Hello(_))));
    assert!(matches!(link.rx.recv().await, Some(Frame::Pong(_))));
    let job = request("job-1", 400);
    let after = SentAfter {
        pong: 9,
        elapsed_us: 0,
    };
    let frame = submit(&bench, &job, after);
    link.tx.send(frame).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    assert!(bench.knows(&job.key).await);
}

#[tokio::test(start_paused = true)]
async fn another_protocol_and_unexpected_frames_close_the_session() {
    let bench = start_owner().await;
    let mut link = bench.dial_with(Hello {
        protocol: 999,
        ..hello("b")
    });
    assert_eq!(code_of_goodbye(&mut link).await, Code::ProtocolVersion);
    let mut link = bench.dial("b", 1, 1);
    link.tx.send(Frame::Release(Vec::new())).await.unwrap();
    assert_eq!(code_of_goodbye(&mut link).await, Code::MalformedFrame);
}

fn is_registered(bench: &Bench, worker: &str) -> bool {
    bench.agreement.state().agents.contains_key(worker)
}

#[tokio::test(start_paused = true)]
async fn an_agent_is_registered_while_it_is_connected_here() {
    let bench = start_owner().await;
    let (worker, zone) = (Name::from("worker-1"), Name::from("perth-north"));
    bench.peers.register_agent(&worker, 5, &zone);
    sleep(Duration::from_millis(200)).await;
    assert!(is_registered(&bench, "worker-1"));
    let down = PartitionsChange::AgentDown {
        worker: worker.clone(),
        incarnation: 5,
    };
    bench.append(down).await;
    sleep(Duration::from_secs(2)).await;
    assert!(is_registered(&bench, "worker-1"));
    let appended = bench.log.appended();
    sleep(Duration::from_secs(30)).await;
    assert_eq!(bench.log.appended(), appended);
    bench.peers.agent_disconnected(&worker, 5);
    sleep(Duration::from_secs(2)).await;
    assert!(is_registered(&bench, "worker-1"));
    sleep(Duration::from_secs(5)).await;
    assert!(!is_registered(&bench, "worker-1"));
}

/// Names a case for each answer that another entry may give about an agent lost here.
macro_rules! lost_here {
    ($($name:ident: $hearing:expr => $registered:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let bench = Bench::new().await;
            let _b = bench.add_peer("b", $hearing).await;
            bench.run().await;
            let worker = Name::from("worker-1");
            bench.peers.register_agent(&worker, 5, &Name::from("perth-north"));
            sleep(Duration::from_millis(500)).await;
            bench.peers.agent_disconnected(&worker, 5);
            sleep(Duration::from_secs(20)).await;
            assert_eq!(is_registered(&bench, "worker-1"), $registered);
        }
    )*};
}

lost_here! {
    an_agent_heard_elsewhere_stays: Hearing::All => true;
    an_agent_that_nobody_hears_is_taken_off: Hearing::Nothing => false;
    an_agent_stays_while_another_entry_does_not_answer: Hearing::NoAnswer => true;
}
