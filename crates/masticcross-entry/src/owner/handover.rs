//! Planned handover: exports the table of a partition as records and imports it.

use std::time::Duration;

use masticcross_basics::{AttemptId, Name, Partition};
use masticcross_wire::{Handover, JobRecord, JobRequest, TaskOutcome, TaskRecord};
use tokio::time::Instant;

use super::AgentId;
use super::effect::{Effect, Waiters};
use super::job::{Connection, Job, Placement, Stage, Task, TaskState};
use super::loss::UNCERTAIN_ATTEMPT;
use super::shard::{Context, Phase, Shard, answer_bytes};

/// Maximum number of jobs in one frame.
const JOBS_PER_FRAME: usize = 128;

/// A table that is being received in a handover.
#[derive(Debug, Default)]
pub(super) struct Incoming {
    /// Jobs received so far.
    pub jobs: Vec<JobRecord>,
    /// True once all have been received.
    pub is_complete: bool,
}

impl Shard {
    /// Stops new starts for a handover. Returns false if the partition is not open.
    pub(super) fn begin_handover(&mut self) -> bool {
        let is_open = matches!(self.phase, Phase::Open);
        if is_open {
            self.phase = Phase::HandingOver;
        }
        is_open
    }

    /// Returns true if every admission and every end is in the log, and no task depends on a missing
    /// agent's report. The next owner assumes that all ends are recorded.
    pub(super) fn is_ready_for_handover(&self) -> bool {
        let is_ready = |job: &Job| match job.stage {
            Stage::Admitting => false,
            Stage::Running => job.tasks.iter().all(|t| t.state != TaskState::Uncertain),
            Stage::Recovered => true,
        };
        let is_recorded = self.unrecorded == 0;
        is_recorded && self.missing_agents.is_empty() && self.jobs.values().all(is_ready)
    }

    /// Reopens the partition after a failed handover.
    pub(super) fn cancel_handover(&mut self, cx: &mut Context<'_>) {
        if !matches!(self.phase, Phase::HandingOver) {
            return;
        }
        let mut waiting = Vec::new();
        for job in self.jobs.values_mut().filter(|j| j.stage == Stage::Running) {
            waiting.extend(job.queue_where(|state| *state == TaskState::Waiting));
        }
        cx.effects.push(Effect::Enqueue(waiting));
        self.open(cx);
    }

    /// Exports the table as frames for the next owner.
    pub(super) fn export(&self, now: Instant) -> Vec<Handover> {
        let lost_missing_agent = self.lost_missing_agent;
        let running = self.jobs.values();
        let running = running.map(|job| running_record(job, lost_missing_agent, now));
        let ended = self.ended.iter().map(|(key, ended)| JobRecord {
            request: empty_request(key.clone(), Name::from(""), true),
            digest: ended.digest,
            left_ms: 0,
            age_ms: millis(now.saturating_duration_since(ended.ended_at)),
            tasks: Vec::new(),
            ran: true,
            answer: ended.answer.clone(),
        });
        let mut jobs: Vec<JobRecord> = running.chain(ended).collect();
        jobs.sort_by(|a, b| a.request.key.cmp(&b.request.key));
        frames(self.partition, self.epoch, &jobs)
    }

    /// Imports a table sent by the previous owner and returns the agents that have attempts.
    pub(super) fn import(&mut self, jobs: Vec<JobRecord>, cx: &mut Context<'_>) -> Vec<AgentId> {
        self.phase = Phase::Open;
        let mut placed_agents = Vec::new();
        for record in jobs {
            if record.tasks.is_empty() {
                self.import_ended(record, cx);
            } else {
                self.import_running(record, &mut placed_agents, cx);
            }
        }
        placed_agents.sort();
        placed_agents.dedup();
        placed_agents
    }

    fn import_ended(&mut self, record: JobRecord, cx: &mut Context<'_>) {
        if let Some(answer) = &record.answer {
            let effect = Effect::TrackAnswer(record.request.key.clone(), answer_bytes(answer));
            cx.effects.push(effect);
        }
        let age = Duration::from_millis(record.age_ms);
        let at = cx.now.checked_sub(age).unwrap_or(cx.now);
        let key = record.request.key;
        self.insert_ended(&key, record.digest, record.answer, at);
        self.mark_recorded(&key);
    }

    fn import_running(
        &mut self,
        record: JobRecord,
        placed_agents: &mut Vec<AgentId>,
        cx: &mut Context<'_>,
    ) {
        let mut job = job_from(record, cx.now);
        let placed = job.tasks.iter().filter_map(Task::placement);
        placed_agents.extend(placed.map(|p| p.agent.clone()));
        if job.stage == Stage::Running {
            let waiting = job.queue_where(|state| *state == TaskState::Idle);
            cx.effects.push(Effect::Enqueue(waiting));
        }
        let key = job.key.clone();
        self.schedule_wakeup(job.deadline, &key);
        self.jobs.insert(key, job);
    }
}

fn running_record(job: &Job, lost_missing_agent: bool, now: Instant) -> JobRecord {
    let uncertain_task_record = if job.lost_before_takeover || lost_missing_agent {
        uncertain_record()
    } else {
        TaskRecord::Waiting
    };
    let record_of = |task: &Task| task_record(&task.state, &uncertain_task_record);
    let mut request = empty_request(job.key.clone(), job.team.clone(), job.repeatable);
    request.tasks.clone_from(&job.payloads);
    let remaining_ms = millis(job.deadline.saturating_duration_since(now));
    request.deadline_ms = u32::try_from(remaining_ms).unwrap_or(u32::MAX);
    JobRecord {
        left_ms: request.deadline_ms,
        request,
        digest: job.digest,
        age_ms: millis(now.saturating_duration_since(job.arrived)),
        tasks: job.tasks.iter().map(record_of).collect(),
        ran: job.may_have_run_before,
        answer: None,
    }
}

/// Returns the record of a task that may have started at an agent that was lost.
fn uncertain_record() -> TaskRecord {
    TaskRecord::Placed {
        attempt: UNCERTAIN_ATTEMPT,
        worker: Name::from(""),
        incarnation: 0,
    }
}

fn task_record(state: &TaskState, uncertain_task_record: &TaskRecord) -> TaskRecord {
    match state {
        TaskState::Idle | TaskState::Waiting | TaskState::Backoff(_) => TaskRecord::Waiting,
        TaskState::Placed(placement) => TaskRecord::Placed {
            attempt: placement.attempt,
            worker: placement.agent.worker.clone(),
            incarnation: placement.agent.incarnation,
        },
        TaskState::Uncertain => uncertain_task_record.clone(),
        TaskState::Done(result) => TaskRecord::Ended(TaskOutcome::Done(result.clone())),
    }
}

fn job_from(record: JobRecord, now: Instant) -> Job {
    let stage = if record.request.tasks.is_empty() {
        Stage::Recovered
    } else {
        Stage::Running
    };
    let age = Duration::from_millis(record.age_ms);
    let tasks: Vec<Task> = record.tasks.into_iter().map(task_from).collect();
    Job {
        key: record.request.key,
        team: record.request.team,
        repeatable: record.request.repeatable,
        digest: record.digest,
        payloads: record.request.tasks,
        may_have_run_before: record.ran,
        lost_before_takeover: tasks.iter().any(|t| t.state == TaskState::Uncertain),
        tasks,
        stage,
        arrived: now.checked_sub(age).unwrap_or(now),
        deadline: now + Duration::from_millis(record.left_ms.into()),
        waiters: Waiters::new(),
        result_holders: std::collections::BTreeSet::new(),
    }
}

fn task_from(record: TaskRecord) -> Task {
    let state = match record {
        TaskRecord::Waiting | TaskRecord::Ended(TaskOutcome::NotStarted(_)) => TaskState::Idle,
        TaskRecord::Placed { attempt, .. } if attempt == UNCERTAIN_ATTEMPT => TaskState::Uncertain,
        TaskRecord::Placed {
            attempt,
            worker,
            incarnation,
        } => placed(attempt, worker, incarnation),
        TaskRecord::Ended(TaskOutcome::Done(result)) => TaskState::Done(result),
        TaskRecord::Ended(_) => TaskState::Uncertain,
    };
    Task::new(state)
}

fn placed(attempt: AttemptId, worker: Name, incarnation: u64) -> TaskState {
    TaskState::Placed(Placement {
        attempt,
        agent: AgentId {
            worker,
            incarnation,
        },
        connection: Connection::AwaitingReport,
    })
}

fn empty_request(key: masticcross_basics::JobKey, team: Name, repeatable: bool) -> JobRequest {
    JobRequest {
        key,
        team,
        repeatable,
        deadline_ms: 0,
        tasks: Vec::new(),
    }
}

fn frames(
    partition: Partition,
    epoch: masticcross_basics::Epoch,
    jobs: &[JobRecord],
) -> Vec<Handover> {
    let frame = |jobs: &[JobRecord], last| Handover {
        partition,
        epoch,
        jobs: jobs.to_vec(),
        last,
    };
    let mut frames: Vec<Handover> = jobs
        .chunks(JOBS_PER_FRAME)
        .map(|chunk| frame(chunk, false))
        .collect();
    match frames.last_mut() {
        Some(last) => last.last = true,
        None => frames.push(frame(&[], true)),
    }
    frames
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
