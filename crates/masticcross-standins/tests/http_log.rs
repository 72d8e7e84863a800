//! Tests of the log's HTTP client against the stand-in server, over loopback. They check results
//! and counts, never times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use masticcross_basics::Name;
use masticcross_log::{Bounds, HttpLog, HttpLogSettings, Log, LogError, Offset, Result};
use masticcross_standins::http::client::Client;
use masticcross_standins::http::server::Server;
use masticcross_standins::log::server::LogHandler;
use masticcross_standins::log::{MemoryLog, MemoryLogSettings, Occurrence};
use masticcross_standins::relay::{Relay, RelaySettings};
use serde_json::json;
use tokio::net::TcpListener;

/// Timeout that no call of a test reaches, also on a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    memory_log: MemoryLog,
    server: Server,
    log: HttpLog,
}

/// Creates client settings with timeouts that a busy machine does not reach.
fn settings_with_long_timeouts(address: SocketAddr, client: &str) -> HttpLogSettings {
    HttpLogSettings {
        connect_timeout: LONG_TIMEOUT,
        append_timeout: LONG_TIMEOUT,
        read_timeout: LONG_TIMEOUT,
        ..HttpLogSettings::new(address.to_string(), Name::from(client))
    }
}

impl Fixture {
    async fn start(settings: MemoryLogSettings) -> Self {
        let memory_log = MemoryLog::new(settings);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let server = Server::start(listener, LogHandler::new(memory_log.clone())).expect("start");
        Self {
            memory_log,
            log: HttpLog::new(settings_with_long_timeouts(server.address(), "one")),
            server,
        }
    }

    async fn append(&self, text: &str) -> Result<Offset> {
        self.log.append("s", Arc::from(text)).await
    }

    async fn read_all(&self) -> Vec<String> {
        let batch = self.log.read("s", 0, 100, Duration::ZERO).await;
        let records = batch.expect("read").records;
        records.iter().map(|r| r.data.to_string()).collect()
    }
}

/// Defines test cases that get a running log.
macro_rules! cases {
    ($($name:ident($fixture:ident) $body:block)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let $fixture = Fixture::start(MemoryLogSettings::default()).await;
                $body
            }
        )*
    };
}

cases! {
    appended_records_are_read_unchanged(f) {
        let texts = ["{\"a\":1}", "ગુજરાત \"\\\n", ""];
        for (offset, text) in (0..).zip(texts) {
            assert_eq!(f.append(text).await, Ok(offset));
        }
        assert_eq!(f.read_all().await, texts);
        assert_eq!(f.log.bounds("s").await, Ok(Bounds { first: 0, next: 3 }));
    }

    stream_name_with_a_slash_reaches_its_own_stream(f) {
        let offset = f.log.append("partitions/perth", Arc::from("a")).await;
        assert_eq!(offset, Ok(0));
        let read = f.memory_log.read("partitions/perth", 0, 1, Duration::ZERO).await;
        assert_eq!(read.expect("read").records.len(), 1);
        let bounds = f.log.bounds("partitions").await;
        assert_eq!(bounds, Ok(Bounds { first: 0, next: 0 }));
    }

    waiting_read_returns_an_appended_record(f) {
        let reader = f.log.clone();
        let read = tokio::spawn(async move { reader.read("s", 0, 1, LONG_TIMEOUT).await });
        tokio::task::yield_now().await;
        f.append("a").await.expect("append");
        assert_eq!(read.await.expect("join").expect("read").records.len(), 1);
    }

    read_of_dropped_records_is_truncated(f) {
        for text in ["a", "b"] {
            f.append(text).await.expect("append");
        }
        f.memory_log.truncate("s", 1);
        let read = f.log.read("s", 0, 1, Duration::ZERO).await;
        assert_eq!(read, Err(LogError::Truncated { first: 1 }));
    }

    append_is_unavailable_without_effect_while_the_log_is_down(f) {
        f.memory_log.faults().set_down(true);
        assert!(matches!(f.append("a").await, Err(LogError::Unavailable(_))));
        assert!(matches!(f.log.bounds("s").await, Err(LogError::Unavailable(_))));
        f.memory_log.faults().clear();
        assert!(f.read_all().await.is_empty());
    }

    append_with_lost_reply_is_unknown_and_takes_effect(f) {
        f.memory_log.faults().lose_replies(Occurrence::Next(1), Duration::ZERO);
        assert!(matches!(f.append("a").await, Err(LogError::Unknown(_))));
        assert_eq!(f.append("b").await, Ok(1));
        assert_eq!(f.read_all().await, ["a", "b"]);
    }

    unreachable_client_fails_while_another_one_appends(f) {
        let other = HttpLog::new(settings_with_long_timeouts(f.server.address(), "two"));
        f.memory_log.faults().set_unreachable("two", true);
        let append = other.append("s", Arc::from("a")).await;
        assert!(matches!(append, Err(LogError::Unavailable(_))));
        assert_eq!(f.append("b").await, Ok(0));
    }

    record_above_the_size_limit_is_refused(f) {
        let text = "x".repeat(f.memory_log.settings().max_record_bytes + 1);
        assert!(f.append(&text).await.is_err());
        assert!(f.read_all().await.is_empty());
    }

    put_faults_sets_faults_and_rejects_unknown_fields(f) {
        let client = Client::new(1);
        let uri = format!("http://{}/v1/faults", f.server.address());
        f.append("a").await.expect("append");
        let faults = json!({
            "all": {"lost_replies": {"next": 1}, "slow_factor": 2.0},
            "clients": {"two": {"unreachable_ms": 10}},
            "cut": {"s": 1},
        });
        client.send_json(Method::PUT, &uri, &faults, LONG_TIMEOUT).await.expect("faults");
        assert!(matches!(f.append("b").await, Err(LogError::Unknown(_))));
        let read = f.log.read("s", 0, 1, Duration::ZERO).await;
        assert_eq!(read, Err(LogError::Truncated { first: 1 }));
        let bad = json!({"all": {"sluggish": true}});
        assert!(client.send_json(Method::PUT, &uri, &bad, LONG_TIMEOUT).await.is_err());
    }
}

#[tokio::test]
async fn append_that_times_out_is_unknown() {
    let f = Fixture::start(MemoryLogSettings::default()).await;
    f.memory_log
        .faults()
        .lose_replies(Occurrence::Next(1), LONG_TIMEOUT);
    let mut settings = settings_with_long_timeouts(f.server.address(), "one");
    settings.append_timeout = Duration::from_millis(200);
    let append = HttpLog::new(settings).append("s", Arc::from("a")).await;
    assert!(matches!(append, Err(LogError::Unknown(_))));
}

#[tokio::test]
async fn appends_above_the_burst_are_throttled() {
    let settings = MemoryLogSettings {
        appends_per_second: 1,
        burst: 3,
        append_latency: Duration::ZERO,
        ..MemoryLogSettings::default()
    };
    let f = Fixture::start(settings).await;
    let results = futures_util::future::join_all((0..20).map(|_| f.append("a"))).await;
    let accepted = results.iter().filter(|r| r.is_ok()).count();
    let throttled = |r: &&Result<Offset>| matches!(r, Err(LogError::Throttled { .. }));
    assert_eq!(accepted as u64, f.memory_log.append_count());
    assert!(accepted >= 3);
    assert_eq!(results.iter().filter(throttled).count(), 20 - accepted);
}

#[tokio::test]
async fn client_reconnects_after_a_restart_of_the_log() {
    let f = Fixture::start(MemoryLogSettings::default()).await;
    f.append("a").await.expect("append");
    let address = f.server.address();
    let reader = f.log.clone();
    let waiting = tokio::spawn(async move { reader.read("s", 1, 1, LONG_TIMEOUT).await });
    tokio::task::yield_now().await;
    f.server.close(Duration::ZERO).await;
    assert!(matches!(
        waiting.await.expect("join"),
        Err(LogError::Unavailable(_))
    ));
    let append = f.log.append("s", Arc::from("b")).await;
    assert!(matches!(
        append,
        Err(LogError::Unavailable(_) | LogError::Unknown(_))
    ));
    let listener = TcpListener::bind(address).await.expect("bind");
    let _server = Server::start(listener, LogHandler::new(f.memory_log.clone())).expect("start");
    // A pooled connection to the old server may fail first, without appending a record.
    let mut offset = Err(LogError::Unknown(String::new()));
    for _ in 0..10 {
        offset = f.log.append("s", Arc::from("c")).await;
        if offset.is_ok() {
            break;
        }
    }
    assert_eq!(offset, Ok(1));
}

#[tokio::test]
async fn canceled_calls_leave_no_connection() {
    let f = Fixture::start(MemoryLogSettings::default()).await;
    let relay = Relay::start(RelaySettings::new(f.server.address())).await;
    let relay = relay.expect("relay");
    let log = HttpLog::new(settings_with_long_timeouts(relay.address(), "one"));
    relay.faults().change(|all| all.freeze_to_client = true);
    for count in 1..=3 {
        tokio::select! {
            biased;
            append = log.append("s", Arc::from("a")) => panic!("reply not frozen: {append:?}"),
            () = wait_until(|| f.memory_log.append_count() == count) => {}
        }
        let open = relay.connections().len();
        tokio::select! {
            biased;
            read = log.read("s", 0, 1, Duration::ZERO) => panic!("reply not frozen: {read:?}"),
            () = wait_until(|| relay.connections().len() != open) => {}
        }
    }
    relay.faults().clear();
    wait_until(|| relay.connections().is_empty()).await;
    assert_eq!(f.memory_log.append_count(), 3);
    assert_eq!(log.append("s", Arc::from("b")).await, Ok(3));
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
