//! The edge towards backend servers: HTTP requests that run and stop tasks.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::TokioExecutor;
use masticcross_basics::{AttemptId, Name, TaskIndex};
use masticcross_wire::Json;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::time::Duration;

use crate::Announcement;

/// Longest wait for a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest accepted answer of a backend server, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Longest text of a failure that is kept, in bytes.
const MAX_FAILURE_BYTES: usize = 512;

/// A task as the backend server gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskBody {
    /// Service of the task.
    pub service: Name,
    /// Id of the job.
    pub job: Name,
    /// Position in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub attempt: AttemptId,
    /// Payload as the caller sent it.
    pub payload: Json,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The backend server's result.
    Done(Json),
    /// The backend server answered that the task failed, or the request broke after it was sent.
    Failed(String),
    /// No connection: nothing was sent.
    NotSent(String),
    /// The task was stopped and gave no answer.
    Stopped,
}

/// Runs tasks at backend servers.
pub trait BackendClient: Send + Sync + 'static {
    /// Sends a task and waits for its end.
    fn run(&self, backend: Announcement, task: TaskBody) -> BoxFuture<'static, RunOutcome>;

    /// Asks a backend server to stop a task.
    fn stop(&self, backend: Announcement, attempt: AttemptId) -> BoxFuture<'static, ()>;
}

#[derive(Serialize)]
struct TaskRequest<'a> {
    service: &'a str,
    job: &'a str,
    index: TaskIndex,
    attempt: String,
    payload: &'a RawValue,
}

#[derive(Deserialize)]
struct TaskAnswer {
    result: Box<RawValue>,
}

/// Runs tasks over HTTP.
#[derive(Debug, Clone)]
pub struct HyperBackendClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HyperBackendClient {
    /// Creates a client that keeps connections open between tasks.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }

    async fn send_task(self, backend: Announcement, task: TaskBody) -> RunOutcome {
        let body = match request_body(&task) {
            Ok(body) => body,
            Err(error) => return RunOutcome::NotSent(error),
        };
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("{}/tasks", backend.url))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body));
        let req = match req {
            Ok(req) => req,
            Err(error) => return RunOutcome::NotSent(error.to_string()),
        };
        let resp = match self.client.request(req).await {
            Ok(resp) => resp,
            Err(error) => return broken(&error),
        };
        let status = resp.status();
        let collected = Limited::new(resp.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await;
        let bytes = match collected {
            Ok(collected) => collected.to_bytes(),
            Err(error) => return failed(&format!("answer broke off: {error}")),
        };
        if status != http::StatusCode::OK {
            let text = String::from_utf8_lossy(&bytes);
            return failed(&format!("status {}: {text}", status.as_u16()));
        }
        match serde_json::from_slice::<TaskAnswer>(&bytes) {
            Ok(answer) => RunOutcome::Done(Json::from(answer.result.get())),
            Err(error) => failed(&format!("answer is no {{\"result\": ...}}: {error}")),
        }
    }

    async fn send_stop(self, backend: Announcement, attempt: AttemptId) {
        let req = Request::builder()
            .method(Method::DELETE)
            .uri(format!("{}/tasks/{attempt}", backend.url))
            .body(Full::default());
        let Ok(req) = req else {
            return;
        };
        if let Err(error) = self.client.request(req).await {
            log::warn!(backend:% = backend.name, attempt:%, error:%; "task could not be stopped");
        }
    }
}

impl Default for HyperBackendClient {
    fn default() -> Self {
        Self::new()
    }
}

impl BackendClient for HyperBackendClient {
    fn run(&self, backend: Announcement, task: TaskBody) -> BoxFuture<'static, RunOutcome> {
        Box::pin(self.clone().send_task(backend, task))
    }

    fn stop(&self, backend: Announcement, attempt: AttemptId) -> BoxFuture<'static, ()> {
        Box::pin(self.clone().send_stop(backend, attempt))
    }
}

fn request_body(task: &TaskBody) -> Result<Bytes, String> {
    let payload: &RawValue = serde_json::from_str(&task.payload).map_err(|e| e.to_string())?;
    let request = TaskRequest {
        service: &task.service,
        job: &task.job,
        index: task.index,
        attempt: task.attempt.to_string(),
        payload,
    };
    let body = serde_json::to_vec(&request).map_err(|e| e.to_string())?;
    Ok(body.into())
}

/// Tells a connection that never stood from a request that broke after it may have been sent.
fn broken(error: &ClientError) -> RunOutcome {
    if error.is_connect() {
        return RunOutcome::NotSent(error.to_string());
    }
    failed(&format!("request broke off: {error}"))
}

fn failed(text: &str) -> RunOutcome {
    let mut end = text.len().min(MAX_FAILURE_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    RunOutcome::Failed(text[..end].to_owned())
}
