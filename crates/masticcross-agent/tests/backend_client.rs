//! A complete agent with a backend server that sends valid and invalid responses over real sockets.
//! The results do not depend on timing.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticcross_agent::{Announcement, HyperBackendClient};
use masticcross_wire::{Frame, NotStartedReason, TaskOutcome};
use support::{Entry, Fixture, announcement, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Freshness in milliseconds, long enough that the view never becomes stale on a slow machine.
const LONG_FRESHNESS_MS: u32 = 600_000;

/// Starts an agent whose backend server is at an address.
async fn agent_with(addr: SocketAddr) -> (Fixture, Entry) {
    let mut fixture = Fixture::with_client(Arc::new(HyperBackendClient::new()));
    fixture.agent.announce(Announcement {
        url: format!("http://{addr}").as_str().into(),
        ..announcement()
    });
    let mut entry = fixture.accept().await;
    entry.view.freshness_ms = LONG_FRESHNESS_MS;
    entry.answer_heartbeat().await;
    (fixture, entry)
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

/// Defines cases of a backend server's response to a request, and the outcome that it must lead to.
macro_rules! outcomes {
    ($($name:ident: $response:expr => $predicate:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (listener, addr) = listen().await;
            let (_fixture, mut entry) = agent_with(addr).await;
            entry.send(Frame::Start(start("job", 1, 1)));
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let request = read_request(&mut stream).await;
            assert!(request.starts_with("POST /tasks HTTP/1.1"), "{request}");
            let body = r#"{"service":"quote-desk","job":"job","index":0,"attempt":"1.1","payload":{"n":0}}"#;
            assert!(request.ends_with(body), "{request}");
            stream.write_all($response.as_bytes()).await.expect("the agent reads");
            drop(stream);
            let outcome = entry.ended().await.outcome;
            let predicate: fn(&TaskOutcome) -> bool = $predicate;
            assert!(predicate(&outcome), "{outcome:?}");
        })*
    };
}

outcomes! {
    result_is_returned_as_written:
        "HTTP/1.1 200 OK\r\ncontent-length: 24\r\n\r\n{\"result\":{\"b\":1,\"a\":2}}"
            => |o| *o == TaskOutcome::Done(r#"{"b":1,"a":2}"#.into());
    error_status_is_a_failure_with_status_and_body:
        "HTTP/1.1 500 No\r\ncontent-length: 4\r\n\r\nboom"
            => |o| *o == TaskOutcome::Failed("status 500: boom".to_owned());
    response_without_result_is_a_failure:
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}" => is_failure;
    connection_closed_without_response_is_a_failure: "" => is_failure;
    truncated_response_is_a_failure:
        "HTTP/1.1 200 OK\r\ncontent-length: 24\r\n\r\n{\"result\":" => is_failure;
}

fn is_failure(outcome: &TaskOutcome) -> bool {
    matches!(outcome, TaskOutcome::Failed(_))
}

#[tokio::test]
async fn task_is_not_started_when_the_connection_is_refused() {
    let (listener, addr) = listen().await;
    drop(listener);
    let (_fixture, mut entry) = agent_with(addr).await;
    entry.send(Frame::Start(start("job", 1, 1)));
    let reason = TaskOutcome::NotStarted(NotStartedReason::ConnectFailed);
    assert_eq!(entry.ended().await.outcome, reason);
}

#[tokio::test]
async fn connection_is_reused_for_consecutive_tasks() {
    let (listener, addr) = listen().await;
    let (_fixture, mut entry) = agent_with(addr).await;
    entry.send(Frame::Start(start("job", 1, 1)));
    let (mut stream, _) = listener.accept().await.expect("a connection");
    for seq in 1..=3 {
        read_request(&mut stream).await;
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"result\":7}";
        stream
            .write_all(response.as_bytes())
            .await
            .expect("the agent reads");
        let ended = entry.ended().await;
        assert_eq!(ended.outcome, TaskOutcome::Done("7".into()));
        if seq < 3 {
            entry.send(Frame::Start(start(&format!("job-{seq}"), 1, 1 + seq)));
        }
    }
    let second = tokio::time::timeout(Duration::from_millis(1), listener.accept()).await;
    assert!(second.is_err(), "no further connection was opened");
}
