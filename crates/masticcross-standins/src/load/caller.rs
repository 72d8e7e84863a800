//! A caller: sends a submission, retries through other entries when a connection is lost, and checks
//! the answer.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use masticcross_basics::Digest;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::{Instant, sleep, timeout_at};

use super::submission::Submission;
use crate::http::client::{CallError, Client, Response};

/// Wait for an answer beyond the job's deadline.
const ANSWER_SLACK: Duration = Duration::from_secs(5);

/// Pause before the first retry; doubled with each one.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause before a retry.
const MAX_PAUSE: Duration = Duration::from_millis(640);

/// What a caller got in the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// All results, in order and with the right values.
    Complete {
        /// Digest of the results, equal for equal answers.
        digest: Digest,
    },
    /// Another number of results than tasks.
    Partial,
    /// A result of another task or job.
    WrongValue,
    /// A problem document.
    Refused {
        /// Result code.
        code: u16,
        /// Whether it says that nothing of the request ran.
        not_run: bool,
        /// Its sentence for people.
        detail: String,
    },
    /// Neither results nor a problem document.
    Malformed {
        /// HTTP status.
        status: u16,
    },
    /// No answer in time, over all retries.
    None,
}

/// Failures of one submission on its way to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Losses {
    /// Connections that an entry did not take; nothing was sent.
    pub refused: u32,
    /// Connections that broke with a request in progress.
    pub broken: u32,
}

impl Losses {
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

/// An answer with what it took.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answered {
    /// The answer.
    pub answer: Answer,
    /// Failures on the way, each followed by a retry if there was time.
    pub losses: Losses,
    /// Time from the moment at which the submission was due.
    pub elapsed: Duration,
}

/// Callers that share connections.
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
    /// Creates callers of some entries, which keep up to `connections` idle connections to each.
    #[must_use]
    pub fn new(entries: Arc<[String]>, connections: usize) -> Self {
        Self {
            client: Client::new(connections),
            entries,
        }
    }

    /// Submits a job which was due at a moment, and returns the answer.
    pub async fn submit(&self, submission: &Submission, due: Instant) -> Answered {
        let end = due + submission.deadline + ANSWER_SLACK;
        let mut losses = Losses::default();
        let exchange = self.retry(submission, &mut losses);
        let answer = match timeout_at(end, exchange).await {
            Ok(response) => check(submission, &response),
            Err(_) => Answer::None,
        };
        Answered {
            answer,
            losses,
            elapsed: due.elapsed(),
        }
    }

    /// Sends the submission to one entry after the other until there is a response.
    async fn retry(&self, submission: &Submission, losses: &mut Losses) -> Response {
        let body = submission.body();
        let time = submission.deadline + ANSWER_SLACK;
        loop {
            let attempt = losses.total();
            let entry = submission.entry(attempt, self.entries.len());
            let uri = format!(
                "http://{}/v1/services/{}/jobs/{}",
                self.entries[entry], submission.service, submission.job
            );
            let call = self.client.send(Method::PUT, &uri, body.clone(), time);
            match call.await {
                Ok(response) => return response,
                Err(e) => {
                    log_loss(submission, &e);
                    losses.add(&e);
                }
            }
            sleep(pause(attempt)).await;
        }
    }
}

fn log_loss(submission: &Submission, error: &CallError) {
    log::debug!(job = submission.job.as_str(), error:%; "connection lost");
}

fn pause(retries: u32) -> Duration {
    let factor = 1 << retries.min(16);
    (FIRST_PAUSE * factor).min(MAX_PAUSE)
}

/// Checks a response against the submission: number, order and values of the results.
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
    let echoes = |(result, task): (&&RawValue, &super::TaskSpec)| {
        let result = serde_json::from_str::<TaskResult>(result.get());
        result.is_ok_and(|result| result.value == task.value)
    };
    if !document.results.iter().zip(&submission.tasks).all(echoes) {
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
