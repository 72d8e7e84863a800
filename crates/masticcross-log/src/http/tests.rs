//! Tests of the meaning of replies and of a log that cannot be reached. The tests against a running
//! stand-in are in the package of the stand-ins.

use quickcheck::quickcheck;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Longer than any call of a test takes.
const LONG: Duration = Duration::from_secs(30);

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

/// Names cases of a reply to an append and the error it means.
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
    append_created: 201, r#"{"offset":7}"# => Ok(7),
    append_created_unreadable: 201, "?" => Err(LogError::Unknown(_)),
    append_without_meaning: 204, "" => Err(LogError::Unknown(_)),
    append_server_error: 500, "" => Err(LogError::Unknown(_)),
    append_gateway_timeout: 504, "" => Err(LogError::Unknown(_)),
    append_request_timeout: 408, "" => Err(LogError::Unknown(_)),
    append_unavailable: 503, "" => Err(LogError::Unavailable(_)),
    append_throttled: 429, "" => Err(LogError::Throttled { .. }),
    append_too_large: 413, "" => Err(LogError::Malformed(_)),
}

/// Names cases of a reply to a read of two records from offset 3.
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
    read_records: 200,
        r#"{"first":0,"next":9,"records":[{"offset":3,"data":"a"},{"offset":4,"data":"b"}]}"#
        => Ok(Batch { next: 3.., .. }),
    read_empty: 200, r#"{"first":0,"next":3,"records":[]}"# => Ok(Batch { next: 3.., .. }),
    read_gap: 200,
        r#"{"first":0,"next":9,"records":[{"offset":3,"data":"a"},{"offset":5,"data":"b"}]}"#
        => Err(LogError::Malformed(_)),
    read_other_offset: 200, r#"{"first":0,"next":9,"records":[{"offset":2,"data":"a"}]}"#
        => Err(LogError::Malformed(_)),
    read_beyond_end: 200, r#"{"first":0,"next":3,"records":[{"offset":3,"data":"a"}]}"#
        => Err(LogError::Malformed(_)),
    read_truncated: 410, r#"{"first":5}"# => Err(LogError::Truncated { first: 5 }),
    read_truncated_unreadable: 410, "" => Err(LogError::Malformed(_)),
    read_server_error: 500, "" => Err(LogError::Unavailable(_)),
    read_unreadable: 200, "{" => Err(LogError::Malformed(_)),
    read_not_found: 404, "" => Err(LogError::Malformed(_)),
}

#[test]
fn throttled_reply_names_a_bounded_wait() {
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
fn bounds_must_be_in_order() {
    let good = reply(200, r#"{"first":2,"next":2}"#).into_bounds();
    assert_eq!(good, Ok(Bounds { first: 2, next: 2 }));
    let bad = reply(200, r#"{"first":3,"next":2}"#).into_bounds();
    assert!(matches!(bad, Err(LogError::Malformed(_))));
}

#[tokio::test]
async fn log_without_listener_is_unavailable() {
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
async fn bad_names_are_not_sent() {
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

/// Names cases of raw bytes in place of a reply; an append is unknown and a read unavailable.
macro_rules! raw_cases {
    ($($name:ident: $bytes:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let address = raw_server($bytes).await;
                let mut settings = HttpLogSettings::new(address, Name::from("test"));
                settings.max_reply_bytes = 16;
                settings.connect_timeout = LONG;
                settings.append_timeout = LONG;
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
    closed_without_reply: b"";
    reply_is_not_http: b"\x16\x03\x01 what is this\r\n\r\n";
    reply_breaks_off_in_its_head: b"HTTP/1.1 201 Crea";
    reply_breaks_off_in_its_body: b"HTTP/1.1 201 Created\r\ncontent-length: 12\r\n\r\n{\"off";
    reply_is_over_the_limit:
        b"HTTP/1.1 201 Created\r\ncontent-length: 30\r\n\r\n{\"offset\":1                   }";
    reply_has_a_bad_chunk: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
}

quickcheck! {
    fn any_reply_has_a_meaning(status: u16, header: u64, body: Vec<u8>) -> bool {
        let status = http::StatusCode::from_u16(100 + status % 500).expect("status");
        let reply = || {
            let mut headers = http::HeaderMap::new();
            headers.insert("retry-after-ms", header.into());
            Reply { status, headers, body: Bytes::from(body.clone()) }
        };
        // Only a reply to an append can leave its effect open.
        let append = reply().into_offset();
        let read = reply().into_batch(0, 10);
        let bounds = reply().into_bounds();
        (append.is_err() || status == 201)
            && !matches!(read, Err(LogError::Unknown(_)))
            && !matches!(bounds, Err(LogError::Unknown(_)))
    }
}
