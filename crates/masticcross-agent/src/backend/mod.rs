//! Client for backend servers: HTTP requests that run and stop tasks.

pub mod connection;
mod gate;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use masticcross_basics::{AttemptId, Name, TaskIndex};
use masticcross_wire::{Json, NotStartedReason};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::Announcement;

use self::connection::{Connection, Pool, SendError};
pub use self::gate::StartGate;

/// Largest accepted response body of a backend server, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Length at which the text of a failure is truncated, in bytes.
const MAX_FAILURE_BYTES: usize = 512;

/// Number of connections tried for one task before it is reported as not started.
const MAX_CONNECTIONS_TRIED: usize = 3;

/// Content of a task request to a backend server.
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
    /// The backend server returned a result.
    Done(Json),
    /// The backend server did not return a valid result, or the connection failed after the request
    /// was sent at least in part.
    Failed(String),
    /// Nothing was sent, for example because no connection could be established.
    NotSent(String),
    /// The last check refused the start: nothing was sent.
    Refused(NotStartedReason),
    /// The task was stopped and no response arrived.
    Stopped,
}

/// Runs tasks at backend servers.
pub trait BackendClient: Send + Sync + 'static {
    /// Sends a task and waits for its outcome. Implementations call the gate immediately before
    /// they send the request, and send nothing if it refuses.
    fn run(
        &self,
        backend: Announcement,
        task: TaskBody,
        gate: StartGate,
    ) -> BoxFuture<'static, RunOutcome>;

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
#[derive(Clone, Default)]
pub struct HyperBackendClient {
    pool: Pool,
}

impl HyperBackendClient {
    /// Creates a client that keeps connections open between tasks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    async fn run_task(self, backend: Announcement, task: TaskBody, gate: StartGate) -> RunOutcome {
        let body = match request_body(&task) {
            Ok(body) => body,
            Err(error) => return RunOutcome::NotSent(error),
        };
        let mut reason = String::new();
        for _ in 0..MAX_CONNECTIONS_TRIED {
            let connection = match self.pool.checkout(&backend).await {
                Ok(connection) => connection,
                Err(error) => return RunOutcome::NotSent(error.to_string()),
            };
            let req = match request(&backend, Method::POST, "/tasks", body.clone()) {
                Ok(req) => req,
                Err(error) => return RunOutcome::NotSent(error.to_string()),
            };
            if let Err(reason) = gate.confirm_start() {
                self.pool.checkin(connection, &backend);
                return RunOutcome::Refused(reason);
            }
            match self.exchange(&backend, connection, req).await {
                Ok(outcome) => return outcome,
                Err(error) => reason = error.to_string(),
            }
        }
        RunOutcome::NotSent(reason)
    }

    /// Sends a request and reads the response. Fails only if nothing was sent.
    async fn exchange(
        &self,
        backend: &Announcement,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
    ) -> Result<RunOutcome, SendError> {
        let resp = match connection.send(req).await {
            Ok(resp) => resp,
            Err(SendError::Broken(error)) => return Ok(failed(&format!("request {error}"))),
            Err(error) => return Err(error),
        };
        let outcome = read_response(resp).await;
        self.pool.checkin(connection, backend);
        Ok(outcome)
    }

    async fn stop_task(self, backend: Announcement, attempt: AttemptId) {
        if let Err(error) = self.send_stop(&backend, attempt).await {
            log::warn!(backend:% = backend.name, attempt:%, error:%; "cannot stop task");
        }
    }

    async fn send_stop(&self, backend: &Announcement, attempt: AttemptId) -> eyre::Result<()> {
        let mut connection = self.pool.checkout(backend).await?;
        let path = format!("/tasks/{attempt}");
        let req = request(backend, Method::DELETE, &path, Bytes::new())?;
        let resp = connection.send(req).await?;
        read_response(resp).await;
        self.pool.checkin(connection, backend);
        Ok(())
    }
}

impl BackendClient for HyperBackendClient {
    fn run(
        &self,
        backend: Announcement,
        task: TaskBody,
        gate: StartGate,
    ) -> BoxFuture<'static, RunOutcome> {
        Box::pin(self.clone().run_task(backend, task, gate))
    }

    fn stop(&self, backend: Announcement, attempt: AttemptId) -> BoxFuture<'static, ()> {
        Box::pin(self.clone().stop_task(backend, attempt))
    }
}

fn request(
    backend: &Announcement,
    method: Method,
    path: &str,
    body: Bytes,
) -> http::Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(format!("{}{path}", backend.base_path()))
        .header(header::HOST, backend.authority())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
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

async fn read_response(resp: Response<Incoming>) -> RunOutcome {
    let status = resp.status();
    let collected = Limited::new(resp.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let bytes = match collected {
        Ok(collected) => collected.to_bytes(),
        Err(error) => return failed(&format!("answer broke off: {error}")),
    };
    if status != StatusCode::OK {
        let text = String::from_utf8_lossy(&bytes);
        return failed(&format!("status {}: {text}", status.as_u16()));
    }
    match serde_json::from_slice::<TaskAnswer>(&bytes) {
        Ok(response) => RunOutcome::Done(Json::from(response.result.get())),
        Err(error) => failed(&format!("answer is no {{\"result\": ...}}: {error}")),
    }
}

fn failed(text: &str) -> RunOutcome {
    let mut end = text.len().min(MAX_FAILURE_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    RunOutcome::Failed(text[..end].to_owned())
}
