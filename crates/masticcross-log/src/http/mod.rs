//! Client for the log over HTTP/1.1. `docs/platform-log.md` describes the protocol.

mod reply;

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, Request, Uri, header};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use masticcross_basics::Name;
use masticcross_basics::name::check_name;
use tokio::time::timeout;

use crate::{Batch, Bounds, Log, LogError, Offset, Result};
use reply::{ExchangeError, Reply};

/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLogSettings {
    /// Host and port of the log.
    pub authority: String,
    /// Name of this client, sent as user agent.
    pub client: Name,
    /// Time limit for connecting.
    pub connect_timeout: Duration,
    /// Time limit for an append.
    pub append_timeout: Duration,
    /// Time limit until the reply to a read begins, in addition to its wait, and for each time without
    /// a byte after that.
    pub read_timeout: Duration,
    /// Maximum size of a reply, in bytes.
    pub max_reply_bytes: usize,
}

impl HttpLogSettings {
    /// Creates settings with the default limits.
    #[must_use]
    pub fn new(authority: impl Into<String>, client: Name) -> Self {
        Self {
            authority: authority.into(),
            client,
            connect_timeout: Duration::from_millis(500),
            append_timeout: Duration::from_secs(2),
            read_timeout: Duration::from_secs(1),
            max_reply_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Client for the log over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    settings: HttpLogSettings,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpLog {
    /// Creates a client. It connects at its first use.
    #[must_use]
    pub fn new(settings: HttpLogSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { settings, client }
    }

    async fn append_record(&self, stream: &str, data: Arc<str>) -> Result<Offset> {
        let path = format!("{}/records", stream_path(stream)?);
        let body = Bytes::copy_from_slice(data.as_bytes());
        let req = self.request(Method::POST, &path, body)?;
        let exchange = async {
            let response = self.client.request(req).await?;
            let settings = &self.settings;
            Reply::receive(response, settings.max_reply_bytes, settings.append_timeout).await
        };
        match timeout(self.settings.append_timeout, exchange).await {
            Ok(Ok(reply)) => reply.into_offset(),
            Ok(Err(e)) => Err(e.into_append_error()),
            Err(_) => Err(LogError::Unknown("no reply in time".to_owned())),
        }
    }

    async fn read_records(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Batch> {
        let path = format!(
            "{}/records?from={from}&limit={limit}&wait_ms={}",
            stream_path(stream)?,
            wait.as_millis()
        );
        let reply = self.get(&path, wait).await?;
        reply.into_batch(from, limit)
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<Reply> {
        let req = self.request(Method::GET, path, Bytes::new())?;
        let settings = &self.settings;
        let response = timeout(wait + settings.read_timeout, self.client.request(req)).await;
        let response =
            response.map_err(|_| LogError::Unavailable("no reply in time".to_owned()))?;
        let response = response.map_err(|e| ExchangeError::from(e).into_read_error())?;
        let reply = Reply::receive(response, settings.max_reply_bytes, settings.read_timeout);
        reply.await.map_err(ExchangeError::into_read_error)
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.settings.authority.as_str())
            .path_and_query(path)
            .build()
            .map_err(not_sent)?;
        Request::builder()
            .method(method)
            .uri(uri)
            .header(header::USER_AGENT, &*self.settings.client)
            .body(Full::new(body))
            .map_err(not_sent)
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, data: Arc<str>) -> BoxFuture<'a, Result<Offset>> {
        Box::pin(self.append_record(stream, data))
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch>> {
        Box::pin(self.read_records(stream, from, limit, wait))
    }

    fn bounds<'a>(&'a self, stream: &'a str) -> BoxFuture<'a, Result<Bounds>> {
        Box::pin(async move {
            let path = stream_path(stream)?;
            self.get(&path, Duration::ZERO).await?.into_bounds()
        })
    }
}

/// Returns the URL path of a stream. Slashes in its name are percent-encoded.
fn stream_path(stream: &str) -> Result<String> {
    for part in stream.split('/') {
        check_name(part).map_err(not_sent)?;
    }
    Ok(format!("/v1/streams/{}", stream.replace('/', "%2F")))
}

/// Returns the error for a request that could not be built.
fn not_sent(cause: impl std::fmt::Display) -> LogError {
    LogError::Unavailable(format!("request cannot be sent: {cause}"))
}
