//! Tests of the load generator against an entry made for the test, over loopback. They check
//! counts, never times.

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

/// What the entry does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    Whole,
    Partial,
    Swapped,
    RefuseNotRun,
    HangUpFirst,
    HangUpAlways,
}

#[derive(Deserialize)]
struct Job {
    tasks: Vec<Task>,
}

#[derive(Deserialize)]
struct Task {
    payload: Value,
}

struct Entry {
    manner: Manner,
    requests: Mutex<BTreeMap<String, u32>>,
}

impl Entry {
    async fn answer(&self, request: Request<Incoming>) -> Result<HttpResponse, CloseConnection> {
        let path = request.uri().path().to_owned();
        let job: Job = read_json(request.into_body(), MAX_BODY_BYTES)
            .await
            .expect("a body as documented");
        let turn = {
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
        match self.manner {
            Manner::HangUpAlways => return Err(CloseConnection),
            Manner::HangUpFirst if turn == 1 => return Err(CloseConnection),
            Manner::RefuseNotRun => {
                let problem = json!({"code": 2001, "not_run": true});
                return Ok(json(StatusCode::SERVICE_UNAVAILABLE, &problem));
            }
            Manner::Partial => drop(results.pop()),
            Manner::Swapped => results.reverse(),
            Manner::Whole | Manner::HangUpFirst => {}
        }
        Ok(json(StatusCode::OK, &json!({"results": results})))
    }
}

impl Handler for Entry {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<HttpResponse, CloseConnection>> {
        Box::pin(async move { self.answer(request).await })
    }
}

async fn start(manner: Manner) -> (Arc<Entry>, Server) {
    let entry = Arc::new(Entry {
        manner,
        requests: Mutex::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let server = Server::start(listener, entry.clone()).expect("start");
    (entry, server)
}

fn args(entries: &[&Server], flags: &[&str]) -> LoadArgs {
    let entries = entries.iter().map(|server| server.address().to_string());
    let entries = entries.flat_map(|address| ["--entry".to_owned(), address]);
    let usual = ["--rate", "100", "--duration-s", "0.3", "--tasks", "2-9"];
    let flags: Vec<String> = entries
        .chain(
            usual
                .into_iter()
                .chain(flags.iter().copied())
                .map(String::from),
        )
        .collect();
    let parser = bpaf::Parser::to_options(load_args());
    let flags: Vec<&str> = flags.iter().map(String::as_str).collect();
    parser.run_inner(flags.as_slice()).expect("flags")
}

async fn run(manners: &[Manner], flags: &[&str]) -> (Report, Vec<Arc<Entry>>) {
    let mut started = Vec::new();
    for manner in manners {
        started.push(start(*manner).await);
    }
    let servers: Vec<&Server> = started.iter().map(|(_, server)| server).collect();
    let args = args(&servers, flags);
    let arrivals = Arrivals::new(args.plan("t").expect("plan"));
    let report = send(&args, arrivals).await.expect("run");
    let entries = started.iter().map(|(entry, _)| entry.clone()).collect();
    (report, entries)
}

#[tokio::test]
async fn whole_answers_are_counted() {
    let (report, entries) = run(&[Manner::Whole; 2], &["--resubmit", "0.5"]).await;
    assert!(report.jobs > 10 && report.resubmissions > 3);
    assert_eq!(report.submissions, report.jobs + report.resubmissions);
    assert_eq!(report.complete, report.submissions);
    assert_eq!(report.over_ideal.count, report.jobs);
    assert!(!report.has_broken_promise());
    // A resubmission goes to another entry, so no entry sees a job twice.
    for entry in entries {
        assert!(entry.requests.lock().values().all(|count| *count == 1));
    }
}

#[tokio::test]
async fn partial_answers_are_found() {
    let (report, _) = run(&[Manner::Partial], &[]).await;
    assert_eq!((report.complete, report.partial), (0, report.submissions));
    assert!(report.has_broken_promise());
}

#[tokio::test]
async fn crossed_answers_are_found() {
    let (report, _) = run(&[Manner::Swapped], &[]).await;
    assert_eq!(
        (report.complete, report.wrong_values),
        (0, report.submissions)
    );
}

#[tokio::test]
async fn refusals_are_counted_by_code() {
    let (report, _) = run(&[Manner::RefuseNotRun], &[]).await;
    let [refused] = report.refused.as_slice() else {
        panic!("more than one code: {:?}", report.refused);
    };
    assert_eq!((refused.code, refused.not_run), (2001, true));
    assert_eq!(refused.count, report.submissions);
    assert!(!report.has_broken_promise());
}

#[tokio::test]
async fn lost_connection_is_retried_through_another_entry() {
    let (report, entries) = run(&[Manner::HangUpAlways, Manner::Whole], &[]).await;
    assert_eq!(report.complete, report.submissions);
    let lost: u32 = entries[0].requests.lock().values().sum();
    assert!(lost > 0);
    assert_eq!(report.broken_connections, u64::from(lost));
    assert_eq!(report.refused_connections, 0);
    assert_eq!(report.retried, u64::from(lost));
    assert_eq!(entries[1].requests.lock().len() as u64, report.jobs);
}

#[tokio::test]
async fn lost_connection_is_retried_at_a_single_entry() {
    let (report, _) = run(&[Manner::HangUpFirst], &[]).await;
    assert_eq!(report.complete, report.submissions);
    assert_eq!(report.retried, report.submissions);
}

#[tokio::test]
async fn refused_connection_is_told_from_a_broken_one() {
    let (entry, server) = start(Manner::Whole).await;
    let args = args(&[&server], &["--entry", "127.0.0.1:1"]);
    let arrivals = Arrivals::new(args.plan("t").expect("plan"));
    let report = send(&args, arrivals).await.expect("run");
    assert_eq!(report.complete, report.submissions);
    assert!(report.refused_connections > 0);
    assert_eq!(report.broken_connections, 0);
    assert_eq!(entry.requests.lock().len() as u64, report.jobs);
}

#[tokio::test]
async fn starts_are_asked_from_backend_servers() {
    let settings = BackendSettings::new("w1", "quote-desk");
    let backend = Backend::start(settings).await.expect("backend");
    let (address, gone) = (backend.address().to_string(), "127.0.0.1:1");
    let flags = ["--backend", &address, "--backend", gone];
    let (report, _) = run(&[Manner::Whole], &flags).await;
    let starts = report.starts.expect("starts");
    assert_eq!((starts.starts, starts.missing_lists), (0, 1));
}

#[tokio::test]
async fn run_without_entry_is_refused() {
    let args = args(&[], &[]);
    assert!(send(&args, std::iter::empty()).await.is_err());
}

/// Names cases of flags that are refused, and a part of the message.
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
    entry_without_port: "--entry", "127.0.0.1" => "host and a port";
    rate_of_nothing: "--rate", "0" => "above 0";
    rate_without_number: "--rate", "NaN" => "above 0";
    endless_duration: "--duration-s", "inf" => "at most 86400";
    share_above_one: "--resubmit", "1.5" => "from 0 to 1";
    tasks_with_none: "--tasks", "0-5" => "1 to 1000";
    unknown_day: "--day", "sunny" => "calm, burst and advisory";
    prefix_with_blank: "--prefix", "a b" => "job id";
}
