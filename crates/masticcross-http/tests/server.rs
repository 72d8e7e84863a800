//! Tests of the HTTP server with raw TCP connections over loopback.

use std::time::Duration;

use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::mime::TEXT_PLAIN;
use gotham::prelude::*;
use gotham::router::builder::build_simple_router;
use gotham::state::State;
use http::StatusCode;
use masticcross_http::{HttpLimits, HttpServer, Problem, read_body};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MAX_BODY_BYTES: usize = 16;
const BODY_TIMEOUT: Duration = Duration::from_millis(50);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

async fn hello(state: State) -> HandlerResult {
    let resp = create_response(&state, StatusCode::OK, TEXT_PLAIN, "hello");
    Ok((state, resp))
}

async fn echo(mut state: State) -> HandlerResult {
    let body = Body::take_from(&mut state);
    let resp = match read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(bytes) => create_response(&state, StatusCode::OK, TEXT_PLAIN, bytes),
        Err(error) => Problem::from(error).to_response(),
    };
    Ok((state, resp))
}

async fn slow(state: State) -> HandlerResult {
    tokio::time::sleep(Duration::from_millis(200)).await;
    hello(state).await
}

async fn panicking(state: State) -> HandlerResult {
    assert!(
        state.try_borrow::<gotham::cookie::CookieJar>().is_some(),
        "a handler that panics"
    );
    hello(state).await
}

async fn start_server(limits: HttpLimits) -> HttpServer {
    let router = build_simple_router(|route| {
        route.get("/hello").to_async(hello);
        route.post("/echo").to_async(echo);
        route.get("/slow").to_async(slow);
        route.get("/broken").to_async(panicking);
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    HttpServer::start(listener, router, limits).expect("a bound listener")
}

async fn connect(server: &HttpServer) -> TcpStream {
    TcpStream::connect(server.addr())
        .await
        .expect("the server listens")
}

/// Sends a request and reads until the server closes the connection.
async fn send_and_read(server: &HttpServer, request: &str) -> String {
    let mut stream = connect(server).await;
    stream.write_all(request.as_bytes()).await.expect("sent");
    read_all(&mut stream).await
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut reply = Vec::new();
    // If the connection is reset after the response, the bytes read so far are still valid.
    let _ = stream.read_to_end(&mut reply).await;
    String::from_utf8_lossy(&reply).into_owned()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
}

#[tokio::test]
async fn a_connection_over_the_limit_is_refused_until_another_one_closes() {
    let limits = HttpLimits {
        max_connections: 1,
        ..HttpLimits::default()
    };
    let server = start_server(limits).await;
    let mut first = connect(&server).await;
    first
        .write_all(b"GET /hello HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .expect("sent");
    let mut buf = [0; 256];
    let read = first.read(&mut buf).await.expect("an answer");
    assert!(buf[..read].starts_with(b"HTTP/1.1 200"));

    let refused = send_and_read(&server, "").await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("\"code\":2008"), "{refused}");

    drop(first);
    let mut answer = String::new();
    while !answer.starts_with("HTTP/1.1 200") {
        answer = send_and_read(&server, &get("/hello")).await;
    }
    server.close(CLOSE_TIMEOUT).await;
}

#[tokio::test]
async fn a_connection_is_closed_if_the_headers_do_not_arrive_in_time() {
    let limits = HttpLimits {
        header_timeout: Duration::from_millis(50),
        ..HttpLimits::default()
    };
    let server = start_server(limits).await;
    let reply = send_and_read(&server, "GET /hello HTTP/1.1\r\nhost: x\r\n").await;
    assert!(!reply.starts_with("HTTP/1.1 200"), "{reply}");
    server.close(CLOSE_TIMEOUT).await;
}

#[tokio::test]
async fn a_request_with_too_many_headers_is_refused() {
    let server = start_server(HttpLimits::default()).await;
    let headers = "x-flood: 1\r\n".repeat(1_000);
    let request = format!("GET /hello HTTP/1.1\r\nhost: x\r\n{headers}\r\n");
    let reply = send_and_read(&server, &request).await;
    assert!(reply.starts_with("HTTP/1.1 431"), "{reply}");
    assert!(
        send_and_read(&server, &get("/hello"))
            .await
            .starts_with("HTTP/1.1 200")
    );
    server.close(CLOSE_TIMEOUT).await;
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let server = start_server(HttpLimits::default()).await;
    let request = "POST /echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 17\r\n\r\n\
                12345678901234567";
    let reply = send_and_read(&server, request).await;
    assert!(reply.contains("\"code\":1005"), "{reply}");
    server.close(CLOSE_TIMEOUT).await;
}

#[tokio::test]
async fn a_body_that_does_not_arrive_in_time_is_refused() {
    let server = start_server(HttpLimits::default()).await;
    let request =
        "POST /echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 9\r\n\r\n123";
    let reply = send_and_read(&server, request).await;
    assert!(reply.contains("\"code\":1011"), "{reply}");
    server.close(CLOSE_TIMEOUT).await;
}

#[tokio::test]
async fn a_graceful_shutdown_completes_requests_in_progress() {
    let server = start_server(HttpLimits::default()).await;
    let mut stream = connect(&server).await;
    stream
        .write_all(get("/slow").as_bytes())
        .await
        .expect("sent");
    // A response on a second connection shows that the first connection was accepted before it.
    assert!(
        send_and_read(&server, &get("/hello"))
            .await
            .starts_with("HTTP/1.1 200")
    );
    let (reply, ()) = tokio::join!(read_all(&mut stream), server.close(CLOSE_TIMEOUT));
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(reply.ends_with("hello"), "{reply}");
}

#[tokio::test]
async fn a_panic_in_a_handler_does_not_affect_other_requests() {
    let server = start_server(HttpLimits::default()).await;
    assert!(
        send_and_read(&server, &get("/broken"))
            .await
            .starts_with("HTTP/1.1 500")
    );
    assert!(
        send_and_read(&server, &get("/hello"))
            .await
            .starts_with("HTTP/1.1 200")
    );
    server.close(CLOSE_TIMEOUT).await;
}
