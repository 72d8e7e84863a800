//! Links over `WebSockets`. Small frames that wait together travel in one message.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use futures_util::{SinkExt, StreamExt};
use masticcross_basics::Code;
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::header::AUTHORIZATION;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Message, handshake};

use crate::codec;
use crate::frame::{Frame, Goodbye};
use crate::link::{CONNECT_TIMEOUT, Dialer, Link, LinkError, QUEUE_FRAMES, Result};

/// Most frames in one message.
const MAX_FRAMES_PER_MESSAGE: usize = 512;

/// Secret that all processes of one installation share. Printed forms do not show it.
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
}

impl WsDialer {
    /// Creates a dialler that presents a secret.
    #[must_use]
    pub fn new(secret: SharedSecret) -> Self {
        Self { secret }
    }

    async fn connect(&self, addr: SocketAddr) -> std::result::Result<Link, String> {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let mut req: handshake::client::Request = format!("ws://{addr}/session")
            .into_client_request()
            .map_err(|e| e.to_string())?;
        let header = self
            .secret
            .header()
            .parse()
            .map_err(|_| "secret is no header value")?;
        req.headers_mut().insert(AUTHORIZATION, header);
        let (ws, _) = tokio_tungstenite::client_async_with_config(req, stream, Some(ws_config()))
            .await
            .map_err(|e| e.to_string())?;
        Ok(spawn_pump(ws))
    }
}

impl Dialer for WsDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, Result<Link>> {
        Box::pin(async move {
            let connected = timeout(CONNECT_TIMEOUT, self.connect(addr)).await;
            let result = connected.unwrap_or_else(|_| Err("timed out".to_owned()));
            result.map_err(|reason| LinkError::Connect { addr, reason })
        })
    }
}

/// Accepts sessions until the receiver of the links is dropped.
pub async fn serve(listener: TcpListener, secret: SharedSecret, links: mpsc::Sender<Link>) {
    loop {
        tokio::select! {
            biased;
            () = links.closed() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, addr)) => {
                    tokio::spawn(accept(stream, addr, secret.clone(), links.clone()));
                }
                Err(error) => log::warn!(error:%; "cannot accept a session"),
            }
        }
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
        reason = "the callback's type is the library's"
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
            // A closed receiver means that the process is ending.
            let _ = links.send(spawn_pump(ws)).await;
        }
        Ok(Err(error)) => log::info!(addr:%, error:%; "session refused"),
        Err(_) => log::info!(addr:%; "session handshake timed out"),
    }
}

fn ws_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(codec::MAX_BATCH_BYTES))
        .max_frame_size(Some(codec::MAX_BATCH_BYTES))
}

/// Starts the two tasks that move frames between the queues of a link and the socket.
fn spawn_pump(ws: WebSocketStream<TcpStream>) -> Link {
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

async fn write_frames(
    mut sink: futures_util::stream::SplitSink<WebSocketStream<TcpStream>, Message>,
    mut frames: mpsc::Receiver<Frame>,
) {
    let mut batch = Vec::with_capacity(MAX_FRAMES_PER_MESSAGE);
    while frames.recv_many(&mut batch, MAX_FRAMES_PER_MESSAGE).await > 0 {
        let encoded = match codec::encode(&batch) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!(error:%; "session closed");
                break;
            }
        };
        batch.clear();
        if sink.send(Message::Binary(encoded)).await.is_err() {
            break;
        }
    }
    let _ = sink.close().await;
}

async fn read_frames(
    mut stream: futures_util::stream::SplitStream<WebSocketStream<TcpStream>>,
    frames: mpsc::Sender<Frame>,
    reply: mpsc::WeakSender<Frame>,
) {
    while let Some(Ok(message)) = stream.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        let batch = match codec::decode(&bytes) {
            Ok(batch) => batch,
            Err(error) => {
                log::warn!(error:%; "session closed for a malformed frame");
                send_goodbye(&reply, error.to_string()).await;
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

async fn send_goodbye(reply: &mpsc::WeakSender<Frame>, detail: String) {
    let goodbye = Frame::Goodbye(Goodbye {
        code: Code::MalformedFrame,
        detail,
    });
    if let Some(tx) = reply.upgrade() {
        let _ = tx.send(goodbye).await;
    }
}
