//! The callers' interface: submits, queries and cancels jobs.

use std::panic::RefUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::*;
use gotham::router::Router as HttpRouter;
use gotham::router::builder::build_router;
use gotham::router::response::ResponseExtender;
use gotham::state::{FromState, State};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use masticcross_basics::timeline::{Event, EventKind, Timeline};
use masticcross_basics::{Code, JobKey};
use masticcross_config::Document;
use masticcross_http::{Problem, read_body};
use masticcross_ledger::Ledger;
use masticcross_wire::JobAnswer;
use serde::Deserialize;
use tokio::sync::Semaphore;

use crate::http::submission;
use crate::router::Router;

/// Timeout of reading the body of a submission.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry-after of a refusal for lack of capacity at this entry, in milliseconds.
const BUSY_RETRY_AFTER_MS: u32 = 500;

/// Result of a step of a request handler.
pub type Result<T> = std::result::Result<T, Problem>;

/// State of the request handlers.
#[derive(Clone, StateData)]
pub struct Callers(Arc<Inner>);

struct Inner {
    router: Arc<Router>,
    ledger: Arc<Ledger>,
    timeline: Timeline,
    permits: Arc<Semaphore>,
}

impl RefUnwindSafe for Callers {}

impl Callers {
    /// Creates the interface. At most `max_requests` submissions are in progress at once.
    #[must_use]
    pub fn new(
        router: Arc<Router>,
        ledger: Arc<Ledger>,
        timeline: Timeline,
        max_requests: usize,
    ) -> Self {
        Self(Arc::new(Inner {
            router,
            ledger,
            timeline,
            permits: Arc::new(Semaphore::new(max_requests)),
        }))
    }

    /// Builds the HTTP router.
    #[must_use]
    pub fn into_router(self) -> HttpRouter {
        let middleware = single_middleware(StateMiddleware::new(self));
        let (chain, pipelines) = single_pipeline(middleware);
        build_router(chain, pipelines, |route| {
            route
                .put("/v1/services/:service/jobs/:job")
                .with_path_extractor::<JobPath>()
                .to_async(put_job);
            route
                .get("/v1/services/:service/jobs/:job")
                .with_path_extractor::<JobPath>()
                .to_async(get_job);
            route
                .delete("/v1/services/:service/jobs/:job")
                .with_path_extractor::<JobPath>()
                .to_async(delete_job);
            route.add_response_extender(StatusCode::NOT_FOUND, UnknownPath);
            route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, UnknownPath);
        })
    }

    fn document(&self) -> Result<Arc<Document>> {
        let state = self.0.ledger.state();
        state.config.document.clone().ok_or_else(|| {
            let detail = "no configuration has been read yet";
            Problem::new(Code::ViewStale, false, detail).retry_after_ms(Some(BUSY_RETRY_AFTER_MS))
        })
    }

    async fn submit(&self, path: JobPath, body: Body) -> Result<Response<Body>> {
        let key = path.into_key()?;
        let doc = self.document()?;
        let service = doc.services.get(&key.service).ok_or_else(|| {
            let detail = format!("service {:?} is not configured", key.service);
            Problem::new(Code::UnknownService, true, detail)
        })?;
        let Ok(_permit) = self.0.permits.clone().try_acquire_owned() else {
            let detail = "this entry holds too many requests";
            let problem = Problem::new(Code::TooManyRequests, false, detail);
            return Err(problem.retry_after_ms(Some(BUSY_RETRY_AFTER_MS)));
        };
        let max_bytes = usize::try_from(doc.limits.max_body_bytes).unwrap_or(usize::MAX);
        let bytes = read_body(body, max_bytes, BODY_TIMEOUT).await?;
        let req = submission::parse(key.clone(), service, &bytes)?;
        if !doc.teams.contains_key(&req.team) {
            let detail = format!("team {:?} is not configured", req.team);
            return Err(Problem::new(Code::UnknownTeam, true, detail));
        }
        self.0
            .timeline
            .record(Event::new(EventKind::Received).job(&key));
        let router = self.0.router.clone();
        // A separate task continues if the caller's connection breaks.
        let answer = tokio::spawn(async move { router.submit(req).await });
        let answer = answer.await.map_err(|_| outcome_unknown())?;
        respond(&key, answer)
    }

    async fn query(&self, path: JobPath, cancel: bool) -> Result<Response<Body>> {
        let key = path.into_key()?;
        let answer = self.0.router.query(key.clone(), cancel).await;
        respond(&key, answer)
    }
}

/// Path parameters of a job.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
struct JobPath {
    service: String,
    job: String,
}

impl JobPath {
    fn into_key(self) -> Result<JobKey> {
        JobKey::new(&self.service, &self.job).map_err(|e| {
            let detail = format!("service or job id in the path: {e}");
            Problem::new(Code::InvalidJobId, true, detail)
        })
    }
}

/// Answers requests for unknown paths and methods.
struct UnknownPath;

impl ResponseExtender<Body> for UnknownPath {
    fn extend(&self, _state: &mut State, resp: &mut Response<Body>) {
        let detail = "the interface has /v1/services/{service}/jobs/{job} with PUT, GET and DELETE";
        let status = resp.status();
        *resp = Problem::new(Code::NoSuchResource, true, detail).to_response();
        *resp.status_mut() = status;
    }
}

async fn put_job(mut state: State) -> HandlerResult {
    let callers = Callers::borrow_from(&state).clone();
    let path = JobPath::take_from(&mut state);
    let body = Body::take_from(&mut state);
    let result = callers.submit(path, body).await;
    Ok((state, into_http_response(result)))
}

async fn get_job(state: State) -> HandlerResult {
    query_job(state, false).await
}

async fn delete_job(state: State) -> HandlerResult {
    query_job(state, true).await
}

async fn query_job(mut state: State, cancel: bool) -> HandlerResult {
    let callers = Callers::borrow_from(&state).clone();
    let path = JobPath::take_from(&mut state);
    let result = callers.query(path, cancel).await;
    Ok((state, into_http_response(result)))
}

fn into_http_response(result: Result<Response<Body>>) -> Response<Body> {
    result.unwrap_or_else(|problem| problem.to_response())
}

fn outcome_unknown() -> Problem {
    Problem::new(
        Code::OutcomeUnknown,
        false,
        "the request was lost inside this entry",
    )
}

/// Converts an owner's answer to an HTTP response.
fn respond(key: &JobKey, answer: JobAnswer) -> Result<Response<Body>> {
    match answer {
        JobAnswer::Complete(results) => submission::results_json(key, &results)
            .map(|text| json_response(StatusCode::OK, text))
            .map_err(|_| Problem::new(Code::ResultLost, false, "a result is not JSON")),
        JobAnswer::Running(state) => submission::state_json(key, state)
            .map(|text| json_response(StatusCode::ACCEPTED, text))
            .map_err(|_| outcome_unknown()),
        JobAnswer::Refused(refusal) => Err(submission::problem_of(refusal)),
        JobAnswer::NotOwner => Err(outcome_unknown()),
    }
}

fn json_response(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::from(text).map_err(|never| match never {});
    let mut resp = Response::new(Body::new(body));
    *resp.status_mut() = status;
    resp.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}
