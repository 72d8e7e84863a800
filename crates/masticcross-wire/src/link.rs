//! The edge of a process towards other processes: bounded queues of frames.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_basics::Code;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::frame::Frame;

/// Frames that wait in one direction of a session before the session closes.
pub const QUEUE_FRAMES: usize = 16 * 1024;

/// Longest wait for a connection and the exchange of [`crate::Hello`].
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a link could not be made or broke.
#[derive(Debug, Clone, Error)]
pub enum LinkError {
    /// No connection.
    #[error("cannot connect to {addr}: {reason}")]
    Connect {
        /// Address dialled.
        addr: SocketAddr,
        /// Reason from the system.
        reason: String,
    },
    /// The other process closed with a code.
    #[error("closed with code {}: {detail}", code.number())]
    Closed {
        /// Result code.
        code: Code,
        /// A sentence for people.
        detail: String,
    },
}

/// Result of a dial.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Both directions of a session. Dropping it closes the session.
#[derive(Debug)]
pub struct Link {
    /// Frames to the other process, in order.
    pub tx: mpsc::Sender<Frame>,
    /// Frames from the other process, in order. Ends when the session is closed.
    pub rx: mpsc::Receiver<Frame>,
}

impl Link {
    /// Creates two ends that are connected directly.
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

/// Makes links to other processes.
pub trait Dialer: Send + Sync + 'static {
    /// Connects to a process. The caller sends [`Frame::Hello`] first.
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, Result<Link>>;
}
