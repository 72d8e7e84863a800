//! HTTP/1.1 server with a limited number of connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use super::HttpResponse;

/// Time within which the headers of a request must arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next `accept` after an error such as too many open files.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returned by a handler to close the connection without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the connection is closed without a response")]
pub struct CloseConnection;

/// A handler of HTTP requests.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request, or an error that closes the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, std::result::Result<HttpResponse, CloseConnection>>;

    /// Returns how many connections may be open at once; further ones are closed on arrival.
    fn max_connections(&self) -> usize {
        1024
    }
}

/// A running server. Dropping it closes all connections at once, as if the process had crashed.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: oneshot::Sender<Duration>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts serving connections from a listener.
    ///
    /// # Errors
    /// Fails if the listener's local address cannot be read.
    pub fn start(listener: TcpListener, handler: Arc<impl Handler>) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(serve(listener, handler, stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and waits up to `grace` for requests in progress; aborts those that remain.
    pub async fn close(mut self, grace: Duration) {
        let (stop, _) = oneshot::channel();
        // Sending fails if the task has already ended.
        let _ = std::mem::replace(&mut self.stop, stop).send(grace);
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    listener: TcpListener,
    handler: Arc<impl Handler>,
    mut stopped: oneshot::Receiver<Duration>,
) {
    let graceful = GracefulShutdown::new();
    let open = Arc::new(AtomicUsize::new(0));
    let mut connections = JoinSet::new();
    let grace = loop {
        tokio::select! {
            biased;
            grace = &mut stopped => break grace.unwrap_or_default(),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if open.load(Ordering::Relaxed) < handler.max_connections() => {
                    open.fetch_add(1, Ordering::Relaxed);
                    let serving = serve_connection(stream, handler.clone(), graceful.watcher());
                    let open = open.clone();
                    connections.spawn(async move {
                        serving.await;
                        open.fetch_sub(1, Ordering::Relaxed);
                    });
                }
                Ok((stream, _)) => drop(stream),
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}");
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    };
    drop(listener);
    if timeout(grace, graceful.shutdown()).await.is_err() {
        log::warn!("closing connections with requests in progress");
    }
    connections.shutdown().await;
}

async fn serve_connection(stream: TcpStream, handler: Arc<impl Handler>, watcher: Watcher) {
    // Nagle's algorithm would delay a small response until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler.clone().handle(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = watcher.watch(connection).await {
        log::debug!("connection ended with an error: {e}");
    }
}
