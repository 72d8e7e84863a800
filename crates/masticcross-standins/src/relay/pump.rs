//! Carries the bytes of one direction of a connection.

use std::io::Result;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::faults::{ConnectionFaults, Direction};

/// Size of the pieces in which bytes are carried.
const CHUNK_BYTES: usize = 16 * 1024;

/// Pieces that wait in the relay before it reads no further.
const MAX_CHUNKS: usize = 64;

/// A piece of the stream, and when it may go on.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Carries bytes from a reader to a writer until the reader ends, with the faults of a direction.
///
/// # Errors
/// Fails if the reader or the writer does.
pub async fn pump(
    reader: impl AsyncRead + Unpin,
    writer: impl AsyncWrite + Unpin,
    direction: Direction,
    faults: ConnectionFaults,
    written: &AtomicU64,
) -> Result<()> {
    let (tx, rx) = mpsc::channel(MAX_CHUNKS);
    tokio::try_join!(
        read(reader, tx, faults.clone()),
        write(rx, writer, direction, faults, written),
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
            due: Instant::now() + faults.now().delay(),
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
    written: &AtomicU64,
) -> Result<()> {
    while let Some(chunk) = rx.recv().await {
        sleep_until(chunk.due).await;
        faults.until_flowing(direction).await;
        writer.write_all(&chunk.bytes).await?;
        written.fetch_add(chunk.bytes.len() as u64, Ordering::Relaxed);
    }
    faults.until_flowing(direction).await;
    writer.shutdown().await
}
