//! Tests of the meaning of replies and of a log that cannot be reached. The tests against a running
//! stand-in are in the package of the stand-ins.

use super::*;

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
