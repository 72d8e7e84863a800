//! Tests of the HTTP client of the log against the stand-in server, over loopback. They check
//! results and counts, never times.

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

/// Longer than any call of a test takes.
const LONG: Duration = Duration::from_secs(30);

struct Fixture {
    memory: MemoryLog,
    server: Server,
    log: HttpLog,
}

/// Creates settings of a client that waits as long as a busy machine may need.
fn patient(address: SocketAddr, client: &str) -> HttpLogSettings {
    HttpLogSettings {
        connect_timeout: LONG,
        append_timeout: LONG,
        read_timeout: LONG,
        ..HttpLogSettings::new(address.to_string(), Name::from(client))
    }
}

impl Fixture {
    async fn start(settings: MemoryLogSettings) -> Self {
        let memory = MemoryLog::new(settings);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let server = Server::start(listener, LogHandler::new(memory.clone())).expect("start");
        Self {
            memory,
            log: HttpLog::new(patient(server.address(), "one")),
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

/// Names test cases that get a running log.
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
    records_come_back_as_written(f) {
        let texts = ["{\"a\":1}", "ગુજરાત \"\\\n", ""];
        for (offset, text) in (0..).zip(texts) {
            assert_eq!(f.append(text).await, Ok(offset));
        }
        assert_eq!(f.read_all().await, texts);
        assert_eq!(f.log.bounds("s").await, Ok(Bounds { first: 0, next: 3 }));
    }

    streams_have_slashes_in_their_names(f) {
        let offset = f.log.append("partitions/perth", Arc::from("a")).await;
        assert_eq!(offset, Ok(0));
        let read = f.memory.read("partitions/perth", 0, 1, Duration::ZERO).await;
        assert_eq!(read.expect("read").records.len(), 1);
        let bounds = f.log.bounds("partitions").await;
        assert_eq!(bounds, Ok(Bounds { first: 0, next: 0 }));
    }

    waiting_read_ends_with_the_append(f) {
        let reader = f.log.clone();
        let read = tokio::spawn(async move { reader.read("s", 0, 1, LONG).await });
        tokio::task::yield_now().await;
        f.append("a").await.expect("append");
        assert_eq!(read.await.expect("join").expect("read").records.len(), 1);
    }

    cut_records_are_truncated(f) {
        for text in ["a", "b"] {
            f.append(text).await.expect("append");
        }
        f.memory.truncate("s", 1);
        let read = f.log.read("s", 0, 1, Duration::ZERO).await;
        assert_eq!(read, Err(LogError::Truncated { first: 1 }));
    }

    down_is_unavailable_without_effect(f) {
        f.memory.faults().set_down(true);
        assert!(matches!(f.append("a").await, Err(LogError::Unavailable(_))));
        assert!(matches!(f.log.bounds("s").await, Err(LogError::Unavailable(_))));
        f.memory.faults().clear();
        assert!(f.read_all().await.is_empty());
    }

    lost_reply_is_unknown_with_effect(f) {
        f.memory.faults().lose_replies(Occurrence::Next(1), Duration::ZERO);
        assert!(matches!(f.append("a").await, Err(LogError::Unknown(_))));
        assert_eq!(f.append("b").await, Ok(1));
        assert_eq!(f.read_all().await, ["a", "b"]);
    }

    one_client_is_cut_off(f) {
        let other = HttpLog::new(patient(f.server.address(), "two"));
        f.memory.faults().set_unreachable("two", true);
        let append = other.append("s", Arc::from("a")).await;
        assert!(matches!(append, Err(LogError::Unavailable(_))));
        assert_eq!(f.append("b").await, Ok(0));
    }

    long_record_is_refused(f) {
        let text = "x".repeat(f.memory.settings().max_record_bytes + 1);
        assert!(f.append(&text).await.is_err());
        assert!(f.read_all().await.is_empty());
    }

    faults_are_set_over_http(f) {
        let client = Client::new(1);
        let uri = format!("http://{}/v1/faults", f.server.address());
        f.append("a").await.expect("append");
        let faults = json!({
            "all": {"lost_replies": {"next": 1}, "slow_factor": 2.0},
            "clients": {"two": {"unreachable_ms": 10}},
            "cut": {"s": 1},
        });
        client.send_json(Method::PUT, &uri, &faults, LONG).await.expect("faults");
        assert!(matches!(f.append("b").await, Err(LogError::Unknown(_))));
        let read = f.log.read("s", 0, 1, Duration::ZERO).await;
        assert_eq!(read, Err(LogError::Truncated { first: 1 }));
        let bad = json!({"all": {"sluggish": true}});
        assert!(client.send_json(Method::PUT, &uri, &bad, LONG).await.is_err());
    }
}

#[tokio::test]
async fn append_that_hangs_is_unknown() {
    let f = Fixture::start(MemoryLogSettings::default()).await;
    f.memory.faults().lose_replies(Occurrence::Next(1), LONG);
    let mut settings = patient(f.server.address(), "one");
    settings.append_timeout = Duration::from_millis(200);
    let append = HttpLog::new(settings).append("s", Arc::from("a")).await;
    assert!(matches!(append, Err(LogError::Unknown(_))));
}

#[tokio::test]
async fn appends_over_the_rate_are_throttled() {
    let settings = MemoryLogSettings {
        appends_per_second: 1,
        burst: 3,
        append_latency: Duration::ZERO,
        ..MemoryLogSettings::default()
    };
    let f = Fixture::start(settings).await;
    let results = futures_util::future::join_all((0..20).map(|_| f.append("a"))).await;
    let taken = results.iter().filter(|r| r.is_ok()).count();
    let throttled = |r: &&Result<Offset>| matches!(r, Err(LogError::Throttled { .. }));
    assert_eq!(taken as u64, f.memory.append_count());
    assert!(taken >= 3);
    assert_eq!(results.iter().filter(throttled).count(), 20 - taken);
}

#[tokio::test]
async fn log_that_dies_and_returns_is_found_again() {
    let f = Fixture::start(MemoryLogSettings::default()).await;
    f.append("a").await.expect("append");
    let address = f.server.address();
    let reader = f.log.clone();
    let waiting = tokio::spawn(async move { reader.read("s", 1, 1, LONG).await });
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
    let _server = Server::start(listener, LogHandler::new(f.memory.clone())).expect("start");
    // A connection from before may fail once more, without effect at a server that is gone.
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
async fn calls_that_are_given_up_leave_no_connection() {
    let f = Fixture::start(MemoryLogSettings::default()).await;
    let relay = Relay::start(RelaySettings::new(f.server.address())).await;
    let relay = relay.expect("relay");
    let log = HttpLog::new(patient(relay.address(), "one"));
    relay.faults().change(|all| all.freeze_to_client = true);
    for count in 1..=3 {
        tokio::select! {
            biased;
            append = log.append("s", Arc::from("a")) => panic!("reply came through: {append:?}"),
            () = until(|| f.memory.append_count() == count) => {}
        }
        let open = relay.connections().len();
        tokio::select! {
            biased;
            read = log.read("s", 0, 1, Duration::ZERO) => panic!("reply came through: {read:?}"),
            () = until(|| relay.connections().len() != open) => {}
        }
    }
    relay.faults().clear();
    until(|| relay.connections().is_empty()).await;
    assert_eq!(f.memory.append_count(), 3);
    assert_eq!(log.append("s", Arc::from("b")).await, Ok(3));
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
