//! Forwards the bytes of one direction of a connection.

use std::io::Result;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::faults::{ConnectionFaults, Direction};

/// Maximum number of bytes read and forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of buffered chunks; at this limit the relay stops reading.
const MAX_CHUNKS: usize = 64;

/// Bytes read from the stream, and the earliest time to write them.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Copies bytes from a reader to a writer until the reader ends, and applies the faults of the
/// direction.
///
/// # Errors
/// Fails if the reader or the writer fails.
pub async fn forward(
    reader: impl AsyncRead + Unpin,
    writer: impl AsyncWrite + Unpin,
    direction: Direction,
    faults: ConnectionFaults,
    written_bytes: &AtomicU64,
) -> Result<()> {
    let (tx, rx) = mpsc::channel(MAX_CHUNKS);
    tokio::try_join!(
        read(reader, tx, faults.clone()),
        write(rx, writer, direction, faults, written_bytes),
    )?;
    Ok(())
}

async fn read(
    mut reader: impl AsyncRead + Unpin,
    tx: mpsc::Sender<Chunk>,
    faults: ConnectionFaults,
) -> Result<()> {
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        if reader.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
        let chunk = Chunk {
            due: Instant::now() + faults.current().delay(),
            bytes: buf.freeze(),
        };
        if tx.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    mut rx: mpsc::Receiver<Chunk>,
    mut writer: impl AsyncWrite + Unpin,
    direction: Direction,
    mut faults: ConnectionFaults,
    written_bytes: &AtomicU64,
) -> Result<()> {
    while let Some(chunk) = rx.recv().await {
        sleep_until(chunk.due).await;
        faults.wait_until_unfrozen(direction).await;
        faults.transmit(direction, chunk.bytes.len()).await;
        writer.write_all(&chunk.bytes).await?;
        written_bytes.fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
    }
    faults.wait_until_unfrozen(direction).await;
    writer.shutdown().await
}
