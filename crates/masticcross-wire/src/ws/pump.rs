//! Transfers frames between the queues of a link and a `WebSocket`.

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

/// Maximum number of frames in one message.
const MAX_FRAMES_PER_MESSAGE: usize = 512;

/// Estimated size from which no further frame is added to a message, in bytes.
const FULL_MESSAGE_BYTES: usize = 1024 * 1024;

/// Time limit for writing a message to the socket.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Spawns the two tasks that transfer frames between the queues of a link and the socket.
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
    while collect_batch(&mut frames, &mut batch).await {
        let encoded = match codec::encode(&batch) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!(error:%; "session closed: frames cannot be encoded");
                break;
            }
        };
        batch.clear();
        if !write_message(&mut sink, encoded).await {
            break;
        }
    }
    // After the time limit, dropping the socket closes it.
    let _ = timeout(WRITE_TIMEOUT, sink.close()).await;
}

/// Waits for a frame and collects all queued frames, up to the limits of a message. Returns false
/// when the queue is closed.
async fn collect_batch(frames: &mut mpsc::Receiver<Frame>, batch: &mut Vec<Frame>) -> bool {
    let Some(first) = frames.recv().await else {
        return false;
    };
    let mut bytes = codec::estimated_bytes(&first);
    batch.push(first);
    while batch.len() < MAX_FRAMES_PER_MESSAGE && bytes < FULL_MESSAGE_BYTES {
        let Ok(frame) = frames.try_recv() else {
            break;
        };
        bytes += codec::estimated_bytes(&frame);
        batch.push(frame);
    }
    true
}

/// Writes a message. Returns false if the socket failed or the other process does not read.
async fn write_message<S>(sink: &mut SplitSink<WebSocketStream<S>, Message>, encoded: Bytes) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let Ok(sent) = timeout(WRITE_TIMEOUT, sink.send(Message::Binary(encoded))).await else {
        let code = Code::SlowReader.number();
        log::warn!(code; "session closed: peer does not read");
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
                log::warn!(error:%; "session closed: malformed frame");
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
        // If the queue is full, the other process does not read and would not receive the frame.
        let _ = tx.try_send(goodbye);
    }
}
