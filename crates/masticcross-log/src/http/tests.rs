//! Tests of the conversion of replies to results, and of a log that cannot be reached. The tests
//! against a running stand-in are in the package `masticcross-standins`.

use quickcheck::quickcheck;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Time limit that no call of a test reaches.
const AMPLE_TIMEOUT: Duration = Duration::from_secs(30);

fn reply(status: u16, body: &str) -> Reply {
    make_reply(status, &[], body)
}

fn make_reply(status: u16, headers: &[(&'static str, &'static str)], body: &str) -> Reply {
    let headers = headers.iter().map(|(name, value)| {
        let value = http::HeaderValue::from_static(value);
        (http::HeaderName::from_static(name), value)
    });
    Reply {
        status: http::StatusCode::from_u16(status).expect("status"),
        headers: headers.collect(),
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

/// Generates tests of the result of an append for a given reply.
macro_rules! append_cases {
    ($($name:ident: $status:literal, $body:literal => $expected:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let result = reply($status, $body).into_offset();
                assert!(matches!(result, $expected), "got {result:?}");
            }
        )*
    };
}

append_cases! {
    append_with_status_created_returns_the_offset: 201, r#"{"offset":7}"# => Ok(7),
    append_with_an_unparsable_body_is_unknown: 201, "?" => Err(LogError::Unknown(_)),
    append_with_status_no_content_is_unknown: 204, "" => Err(LogError::Unknown(_)),
    append_with_a_server_error_is_unknown: 500, "" => Err(LogError::Unknown(_)),
    append_with_a_gateway_timeout_is_unknown: 504, "" => Err(LogError::Unknown(_)),
    append_with_a_request_timeout_is_unknown: 408, "" => Err(LogError::Unknown(_)),
    append_with_service_unavailable_is_unavailable: 503, "" => Err(LogError::Unavailable(_)),
    append_with_too_many_requests_is_throttled: 429, "" => Err(LogError::Throttled { .. }),
    append_that_is_too_large_is_malformed: 413, "" => Err(LogError::Malformed(_)),
}

/// Generates tests of the result for a given reply to a read of two records from offset 3.
macro_rules! read_cases {
    ($($name:ident: $status:literal, $body:literal => $expected:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let result = reply($status, $body).into_batch(3, 2);
                assert!(matches!(result, $expected), "got {result:?}");
            }
        )*
    };
}

read_cases! {
    read_with_records_returns_them: 200,
        r#"{"first":0,"next":9,"records":[{"offset":3,"data":"a"},{"offset":4,"data":"b"}]}"#
        => Ok(Batch { next: 3.., .. }),
    read_without_records_returns_an_empty_batch: 200, r#"{"first":0,"next":3,"records":[]}"#
        => Ok(Batch { next: 3.., .. }),
    read_with_a_gap_is_malformed: 200,
        r#"{"first":0,"next":9,"records":[{"offset":3,"data":"a"},{"offset":5,"data":"b"}]}"#
        => Err(LogError::Malformed(_)),
    read_from_another_offset_is_malformed: 200,
        r#"{"first":0,"next":9,"records":[{"offset":2,"data":"a"}]}"#
        => Err(LogError::Malformed(_)),
    read_beyond_the_end_is_malformed: 200,
        r#"{"first":0,"next":3,"records":[{"offset":3,"data":"a"}]}"#
        => Err(LogError::Malformed(_)),
    read_of_dropped_records_is_truncated: 410, r#"{"first":5}"#
        => Err(LogError::Truncated { first: 5 }),
    read_of_dropped_records_with_an_unparsable_body_is_malformed: 410, ""
        => Err(LogError::Malformed(_)),
    read_with_a_server_error_is_unavailable: 500, "" => Err(LogError::Unavailable(_)),
    read_with_an_unparsable_body_is_malformed: 200, "{" => Err(LogError::Malformed(_)),
    read_with_not_found_is_malformed: 404, "" => Err(LogError::Malformed(_)),
}

#[test]
fn throttled_reply_gives_a_bounded_retry_after() {
    for (header, ms) in [("25", 25), ("x", 100), ("99999999", 10_000)] {
        let reply = make_reply(429, &[("retry-after-ms", header)], "");
        let retry_after = Duration::from_millis(ms);
        assert_eq!(
            reply.into_offset(),
            Err(LogError::Throttled { retry_after })
        );
    }
}

#[test]
fn bounds_that_are_out_of_order_are_malformed() {
    let good = reply(200, r#"{"first":2,"next":2}"#).into_bounds();
    assert_eq!(good, Ok(Bounds { first: 2, next: 2 }));
    let bad = reply(200, r#"{"first":3,"next":2}"#).into_bounds();
    assert!(matches!(bad, Err(LogError::Malformed(_))));
}

#[tokio::test]
async fn calls_without_a_listener_are_unavailable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    let log = HttpLog::new(HttpLogSettings::new(address, Name::from("test")));
    let append = log.append("s", Arc::from("a")).await;
    assert!(matches!(append, Err(LogError::Unavailable(_))));
    let read = log.read("s", 0, 1, Duration::ZERO).await;
    assert!(matches!(read, Err(LogError::Unavailable(_))));
}

#[tokio::test]
async fn append_with_an_invalid_stream_name_is_not_sent() {
    let log = HttpLog::new(HttpLogSettings::new("127.0.0.1:1", Name::from("test")));
    for stream in ["a b", "a//b", "a/", "", "a%2Fb", "a?b"] {
        let append = log.append(stream, Arc::from("a")).await;
        let Err(LogError::Unavailable(reason)) = append else {
            panic!("{stream:?} was sent");
        };
        assert!(reason.contains("cannot be sent"), "{reason}");
    }
}

/// Answers each connection with the same bytes and closes it.
async fn raw_server(bytes: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    address
}

/// Generates tests with raw bytes in place of a reply: an append returns `Unknown`, and a read
/// `Unavailable`.
macro_rules! raw_cases {
    ($($name:ident: $bytes:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let address = raw_server($bytes).await;
                let mut settings = HttpLogSettings::new(address, Name::from("test"));
                settings.max_reply_bytes = 16;
                settings.connect_timeout = AMPLE_TIMEOUT;
                settings.append_timeout = AMPLE_TIMEOUT;
                let log = HttpLog::new(settings);
                let append = log.append("s", Arc::from("a")).await;
                assert!(matches!(append, Err(LogError::Unknown(_))), "got {append:?}");
                let read = log.read("s", 0, 1, Duration::ZERO).await;
                assert!(matches!(read, Err(LogError::Unavailable(_))), "got {read:?}");
                let bounds = log.bounds("s").await;
                assert!(matches!(bounds, Err(LogError::Unavailable(_))), "got {bounds:?}");
            }
        )*
    };
}

raw_cases! {
    connection_closed_without_a_reply_leaves_append_unknown: b"";
    reply_that_is_not_http_leaves_append_unknown: b"\x16\x03\x01 what is this\r\n\r\n";
    reply_with_an_incomplete_head_leaves_append_unknown: b"HTTP/1.1 201 Crea";
    reply_with_an_incomplete_body_leaves_append_unknown: b"HTTP/1.1 201 Created\r\ncontent-length: 12\r\n\r\n{\"off";
    reply_over_the_size_limit_leaves_append_unknown:
        b"HTTP/1.1 201 Created\r\ncontent-length: 30\r\n\r\n{\"offset\":1                   }";
    reply_with_an_invalid_chunk_leaves_append_unknown: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
}

/// Answers each connection with a batch of one record, and sends it in parts.
async fn slow_server(interval: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let body = r#"{"first":0,"next":1,"records":[{"offset":0,"data":"a"}]}"#;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(head.as_bytes()).await;
            for part in body.as_bytes().chunks(8) {
                let _ = stream.write_all(part).await;
                tokio::time::sleep(interval).await;
            }
        }
    });
    address
}

#[tokio::test]
async fn a_read_that_makes_progress_takes_longer_than_its_time_limit() {
    let address = slow_server(Duration::from_millis(100)).await;
    let mut settings = HttpLogSettings::new(address, Name::from("test"));
    settings.read_timeout = Duration::from_millis(400);
    let read = HttpLog::new(settings).read("s", 0, 1, Duration::ZERO).await;
    assert_eq!(read.expect("a batch").records.len(), 1);
}

#[tokio::test]
async fn a_read_without_progress_ends_at_its_time_limit() {
    let address = slow_server(AMPLE_TIMEOUT).await;
    let mut settings = HttpLogSettings::new(address, Name::from("test"));
    settings.read_timeout = Duration::from_millis(100);
    let read = HttpLog::new(settings).read("s", 0, 1, Duration::ZERO).await;
    assert!(
        matches!(read, Err(LogError::Unavailable(_))),
        "got {read:?}"
    );
}

quickcheck! {
    fn only_appends_return_unknown_for_any_reply(status: u16, header: u64, body: Vec<u8>) -> bool {
        let status = http::StatusCode::from_u16(100 + status % 500).expect("status");
        let reply = || {
            let mut headers = http::HeaderMap::new();
            headers.insert("retry-after-ms", header.into());
            Reply { status, headers, body: Bytes::from(body.clone()) }
        };
        // Only the effect of an append can be unknown after a reply.
        let append = reply().into_offset();
        let read = reply().into_batch(0, 10);
        let bounds = reply().into_bounds();
        (append.is_err() || status == 201)
            && !matches!(read, Err(LogError::Unknown(_)))
            && !matches!(bounds, Err(LogError::Unknown(_)))
    }
}
