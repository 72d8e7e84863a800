//! The two HTTP ports of an agent.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use masticcross_agent::http::{HttpServer, serve_backends, serve_operators};
use support::Rig;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn listener() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).await.expect("a port")
}

async fn backends_port() -> (Rig, HttpServer) {
    let rig = Rig::start(Duration::ZERO);
    let server = serve_backends(listener().await, rig.agent.clone()).expect("it serves");
    (rig, server)
}

/// Sends a request and returns the whole answer.
async fn ask(addr: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: agent\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the port reads");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("the port answers");
    answer
}

fn body(field: &str, value: &str) -> String {
    let fields = [
        ("service", "\"quote-desk\""),
        ("url", "\"http://127.0.0.1:9000/x/\""),
        ("slots", "8"),
        ("connections", "64"),
        ("ttl_ms", "1000"),
    ];
    let fields = fields.map(|(name, usual)| {
        let value = if name == field { value } else { usual };
        format!("\"{name}\":{value}")
    });
    format!("{{{}}}", fields.join(","))
}

#[tokio::test]
async fn a_backend_comes_is_listed_and_leaves() {
    let (rig, server) = backends_port().await;
    let path = "/v1/backends/desk-1";
    let answer = ask(server.addr(), "PUT", path, &body("", "")).await;
    assert!(answer.starts_with("HTTP/1.1 204"), "{answer}");
    let list = ask(server.addr(), "GET", "/v1/backends", "").await;
    let listed = r#""name":"desk-1","service":"quote-desk","url":"http://127.0.0.1:9000/x""#;
    assert!(list.contains(listed), "{list}");
    assert_eq!(rig.agent.stats().backends, 2);
    let answer = ask(server.addr(), "DELETE", path, "").await;
    assert!(answer.starts_with("HTTP/1.1 204"), "{answer}");
    let answer = ask(server.addr(), "DELETE", path, "").await;
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert_eq!(rig.agent.stats().backends, 1);
}

/// Names cases of refused announcements, and what the answer has to say.
macro_rules! refused {
    ($($name:ident: $path:expr, $body:expr => $status:literal, $says:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let (rig, server) = backends_port().await;
            let answer = ask(server.addr(), "PUT", $path, $body.as_ref()).await;
            assert!(answer.starts_with(concat!("HTTP/1.1 ", $status)), "{answer}");
            assert!(answer.contains($says), "{answer}");
            assert_eq!(rig.agent.stats().backends, 1);
        })*
    };
}

refused! {
    a_bad_name: "/v1/backends/a%20b", body("", "") => 400, r#"field \"name\" has the character"#;
    a_bad_service: "/v1/backends/b", body("service", "\"\"") => 400, r#"\"service\" must not be"#;
    another_scheme: "/v1/backends/b", body("url", "\"https://h\"") => 400, "must begin with http://";
    no_url: "/v1/backends/b", body("url", "\"here\"") => 400, r#"field \"url\""#;
    no_slots: "/v1/backends/b", body("slots", "0") => 400, r#"\"slots\" is 0; accepted are 1 to"#;
    too_many_slots: "/v1/backends/b", body("slots", "70000") => 400, "slots: invalid value";
    no_connections: "/v1/backends/b", body("connections", "0") => 400, r#"\"connections\" is 0"#;
    a_short_ttl: "/v1/backends/b", body("ttl_ms", "5") => 400, r#"\"ttl_ms\" is 5; accepted"#;
    a_text_for_a_number: "/v1/backends/b", body("slots", "\"8\"") => 400, "slots: invalid type";
    no_json: "/v1/backends/b", "{" => 400, "EOF while parsing an object at line 1";
    a_large_body: "/v1/backends/b", " ".repeat(20_000) => 413, "16384 bytes";
}

#[tokio::test]
async fn readiness_names_what_is_missing_until_nothing_is() {
    let mut rig = Rig::start(Duration::ZERO);
    let server = serve_operators(listener().await, rig.agent.clone()).expect("it serves");
    let ready = || ask(server.addr(), "GET", "/ready", "");
    assert!(ready().await.contains("no session with an entry"));
    let mut entry = rig.accept().await;
    entry.view.freshness_ms = 600_000;
    entry.view.registered = false;
    entry.beat().await;
    while rig.agent.stats().view_age.is_none() {
        tokio::task::yield_now().await;
    }
    assert!(ready().await.contains("not registered in the log yet"));
    entry.view.registered = true;
    entry.view.version.partitions += 1;
    entry.beat().await;
    while !rig.agent.stats().registered {
        tokio::task::yield_now().await;
    }
    assert!(ready().await.starts_with("HTTP/1.1 200"));
    assert!(rig.agent.withdraw("b1"));
    assert!(ready().await.contains("no backend server is announced"));
    let metrics = ask(server.addr(), "GET", "/metrics", "").await;
    assert!(
        metrics.contains("masticcross_agent_view_fresh 1"),
        "{metrics}"
    );
    let timeline = ask(server.addr(), "GET", "/v1/timeline", "").await;
    assert!(timeline.contains("backend-down"), "{timeline}");
}
