//! Sessions of agents at an entry: at most one per worker, kept open by heartbeats and closed with
//! a code.

use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::timeline::{Timeline, Timestamp};
use masticcross_basics::{Code, Epoch, Name, Partition};
use masticcross_entry::Identity;
use masticcross_entry::dispatch::Dispatch;
use masticcross_ledger::{Ledger, LedgerIdentity};
use masticcross_standins::log::{MemoryLog, MemoryLogSettings};
use masticcross_wire::{
    BackendInfo, Frame, Gather, Gathered, Hello, Link, PROTOCOL_VERSION, Ping, Role, ViewVersion,
};
use tokio::time::sleep;

fn dispatch() -> Arc<Dispatch> {
    let identity = Identity {
        name: Name::from("entry-1"),
        incarnation: 1,
        region: Name::from("perth"),
        zone: Name::from("near"),
        peer_addr: ([127, 0, 0, 1], 1).into(),
    };
    let ledger_identity = LedgerIdentity {
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        region: identity.region.clone(),
    };
    let log = MemoryLog::new(MemoryLogSettings::default());
    let timeline = Timeline::new(identity.name.clone(), 100);
    let ledger = Ledger::new(ledger_identity, Arc::new(log), timeline.clone());
    Dispatch::new(identity, ledger, timeline)
}

fn hello(incarnation: u64, session: u64) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        role: Role::Agent,
        name: Name::from("worker-1"),
        incarnation,
        zone: Name::from("near"),
        session,
    }
}

/// Opens a session and returns the agent's end of it, after the entry's hello.
async fn open(dispatch: &Arc<Dispatch>, hello: Hello) -> Link {
    let (mut agent, entry) = Link::pair();
    tokio::spawn(dispatch.clone().serve_agent(hello, entry));
    assert!(matches!(agent.rx.recv().await, Some(Frame::Hello(_))));
    agent
}

/// Returns the code of the goodbye that closes the session.
async fn closing_code(link: &mut Link) -> Option<Code> {
    while let Some(frame) = link.rx.recv().await {
        if let Frame::Goodbye(goodbye) = frame {
            return Some(goodbye.code);
        }
    }
    None
}

fn ping(nonce: u64) -> Frame {
    Frame::Ping(Ping {
        nonce,
        known: ViewVersion::default(),
        timestamp: Timestamp::default(),
    })
}

#[tokio::test(start_paused = true)]
async fn another_protocol_version_is_refused() {
    let dispatch = dispatch();
    let mut other = hello(1, 1);
    other.protocol += 1;
    let mut link = open(&dispatch, other).await;
    assert_eq!(closing_code(&mut link).await, Some(Code::ProtocolVersion));
    assert!(dispatch.connected_agents().is_empty());
}

/// Generates one test per case: incarnation and session number of the first and the second session,
/// and whether the second one replaces the first.
macro_rules! second_session_cases {
    ($($name:ident: $first:expr, $second:expr => $replaces:literal;)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                let dispatch = dispatch();
                let (incarnation, session) = $first;
                let mut first = open(&dispatch, hello(incarnation, session)).await;
                let (incarnation, session) = $second;
                let mut second = open(&dispatch, hello(incarnation, session)).await;
                let closed = if $replaces { &mut first } else { &mut second };
                assert_eq!(closing_code(closed).await, Some(Code::Superseded));
                sleep(Duration::from_millis(10)).await;
                let expected = if $replaces { $second } else { $first };
                assert_eq!(dispatch.connected_agents()[0].incarnation, expected.0);
            }
        )*
    };
}

second_session_cases! {
    a_newer_session_replaces_the_older_one: (1, 1), (1, 2) => true;
    a_newer_incarnation_replaces_the_older_one: (1, 5), (2, 1) => true;
    an_older_session_is_refused: (1, 2), (1, 1) => false;
    the_same_session_is_refused: (1, 2), (1, 2) => false;
    an_older_incarnation_is_refused: (2, 1), (1, 5) => false;
}

#[tokio::test(start_paused = true)]
async fn a_ping_is_answered_without_a_view_age_before_the_log_is_read() {
    let dispatch = dispatch();
    let mut link = open(&dispatch, hello(1, 1)).await;
    link.tx.send(ping(7)).await.unwrap();
    let Some(Frame::Pong(pong)) = link.rx.recv().await else {
        panic!("no answer");
    };
    assert_eq!((pong.nonce, pong.age_ms, pong.view), (7, None, None));
}

#[tokio::test(start_paused = true)]
async fn the_session_of_an_unresponsive_agent_is_closed() {
    let dispatch = dispatch();
    let mut link = open(&dispatch, hello(1, 1)).await;
    assert_eq!(closing_code(&mut link).await, Some(Code::SessionTimeout));
    assert!(dispatch.connected_agents().is_empty());
}

#[tokio::test(start_paused = true)]
async fn pings_keep_a_session_open() {
    let dispatch = dispatch();
    let link = open(&dispatch, hello(1, 1)).await;
    for nonce in 0..20 {
        link.tx.send(ping(nonce)).await.unwrap();
        sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(dispatch.connected_agents().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_unexpected_frame_closes_the_session() {
    let dispatch = dispatch();
    let mut link = open(&dispatch, hello(1, 1)).await;
    link.tx.send(Frame::Release(Vec::new())).await.unwrap();
    assert_eq!(closing_code(&mut link).await, Some(Code::MalformedFrame));
}

#[tokio::test(start_paused = true)]
async fn the_session_of_an_agent_that_does_not_read_is_closed() {
    let dispatch = dispatch();
    let link = open(&dispatch, hello(1, 1)).await;
    for _ in 0..=masticcross_wire::link::QUEUE_FRAMES {
        dispatch.gather(Partition(1), Epoch(1));
    }
    sleep(Duration::from_millis(10)).await;
    assert!(dispatch.connected_agents().is_empty());
    drop(link);
}

#[tokio::test(start_paused = true)]
async fn a_report_can_be_requested_only_from_a_connected_agent() {
    let dispatch = dispatch();
    let mut link = open(&dispatch, hello(1, 1)).await;
    let agents = dispatch.connected_agents();
    assert!(dispatch.gather_from(&agents[0], Partition(3), Epoch(9)));
    let request = Gather {
        partition: Partition(3),
        epoch: Epoch(9),
    };
    assert_eq!(link.rx.recv().await, Some(Frame::Gather(request)));
    let answer = Gathered {
        partition: Partition(3),
        epoch: Epoch(9),
        attempts: Vec::new(),
        last: true,
    };
    link.tx.send(Frame::Gathered(answer)).await.unwrap();
    drop(link);
    sleep(Duration::from_millis(10)).await;
    assert!(!dispatch.gather_from(&agents[0], Partition(3), Epoch(9)));
}

#[tokio::test(start_paused = true)]
async fn messages_in_both_directions_are_counted() {
    let dispatch = dispatch();
    let mut link = open(&dispatch, hello(1, 1)).await;
    link.tx.send(ping(1)).await.unwrap();
    let backend = BackendInfo {
        name: Name::from("b"),
        service: Name::from("quote-desk"),
        slots: 8,
    };
    link.tx.send(Frame::Backends(vec![backend])).await.unwrap();
    link.rx.recv().await;
    sleep(Duration::from_millis(10)).await;
    let metrics = dispatch.registry().gather();
    let messages = metrics
        .iter()
        .find(|m| m.name() == "masticcross_agent_messages_total")
        .expect("the counter");
    let count: f64 = messages
        .get_metric()
        .iter()
        .map(|m| m.get_counter().get_value())
        .sum();
    // A hello, a ping, a pong and a list of backend servers.
    assert!((count - 4.0).abs() < f64::EPSILON, "{count}");
}
