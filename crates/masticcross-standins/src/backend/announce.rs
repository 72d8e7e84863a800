//! Announcement of a backend server to its agent.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::BackendSettings;
use crate::http::client::Client;

/// Time allowed for one call to the agent.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed announcement.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Renewals in one time to live.
const RENEWALS: u32 = 3;

/// The body of an announcement.
#[derive(Debug, Clone, Serialize)]
struct Announcement {
    service: String,
    url: String,
    slots: u16,
    connections: u16,
    ttl_ms: u64,
}

/// Keeps a backend server announced. Dropping it lets the announcement end with its time to live.
#[derive(Debug)]
pub struct Announcer {
    client: Client,
    uri: String,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts to announce a backend server, and renews the announcement.
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
        let pause = settings.ttl / RENEWALS;
        let (stop, stopped) = oneshot::channel();
        let renewal = renew(client.clone(), uri.clone(), announcement, pause, stopped);
        Self {
            client,
            uri,
            stop: Some(stop),
            task: tokio::spawn(renewal),
        }
    }

    /// Withdraws the announcement. Waits for a renewal under way, which must not come after it.
    pub async fn close(mut self) {
        drop(self.stop.take());
        let _ = (&mut self.task).await;
        let call = self
            .client
            .send(Method::DELETE, &self.uri, Bytes::new(), CALL_TIMEOUT);
        if let Err(e) = call.await {
            log::warn!("announcement could not be withdrawn: {e}");
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
    pause: Duration,
    mut stopped: oneshot::Receiver<()>,
) {
    loop {
        let call = client.send_json(Method::PUT, &uri, &announcement, CALL_TIMEOUT);
        let pause = match call.await {
            Ok(_) => pause,
            Err(e) => {
                log::warn!("agent did not take the announcement: {e}");
                pause.min(RETRY_PAUSE)
            }
        };
        if timeout(pause, &mut stopped).await.is_ok() {
            return;
        }
    }
}
