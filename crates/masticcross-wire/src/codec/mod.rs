//! Encoding and decoding of batches of frames.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use thiserror::Error;

use crate::frame::{AttemptState, Frame, TaskOutcome};
use crate::job::{JobAnswer, JobRecord, JobRequest, Json, TaskRecord};
use crate::pool::OperatorView;

/// Largest accepted size of a batch, in bytes.
pub const MAX_BATCH_BYTES: usize = 32 * 1024 * 1024;

/// Estimated encoded size of a frame or of one of its parts, without the JSON in it, in bytes.
const PART_BYTES: usize = 128;

/// Why a batch could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frames could not be encoded.
    #[error("frames could not be encoded: {0}")]
    Encode(String),
    /// The bytes are not a batch of frames.
    #[error("bytes are no batch of frames: {0}")]
    Decode(String),
    /// The batch is over [`MAX_BATCH_BYTES`].
    #[error("batch of {0} bytes is over the limit of {MAX_BATCH_BYTES}")]
    TooLarge(usize),
}

/// Result of encoding or decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes a batch.
///
/// # Errors
/// Fails if the batch is over [`MAX_BATCH_BYTES`].
pub fn encode(batch: &[Frame]) -> Result<Bytes> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(batch, &mut buf).map_err(|e| CodecError::Encode(e.to_string()))?;
    if buf.len() > MAX_BATCH_BYTES {
        return Err(CodecError::TooLarge(buf.len()));
    }
    Ok(buf.into())
}

/// Decodes a batch.
///
/// # Errors
/// Fails if the bytes are over [`MAX_BATCH_BYTES`], are not a batch, or continue after it.
pub fn decode(bytes: &[u8]) -> Result<Vec<Frame>> {
    if bytes.len() > MAX_BATCH_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let batch = ciborium::from_reader(&mut rest).map_err(|e| CodecError::Decode(e.to_string()))?;
    if !rest.is_empty() {
        return Err(CodecError::Decode(format!(
            "{} bytes left over",
            rest.len()
        )));
    }
    Ok(batch)
}

/// Encodes an operator view.
///
/// # Errors
/// Fails if the view cannot be encoded.
pub fn encode_view(view: &OperatorView) -> Result<Bytes> {
    let mut buf = Vec::new();
    ciborium::into_writer(view, &mut buf).map_err(|e| CodecError::Encode(e.to_string()))?;
    Ok(buf.into())
}

/// Decodes an operator view.
///
/// # Errors
/// Fails if the bytes are not an operator view.
pub fn decode_view(bytes: &[u8]) -> Result<OperatorView> {
    ciborium::from_reader(bytes).map_err(|e| CodecError::Decode(e.to_string()))
}

/// Estimates the encoded size of a frame, for the limits of a batch. The JSON in the frame counts
/// with its length, everything else with a fixed size per part.
#[must_use]
pub fn estimated_bytes(frame: &Frame) -> usize {
    let body = match frame {
        Frame::Start(start) => {
            let payloads = start.tasks.iter().map(|task| &task.payload);
            json_bytes(payloads)
        }
        Frame::Ended(ended) => outcome_bytes(&ended.outcome),
        Frame::Gathered(gathered) => {
            let states = gathered.attempts.iter().map(|report| &report.state);
            states.map(state_bytes).sum()
        }
        Frame::Submit(submit) => request_bytes(&submit.request),
        Frame::Reply(reply) => answer_bytes(&reply.answer),
        Frame::Handover(handover) => handover.jobs.iter().map(record_bytes).sum(),
        Frame::Pong(pong) => pong.view.as_ref().map_or(0, |view| {
            (view.members.len() + view.partitions.len()) * PART_BYTES
        }),
        Frame::Release(keys) => keys.len() * PART_BYTES,
        Frame::Stop(stop) => stop.attempts.len() * PART_BYTES,
        Frame::Backends(backends) => backends.len() * PART_BYTES,
        Frame::AgentContactQuery(agents) => agents.len() * PART_BYTES,
        Frame::AgentContactReply {
            queried,
            in_contact,
        } => (queried.len() + in_contact.len()) * PART_BYTES,
        Frame::Pool(frame) => frame.part_count() * PART_BYTES + frame.text_bytes(),
        Frame::Peer(frame) => frame.part_count() * PART_BYTES + frame.text_bytes(),
        Frame::Hello(_)
        | Frame::Goodbye(_)
        | Frame::Ping(_)
        | Frame::Credit(_)
        | Frame::Demand(_)
        | Frame::Gather(_)
        | Frame::Query(_)
        | Frame::HandoverReceived(_)
        | Frame::Drain => 0,
    };
    PART_BYTES + body
}

fn json_bytes<'a>(values: impl IntoIterator<Item = &'a Json>) -> usize {
    values.into_iter().map(|json| PART_BYTES + json.len()).sum()
}

fn outcome_bytes(outcome: &TaskOutcome) -> usize {
    match outcome {
        TaskOutcome::Done(json) => PART_BYTES + json.len(),
        TaskOutcome::Failed(text) => PART_BYTES + text.len(),
        TaskOutcome::Stopped | TaskOutcome::NotStarted(_) | TaskOutcome::ResultDropped => {
            PART_BYTES
        }
    }
}

fn state_bytes(state: &AttemptState) -> usize {
    match state {
        AttemptState::Queued | AttemptState::Running => PART_BYTES,
        AttemptState::Ended(outcome) => PART_BYTES + outcome_bytes(outcome),
    }
}

fn request_bytes(request: &JobRequest) -> usize {
    PART_BYTES + json_bytes(&request.tasks)
}

fn answer_bytes(answer: &JobAnswer) -> usize {
    match answer {
        JobAnswer::Complete(results) => json_bytes(results.iter()),
        JobAnswer::Refused(refusal) => PART_BYTES + refusal.detail.len(),
        JobAnswer::Running(_) | JobAnswer::NotOwner => PART_BYTES,
    }
}

fn record_bytes(record: &JobRecord) -> usize {
    let task_bytes = |task: &TaskRecord| match task {
        TaskRecord::Waiting | TaskRecord::Placed { .. } => PART_BYTES,
        TaskRecord::Ended(outcome) => PART_BYTES + outcome_bytes(outcome),
    };
    let answer = record.answer.as_ref().map_or(0, answer_bytes);
    request_bytes(&record.request) + record.tasks.iter().map(task_bytes).sum::<usize>() + answer
}
