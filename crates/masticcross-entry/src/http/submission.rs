//! Bodies of submissions and answers.

use masticcross_basics::job::MAX_TASKS;
use masticcross_basics::name::check_name;
use masticcross_basics::{Code, JobKey};
use masticcross_config::Service;
use masticcross_http::{Problem, read_json};
use masticcross_wire::{JobRequest, JobState, Json, Refusal};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Result of reading a submission.
pub type Result<T> = std::result::Result<T, Problem>;

/// Body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission<'a> {
    team: String,
    #[serde(default = "default_repeatable")]
    repeatable: bool,
    #[serde(default)]
    deadline_ms: Option<u32>,
    #[serde(borrow)]
    tasks: Vec<SubmittedTask<'a>>,
}

fn default_repeatable() -> bool {
    true
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmittedTask<'a> {
    #[serde(borrow)]
    payload: &'a RawValue,
}

/// Body of an answer with results.
#[derive(Debug, Serialize)]
struct ResultsBody<'a> {
    job: &'a str,
    results: Vec<&'a RawValue>,
}

/// Body of an answer with the state of a job.
#[derive(Debug, Serialize)]
struct StateBody<'a> {
    job: &'a str,
    state: &'static str,
    tasks: u16,
    ended: u16,
}

/// Parses a submission for a service.
///
/// # Errors
/// Returns a problem that names the field and the reason. Nothing of a malformed request runs.
pub fn parse(key: JobKey, service: &Service, bytes: &[u8]) -> Result<JobRequest> {
    let submission: Submission<'_> = read_json(bytes)?;
    let team = check_name(&submission.team)
        .map_err(|e| Problem::new(Code::InvalidField, true, format!("team: {e}")))?;
    check_task_count(submission.tasks.len())?;
    let deadline_ms = check_deadline(service, submission.deadline_ms)?;
    let payloads = submission.tasks.iter();
    Ok(JobRequest {
        key,
        team,
        repeatable: submission.repeatable,
        deadline_ms,
        tasks: payloads.map(|t| Json::from(t.payload.get())).collect(),
    })
}

fn check_task_count(count: usize) -> Result<()> {
    if (1..=MAX_TASKS).contains(&count) {
        return Ok(());
    }
    let detail = format!("tasks: a job has 1 to {MAX_TASKS} tasks, this one has {count}");
    Err(Problem::new(Code::TaskCount, true, detail))
}

fn check_deadline(service: &Service, requested: Option<u32>) -> Result<u32> {
    let max = service.max_deadline_ms;
    let deadline = requested.unwrap_or(service.default_deadline_ms);
    if (1..=max).contains(&deadline) {
        return Ok(deadline);
    }
    let detail = format!("deadline_ms: must be 1 to {max}, is {deadline}");
    Err(Problem::new(Code::InvalidField, true, detail))
}

/// Serializes the results of a complete job.
///
/// # Errors
/// Returns an error if a result is not JSON. Agents accept only results that are JSON.
pub fn results_json(key: &JobKey, results: &[Json]) -> serde_json::Result<String> {
    let results = results.iter().map(|r| serde_json::from_str(r));
    let body = ResultsBody {
        job: &key.job,
        results: results.collect::<serde_json::Result<_>>()?,
    };
    serde_json::to_string(&body)
}

/// Serializes the state of a job that has not ended.
///
/// # Errors
/// Never fails for the fields of a state.
pub fn state_json(key: &JobKey, state: JobState) -> serde_json::Result<String> {
    serde_json::to_string(&StateBody {
        job: &key.job,
        state: if state.admitted {
            "running"
        } else {
            "received"
        },
        tasks: state.tasks,
        ended: state.ended,
    })
}

/// Converts a refusal to a problem document.
#[must_use]
pub fn problem_of(refusal: Refusal) -> Problem {
    Problem::new(refusal.code, refusal.not_run, refusal.detail)
        .retry_after_ms(refusal.retry_after_ms)
}
