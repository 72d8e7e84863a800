//! Announces a backend server to its agent.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::BackendSettings;
use crate::http::client::Client;

/// Timeout of a call to the agent.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum interval until the retry of a failed announcement.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Renewals per time to live of the announcement.
const RENEWALS_PER_TTL: u32 = 3;

/// The body of an announcement.
#[derive(Debug, Clone, Serialize)]
struct Announcement {
    service: String,
    url: String,
    slots: u16,
    connections: u16,
    ttl_ms: u64,
}

/// Renews the announcement of a backend server. After a drop, the announcement expires with its
/// time to live.
#[derive(Debug)]
pub struct Announcer {
    client: Client,
    uri: String,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts a task that announces a backend server and renews the announcement.
    pub fn start(agent: &str, settings: &BackendSettings, url: String) -> Self {
        let client = Client::new(1);
        let uri = format!("http://{agent}/v1/backends/{}", settings.name);
        let announcement = Announcement {
            service: settings.service.to_string(),
            url,
            slots: settings.slots,
            connections: settings.connections,
            ttl_ms: u64::try_from(settings.ttl.as_millis()).unwrap_or(u64::MAX),
        };
        let interval = settings.ttl / RENEWALS_PER_TTL;
        let (stop, stopped) = oneshot::channel();
        let renewal = renew(client.clone(), uri.clone(), announcement, interval, stopped);
        Self {
            client,
            uri,
            stop: Some(stop),
            task: tokio::spawn(renewal),
        }
    }

    /// Withdraws the announcement. First waits for a renewal in progress, which could otherwise
    /// reach the agent after the withdrawal.
    pub async fn close(mut self) {
        drop(self.stop.take());
        let _ = (&mut self.task).await;
        let call = self
            .client
            .send(Method::DELETE, &self.uri, Bytes::new(), CALL_TIMEOUT);
        if let Err(e) = call.await {
            log::warn!("cannot withdraw the announcement: {e}");
        }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn renew(
    client: Client,
    uri: String,
    announcement: Announcement,
    interval: Duration,
    mut stopped: oneshot::Receiver<()>,
) {
    loop {
        let call = client.send_json(Method::PUT, &uri, &announcement, CALL_TIMEOUT);
        let interval = match call.await {
            Ok(_) => interval,
            Err(e) => {
                log::warn!("cannot announce the backend server to the agent: {e}");
                interval.min(MAX_RETRY_INTERVAL)
            }
        };
        if timeout(interval, &mut stopped).await.is_ok() {
            return;
        }
    }
}
