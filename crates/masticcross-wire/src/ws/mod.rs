//! Links over `WebSockets`. Queued frames are sent together in one message, up to its limits.

mod pump;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_basics::Code;
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::header::AUTHORIZATION;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, handshake};

use crate::codec;
use crate::link::{CONNECT_TIMEOUT, Dialer, Link, LinkError, Result};

/// Maximum number of concurrent handshakes.
const MAX_HANDSHAKES: usize = 256;

/// Delay after a failed accept. Without it, the accept loop would spin when file descriptors run
/// out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Secret shared by all processes of an installation. `Debug` output does not show it.
#[derive(Clone)]
pub struct SharedSecret(Arc<str>);

impl SharedSecret {
    /// Creates a secret from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }

    fn matches(&self, header: &[u8]) -> bool {
        self.header().as_bytes().ct_eq(header).into()
    }
}

impl std::fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedSecret(..)")
    }
}

/// Dials other processes over `WebSockets`.
#[derive(Debug, Clone)]
pub struct WsDialer {
    secret: SharedSecret,
    connect_timeout: Duration,
}

impl WsDialer {
    /// Creates a dialer that authenticates with a secret.
    #[must_use]
    pub fn new(secret: SharedSecret) -> Self {
        Self {
            secret,
            connect_timeout: CONNECT_TIMEOUT,
        }
    }

    /// Sets the time limit for the TCP connection, without the handshake.
    #[must_use]
    pub fn connect_timeout(mut self, limit: Duration) -> Self {
        self.connect_timeout = limit;
        self
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Link> {
        let failed = |reason: String| LinkError::Connect { addr, reason };
        let stream = timeout(self.connect_timeout, TcpStream::connect(addr))
            .await
            .map_err(|_| failed("connection timed out".to_owned()))?
            .map_err(|e| failed(e.to_string()))?;
        // A failure only makes frames slower.
        let _ = stream.set_nodelay(true);
        let req = self.request(addr).map_err(failed)?;
        let upgraded =
            tokio_tungstenite::client_async_with_config(req, stream, Some(ws_config())).await;
        match upgraded {
            Ok((ws, _)) => Ok(pump::spawn(ws)),
            Err(Error::Http(resp)) if resp.status() == http::StatusCode::UNAUTHORIZED => {
                Err(LinkError::Closed {
                    code: Code::Unauthorized,
                    detail: format!("{addr} rejected the shared secret"),
                })
            }
            Err(error) => Err(failed(error.to_string())),
        }
    }

    fn request(&self, addr: SocketAddr) -> std::result::Result<handshake::client::Request, String> {
        let mut req = format!("ws://{addr}/session")
            .into_client_request()
            .map_err(|e| e.to_string())?;
        let header = self.secret.header().parse();
        let header = header.map_err(|_| "the secret is not a valid header value".to_owned())?;
        req.headers_mut().insert(AUTHORIZATION, header);
        Ok(req)
    }
}

impl Dialer for WsDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, Result<Link>> {
        Box::pin(async move {
            let connected = timeout(CONNECT_TIMEOUT, self.connect(addr)).await;
            connected.unwrap_or_else(|_| {
                let reason = "timed out".to_owned();
                Err(LinkError::Connect { addr, reason })
            })
        })
    }
}

/// Accepts sessions and sends their links to `links`, until its receiver is dropped.
pub async fn serve(listener: TcpListener, secret: SharedSecret, links: mpsc::Sender<Link>) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let accepted = tokio::select! {
            biased;
            () = links.closed() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, addr) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "cannot accept a connection");
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        let Ok(permit) = handshakes.clone().acquire_owned().await else {
            return;
        };
        let (secret, links) = (secret.clone(), links.clone());
        tokio::spawn(async move {
            accept(stream, addr, secret, links).await;
            drop(permit);
        });
    }
}

async fn accept(
    stream: TcpStream,
    addr: SocketAddr,
    secret: SharedSecret,
    links: mpsc::Sender<Link>,
) {
    let _ = stream.set_nodelay(true);
    #[expect(
        clippy::result_large_err,
        reason = "the library defines the type of the callback"
    )]
    let check = |req: &Request, resp: Response| {
        let header = req.headers().get(AUTHORIZATION);
        if header.is_some_and(|h| secret.matches(h.as_bytes())) {
            return Ok(resp);
        }
        let mut refusal = ErrorResponse::new(Some(Code::Unauthorized.title().to_owned()));
        *refusal.status_mut() = http::StatusCode::UNAUTHORIZED;
        Err(refusal)
    };
    let handshake =
        tokio_tungstenite::accept_hdr_async_with_config(stream, check, Some(ws_config()));
    match timeout(CONNECT_TIMEOUT, handshake).await {
        Ok(Ok(ws)) => {
            // The receiver is closed when the process is shutting down.
            let _ = links.send(pump::spawn(ws)).await;
        }
        Ok(Err(error)) => log::info!(addr:%, error:%; "session handshake failed"),
        Err(_) => log::info!(addr:%; "session handshake timed out"),
    }
}

fn ws_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(codec::MAX_BATCH_BYTES))
        .max_frame_size(Some(codec::MAX_BATCH_BYTES))
}
