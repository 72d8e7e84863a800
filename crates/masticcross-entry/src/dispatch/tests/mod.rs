//! Tests of queue, worker selection and shard of one service, without sessions.

mod queue;
mod shard;
mod workers;

use std::time::Duration;

use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{AttemptId, Epoch, JobKey, Name};
use masticcross_wire::{TaskEnded, TaskOutcome};
use tokio::time::Instant;

use super::WaitingTask;
use super::workers::WorkerSession;

const SERVICE: &str = "quote-desk";

fn key(job: &str) -> JobKey {
    JobKey::new(SERVICE, job).expect("a valid id")
}

fn waiting_tasks(job: &str, team: &str, tasks: u16, arrived: Instant) -> Vec<WaitingTask> {
    let task = |index| WaitingTask {
        key: key(job),
        index,
        team: Name::from(team),
        deadline: arrived + Duration::from_secs(10),
        arrived,
        job_tasks: tasks,
        avoid: Vec::new(),
    };
    (0..tasks).map(task).collect()
}

fn worker_session(worker: &str, zone: &str, number: u64, slots: u32) -> WorkerSession {
    WorkerSession {
        worker: Name::from(worker),
        incarnation: 1,
        zone: Name::from(zone),
        number,
        slots,
    }
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId {
        epoch: Epoch(1),
        seq,
    }
}

fn ended(job: &str, seq: u64, outcome: TaskOutcome, run: Duration) -> TaskEnded {
    TaskEnded {
        key: key(job),
        index: 0,
        attempt: attempt(seq),
        outcome,
        run_us: u64::try_from(run.as_micros()).expect("a short time"),
        timestamp: Timestamp::default(),
    }
}
