//! Moves frames between the queues of a link and a `WebSocket`.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use masticcross_basics::Code;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::codec;
use crate::frame::{Frame, Goodbye};
use crate::link::{Link, QUEUE_FRAMES};

/// Most frames in one message.
const MAX_FRAMES_PER_MESSAGE: usize = 512;

/// Size from which a message gets no further frame, in bytes.
const MESSAGE_BYTES: usize = 1024 * 1024;

/// Longest wait for the other process to take a message.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the two tasks that move frames between the queues of a link and the socket.
pub fn spawn<S>(ws: WebSocketStream<S>) -> Link
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (out_tx, out_rx) = mpsc::channel(QUEUE_FRAMES);
    let (in_tx, in_rx) = mpsc::channel(QUEUE_FRAMES);
    let (sink, stream) = ws.split();
    let reader = tokio::spawn(read_frames(stream, in_tx, out_tx.downgrade()));
    tokio::spawn(async move {
        write_frames(sink, out_rx).await;
        reader.abort();
    });
    Link {
        tx: out_tx,
        rx: in_rx,
    }
}

async fn write_frames<S>(
    mut sink: SplitSink<WebSocketStream<S>, Message>,
    mut frames: mpsc::Receiver<Frame>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut batch = Vec::new();
    while collect(&mut frames, &mut batch).await {
        let encoded = match codec::encode(&batch) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!(error:%; "session closed for a frame that cannot be sent");
                break;
            }
        };
        batch.clear();
        if !write(&mut sink, encoded).await {
            break;
        }
    }
    // The socket closes at the latest when it is dropped.
    let _ = timeout(WRITE_TIMEOUT, sink.close()).await;
}

/// Collects the frames that wait, within the limits of a message. Returns false at the end.
async fn collect(frames: &mut mpsc::Receiver<Frame>, batch: &mut Vec<Frame>) -> bool {
    let Some(first) = frames.recv().await else {
        return false;
    };
    let mut bytes = codec::estimated_bytes(&first);
    batch.push(first);
    while batch.len() < MAX_FRAMES_PER_MESSAGE && bytes < MESSAGE_BYTES {
        let Ok(frame) = frames.try_recv() else {
            break;
        };
        bytes += codec::estimated_bytes(&frame);
        batch.push(frame);
    }
    true
}

/// Writes a message. Returns false if the socket broke or the other process does not read.
async fn write<S>(sink: &mut SplitSink<WebSocketStream<S>, Message>, encoded: Bytes) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let Ok(sent) = timeout(WRITE_TIMEOUT, sink.send(Message::Binary(encoded))).await else {
        let code = Code::SlowReader.number();
        log::warn!(code; "session closed, as the other process does not read");
        return false;
    };
    sent.is_ok()
}

async fn read_frames<S>(
    mut stream: SplitStream<WebSocketStream<S>>,
    frames: mpsc::Sender<Frame>,
    reply: mpsc::WeakSender<Frame>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    while let Some(Ok(message)) = stream.next().await {
        let decoded = match message {
            Message::Binary(bytes) => codec::decode(&bytes).map_err(|e| e.to_string()),
            Message::Text(_) => Err("a text message is no batch of frames".to_owned()),
            _ => continue,
        };
        let batch = match decoded {
            Ok(batch) => batch,
            Err(error) => {
                log::warn!(error:%; "session closed for a malformed frame");
                send_goodbye(&reply, error);
                return;
            }
        };
        for frame in batch {
            if frames.send(frame).await.is_err() {
                return;
            }
        }
    }
}

fn send_goodbye(reply: &mpsc::WeakSender<Frame>, detail: String) {
    let goodbye = Frame::Goodbye(Goodbye {
        code: Code::MalformedFrame,
        detail,
    });
    if let Some(tx) = reply.upgrade() {
        // A full queue means that the other process does not read anyhow.
        let _ = tx.try_send(goodbye);
    }
}
