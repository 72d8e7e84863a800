//! A simulated caller: sends a submission, retries through other entries when a connection fails,
//! and checks the answer.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use masticcross_basics::Digest;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::{Instant, sleep, timeout_at};

use super::submission::Submission;
use crate::http::client::{CallError, Client, Response};

/// Time to wait for an answer after the job's deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Backoff before the first retry; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Longest backoff before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// Final result of a submission, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// All results, in order and with the expected values.
    Complete {
        /// Digest of the results; equal answers have equal digests.
        digest: Digest,
    },
    /// The number of results differs from the number of tasks.
    Partial,
    /// A result has the value of another task or job.
    WrongValue,
    /// A problem document.
    Refused {
        /// Result code.
        code: u16,
        /// Whether it states that no task of the request ran.
        not_run: bool,
        /// Its human-readable explanation.
        detail: String,
    },
    /// Neither results nor a problem document.
    Malformed {
        /// HTTP status.
        status: u16,
    },
    /// No answer in time, including all retries.
    None,
}

/// Counts of failed connections of one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConnectionFailures {
    /// Connections that an entry refused; nothing was sent.
    pub refused: u32,
    /// Connections that broke with a request in progress.
    pub broken: u32,
}

impl ConnectionFailures {
    /// Returns the number of failures.
    #[must_use]
    pub fn total(self) -> u32 {
        self.refused + self.broken
    }

    fn add(&mut self, error: &CallError) {
        if error.is_connect() {
            self.refused += 1;
        } else {
            self.broken += 1;
        }
    }
}

/// The answer to a submission, with its response time and the failures before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallOutcome {
    /// The answer.
    pub answer: Answer,
    /// Failed connections, each followed by a retry if there was time.
    pub failures: ConnectionFailures,
    /// Time from the scheduled start of the submission to the answer.
    pub elapsed: Duration,
}

/// A caller; its clones share connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    entries: Arc<[String]>,
}

#[derive(Deserialize)]
struct ResultsDocument<'a> {
    #[serde(borrow)]
    results: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct TaskResult {
    value: u64,
}

#[derive(Deserialize)]
struct ProblemDocument {
    code: u16,
    not_run: bool,
    #[serde(default)]
    detail: String,
}

impl Caller {
    /// Creates a caller of some entries that keeps up to `connections` idle connections to each.
    #[must_use]
    pub fn new(entries: Arc<[String]>, connections: usize) -> Self {
        Self {
            client: Client::new(connections),
            entries,
        }
    }

    /// Submits a job that was scheduled for `due`, and returns the answer.
    pub async fn submit(&self, submission: &Submission, due: Instant) -> CallOutcome {
        let end = due + submission.deadline + ANSWER_GRACE;
        let mut failures = ConnectionFailures::default();
        let exchange = self.send_with_retries(submission, &mut failures);
        let answer = match timeout_at(end, exchange).await {
            Ok(response) => check(submission, &response),
            Err(_) => Answer::None,
        };
        CallOutcome {
            answer,
            failures,
            elapsed: due.elapsed(),
        }
    }

    /// Sends the submission to one entry after another until it receives a response.
    async fn send_with_retries(
        &self,
        submission: &Submission,
        failures: &mut ConnectionFailures,
    ) -> Response {
        let body = submission.body();
        let timeout = submission.deadline + ANSWER_GRACE;
        loop {
            let attempt = failures.total();
            let entry = submission.entry(attempt, self.entries.len());
            let uri = format!(
                "http://{}/v1/services/{}/jobs/{}",
                self.entries[entry], submission.service, submission.job
            );
            let call = self.client.send(Method::PUT, &uri, body.clone(), timeout);
            match call.await {
                Ok(response) => return response,
                Err(e) => {
                    log_failure(submission, &e);
                    failures.add(&e);
                }
            }
            sleep(backoff(attempt)).await;
        }
    }
}

fn log_failure(submission: &Submission, error: &CallError) {
    log::debug!(job = submission.job.as_str(), error:%; "request failed, retrying");
}

fn backoff(retries: u32) -> Duration {
    let factor = 1 << retries.min(16);
    (INITIAL_BACKOFF * factor).min(MAX_BACKOFF)
}

/// Checks the number, order and values of the results in a response to a submission.
#[must_use]
pub fn check(submission: &Submission, response: &Response) -> Answer {
    if response.status == StatusCode::OK {
        return check_results(submission, &response.body);
    }
    match serde_json::from_slice::<ProblemDocument>(&response.body) {
        Ok(problem) => Answer::Refused {
            code: problem.code,
            not_run: problem.not_run,
            detail: problem.detail,
        },
        Err(_) => malformed(response.status),
    }
}

fn check_results(submission: &Submission, body: &[u8]) -> Answer {
    let Ok(document) = serde_json::from_slice::<ResultsDocument>(body) else {
        return malformed(StatusCode::OK);
    };
    if document.results.len() != submission.tasks.len() {
        return Answer::Partial;
    }
    let matches_task = |(result, task): (&&RawValue, &super::TaskSpec)| {
        let result = serde_json::from_str::<TaskResult>(result.get());
        result.is_ok_and(|result| result.value == task.value)
    };
    if !document
        .results
        .iter()
        .zip(&submission.tasks)
        .all(matches_task)
    {
        return Answer::WrongValue;
    }
    let results = document.results.iter().map(|r| r.get().as_bytes());
    Answer::Complete {
        digest: Digest::of(results),
    }
}

fn malformed(status: StatusCode) -> Answer {
    Answer::Malformed {
        status: status.as_u16(),
    }
}
