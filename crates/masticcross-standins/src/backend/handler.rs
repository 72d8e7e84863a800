//! The backend server's HTTP interface.

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

/// Largest accepted task, in bytes.
const MAX_TASK_BYTES: usize = 4 * 1024 * 1024;

/// Connections accepted at once unless the announced number is enforced.
const MAX_CONNECTIONS: usize = 4096;

/// Longest run time that a payload may name.
const MAX_RUN: Duration = Duration::from_hours(1);

/// Serves the tasks of a backend server.
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

/// A task as the agent sends it.
#[derive(Debug, Deserialize)]
struct TaskRequest {
    service: String,
    job: String,
    index: u64,
    attempt: String,
    payload: Value,
}

/// What is decided when a task arrives.
enum Start {
    Refused(&'static str),
    Fail,
    Run {
        time: Option<Duration>,
        stopped: oneshot::Receiver<()>,
    },
}

/// How a run ended.
enum End {
    Done,
    Stopped,
}

impl BackendHandler {
    /// Creates a handler without running tasks.
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

    /// Returns what was counted.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    /// Returns how often each task was started.
    pub fn starts(&self) -> StartList {
        self.state.lock().starts.list()
    }

    /// Changes how tasks are run from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().behaviour = behaviour;
    }

    async fn route(&self, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::POST, ["tasks"]) => self.run_request(request).await,
            (&Method::DELETE, ["tasks", attempt]) => self.stop(attempt),
            (&Method::GET, ["counts"]) => http_util::json(StatusCode::OK, &self.counts()),
            (&Method::GET, ["starts"]) => Response::new(Full::new(self.starts().encode())),
            (&Method::PUT, ["behaviour"]) => self.change_behaviour(request).await,
            _ => http_util::error(StatusCode::NOT_FOUND, "no such resource"),
        }
    }

    async fn run_request(&self, request: Request<Incoming>) -> HttpResponse {
        let received = http_util::read_json(request.into_body(), MAX_TASK_BYTES).await;
        let task: TaskRequest = match received {
            Ok(task) => task,
            Err(e) => return http_util::error(StatusCode::BAD_REQUEST, e),
        };
        match self.start(&task) {
            Start::Refused(reason) => http_util::error(StatusCode::SERVICE_UNAVAILABLE, reason),
            Start::Fail => http_util::error(StatusCode::INTERNAL_SERVER_ERROR, "told to fail"),
            Start::Run { time, stopped } => self.run(&task, time, stopped).await,
        }
    }

    fn start(&self, task: &TaskRequest) -> Start {
        let mut state = self.state.lock();
        let State {
            behaviour,
            rng,
            counts,
            starts,
            running,
        } = &mut *state;
        if running.contains_key(&task.attempt) {
            return Start::Refused("attempt is running");
        }
        if running.len() >= usize::from(self.settings.slots) {
            counts.over_slots += 1;
            return Start::Refused("no free slot");
        }
        starts.add(start_key(&task.service, &task.job, task.index), counts);
        if rng.random_bool(behaviour.fail_share.clamp(0.0, 1.0)) {
            counts.failed += 1;
            return Start::Fail;
        }
        let (stop, stopped) = oneshot::channel();
        running.insert(task.attempt.clone(), stop);
        counts.running += 1;
        let time = behaviour.run_time(self.usual_run_time(&task.payload));
        Start::Run { time, stopped }
    }

    fn usual_run_time(&self, payload: &Value) -> Duration {
        payload
            .get("ms")
            .and_then(Value::as_u64)
            .map_or(self.settings.default_run, Duration::from_millis)
            .min(MAX_RUN)
    }

    async fn run(
        &self,
        task: &TaskRequest,
        time: Option<Duration>,
        stopped: oneshot::Receiver<()>,
    ) -> HttpResponse {
        let guard = RunGuard {
            handler: self,
            attempt: &task.attempt,
            end: None,
        };
        let run_time = async {
            match time {
                Some(time) => sleep(time).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            _ = stopped => {
                guard.finish(End::Stopped);
                http_util::error(StatusCode::INTERNAL_SERVER_ERROR, "stopped")
            }
            () = run_time => {
                guard.finish(End::Done);
                self.result(task)
            }
        }
    }

    fn result(&self, task: &TaskRequest) -> HttpResponse {
        let value = task.payload.get("value").unwrap_or(&Value::Null);
        let result = json!({ "value": value, "worker": &*self.settings.name });
        http_util::json(StatusCode::OK, &json!({ "result": result }))
    }

    fn stop(&self, attempt: &str) -> HttpResponse {
        match self.state.lock().running.remove(attempt) {
            // The run may end by itself at the same moment.
            Some(stop) => {
                let _ = stop.send(());
                http_util::empty(StatusCode::NO_CONTENT)
            }
            None => http_util::error(StatusCode::NOT_FOUND, "attempt is not running"),
        }
    }

    async fn change_behaviour(&self, request: Request<Incoming>) -> HttpResponse {
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

/// Counts the end of a run, also if its connection breaks.
struct RunGuard<'a> {
    handler: &'a BackendHandler,
    attempt: &'a str,
    end: Option<End>,
}

impl RunGuard<'_> {
    fn finish(mut self, end: End) {
        self.end = Some(end);
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.handler.state.lock();
        state.running.remove(self.attempt);
        state.counts.running -= 1;
        match self.end {
            Some(End::Done) => state.counts.ended += 1,
            Some(End::Stopped) | None => state.counts.stopped += 1,
        }
    }
}
