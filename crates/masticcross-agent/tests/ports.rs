//! HTTP interfaces of an agent, for backend servers and for operators.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use masticcross_agent::http::{HttpServer, serve_backends, serve_operators};
use support::Fixture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn listener() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).await.expect("a port")
}

async fn backends_port() -> (Fixture, HttpServer) {
    let fixture = Fixture::start(Duration::ZERO);
    let server =
        serve_backends(listener().await, fixture.agent.clone()).expect("the server starts");
    (fixture, server)
}

/// Sends a request and returns the complete response.
async fn send_request(addr: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: agent\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the port reads");
    let mut response = String::new();
    let read = stream.read_to_string(&mut response).await;
    read.expect("the port responds");
    response
}

fn body(field: &str, value: &str) -> String {
    let fields = [
        ("service", "\"quote-desk\""),
        ("url", "\"http://127.0.0.1:9000/x/\""),
        ("slots", "8"),
        ("connections", "64"),
        ("ttl_ms", "1000"),
    ];
    let fields = fields.map(|(name, default)| {
        let value = if name == field { value } else { default };
        format!("\"{name}\":{value}")
    });
    format!("{{{}}}", fields.join(","))
}

#[tokio::test]
async fn backend_can_be_announced_listed_and_withdrawn() {
    let (fixture, server) = backends_port().await;
    let path = "/v1/backends/desk-1";
    let response = send_request(server.addr(), "PUT", path, &body("", "")).await;
    assert!(response.starts_with("HTTP/1.1 204"), "{response}");
    let list = send_request(server.addr(), "GET", "/v1/backends", "").await;
    let listed = r#""name":"desk-1","service":"quote-desk","url":"http://127.0.0.1:9000/x""#;
    assert!(list.contains(listed), "{list}");
    assert_eq!(fixture.agent.stats().backends, 2);
    let response = send_request(server.addr(), "DELETE", path, "").await;
    assert!(response.starts_with("HTTP/1.1 204"), "{response}");
    let response = send_request(server.addr(), "DELETE", path, "").await;
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    assert_eq!(fixture.agent.stats().backends, 1);
}

/// Defines cases of invalid announcements, each with the expected status and part of the message.
macro_rules! refused {
    ($($name:ident: $path:expr, $body:expr => $status:literal, $message:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (fixture, server) = backends_port().await;
            let response = send_request(server.addr(), "PUT", $path, $body.as_ref()).await;
            assert!(response.starts_with(concat!("HTTP/1.1 ", $status)), "{response}");
            assert!(response.contains($message), "{response}");
            assert_eq!(fixture.agent.stats().backends, 1);
        })*
    };
}

refused! {
    invalid_name_is_refused:
        "/v1/backends/a%20b", body("", "") => 400, r#"field \"name\" has the character"#;
    invalid_service_is_refused:
        "/v1/backends/b", body("service", "\"\"") => 400, r#"\"service\" must not be"#;
    other_scheme_is_refused:
        "/v1/backends/b", body("url", "\"https://h\"") => 400, "must begin with http://";
    invalid_url_is_refused: "/v1/backends/b", body("url", "\"here\"") => 400, r#"field \"url\""#;
    zero_slots_are_refused:
        "/v1/backends/b", body("slots", "0") => 400, r#"\"slots\" is 0; accepted are 1 to"#;
    slots_beyond_u16_are_refused:
        "/v1/backends/b", body("slots", "70000") => 400, "slots: invalid value";
    zero_connections_are_refused:
        "/v1/backends/b", body("connections", "0") => 400, r#"\"connections\" is 0"#;
    short_ttl_is_refused:
        "/v1/backends/b", body("ttl_ms", "5") => 400, r#"\"ttl_ms\" is 5; accepted"#;
    string_instead_of_number_is_refused:
        "/v1/backends/b", body("slots", "\"8\"") => 400, "slots: invalid type";
    malformed_json_is_refused:
        "/v1/backends/b", "{" => 400, "EOF while parsing an object at line 1";
    large_body_is_refused: "/v1/backends/b", " ".repeat(20_000) => 413, "16384 bytes";
}

#[tokio::test]
async fn ready_reports_the_unmet_condition_until_all_are_met() {
    let mut fixture = Fixture::start(Duration::ZERO);
    let server =
        serve_operators(listener().await, fixture.agent.clone()).expect("the server starts");
    let ready = || send_request(server.addr(), "GET", "/ready", "");
    assert!(ready().await.contains("no session with an entry"));
    let mut entry = fixture.accept().await;
    entry.view.freshness_ms = 600_000;
    entry.view.registered = false;
    entry.answer_heartbeat().await;
    while fixture.agent.stats().view_age.is_none() {
        tokio::task::yield_now().await;
    }
    assert!(ready().await.contains("not registered in the log yet"));
    entry.view.registered = true;
    entry.view.version.partitions += 1;
    entry.answer_heartbeat().await;
    while !fixture.agent.stats().registered {
        tokio::task::yield_now().await;
    }
    assert!(ready().await.starts_with("HTTP/1.1 200"));
    assert!(fixture.agent.withdraw("b1"));
    assert!(ready().await.contains("no backend server is announced"));
    let metrics = send_request(server.addr(), "GET", "/metrics", "").await;
    assert!(
        metrics.contains("masticcross_agent_view_fresh 1"),
        "{metrics}"
    );
    let timeline = send_request(server.addr(), "GET", "/v1/timeline", "").await;
    assert!(timeline.contains("backend-down"), "{timeline}");
}
