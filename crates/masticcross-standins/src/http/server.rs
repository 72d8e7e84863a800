//! A server for HTTP/1.1 with bounded connections.

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

use super::Answer;

/// Time in which the head of a request must arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after an error of accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The connection is closed without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the connection is closed without a response")]
pub struct HangUp;

/// Serves requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request, or closes its connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, std::result::Result<Answer, HangUp>>;

    /// Returns how many connections are served at once; others are closed when they arrive.
    fn max_connections(&self) -> usize {
        1024
    }
}

/// A running server. Dropping it breaks all connections, as if the process had died.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: oneshot::Sender<Duration>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts to serve the connections of a listener.
    ///
    /// # Errors
    /// Fails if the listener has no address.
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

    /// Returns the address at which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and waits for requests in progress, up to a time. Breaks off what is left.
    pub async fn close(mut self, grace: Duration) {
        let (stop, _) = oneshot::channel();
        // The task may have ended before.
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
                    log::warn!("accept failed: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    };
    drop(listener);
    if timeout(grace, graceful.shutdown()).await.is_err() {
        log::warn!("requests were still in progress at the end");
    }
    connections.shutdown().await;
}

async fn serve_connection(stream: TcpStream, handler: Arc<impl Handler>, watcher: Watcher) {
    // Without it, small responses wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler.clone().handle(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = watcher.watch(connection).await {
        log::debug!("connection ended: {e}");
    }
}
