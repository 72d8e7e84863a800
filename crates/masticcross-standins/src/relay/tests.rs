//! Tests of the relay: bytes over loopback without times, and times on a paused clock.

use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::faults::Direction;
use super::*;
use crate::http::client::Client;
use crate::http::server::Server;

/// Longer than any call of a test takes.
const LONG: Duration = Duration::from_secs(30);

struct Fixture {
    relay: Relay,
    target: TcpListener,
}

impl Fixture {
    async fn start() -> Self {
        let target = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = target.local_addr().expect("address");
        let relay = Relay::start(RelaySettings::new(address)).await;
        Self {
            relay: relay.expect("relay"),
            target,
        }
    }

    /// Connects through the relay and returns both ends.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let client = TcpStream::connect(self.relay.address()).await;
        let (target, _) = self.target.accept().await.expect("accept");
        (client.expect("connect"), target)
    }
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("write");
}

async fn receive(stream: &mut TcpStream, text: &str) {
    let mut buf = vec![0; text.len()];
    stream.read_exact(&mut buf).await.expect("read");
    assert_eq!(buf, text.as_bytes());
}

/// Returns true if the other end closed the connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 1]).await, Ok(0) | Err(_))
}

/// Names test cases that get a running relay.
macro_rules! cases {
    ($($name:ident($fixture:ident) $body:block)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let $fixture = Fixture::start().await;
                $body
            }
        )*
    };
}

cases! {
    bytes_and_ends_are_carried(f) {
        let (mut client, mut target) = f.connect().await;
        send(&mut client, "ping").await;
        receive(&mut target, "ping").await;
        client.shutdown().await.expect("shutdown");
        assert!(is_closed(&mut target).await);
        send(&mut target, "pong").await;
        receive(&mut client, "pong").await;
        drop(target);
        assert!(is_closed(&mut client).await);
    }

    cut_closes_open_and_new_connections(f) {
        let (mut client, mut target) = f.connect().await;
        f.relay.faults().change(|all| all.cut = true);
        assert!(is_closed(&mut client).await && is_closed(&mut target).await);
        let mut new = TcpStream::connect(f.relay.address()).await.expect("connect");
        assert!(is_closed(&mut new).await);
        f.relay.faults().clear();
        let (mut client, mut target) = f.connect().await;
        send(&mut client, "ping").await;
        receive(&mut target, "ping").await;
    }

    one_direction_is_frozen(f) {
        let (mut client, mut target) = f.connect().await;
        f.relay.faults().change(|all| all.freeze_to_target = true);
        send(&mut client, "ping").await;
        send(&mut target, "pong").await;
        receive(&mut client, "pong").await;
        assert_eq!(f.relay.connections()[0].to_target, 0);
        f.relay.faults().clear();
        receive(&mut target, "ping").await;
    }

    one_connection_is_cut(f) {
        let (mut first, _first_target) = f.connect().await;
        let (mut second, mut second_target) = f.connect().await;
        f.relay.faults().change_for(1, |one| one.cut = true);
        assert!(is_closed(&mut first).await);
        send(&mut second, "ping").await;
        receive(&mut second_target, "ping").await;
        let ids: Vec<u64> = f.relay.connections().iter().map(|c| c.id).collect();
        assert_eq!(ids, [2]);
    }

    faults_are_set_over_http(f) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let control = Server::start(listener, RelayHandler::new(&f.relay)).expect("control");
        let (client, uri) = (Client::new(1), format!("http://{}/v1", control.address()));
        let (mut end, _target) = f.connect().await;
        let listed: Vec<OpenConnection> = client
            .get_json(&format!("{uri}/connections"), LONG)
            .await
            .expect("connections");
        assert_eq!(listed.len(), 1);
        let faults = json!({"connections": {"1": {"cut": true, "delay_ms": 5}}});
        let faults_uri = format!("{uri}/faults");
        client.send_json(Method::PUT, &faults_uri, &faults, LONG).await.expect("faults");
        assert!(is_closed(&mut end).await);
        let bad = json!({"all": {"melt": true}});
        assert!(client.send_json(Method::PUT, &faults_uri, &bad, LONG).await.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn delay_keeps_order_and_adds_up_once() {
    let faults = RelayFaults::default();
    faults.change(|all| all.delay_ms = 100);
    let (mut near, near_relay) = duplex(1024);
    let (far_relay, mut far) = duplex(1024);
    let written = AtomicU64::new(0);
    let start = Instant::now();
    let relay = pump::pump(
        near_relay,
        far_relay,
        Direction::ToTarget,
        faults.of(1),
        &written,
    );
    let ends = async {
        for text in ["a", "b"] {
            near.write_all(text.as_bytes()).await.expect("write");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        drop(near);
        let mut received = String::new();
        far.read_to_string(&mut received).await.expect("read");
        assert_eq!(received, "ab");
        assert_eq!(start.elapsed(), Duration::from_millis(110));
    };
    let (relayed, ()) = tokio::join!(relay, ends);
    relayed.expect("relay");
}
