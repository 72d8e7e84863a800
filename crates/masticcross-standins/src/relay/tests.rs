//! Tests of the relay: forwarding over loopback without timing checks, and delays with paused time.

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

/// Timeout that no call of a test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

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

    /// Connects through the relay and returns both endpoints.
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

/// Returns true if the peer closed the connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 1]).await, Ok(0) | Err(_))
}

/// Defines test cases that get a running relay.
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
    bytes_and_end_of_stream_are_relayed_both_ways(f) {
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

    frozen_direction_is_held_back_until_cleared(f) {
        let (mut client, mut target) = f.connect().await;
        f.relay.faults().change(|all| all.freeze_to_target = true);
        send(&mut client, "ping").await;
        send(&mut target, "pong").await;
        receive(&mut client, "pong").await;
        assert_eq!(f.relay.connections()[0].to_target, 0);
        f.relay.faults().clear();
        receive(&mut target, "ping").await;
    }

    cut_of_one_connection_leaves_the_other_open(f) {
        let (mut first, _first_target) = f.connect().await;
        let (mut second, mut second_target) = f.connect().await;
        f.relay.faults().change_for(1, |faults| faults.cut = true);
        assert!(is_closed(&mut first).await);
        send(&mut second, "ping").await;
        receive(&mut second_target, "ping").await;
        let ids: Vec<u64> = f.relay.connections().iter().map(|c| c.id).collect();
        assert_eq!(ids, [2]);
    }

    put_faults_sets_faults_and_rejects_unknown_fields(f) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let control = Server::start(listener, RelayHandler::new(&f.relay)).expect("control");
        let (client, uri) = (Client::new(1), format!("http://{}/v1", control.address()));
        let (mut client_stream, _target) = f.connect().await;
        let listed: Vec<OpenConnection> = client
            .get_json(&format!("{uri}/connections"), LONG_TIMEOUT)
            .await
            .expect("connections");
        assert_eq!(listed.len(), 1);
        let faults = json!({"connections": {"1": {"cut": true, "delay_ms": 5}}});
        let faults_uri = format!("{uri}/faults");
        client.send_json(Method::PUT, &faults_uri, &faults, LONG_TIMEOUT).await.expect("faults");
        assert!(is_closed(&mut client_stream).await);
        let bad = json!({"all": {"melt": true}});
        assert!(client.send_json(Method::PUT, &faults_uri, &bad, LONG_TIMEOUT).await.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn delay_applies_once_and_keeps_the_order() {
    let faults = RelayFaults::default();
    faults.change(|all| all.delay_ms = 100);
    let (mut client, client_side) = duplex(1024);
    let (target_side, mut target) = duplex(1024);
    let written_bytes = AtomicU64::new(0);
    let start = Instant::now();
    let relay = forward::forward(
        client_side,
        target_side,
        Direction::ToTarget,
        faults.for_connection(1),
        &written_bytes,
    );
    let endpoints = async {
        for text in ["a", "b"] {
            client.write_all(text.as_bytes()).await.expect("write");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        drop(client);
        let mut received = String::new();
        target.read_to_string(&mut received).await.expect("read");
        assert_eq!(received, "ab");
        assert_eq!(start.elapsed(), Duration::from_millis(110));
    };
    let (relayed, ()) = tokio::join!(relay, endpoints);
    relayed.expect("relay");
}

#[tokio::test(start_paused = true)]
async fn connections_share_the_bandwidth_of_a_direction() {
    let faults = RelayFaults::default();
    faults.change(|all| all.bytes_per_s = 1_000);
    let start = Instant::now();
    let relay_one = async |connection: u64| {
        let written_bytes = AtomicU64::new(0);
        let (mut target_side, mut target) = duplex(1024);
        let bytes: &[u8] = &[7; 100];
        let faults = faults.for_connection(connection);
        let relay = forward::forward(
            bytes,
            &mut target_side,
            Direction::ToTarget,
            faults,
            &written_bytes,
        );
        relay.await.expect("relay");
        drop(target_side);
        let mut received = Vec::new();
        target.read_to_end(&mut received).await.expect("read");
        assert_eq!(received, bytes);
    };
    tokio::join!(relay_one(1), relay_one(2));
    assert_eq!(start.elapsed(), Duration::from_millis(200));
}
