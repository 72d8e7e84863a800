//! The sample job of the demo.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use http::{Method, StatusCode};
use masticcross_standins::http::client::Client;
use serde_json::json;

use super::deployment::Deployment;

/// Number of tasks of the sample job.
const TASK_COUNT: u32 = 12;

/// Run time of the first task, in milliseconds. Each further task runs [`RUN_STEP_MS`] longer.
const FIRST_RUN_MS: u32 = 50;

/// Difference between the run times of consecutive tasks, in milliseconds.
const RUN_STEP_MS: u32 = 10;

/// Timeout for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// The answer to the sample job.
#[derive(Debug)]
pub struct SampleAnswer {
    /// Complete body of the answer.
    pub body: Bytes,
    /// Time from the request to the answer.
    pub took: Duration,
    /// Run time of the longest task.
    pub longest_task: Duration,
}

/// Submits the sample job and checks that the answer is complete.
///
/// # Errors
/// Fails if there is no answer or it is not complete.
pub async fn submit(deployment: Deployment, entry: SocketAddr, job: &str) -> Result<SampleAnswer> {
    let run_ms = |index: u32| FIRST_RUN_MS + index * RUN_STEP_MS;
    let tasks: Vec<_> = (0..TASK_COUNT)
        .map(|index| json!({"payload": {"ms": run_ms(index), "value": index}}))
        .collect();
    let body = json!({"team": deployment.team(), "deadline_ms": 10_000, "tasks": tasks});
    let uri = format!(
        "http://{entry}/v1/services/{}/jobs/{job}",
        deployment.service()
    );
    let started = Instant::now();
    let resp = Client::new(1)
        .send(Method::PUT, &uri, body.to_string().into(), ANSWER_TIMEOUT)
        .await
        .wrap_err("no answer to the sample job")?;
    let took = started.elapsed();
    let text = String::from_utf8_lossy(&resp.body).into_owned();
    ensure!(
        resp.status == StatusCode::OK,
        "the sample job was answered {}: {text}",
        resp.status
    );
    check_results(&resp.body)?;
    Ok(SampleAnswer {
        body: resp.body,
        took,
        longest_task: Duration::from_millis(run_ms(TASK_COUNT - 1).into()),
    })
}

/// Checks that the answer contains the result of every task, in order.
fn check_results(body: &[u8]) -> Result<()> {
    let answer: serde_json::Value = serde_json::from_slice(body)?;
    let results = answer["results"].as_array().cloned().unwrap_or_default();
    let values: Vec<_> = results.iter().map(|r| r["value"].as_u64()).collect();
    let expected: Vec<_> = (0..u64::from(TASK_COUNT)).map(Some).collect();
    ensure!(values == expected, "the answer is not complete: {answer}");
    Ok(())
}
