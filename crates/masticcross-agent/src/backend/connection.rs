//! Pool of connections to backend servers, kept open between tasks.
//!
//! The connection is established before the last check of a start, so that the request is sent
//! directly after the check.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use masticcross_basics::Name;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Announcement;

/// Longest wait for a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of a connection attempt.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The connection was not established in time.
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    Timeout,
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The HTTP connection failed during its setup.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// Error of a request that got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(hyper::Error),
    /// The request was sent, at least in part.
    #[error("broke off: {0}")]
    Broken(hyper::Error),
}

/// Result of a connection attempt.
pub type Result<T> = std::result::Result<T, ConnectError>;

/// A connection that is ready for a request.
pub struct Connection {
    url: Name,
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// Fails with [`SendError::NotSent`] if nothing of the request was sent, and with
    /// [`SendError::Broken`] if it was sent at least in part.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(req).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent(error.into_error()),
            None => SendError::Broken(error.into_error()),
        })
    }
}

/// Idle connections, by URL of the backend server.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<BTreeMap<Name, Vec<Connection>>>>,
}

impl Pool {
    /// Takes an idle connection, or opens one.
    ///
    /// # Errors
    /// Fails if no connection can be established in time.
    pub async fn checkout(&self, backend: &Announcement) -> Result<Connection> {
        while let Some(mut connection) = self.take_idle(&backend.url) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        timeout(CONNECT_TIMEOUT, open(backend))
            .await
            .map_err(|_| ConnectError::Timeout)?
    }

    /// Returns a connection to the pool, unless it is closed or the pool already has as many idle
    /// connections as the backend server accepts. Also drops closed connections from the pool.
    pub fn checkin(&self, connection: Connection, backend: &Announcement) {
        let mut idle = self.idle.lock();
        for connections in idle.values_mut() {
            connections.retain(|c| !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
        let connections = idle.entry(connection.url.clone()).or_default();
        if connections.len() < usize::from(backend.connections) && !connection.sender.is_closed() {
            connections.push(connection);
        }
    }

    fn take_idle(&self, url: &Name) -> Option<Connection> {
        self.idle.lock().get_mut(url)?.pop()
    }
}

async fn open(backend: &Announcement) -> Result<Connection> {
    let stream = TcpStream::connect(backend.authority()).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:%; "connection to a backend server failed");
        }
    });
    sender.ready().await?;
    Ok(Connection {
        url: backend.url.clone(),
        sender,
    })
}
