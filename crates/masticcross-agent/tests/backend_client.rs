//! A whole agent whose backend server answers over real sockets, well or badly. The verdicts do
//! not depend on times.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticcross_agent::{Announcement, HyperBackendClient};
use masticcross_wire::{Frame, NotStartedReason, TaskOutcome};
use support::{Entry, Rig, announcement, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Freshness that no slow machine outlasts, in milliseconds.
const LONG_FRESHNESS_MS: u32 = 600_000;

/// Starts an agent whose backend server is at an address.
async fn agent_with(addr: SocketAddr) -> (Rig, Entry) {
    let mut rig = Rig::with_client(Arc::new(HyperBackendClient::new()));
    rig.agent.announce(Announcement {
        url: format!("http://{addr}").as_str().into(),
        ..announcement()
    });
    let mut entry = rig.accept().await;
    entry.view.freshness_ms = LONG_FRESHNESS_MS;
    entry.beat().await;
    (rig, entry)
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Reads a request up to the end of its JSON.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4_096];
    while !text.ends_with("}}") {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(len) => text.push_str(&String::from_utf8_lossy(&buf[..len])),
        }
    }
    text
}

/// Names cases of what a backend server sends after it has read the request, and the outcome.
macro_rules! outcomes {
    ($($name:ident: $answer:expr => $fits:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (listener, addr) = listen().await;
            let (_rig, mut entry) = agent_with(addr).await;
            entry.send(Frame::Start(start("job", 1, 1)));
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let request = read_request(&mut stream).await;
            assert!(request.starts_with("POST /tasks HTTP/1.1"), "{request}");
            let body = r#"{"service":"quote-desk","job":"job","index":0,"attempt":"1.1","payload":{"n":0}}"#;
            assert!(request.ends_with(body), "{request}");
            stream.write_all($answer.as_bytes()).await.expect("the agent reads");
            drop(stream);
            let outcome = entry.ended().await.outcome;
            let fits: fn(&TaskOutcome) -> bool = $fits;
            assert!(fits(&outcome), "{outcome:?}");
        })*
    };
}

outcomes! {
    a_result_is_passed_on_as_written:
        "HTTP/1.1 200 OK\r\ncontent-length: 24\r\n\r\n{\"result\":{\"b\":1,\"a\":2}}"
            => |o| *o == TaskOutcome::Done(r#"{"b":1,"a":2}"#.into());
    a_status_is_a_failure_with_its_text:
        "HTTP/1.1 500 No\r\ncontent-length: 4\r\n\r\nboom"
            => |o| *o == TaskOutcome::Failed("status 500: boom".to_owned());
    an_answer_without_result_is_a_failure:
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" => is_failure;
    no_answer_at_all_is_a_failure: "" => is_failure;
    half_an_answer_is_a_failure:
        "HTTP/1.1 200 OK\r\ncontent-length: 24\r\n\r\n{\"result\":" => is_failure;
}

fn is_failure(outcome: &TaskOutcome) -> bool {
    matches!(outcome, TaskOutcome::Failed(_))
}

#[tokio::test]
async fn a_task_without_connection_did_not_start() {
    let (listener, addr) = listen().await;
    drop(listener);
    let (_rig, mut entry) = agent_with(addr).await;
    entry.send(Frame::Start(start("job", 1, 1)));
    let reason = TaskOutcome::NotStarted(NotStartedReason::ConnectFailed);
    assert_eq!(entry.ended().await.outcome, reason);
}

#[tokio::test]
async fn a_connection_carries_one_task_after_the_other() {
    let (listener, addr) = listen().await;
    let (_rig, mut entry) = agent_with(addr).await;
    entry.send(Frame::Start(start("job", 1, 1)));
    let (mut stream, _) = listener.accept().await.expect("a connection");
    for seq in 1..=3 {
        read_request(&mut stream).await;
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"result\":7}";
        stream.write_all(answer.as_bytes()).await.expect("it reads");
        let ended = entry.ended().await;
        assert_eq!(ended.outcome, TaskOutcome::Done("7".into()));
        if seq < 3 {
            entry.send(Frame::Start(start(&format!("job-{seq}"), 1, 1 + seq)));
        }
    }
    let second = tokio::time::timeout(Duration::from_millis(1), listener.accept()).await;
    assert!(second.is_err(), "no further connection was opened");
}
