//! HTTP interface of the backend server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::counts::{StartTable, start_key};
use super::{BackendSettings, Behaviour, Counts, StartList};
use crate::http::server::{CloseConnection, Handler};
use crate::http::{self as http_util, HttpResponse};

/// Maximum size of a request body.
const MAX_TASK_BYTES: usize = 4 * 1024 * 1024;

/// Connection limit while [`Behaviour::limit_connections`] is off.
const MAX_CONNECTIONS: usize = 4096;

/// Maximum base run time of a task.
const MAX_RUN_TIME: Duration = Duration::from_hours(1);

/// HTTP handler that runs the tasks of a backend server.
#[derive(Debug)]
pub struct BackendHandler {
    settings: BackendSettings,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    rng: SmallRng,
    counts: Counts,
    starts: StartTable,
    running: BTreeMap<String, oneshot::Sender<()>>,
}

/// Body of a request to run a task, as sent by the agent.
#[derive(Debug, Deserialize)]
struct TaskRequest {
    service: String,
    job: String,
    index: u64,
    attempt: String,
    payload: Value,
}

/// Decision about a task on arrival.
enum StartDecision {
    Refused(&'static str),
    Fail,
    Run {
        run_time: Option<Duration>,
        stopped: oneshot::Receiver<()>,
    },
}

/// How a run ended.
enum RunEnd {
    Done,
    Stopped,
}

impl BackendHandler {
    /// Creates a handler with no running tasks.
    pub fn new(settings: BackendSettings) -> Arc<Self> {
        let state = State {
            behaviour: settings.behaviour,
            rng: SmallRng::seed_from_u64(settings.seed),
            counts: Counts::default(),
            starts: StartTable::default(),
            running: BTreeMap::new(),
        };
        Arc::new(Self {
            settings,
            state: Mutex::new(state),
        })
    }

    /// Returns the task counts.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    /// Returns the number of starts by task.
    pub fn starts(&self) -> StartList {
        self.state.lock().starts.list()
    }

    /// Replaces the behaviour for tasks started from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().behaviour = behaviour;
    }

    async fn route(&self, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::POST, ["tasks"]) => self.run_task(request).await,
            (&Method::DELETE, ["tasks", attempt]) => self.stop(attempt),
            (&Method::GET, ["counts"]) => http_util::json(StatusCode::OK, &self.counts()),
            (&Method::GET, ["starts"]) => Response::new(Full::new(self.starts().encode())),
            (&Method::PUT, ["behaviour"]) => self.put_behaviour(request).await,
            _ => http_util::error(StatusCode::NOT_FOUND, "no such resource"),
        }
    }

    async fn run_task(&self, request: Request<Incoming>) -> HttpResponse {
        let received = http_util::read_json(request.into_body(), MAX_TASK_BYTES).await;
        let task: TaskRequest = match received {
            Ok(task) => task,
            Err(e) => return http_util::error(StatusCode::BAD_REQUEST, e),
        };
        match self.start(&task) {
            StartDecision::Refused(reason) => {
                http_util::error(StatusCode::SERVICE_UNAVAILABLE, reason)
            }
            StartDecision::Fail => {
                http_util::error(StatusCode::INTERNAL_SERVER_ERROR, "told to fail")
            }
            StartDecision::Run { run_time, stopped } => self.run(&task, run_time, stopped).await,
        }
    }

    fn start(&self, task: &TaskRequest) -> StartDecision {
        let mut state = self.state.lock();
        let State {
            behaviour,
            rng,
            counts,
            starts,
            running,
        } = &mut *state;
        if running.contains_key(&task.attempt) {
            return StartDecision::Refused("attempt is running");
        }
        if running.len() >= usize::from(self.settings.slots) {
            counts.over_slots += 1;
            return StartDecision::Refused("no free slot");
        }
        starts.add(start_key(&task.service, &task.job, task.index), counts);
        if rng.random_bool(behaviour.fail_share.clamp(0.0, 1.0)) {
            counts.failed += 1;
            return StartDecision::Fail;
        }
        let (stop, stopped) = oneshot::channel();
        running.insert(task.attempt.clone(), stop);
        counts.running += 1;
        let run_time = behaviour.run_time(self.base_run_time(&task.payload));
        StartDecision::Run { run_time, stopped }
    }

    fn base_run_time(&self, payload: &Value) -> Duration {
        payload
            .get("ms")
            .and_then(Value::as_u64)
            .map_or(self.settings.default_run_time, Duration::from_millis)
            .min(MAX_RUN_TIME)
    }

    async fn run(
        &self,
        task: &TaskRequest,
        run_time: Option<Duration>,
        stopped: oneshot::Receiver<()>,
    ) -> HttpResponse {
        let guard = RunGuard {
            handler: self,
            attempt: &task.attempt,
            end: None,
        };
        let run_end = async {
            match run_time {
                Some(run_time) => sleep(run_time).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            _ = stopped => {
                guard.finish(RunEnd::Stopped);
                http_util::error(StatusCode::INTERNAL_SERVER_ERROR, "stopped")
            }
            () = run_end => {
                guard.finish(RunEnd::Done);
                self.result_response(task)
            }
        }
    }

    fn result_response(&self, task: &TaskRequest) -> HttpResponse {
        let value = task.payload.get("value").unwrap_or(&Value::Null);
        let result = json!({ "value": value, "worker": &*self.settings.name });
        http_util::json(StatusCode::OK, &json!({ "result": result }))
    }

    fn stop(&self, attempt: &str) -> HttpResponse {
        match self.state.lock().running.remove(attempt) {
            // Sending fails if the run is ending at the same moment.
            Some(stop) => {
                let _ = stop.send(());
                http_util::empty(StatusCode::NO_CONTENT)
            }
            None => http_util::error(StatusCode::NOT_FOUND, "attempt is not running"),
        }
    }

    async fn put_behaviour(&self, request: Request<Incoming>) -> HttpResponse {
        match http_util::read_json(request.into_body(), MAX_TASK_BYTES).await {
            Ok(behaviour) => {
                self.set_behaviour(behaviour);
                http_util::empty(StatusCode::NO_CONTENT)
            }
            Err(e) => http_util::error(StatusCode::BAD_REQUEST, e),
        }
    }
}

impl Handler for BackendHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, std::result::Result<HttpResponse, CloseConnection>> {
        Box::pin(async move { Ok(self.route(request).await) })
    }

    fn max_connections(&self) -> usize {
        if self.state.lock().behaviour.limit_connections {
            usize::from(self.settings.connections)
        } else {
            MAX_CONNECTIONS
        }
    }
}

/// Counts the end of a run, including a run dropped because its connection was lost.
struct RunGuard<'a> {
    handler: &'a BackendHandler,
    attempt: &'a str,
    end: Option<RunEnd>,
}

impl RunGuard<'_> {
    fn finish(mut self, end: RunEnd) {
        self.end = Some(end);
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.handler.state.lock();
        state.running.remove(self.attempt);
        state.counts.running -= 1;
        match self.end {
            Some(RunEnd::Done) => state.counts.ended += 1,
            Some(RunEnd::Stopped) | None => state.counts.stopped += 1,
        }
    }
}
