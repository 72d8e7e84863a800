//! Tests of the load generator against a fake entry, over loopback. They check counts, never times.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use masticcross_standins::backend::{Backend, BackendSettings};
use masticcross_standins::http::server::{CloseConnection, Handler, Server};
use masticcross_standins::http::{HttpResponse, json, read_json};
use masticcross_standins::load::arrivals::Arrivals;
use masticcross_standins::load::run::send;
use masticcross_standins::load::{LoadArgs, Report, load_args};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;

const MAX_BODY_BYTES: usize = 1024 * 1024;

/// How the fake entry answers requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FakeEntryBehaviour {
    Complete,
    Partial,
    Swapped,
    RefuseNotRun,
    CloseFirst,
    CloseAlways,
}

#[derive(Deserialize)]
struct Job {
    tasks: Vec<Task>,
}

#[derive(Deserialize)]
struct Task {
    payload: Value,
}

struct FakeEntry {
    behaviour: FakeEntryBehaviour,
    requests: Mutex<BTreeMap<String, u32>>,
}

impl FakeEntry {
    async fn answer(&self, request: Request<Incoming>) -> Result<HttpResponse, CloseConnection> {
        let path = request.uri().path().to_owned();
        let job: Job = read_json(request.into_body(), MAX_BODY_BYTES)
            .await
            .expect("a body as documented");
        let request_count = {
            let mut requests = self.requests.lock();
            let count = requests.entry(path).or_default();
            *count += 1;
            *count
        };
        let results = job
            .tasks
            .iter()
            .map(|t| json!({"value": t.payload["value"]}));
        let mut results: Vec<Value> = results.collect();
        match self.behaviour {
            FakeEntryBehaviour::CloseAlways => return Err(CloseConnection),
            FakeEntryBehaviour::CloseFirst if request_count == 1 => return Err(CloseConnection),
            FakeEntryBehaviour::RefuseNotRun => {
                let problem = json!({"code": 2001, "not_run": true});
                return Ok(json(StatusCode::SERVICE_UNAVAILABLE, &problem));
            }
            FakeEntryBehaviour::Partial => drop(results.pop()),
            FakeEntryBehaviour::Swapped => results.reverse(),
            FakeEntryBehaviour::Complete | FakeEntryBehaviour::CloseFirst => {}
        }
        Ok(json(StatusCode::OK, &json!({"results": results})))
    }
}

impl Handler for FakeEntry {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, CloseConnection>> {
        Box::pin(async move { self.answer(request).await })
    }
}

async fn start_entry(behaviour: FakeEntryBehaviour) -> (Arc<FakeEntry>, Server) {
    let entry = Arc::new(FakeEntry {
        behaviour,
        requests: Mutex::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let server = Server::start(listener, entry.clone()).expect("start");
    (entry, server)
}

fn args(entries: &[&Server], flags: &[&str]) -> LoadArgs {
    let entries = entries.iter().map(|server| server.address().to_string());
    let entries = entries.flat_map(|address| ["--entry".to_owned(), address]);
    let default_flags = ["--rate", "100", "--duration-s", "0.3", "--tasks", "2-9"];
    let flags: Vec<String> = entries
        .chain(
            default_flags
                .into_iter()
                .chain(flags.iter().copied())
                .map(String::from),
        )
        .collect();
    let parser = bpaf::Parser::to_options(load_args());
    let flags: Vec<&str> = flags.iter().map(String::as_str).collect();
    parser.run_inner(flags.as_slice()).expect("flags")
}

async fn run(behaviours: &[FakeEntryBehaviour], flags: &[&str]) -> (Report, Vec<Arc<FakeEntry>>) {
    let mut started = Vec::new();
    for behaviour in behaviours {
        started.push(start_entry(*behaviour).await);
    }
    let servers: Vec<&Server> = started.iter().map(|(_, server)| server).collect();
    let args = args(&servers, flags);
    let arrivals = Arrivals::new(args.plan("t").expect("plan"));
    let report = send(&args, arrivals).await.expect("run");
    let entries = started.iter().map(|(entry, _)| entry.clone()).collect();
    (report, entries)
}

#[tokio::test]
async fn complete_answers_are_counted_without_violation() {
    let (report, entries) = run(&[FakeEntryBehaviour::Complete; 2], &["--resubmit", "0.5"]).await;
    assert!(report.jobs > 10 && report.resubmissions > 3);
    assert_eq!(report.submissions, report.jobs + report.resubmissions);
    assert_eq!(report.complete, report.submissions);
    assert_eq!(report.over_ideal.count, report.jobs);
    assert!(!report.has_violations());
    // A resubmission goes to the other entry, so no entry receives a job twice.
    for entry in entries {
        assert!(entry.requests.lock().values().all(|count| *count == 1));
    }
}

#[tokio::test]
async fn partial_answers_are_reported_as_a_violation() {
    let (report, _) = run(&[FakeEntryBehaviour::Partial], &[]).await;
    assert_eq!((report.complete, report.partial), (0, report.submissions));
    assert!(report.has_violations());
}

#[tokio::test]
async fn swapped_results_are_counted_as_wrong_values() {
    let (report, _) = run(&[FakeEntryBehaviour::Swapped], &[]).await;
    assert_eq!(
        (report.complete, report.wrong_values),
        (0, report.submissions)
    );
}

#[tokio::test]
async fn refusals_are_counted_by_code_without_violation() {
    let (report, _) = run(&[FakeEntryBehaviour::RefuseNotRun], &[]).await;
    let [refused] = report.refused.as_slice() else {
        panic!("more than one code: {:?}", report.refused);
    };
    assert_eq!((refused.code, refused.not_run), (2001, true));
    assert_eq!(refused.count, report.submissions);
    assert!(!report.has_violations());
}

#[tokio::test]
async fn broken_connection_is_retried_at_another_entry() {
    let (report, entries) = run(
        &[
            FakeEntryBehaviour::CloseAlways,
            FakeEntryBehaviour::Complete,
        ],
        &[],
    )
    .await;
    assert_eq!(report.complete, report.submissions);
    let lost: u32 = entries[0].requests.lock().values().sum();
    assert!(lost > 0);
    assert_eq!(report.broken_connections, u64::from(lost));
    assert_eq!(report.refused_connections, 0);
    assert_eq!(report.retried, u64::from(lost));
    assert_eq!(entries[1].requests.lock().len() as u64, report.jobs);
}

#[tokio::test]
async fn broken_connection_is_retried_at_the_only_entry() {
    let (report, _) = run(&[FakeEntryBehaviour::CloseFirst], &[]).await;
    assert_eq!(report.complete, report.submissions);
    assert_eq!(report.retried, report.submissions);
}

#[tokio::test]
async fn refused_connection_is_not_counted_as_broken() {
    let (entry, server) = start_entry(FakeEntryBehaviour::Complete).await;
    let args = args(&[&server], &["--entry", "127.0.0.1:1"]);
    let arrivals = Arrivals::new(args.plan("t").expect("plan"));
    let report = send(&args, arrivals).await.expect("run");
    assert_eq!(report.complete, report.submissions);
    assert!(report.refused_connections > 0);
    assert_eq!(report.broken_connections, 0);
    assert_eq!(entry.requests.lock().len() as u64, report.jobs);
}

#[tokio::test]
async fn list_of_an_unreachable_backend_server_is_counted_as_missing() {
    let settings = BackendSettings::new("w1", "quote-desk");
    let backend = Backend::start(settings).await.expect("backend");
    let (address, unreachable) = (backend.address().to_string(), "127.0.0.1:1");
    let flags = ["--backend", &address, "--backend", unreachable];
    let (report, _) = run(&[FakeEntryBehaviour::Complete], &flags).await;
    let starts = report.starts.expect("starts");
    assert_eq!((starts.starts, starts.missing_lists), (0, 1));
}

#[tokio::test]
async fn run_without_entries_is_refused() {
    let args = args(&[], &[]);
    assert!(send(&args, std::iter::empty()).await.is_err());
}

/// Defines tests of flags that are refused, with a part of the expected message.
macro_rules! flag_cases {
    ($($name:ident: $flag:literal, $value:literal => $expected:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let parser = bpaf::Parser::to_options(load_args());
                let failure = parser.run_inner(&[$flag, $value]).expect_err("refused");
                let message = format!("{failure:?}");
                assert!(message.contains($expected), "{message}");
            }
        )*
    };
}

flag_cases! {
    entry_without_port_is_refused: "--entry", "127.0.0.1" => "host and a port";
    rate_of_zero_is_refused: "--rate", "0" => "above 0";
    rate_that_is_not_a_number_is_refused: "--rate", "NaN" => "above 0";
    infinite_duration_is_refused: "--duration-s", "inf" => "at most 86400";
    share_above_one_is_refused: "--resubmit", "1.5" => "from 0 to 1";
    range_of_tasks_from_zero_is_refused: "--tasks", "0-5" => "1 to 1000";
    unknown_day_is_refused: "--day", "sunny" => "calm, burst and advisory";
    prefix_with_a_space_is_refused: "--prefix", "a b" => "job id";
}
