//! Tests of the decisions on one partition's table, with a simulated clock.

mod jobs;
mod loss;
mod takeover;

use std::time::Duration;

use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name, Partition};
use masticcross_config::Times;
use masticcross_wire::{JobAnswer, JobRequest, Json, TaskEnded, TaskOutcome};
use tokio::time::Instant;

use super::effect::Effect;
use super::job::Connection;
use super::settings::{OwnerSettings, Rules};
use super::shard::{Context, Phase, Shard};
use super::{AgentId, Grant};
use crate::dispatch::WaitingTask;

const EPOCH: Epoch = Epoch(9);
const VIEW: u64 = 5;

/// A table with its simulated clock.
struct Table {
    shard: Shard,
    rules: Rules,
    now: Instant,
    next_seq: u64,
}

impl Table {
    fn open() -> Self {
        let mut table = Self {
            shard: Shard::new(Partition(0)),
            rules: Rules {
                recovered_job_timeout: Duration::from_secs(30),
                ..Rules::new(None, Times::default().fence(), &OwnerSettings::default())
            },
            now: Instant::now(),
            next_seq: 1,
        };
        table.decide(|shard, cx| shard.open_empty(EPOCH, Phase::Open, cx));
        table
    }

    fn decide(&mut self, decision: impl FnOnce(&mut Shard, &mut Context<'_>)) -> Vec<Effect> {
        let mut cx = Context::new(self.now, &self.rules);
        decision(&mut self.shard, &mut cx);
        cx.effects.into_vec()
    }

    fn advance(&mut self, time: Duration) -> Vec<Effect> {
        self.now += time;
        self.decide(Shard::on_timer)
    }

    /// Adds a job and makes its admission durable. Returns its waiting tasks.
    fn admit(&mut self, job: &JobRequest) -> Vec<WaitingTask> {
        self.decide(|shard, cx| {
            drop(shard.add_job(job.clone(), job.digest(), VIEW, cx));
        });
        queued(&self.decide(|shard, cx| shard.admitted(&job.key, EPOCH, cx)))
    }

    fn grant(&mut self, waiting: &WaitingTask, agent: &AgentId) -> Option<Grant> {
        let seq = self.next_seq;
        self.next_seq += 1;
        let mut granted = None;
        self.decide(|shard, cx| {
            granted = shard.grant(waiting, agent, Connection::Connected, seq, cx);
        });
        granted
    }

    fn place(&mut self, waiting: &WaitingTask, agent: &AgentId) -> AttemptId {
        let grant = self.grant(waiting, agent);
        grant.expect("the task may start").attempt
    }

    fn end_attempt(
        &mut self,
        agent: &AgentId,
        waiting: &WaitingTask,
        attempt: AttemptId,
        outcome: TaskOutcome,
    ) -> Vec<Effect> {
        let ended = TaskEnded {
            key: waiting.key.clone(),
            index: waiting.index,
            attempt,
            outcome,
            run_us: 1,
            timestamp: masticcross_basics::timeline::Timestamp::default(),
        };
        self.decide(|shard, cx| shard.attempt_ended(agent, ended, cx))
    }

    fn answer(&self, key: &JobKey) -> Option<JobAnswer> {
        self.shard.ended.get(key).and_then(|e| e.answer.clone())
    }

    fn code(&self, key: &JobKey) -> Option<(Code, bool)> {
        match self.answer(key)? {
            JobAnswer::Refused(refusal) => Some((refusal.code, refusal.not_run)),
            _ => None,
        }
    }
}

fn queued(effects: &[Effect]) -> Vec<WaitingTask> {
    let lists = effects.iter().filter_map(|effect| match effect {
        Effect::Enqueue(waiting) => Some(waiting.clone()),
        _ => None,
    });
    lists.flatten().collect()
}

fn job(tasks: usize, repeatable: bool) -> JobRequest {
    JobRequest {
        key: JobKey::new("quote-desk", "order-1").expect("valid names"),
        team: Name::from("desk"),
        repeatable,
        deadline_ms: 10_000,
        tasks: (0..tasks).map(|n| Json::from(n.to_string())).collect(),
    }
}

fn agent(name: &str) -> AgentId {
    AgentId {
        worker: Name::from(name),
        incarnation: 1,
    }
}

fn done(text: &str) -> TaskOutcome {
    TaskOutcome::Done(Json::from(text))
}
