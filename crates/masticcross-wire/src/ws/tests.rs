//! Tests of links over sockets: limits of a message, result codes at close, and a peer that does
//! not read.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use masticcross_basics::{AttemptId, Code, Epoch, JobKey};
use tokio::io::DuplexStream;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::Role;

use super::pump::WRITE_TIMEOUT;
use super::{SharedSecret, WsDialer, pump, serve, ws_config};
use crate::codec;
use crate::frame::{Frame, TaskEnded, TaskOutcome};
use crate::link::{Dialer, Link, LinkError};

/// Size of a large task result, as a job of 1 MB may have it.
const LARGE_RESULT_BYTES: usize = 1_000_000;

/// Connects a link to a plain `WebSocket` through a pipe with a buffer of the given size.
async fn link_to_socket(buffer: usize) -> (Link, WebSocketStream<DuplexStream>) {
    let (local, remote) = tokio::io::duplex(buffer);
    let config = Some(ws_config());
    let local = WebSocketStream::from_raw_socket(local, Role::Client, config).await;
    let remote = WebSocketStream::from_raw_socket(remote, Role::Server, config).await;
    (pump::spawn(local), remote)
}

fn ended_frame(seq: u64, bytes: usize) -> Frame {
    Frame::Ended(TaskEnded {
        key: JobKey::new("s", "j").expect("valid names"),
        index: 0,
        attempt: AttemptId {
            epoch: Epoch(1),
            seq,
        },
        outcome: TaskOutcome::Done("x".repeat(bytes).into()),
        run_us: 0,
        timestamp: masticcross_basics::timeline::Timestamp::default(),
    })
}

async fn next_batch(socket: &mut WebSocketStream<DuplexStream>) -> Option<(usize, Vec<Frame>)> {
    match socket.next().await? {
        Ok(Message::Binary(bytes)) => {
            let frames = codec::decode(&bytes).expect("a batch of frames");
            Some((bytes.len(), frames))
        }
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn large_frames_are_sent_in_messages_of_bounded_size() {
    let (link, mut socket) = link_to_socket(64 * 1024).await;
    for seq in 0..40 {
        link.tx
            .try_send(ended_frame(seq, LARGE_RESULT_BYTES))
            .expect("the queue has space");
    }
    drop(link);
    let mut seen = Vec::new();
    while let Some((bytes, frames)) = next_batch(&mut socket).await {
        assert!(bytes <= 2 * LARGE_RESULT_BYTES + 1_024 * 1_024);
        seen.extend(frames);
    }
    let sent: Vec<Frame> = (0..40)
        .map(|seq| ended_frame(seq, LARGE_RESULT_BYTES))
        .collect();
    assert_eq!(seen, sent);
}

#[tokio::test(start_paused = true)]
async fn small_queued_frames_are_sent_in_one_message() {
    let (link, mut socket) = link_to_socket(64 * 1024).await;
    for seq in 0..64 {
        link.tx
            .try_send(ended_frame(seq, 10))
            .expect("the queue has space");
    }
    let (_, frames) = next_batch(&mut socket).await.expect("a message");
    assert_eq!(frames.len(), 64);
}

#[tokio::test(start_paused = true)]
async fn session_closes_when_the_peer_does_not_read() {
    let (mut link, _socket) = link_to_socket(1_024).await;
    link.tx
        .try_send(ended_frame(1, LARGE_RESULT_BYTES))
        .expect("the queue has space");
    let closed = timeout(WRITE_TIMEOUT * 3, link.rx.recv()).await;
    assert_eq!(closed, Ok(None));
    assert!(link.tx.is_closed());
}

macro_rules! malformed {
    ($($name:ident: $message:expr;)*) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            let (mut link, mut socket) = link_to_socket(64 * 1024).await;
            socket.send($message).await.expect("the socket is open");
            assert_eq!(link.rx.recv().await, None);
            let (_, frames) = next_batch(&mut socket).await.expect("a last frame");
            let Frame::Goodbye(goodbye) = &frames[0] else {
                panic!("expected a goodbye, got {frames:?}");
            };
            assert_eq!(goodbye.code, Code::MalformedFrame);
        })*
    };
}

malformed! {
    bytes_that_are_not_frames_close_the_session: Message::binary(vec![0x81_u8, 0x00]);
    an_unknown_frame_closes_the_session: Message::binary(b"\x81\x67Unknown".to_vec());
    trailing_bytes_close_the_session: Message::binary(vec![0x80_u8, 0x80]);
    a_text_message_closes_the_session: Message::text("[]");
}

#[tokio::test]
async fn dialing_with_a_wrong_secret_fails_with_code_unauthorized() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (tx, mut links) = mpsc::channel(1);
    tokio::spawn(serve(listener, SharedSecret::new("right"), tx));
    let rejected = WsDialer::new(SharedSecret::new("wrong")).dial(addr).await;
    let code = match rejected {
        Err(LinkError::Closed { code, .. }) => Some(code),
        _ => None,
    };
    assert_eq!(code, Some(Code::Unauthorized));
    let local = WsDialer::new(SharedSecret::new("right")).dial(addr).await;
    let local = local.expect("the secret is right");
    let mut remote = links.recv().await.expect("a session");
    local.tx.send(Frame::Drain).await.expect("the link is open");
    assert_eq!(remote.rx.recv().await, Some(Frame::Drain));
    drop(local);
    let ended = timeout(Duration::from_secs(5), remote.rx.recv()).await;
    assert_eq!(ended, Ok(None));
}
