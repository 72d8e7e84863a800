//! Transfer of jobs between entries. It answers the load in which an entry gets more jobs than its own
//! processor can handle while other entries and the workers have capacity left.
//!
//! The entry that holds the callers' connections is the [`origin`]: it transfers a job at most once, at
//! its arrival, before any run. From then on the [`receiver`] owns the job, and the origin only
//! forwards the answer. A receiver never transfers a received job again. [`credit`] decides how many
//! jobs a receiver accepts, and [`selection`] which entries an origin opens sessions to.
//!
//! These modules do no I/O. Methods take the current time and return what the caller must execute.

pub mod credit;
pub mod origin;
pub mod receiver;
pub mod selection;
#[cfg(test)]
mod tests;

use std::time::Duration;

use masticcross_wire::peer::{TransferredJob, TransferredStep};
use tokio::time::Instant;

use crate::job::{JobRequest, StepRequest};

/// Interval of the origin's probes. A credit is valid until the next echo.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Longest accepted name in a transferred job, in bytes.
const MAX_NAME_BYTES: usize = 1_024;

/// Longest accepted specification, in bytes. The callers' interface accepts no larger bodies.
const MAX_SPEC_BYTES: usize = 262_144;

/// Number of a job on its session.
pub type TransferNumber = u64;

/// Creates the message that transfers a job.
#[must_use]
pub fn to_wire(
    request: &JobRequest,
    number: TransferNumber,
    arrived: Instant,
    view_position: u64,
    now: Instant,
) -> TransferredJob {
    TransferredJob {
        number,
        id: request.id.clone(),
        queue: request.queue.clone(),
        spec: request.spec.clone(),
        steps: request.steps.iter().map(TransferredStep::from).collect(),
        age_ms: millis(now.saturating_duration_since(arrived)),
        remaining_ms: millis(request.deadline.saturating_duration_since(now)),
        view_position,
    }
}

/// Returns the request of a received job and the time at which it arrived at the origin.
///
/// # Errors
/// Returns a description of the first value outside its limits.
pub fn from_wire(
    job: &TransferredJob,
    now: Instant,
) -> Result<(JobRequest, Instant), &'static str> {
    let is_long = |name: &masticcross_basics::Name| name.len() > MAX_NAME_BYTES;
    let labels = |step: &TransferredStep| {
        step.label.as_ref().is_some_and(is_long) || step.data_label.as_ref().is_some_and(is_long)
    };
    if is_long(&job.id) || is_long(&job.queue) || job.steps.iter().any(labels) {
        return Err("a name is too long");
    }
    if job.spec.len() > MAX_SPEC_BYTES {
        return Err("the specification is too long");
    }
    let request = JobRequest {
        id: job.id.clone(),
        queue: job.queue.clone(),
        spec: job.spec.clone(),
        steps: job.steps.iter().map(StepRequest::from).collect(),
        deadline: now + Duration::from_millis(job.remaining_ms.into()),
    };
    // The origin checks a job before it transfers it.
    request.check().map_err(|_| "the steps are invalid")?;
    let age = Duration::from_millis(job.age_ms.into());
    Ok((request, now.checked_sub(age).unwrap_or(now)))
}

impl From<&StepRequest> for TransferredStep {
    fn from(step: &StepRequest) -> Self {
        Self {
            count: step.count,
            resources: step.resources,
            expected_ms: step.expected_ms,
            after: step.after.clone(),
            label: step.label.clone(),
            data_label: step.data_label.clone(),
            max_per_worker: step.max_per_worker,
        }
    }
}

impl From<&TransferredStep> for StepRequest {
    fn from(step: &TransferredStep) -> Self {
        Self {
            count: step.count,
            resources: step.resources,
            expected_ms: step.expected_ms,
            after: step.after.clone(),
            label: step.label.clone(),
            data_label: step.data_label.clone(),
            max_per_worker: step.max_per_worker,
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
