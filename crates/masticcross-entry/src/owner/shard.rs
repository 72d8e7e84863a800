//! The job table of one partition.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use masticcross_basics::timeline::{Event, EventKind};
use masticcross_basics::{Code, Digest, Epoch, JobKey, Partition};
use masticcross_ledger::EndedRecord;
use masticcross_wire::{JobAnswer, Refusal, TaskEnded};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::AgentId;
use super::effect::{Effect, Effects, JobEnd, Waiters};
use super::job::{Job, Registration};
use super::recovery::Recovery;
use super::settings::Rules;

/// Approximate memory of an ended job besides its results, in bytes.
const ENDED_JOB_OVERHEAD_BYTES: usize = 200;

/// Phase of a partition at this entry.
#[derive(Debug)]
pub(super) enum Phase {
    /// Not owned by this entry.
    Closed,
    /// Owned; the state left by the previous owner is being recovered.
    Recovering(Recovery),
    /// Owned; jobs are accepted and tasks start.
    Open,
    /// Being handed over to another entry; no task starts.
    HandingOver,
}

/// A job that has ended.
#[derive(Debug)]
pub(super) struct EndedJob {
    pub digest: Digest,
    /// The answer; `None` if it was dropped to free memory or lost with the previous owner.
    pub answer: Option<JobAnswer>,
    /// Time at which the job ended.
    pub ended_at: Instant,
    /// True once the end of the job is in the log.
    pub recorded: bool,
}

/// Inputs of a decision, and the effects that it requests.
pub(super) struct Context<'a> {
    pub now: Instant,
    pub rules: &'a Rules,
    /// False if the retry budget is exhausted.
    pub may_retry: bool,
    pub effects: Effects,
}

impl<'a> Context<'a> {
    pub(super) fn new(now: Instant, rules: &'a Rules) -> Self {
        Self {
            now,
            rules,
            may_retry: true,
            effects: Effects::new(),
        }
    }

    pub(super) fn event(&mut self, event: Event) {
        self.effects.push(Effect::Event(Box::new(event)));
    }
}

/// An agent that has not reported its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MissingAgent {
    /// Registration of the agent at the takeover.
    pub registration: Registration,
    /// Time from which the agent can no longer start a task; set once its registration has ended.
    pub gone_at: Option<Instant>,
}

/// Job table of one partition.
#[derive(Debug)]
pub(super) struct Shard {
    pub partition: Partition,
    pub epoch: Epoch,
    pub phase: Phase,
    pub jobs: BTreeMap<JobKey, Job>,
    pub ended: FxHashMap<JobKey, EndedJob>,
    /// Ended jobs whose end is not in the log yet.
    pub unrecorded: usize,
    pub expiry: VecDeque<(Instant, JobKey)>,
    pub timers: BTreeSet<(Instant, JobKey)>,
    /// Ends of attempts that arrived during a recovery or a handover.
    pub deferred_ends: Vec<(AgentId, TaskEnded)>,
    /// Agents that had attempts of jobs when these ended and have not reported since. A stop may be lost
    /// with its session.
    pub pending_stops: BTreeSet<AgentId>,
    /// Agents that had not answered when the partition was opened after a takeover.
    pub missing_agents: BTreeMap<AgentId, MissingAgent>,
    /// True if one of the missing agents was lost before it answered.
    pub lost_missing_agent: bool,
    /// Number of reruns of tasks, after a confirmed loss or a failure.
    pub reruns: u64,
}

impl Shard {
    pub(super) fn new(partition: Partition) -> Self {
        Self {
            partition,
            epoch: Epoch::default(),
            phase: Phase::Closed,
            jobs: BTreeMap::new(),
            ended: FxHashMap::default(),
            unrecorded: 0,
            expiry: VecDeque::new(),
            timers: BTreeSet::new(),
            deferred_ends: Vec::new(),
            pending_stops: BTreeSet::new(),
            missing_agents: BTreeMap::new(),
            lost_missing_agent: false,
            reruns: 0,
        }
    }

    /// Returns true if the partition is open under an epoch.
    pub(super) fn is_open(&self, epoch: Epoch) -> bool {
        matches!(self.phase, Phase::Open) && self.epoch == epoch
    }

    /// Returns true if this entry owns the partition.
    pub(super) fn is_owned(&self) -> bool {
        !matches!(self.phase, Phase::Closed)
    }

    /// Opens the partition and applies the ends of attempts that were deferred.
    pub(super) fn open(&mut self, cx: &mut Context<'_>) {
        self.phase = Phase::Open;
        for (agent, ended) in std::mem::take(&mut self.deferred_ends) {
            self.attempt_ended(&agent, ended, cx);
        }
    }

    /// Returns the number of jobs in the table.
    pub(super) fn len(&self) -> usize {
        self.jobs.len() + self.ended.len()
    }

    /// Clears the table because this entry is no longer the owner.
    pub(super) fn close(&mut self, cx: &mut Context<'_>) {
        self.phase = Phase::Closed;
        self.ended.clear();
        self.unrecorded = 0;
        self.expiry.clear();
        self.timers.clear();
        self.deferred_ends.clear();
        self.pending_stops.clear();
        self.missing_agents.clear();
        self.lost_missing_agent = false;
        for (key, job) in std::mem::take(&mut self.jobs) {
            cx.effects.push(Effect::Dequeue(key));
            cx.effects
                .push(Effect::Answer(job.waiters, JobAnswer::NotOwner));
        }
        cx.event(Event::new(EventKind::Released).partition(self.partition));
    }

    /// Becomes the owner under an epoch, with an empty table.
    pub(super) fn open_empty(&mut self, epoch: Epoch, phase: Phase, cx: &mut Context<'_>) {
        self.epoch = epoch;
        self.phase = phase;
        cx.event(Event::new(EventKind::Acquired).partition(self.partition));
    }

    /// Ends a job and sends the answer immediately.
    pub(super) fn finish(&mut self, key: &JobKey, answer: JobAnswer, cx: &mut Context<'_>) {
        let Some((end, waiters)) = self.move_to_ended(key, &answer, cx) else {
            return;
        };
        cx.effects.push(Effect::Answer(waiters, answer));
        cx.effects.push(Effect::RecordEnd(end));
    }

    /// Ends a job that did not run. The answer is sent once the end is in the log, so that no later
    /// owner runs the job.
    pub(super) fn finish_after_record(
        &mut self,
        key: &JobKey,
        answer: JobAnswer,
        cx: &mut Context<'_>,
    ) {
        let Some((mut end, waiters)) = self.move_to_ended(key, &answer, cx) else {
            return;
        };
        end.after_record = Some((waiters, answer));
        cx.effects.push(Effect::RecordEnd(end));
    }

    /// Ends a job as failed.
    pub(super) fn fail(&mut self, key: &JobKey, code: Code, detail: &str, cx: &mut Context<'_>) {
        let answer = JobAnswer::Refused(Refusal::failed(code, detail));
        self.finish(key, answer, cx);
    }

    /// Ends a job with its results if all tasks have one. Returns true if it ended.
    pub(super) fn finish_if_complete(&mut self, key: &JobKey, cx: &mut Context<'_>) -> bool {
        let results = self.jobs.get(key).and_then(Job::results);
        let Some(results) = results else {
            return false;
        };
        self.finish(key, JobAnswer::Complete(results), cx);
        true
    }

    /// Moves a job to the ended jobs and returns its waiters.
    fn move_to_ended(
        &mut self,
        key: &JobKey,
        answer: &JobAnswer,
        cx: &mut Context<'_>,
    ) -> Option<(JobEnd, Waiters)> {
        let job = self.jobs.remove(key)?;
        self.timers.remove(&(job.deadline, key.clone()));
        if !matches!(answer, JobAnswer::Complete(_)) {
            cx.effects.push(Effect::Dequeue(key.clone()));
            job.stop_placed(&mut cx.effects);
            self.pending_stops.extend(job.placed_agents());
        }
        cx.event(outcome_event(key, answer));
        self.insert_ended(key, job.digest, Some(answer.clone()), cx.now);
        let record = EndedRecord {
            key: key.clone(),
            epoch: self.epoch,
        };
        let end = JobEnd {
            record,
            agents: job.all_agents(),
            bytes: answer_bytes(answer),
            after_record: None,
        };
        Some((end, job.waiters))
    }

    /// Adds a job that has ended.
    pub(super) fn insert_ended(
        &mut self,
        key: &JobKey,
        digest: Digest,
        answer: Option<JobAnswer>,
        ended_at: Instant,
    ) {
        let ended = EndedJob {
            digest,
            answer,
            ended_at,
            recorded: false,
        };
        self.remove_ended(key);
        self.ended.insert(key.clone(), ended);
        self.unrecorded += 1;
        self.expiry.push_back((ended_at, key.clone()));
    }

    /// Marks the end of a job as recorded in the log.
    pub(super) fn mark_recorded(&mut self, key: &JobKey) {
        if let Some(ended) = self.ended.get_mut(key)
            && !ended.recorded
        {
            ended.recorded = true;
            self.unrecorded -= 1;
        }
    }

    fn remove_ended(&mut self, key: &JobKey) {
        if self.ended.remove(key).is_some_and(|ended| !ended.recorded) {
            self.unrecorded -= 1;
        }
    }

    /// Drops the answer of a job to free memory.
    pub(super) fn drop_answer(&mut self, key: &JobKey) {
        if let Some(ended) = self.ended.get_mut(key) {
            ended.answer = None;
        }
    }

    /// Removes jobs that ended longer ago than `once_window`.
    pub(super) fn expire(&mut self, cx: &Context<'_>) {
        while let Some((at, _)) = self.expiry.front() {
            if *at + cx.rules.once_window > cx.now {
                return;
            }
            if let Some((at, key)) = self.expiry.pop_front()
                && self.ended.get(&key).is_some_and(|e| e.ended_at == at)
            {
                self.remove_ended(&key);
            }
        }
    }

    /// Schedules a timer for a job.
    pub(super) fn schedule_wakeup(&mut self, at: Instant, key: &JobKey) {
        self.timers.insert((at, key.clone()));
    }

    /// Returns the time of the next timer of the shard.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        if !matches!(self.phase, Phase::Open) {
            return None;
        }
        let next_job_timer = self.timers.first().map(|(at, _)| *at);
        let gone_times = self.missing_agents.values().filter_map(|m| m.gone_at);
        next_job_timer.into_iter().chain(gone_times).min()
    }
}

/// Estimates the memory of an answer.
pub(super) fn answer_bytes(answer: &JobAnswer) -> usize {
    let body = match answer {
        JobAnswer::Complete(results) => results.iter().map(|r| r.len() + 16).sum(),
        JobAnswer::Refused(refusal) => refusal.detail.len(),
        JobAnswer::Running(_) | JobAnswer::NotOwner => 0,
    };
    ENDED_JOB_OVERHEAD_BYTES + body
}

fn outcome_event(key: &JobKey, answer: &JobAnswer) -> Event {
    match answer {
        JobAnswer::Refused(refusal) => {
            let canceled = matches!(refusal.code, Code::Cancelled | Code::CancelledBeforeStart);
            let kind = if canceled {
                EventKind::Cancelled
            } else {
                EventKind::Refused
            };
            Event::new(kind)
                .job(key)
                .code(refusal.code)
                .detail(refusal.detail.clone())
        }
        _ => Event::new(EventKind::Answered).job(key),
    }
}
