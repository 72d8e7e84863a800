//! The accept loop: limits connections, applies timeouts, and shuts down without interrupting
//! requests in progress.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use gotham::service::call_handler;
use gotham::state::State;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use masticcross_basics::Code;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;

use crate::problem::Problem;

/// Wait after a failed accept, so that the loop does not spin while file descriptors are exhausted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Limits of one HTTP port.
#[derive(Debug, Clone)]
pub struct HttpLimits {
    /// Maximum number of open connections; further ones are refused.
    pub max_connections: usize,
    /// Timeout for receiving the headers of a request.
    pub header_timeout: Duration,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum total size of the headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of concurrent requests on one HTTP/2 connection.
    pub max_streams: u32,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: Duration::from_secs(10),
            max_headers: 64,
            max_header_bytes: 16 * 1024,
            max_streams: 256,
        }
    }
}

/// A running HTTP server on one port.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Serves a router on a bound listener.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn start(
        listener: TcpListener,
        router: gotham::router::Router,
        limits: HttpLimits,
    ) -> std::io::Result<Self> {
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_loop(listener, router, limits, stopped));
        Ok(Self { addr, stop, task })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections, lets requests in progress finish, and returns when all
    /// connections are closed or `limit` has passed.
    pub async fn close(self, limit: Duration) {
        // Sending fails only if the accept loop has already ended.
        let _ = self.stop.send(true);
        let abort = self.task.abort_handle();
        if tokio::time::timeout(limit, self.task).await.is_err() {
            log::warn!(addr:% = self.addr; "connections still open at the end of the drain limit");
            abort.abort();
        }
    }
}

async fn accept_loop(
    listener: TcpListener,
    router: gotham::router::Router,
    limits: HttpLimits,
    mut stopped: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let builder = Arc::new(connection_builder(&limits));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, addr) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            refuse_connection(&stream);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let watcher = graceful.watcher();
        let builder = builder.clone();
        let router = router.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req: hyper::Request<Incoming>| {
                let state = State::from_request(req, addr);
                call_handler(router.clone(), AssertUnwindSafe(state))
            });
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = watcher.watch(connection).await {
                log::debug!(addr:%, error:%; "connection ended with an error");
            }
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection_builder(limits: &HttpLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_header_bytes.max(8 * 1024));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.max_streams)
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout);
    builder
}

/// Refuses a connection over the limit, without waiting for its request.
fn refuse_connection(stream: &TcpStream) {
    let problem = Problem::new(Code::TooManyRequests, false, "too many connections");
    let body = problem.to_json();
    let status = problem.status();
    let response = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/problem+json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        body.len(),
    );
    // The write fails if the peer has disconnected; nothing else can be done then.
    let _ = stream.try_write(response.as_bytes());
}
