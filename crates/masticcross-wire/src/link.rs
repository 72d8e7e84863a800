//! Interface between a process and its peers: bounded queues of frames.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_basics::Code;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::frame::Frame;

/// Capacity of the queue of frames in each direction of a session. If the queue of frames to send
/// is full, the sending process closes the session. Between entries, replies wait for space and
/// requests fail, and the session closes once a heartbeat or its answer cannot be queued. If the
/// queue of received frames is full, the process stops reading from the `WebSocket` until there is
/// space.
pub const QUEUE_FRAMES: usize = 16 * 1024;

/// Time limit for connecting and for the exchange of [`crate::Hello`].
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a link could not be established, or was closed.
#[derive(Debug, Clone, Error)]
pub enum LinkError {
    /// The connection could not be established.
    #[error("cannot connect to {addr}: {reason}")]
    Connect {
        /// Address of the other process.
        addr: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The other process closed the session with a result code.
    #[error("closed with code {}: {detail}", code.number())]
    Closed {
        /// Result code.
        code: Code,
        /// Description for people.
        detail: String,
    },
}

/// Result of dialing.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Both directions of a session. Dropping the link closes the session.
#[derive(Debug)]
pub struct Link {
    /// Frames to the other process, in order.
    pub tx: mpsc::Sender<Frame>,
    /// Frames from the other process, in order. Ends when the session is closed.
    pub rx: mpsc::Receiver<Frame>,
}

impl Link {
    /// Creates two links that are connected to each other.
    #[must_use]
    pub fn pair() -> (Self, Self) {
        let (left_tx, right_rx) = mpsc::channel(QUEUE_FRAMES);
        let (right_tx, left_rx) = mpsc::channel(QUEUE_FRAMES);
        let left = Self {
            tx: left_tx,
            rx: left_rx,
        };
        let right = Self {
            tx: right_tx,
            rx: right_rx,
        };
        (left, right)
    }
}

/// Opens links to other processes.
pub trait Dialer: Send + Sync + 'static {
    /// Connects to a process. The caller sends [`Frame::Hello`] first.
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, Result<Link>>;
}
