//! The table of one partition.

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

/// Bytes of an ended job besides its results, about.
const ENDED_BYTES: usize = 200;

/// What the partition allows now.
#[derive(Debug)]
pub(super) enum Phase {
    /// Not owned by this entry.
    Closed,
    /// Owned; what the owner before left behind is being found out.
    Recovering(Recovery),
    /// Owned; jobs are taken and tasks start.
    Open,
    /// Being handed to another entry; nothing new starts.
    Moving,
}

/// A job that has ended.
#[derive(Debug)]
pub(super) struct EndedJob {
    pub digest: Digest,
    /// The answer; none once it was dropped for lack of room, or lost with the owner before.
    pub answer: Option<JobAnswer>,
    /// When the job ended.
    pub at: Instant,
    /// True once the end is in the log.
    pub recorded: bool,
}

/// What a decision has at hand.
pub(super) struct Cx<'a> {
    pub now: Instant,
    pub rules: &'a Rules,
    /// False if the retry budget is used up.
    pub may_retry: bool,
    pub effects: Effects,
}

impl<'a> Cx<'a> {
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

/// An agent that has not said what it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Missing {
    /// Its registration at the takeover.
    pub registration: Registration,
    /// From when on it cannot start anything any more, once its registration has ended.
    pub gone_at: Option<Instant>,
}

/// Jobs of one partition.
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
    /// Ends of attempts that arrived while the partition recovers or moves.
    pub held: Vec<(AgentId, TaskEnded)>,
    /// Agents without a session that have attempts of jobs which ended.
    pub unstopped: BTreeSet<AgentId>,
    /// Agents that had not answered when the partition was opened after a takeover.
    pub missing: BTreeMap<AgentId, Missing>,
    /// True if one of them was lost without an answer.
    pub has_lost_missing: bool,
    /// Starts beyond the first of a task, after a proven loss or a failure.
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
            held: Vec::new(),
            unstopped: BTreeSet::new(),
            missing: BTreeMap::new(),
            has_lost_missing: false,
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

    /// Opens the partition and applies what arrived in the meantime.
    pub(super) fn open(&mut self, cx: &mut Cx<'_>) {
        self.phase = Phase::Open;
        for (agent, ended) in std::mem::take(&mut self.held) {
            self.attempt_ended(&agent, ended, cx);
        }
    }

    /// Returns the number of jobs in the table.
    pub(super) fn len(&self) -> usize {
        self.jobs.len() + self.ended.len()
    }

    /// Forgets the table: another entry is the owner.
    pub(super) fn close(&mut self, cx: &mut Cx<'_>) {
        self.phase = Phase::Closed;
        self.ended.clear();
        self.unrecorded = 0;
        self.expiry.clear();
        self.timers.clear();
        self.held.clear();
        self.unstopped.clear();
        self.missing.clear();
        self.has_lost_missing = false;
        for (key, job) in std::mem::take(&mut self.jobs) {
            cx.effects.push(Effect::Remove(key));
            cx.effects
                .push(Effect::Answer(job.waiters, JobAnswer::NotOwner));
        }
        cx.event(Event::new(EventKind::Released).partition(self.partition));
    }

    /// Becomes the owner under an epoch, without any job.
    pub(super) fn open_empty(&mut self, epoch: Epoch, phase: Phase, cx: &mut Cx<'_>) {
        self.epoch = epoch;
        self.phase = phase;
        cx.event(Event::new(EventKind::Acquired).partition(self.partition));
    }

    /// Ends a job with an answer, which goes out at once.
    pub(super) fn finish(&mut self, key: &JobKey, answer: JobAnswer, cx: &mut Cx<'_>) {
        let Some((end, waiters)) = self.end(key, &answer, cx) else {
            return;
        };
        cx.effects.push(Effect::Answer(waiters, answer));
        cx.effects.push(Effect::Ended(end));
    }

    /// Ends a job of which nothing ran, with an answer that goes out once the end is in the log, so
    /// that no later owner runs it.
    pub(super) fn finish_after_record(&mut self, key: &JobKey, answer: JobAnswer, cx: &mut Cx<'_>) {
        let Some((mut end, waiters)) = self.end(key, &answer, cx) else {
            return;
        };
        end.after_record = Some((waiters, answer));
        cx.effects.push(Effect::Ended(end));
    }

    /// Ends a job as failed.
    pub(super) fn fail(&mut self, key: &JobKey, code: Code, detail: &str, cx: &mut Cx<'_>) {
        let answer = JobAnswer::Refused(Refusal::failed(code, detail));
        self.finish(key, answer, cx);
    }

    /// Ends a job with all results, if they are there.
    pub(super) fn finish_if_complete(&mut self, key: &JobKey, cx: &mut Cx<'_>) -> bool {
        let results = self.jobs.get(key).and_then(Job::results);
        let Some(results) = results else {
            return false;
        };
        self.finish(key, JobAnswer::Complete(results), cx);
        true
    }

    /// Moves a job to the ended ones and returns who waits for it.
    fn end(
        &mut self,
        key: &JobKey,
        answer: &JobAnswer,
        cx: &mut Cx<'_>,
    ) -> Option<(JobEnd, Waiters)> {
        let job = self.jobs.remove(key)?;
        self.timers.remove(&(job.deadline, key.clone()));
        if !matches!(answer, JobAnswer::Complete(_)) {
            cx.effects.push(Effect::Remove(key.clone()));
            job.stop_placed(&mut cx.effects);
            self.unstopped.extend(job.agents_out_of_contact());
        }
        cx.event(outcome_event(key, answer));
        self.keep(key, job.digest, Some(answer.clone()), cx.now);
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

    /// Enters a job that has ended.
    pub(super) fn keep(
        &mut self,
        key: &JobKey,
        digest: Digest,
        answer: Option<JobAnswer>,
        at: Instant,
    ) {
        let ended = EndedJob {
            digest,
            answer,
            at,
            recorded: false,
        };
        self.forget(key);
        self.ended.insert(key.clone(), ended);
        self.unrecorded += 1;
        self.expiry.push_back((at, key.clone()));
    }

    /// Notes that the end of a job is in the log.
    pub(super) fn recorded(&mut self, key: &JobKey) {
        if let Some(ended) = self.ended.get_mut(key)
            && !ended.recorded
        {
            ended.recorded = true;
            self.unrecorded -= 1;
        }
    }

    fn forget(&mut self, key: &JobKey) {
        if self.ended.remove(key).is_some_and(|ended| !ended.recorded) {
            self.unrecorded -= 1;
        }
    }

    /// Drops the answer of a job for lack of room.
    pub(super) fn drop_answer(&mut self, key: &JobKey) {
        if let Some(ended) = self.ended.get_mut(key) {
            ended.answer = None;
        }
    }

    /// Forgets jobs that ended before the window.
    pub(super) fn expire(&mut self, cx: &Cx<'_>) {
        while let Some((at, _)) = self.expiry.front() {
            if *at + cx.rules.once_window > cx.now {
                return;
            }
            if let Some((at, key)) = self.expiry.pop_front()
                && self.ended.get(&key).is_some_and(|e| e.at == at)
            {
                self.forget(&key);
            }
        }
    }

    /// Asks to look at a job at a time.
    pub(super) fn wake_at(&mut self, at: Instant, key: &JobKey) {
        self.timers.insert((at, key.clone()));
    }

    /// Returns when the shard has to be looked at next.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        if !matches!(self.phase, Phase::Open) {
            return None;
        }
        let of_jobs = self.timers.first().map(|(at, _)| *at);
        let gone = self.missing.values().filter_map(|m| m.gone_at);
        of_jobs.into_iter().chain(gone).min()
    }
}

/// Estimates the memory of an answer.
pub(super) fn answer_bytes(answer: &JobAnswer) -> usize {
    let body = match answer {
        JobAnswer::Complete(results) => results.iter().map(|r| r.len() + 16).sum(),
        JobAnswer::Refused(refusal) => refusal.detail.len(),
        JobAnswer::Running(_) | JobAnswer::NotOwner => 0,
    };
    ENDED_BYTES + body
}

fn outcome_event(key: &JobKey, answer: &JobAnswer) -> Event {
    match answer {
        JobAnswer::Refused(refusal) => {
            let cancelled = matches!(refusal.code, Code::Cancelled | Code::CancelledBeforeStart);
            let kind = if cancelled {
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
