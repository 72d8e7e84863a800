//! Tests of the backend server over loopback. They check results and counts, never times.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::{BoxFuture, join_all};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::*;
use crate::http::client::{Client, Response};
use crate::http::server::{CloseConnection, Handler};
use crate::http::{HttpResponse, empty};

/// Timeout that no call of a test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    backend: Backend,
    client: Client,
}

impl Fixture {
    async fn start(behaviour: Behaviour) -> Self {
        let settings = BackendSettings {
            slots: 2,
            connections: 3,
            default_run_time: Duration::ZERO,
            behaviour,
            ..BackendSettings::new("w1", "quote-desk")
        };
        Self {
            backend: Backend::start(settings).await.expect("start"),
            client: Client::new(8),
        }
    }

    async fn call(&self, method: Method, path: &str, body: &Value) -> Response {
        let uri = format!("http://{}{path}", self.backend.address());
        let body = Bytes::from(body.to_string());
        let response = self.client.send(method, &uri, body, LONG_TIMEOUT).await;
        response.expect("response")
    }

    async fn run(&self, job: &str, index: u64, attempt: &str) -> Response {
        let payload = json!({"value": index});
        let body = json!({"service": "quote-desk", "job": job, "index": index,
            "attempt": attempt, "payload": payload});
        self.call(Method::POST, "/tasks", &body).await
    }

    async fn wait_until_running(&self, count: u64) {
        while self.backend.counts().running != count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

fn body(response: &Response) -> Value {
    serde_json::from_slice(&response.body).expect("JSON")
}

/// Defines test cases that get a running backend server.
macro_rules! cases {
    ($($name:ident($fixture:ident, $behaviour:expr) $body:block)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let $fixture = Fixture::start($behaviour).await;
                $body
            }
        )*
    };
}

fn hanging() -> Behaviour {
    Behaviour {
        hang: true,
        ..Behaviour::default()
    }
}

fn failing(fail_share: f64) -> Behaviour {
    Behaviour {
        fail_share,
        ..Behaviour::default()
    }
}

cases! {
    task_result_has_the_value_and_the_worker(f, Behaviour::default()) {
        let response = f.run("a", 3, "1.1").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(body(&response), json!({"result": {"value": 3, "worker": "w1"}}));
        assert_eq!(f.backend.counts().ended, 1);
    }

    task_started_more_than_once_is_counted_once(f, Behaviour::default()) {
        for (job, index, attempt) in [("a", 0, "1.1"), ("a", 1, "1.2"), ("b", 0, "1.3")] {
            f.run(job, index, attempt).await;
        }
        assert_eq!(f.backend.counts().started_more_than_once, 0);
        f.run("a", 1, "2.1").await;
        f.run("a", 1, "2.2").await;
        let counts: Counts = serde_json::from_value(body(
            &f.call(Method::GET, "/counts", &Value::Null).await,
        )).expect("counts");
        assert_eq!((counts.starts, counts.started_more_than_once), (5, 1));
        let starts = f.call(Method::GET, "/starts", &Value::Null).await;
        let list = StartList::decode(starts.body).expect("list");
        let most = list.0.iter().max_by_key(|(_, n)| *n).copied();
        assert_eq!(most, Some((counts::start_key("quote-desk", "a", 1), 3)));
    }

    stopped_task_fails_and_cannot_be_stopped_again(f, hanging()) {
        let run = f.run("a", 0, "1.1");
        let stop = async {
            f.wait_until_running(1).await;
            f.call(Method::DELETE, "/tasks/1.1", &Value::Null).await
        };
        let (run, stop) = tokio::join!(run, stop);
        assert_eq!(run.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(stop.status, StatusCode::NO_CONTENT);
        let counts = f.backend.counts();
        assert_eq!((counts.running, counts.stopped), (0, 1));
        let second_stop = f.call(Method::DELETE, "/tasks/1.1", &Value::Null).await;
        assert_eq!(second_stop.status, StatusCode::NOT_FOUND);
    }

    task_beyond_the_slots_is_refused_and_not_started(f, hanging()) {
        let running = async { tokio::join!(f.run("a", 0, "1.1"), f.run("a", 1, "1.2")) };
        let third = async {
            f.wait_until_running(2).await;
            let third = f.run("a", 2, "1.3").await;
            for attempt in ["/tasks/1.1", "/tasks/1.2"] {
                f.call(Method::DELETE, attempt, &Value::Null).await;
            }
            third
        };
        let (_, third) = tokio::join!(running, third);
        assert_eq!(third.status, StatusCode::SERVICE_UNAVAILABLE);
        let counts = f.backend.counts();
        assert_eq!((counts.starts, counts.over_slots), (2, 1));
    }

    put_behaviour_changes_behaviour_and_rejects_unknown_fields(f, failing(1.0)) {
        assert_eq!(f.run("a", 0, "1.1").await.status, StatusCode::INTERNAL_SERVER_ERROR);
        f.call(Method::PUT, "/behaviour", &json!({})).await;
        assert_eq!(f.run("a", 1, "1.2").await.status, StatusCode::OK);
        let bad = f.call(Method::PUT, "/behaviour", &json!({"lazy": true})).await;
        assert_eq!(bad.status, StatusCode::BAD_REQUEST);
    }

    servers_with_the_same_seed_fail_the_same_tasks(f, failing(0.5)) {
        let other = Fixture::start(failing(0.5)).await;
        let mut statuses = Vec::new();
        for fixture in [&f, &other] {
            let mut run = Vec::new();
            for index in 0..40 {
                run.push(fixture.run("a", index, "1.1").await.status);
            }
            statuses.push(run);
        }
        assert_eq!(statuses[0], statuses[1]);
        assert!(statuses[0].contains(&StatusCode::OK));
    }

    connections_above_the_limit_are_closed(f, Behaviour {
        limit_connections: true, ..hanging()
    }) {
        let uri = format!("http://{}/counts", f.backend.address());
        let running = async { tokio::join!(f.run("a", 0, "1.1"), f.run("a", 1, "1.2")) };
        let others = async {
            f.wait_until_running(2).await;
            let clients: Vec<Client> = (0..3).map(|_| Client::new(1)).collect();
            let mut accepted = 0;
            for client in &clients {
                let response = client.send(Method::GET, &uri, Bytes::new(), LONG_TIMEOUT).await;
                accepted += usize::from(response.is_ok());
            }
            let stop = format!("http://{}/tasks", f.backend.address());
            for attempt in ["1.1", "1.2"] {
                let uri = format!("{stop}/{attempt}");
                clients[0]
                    .send(Method::DELETE, &uri, Bytes::new(), LONG_TIMEOUT)
                    .await
                    .expect("stop");
            }
            accepted
        };
        let (_, accepted) = tokio::join!(running, others);
        assert_eq!(accepted, 1);
    }
}

#[test]
fn start_list_is_decoded_unless_an_entry_is_incomplete() {
    let list = StartList(vec![(counts::start_key("s", "j", 0), 2)]);
    assert_eq!(StartList::decode(list.encode()), Ok(list.clone()));
    let truncated = list.encode().slice(1..);
    assert_eq!(StartList::decode(truncated), Err(StartListError(19)));
}

/// Agent that records the method and path of each call.
struct RecordingAgent(mpsc::UnboundedSender<(Method, String)>);

impl Handler for RecordingAgent {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, std::result::Result<HttpResponse, CloseConnection>> {
        let call = (request.method().clone(), request.uri().path().to_owned());
        let _ = self.0.send(call);
        Box::pin(async { Ok(empty(StatusCode::NO_CONTENT)) })
    }
}

#[tokio::test]
async fn announcement_is_renewed_and_withdrawn_on_close() {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let agent = Server::start(listener, Arc::new(RecordingAgent(tx))).expect("agent");
    let settings = BackendSettings {
        agent: Some(agent.address().to_string()),
        ttl: Duration::from_millis(30),
        ..BackendSettings::new("w1", "quote-desk")
    };
    let backend = Backend::start(settings).await.expect("start");
    let path = "/v1/backends/w1".to_owned();
    for _ in 0..3 {
        assert_eq!(rx.recv().await, Some((Method::PUT, path.clone())));
    }
    backend.close(LONG_TIMEOUT).await;
    let mut last = None;
    while let Ok(call) = rx.try_recv() {
        last = Some(call);
    }
    assert_eq!(last, Some((Method::DELETE, path)));
}

#[tokio::test]
async fn close_waits_for_running_tasks() {
    let f = Fixture::start(Behaviour::default()).await;
    let uri = format!("http://{}/tasks", f.backend.address());
    let runs = (0..2).map(|index| {
        let body = json!({"service": "quote-desk", "job": "a", "index": index,
            "attempt": index.to_string(), "payload": {"ms": 100}});
        let (client, uri) = (f.client.clone(), uri.clone());
        tokio::spawn(async move {
            client
                .send_json(Method::POST, &uri, &body, LONG_TIMEOUT)
                .await
        })
    });
    let runs: Vec<_> = runs.collect();
    f.wait_until_running(2).await;
    f.backend.close(LONG_TIMEOUT).await;
    for run in join_all(runs).await {
        assert!(run.expect("join").is_ok());
    }
}
