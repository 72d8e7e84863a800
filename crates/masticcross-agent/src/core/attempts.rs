//! Table of the attempts that reached this agent. It ensures that each starts at most once, and it
//! keeps their outcomes until the job's owner releases them.

mod trim;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use masticcross_basics::{AttemptId, Epoch, JobKey, Name, Partition, TaskIndex};
use masticcross_wire::{AttemptReport, AttemptState, TaskOutcome};
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::SessionId;

/// How long an ended attempt is kept with its result.
pub const RESULT_RETENTION: Duration = Duration::from_mins(10);

/// Memory that an attempt takes in addition to its job id and result, in bytes.
const ATTEMPT_OVERHEAD_BYTES: usize = 320;

/// Number of epochs for which the highest evicted attempt is stored.
const MAX_EVICTED_EPOCHS: usize = 4_096;

/// Attempts of one job.
type JobAttempts = SmallVec<[AttemptId; 4]>;

/// Phase of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a slot.
    Queued,
    /// Runs at the backend server.
    Running,
    /// Ended; this includes attempts that did not start and never will.
    Ended(TaskOutcome),
}

/// One attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The job.
    pub key: JobKey,
    /// Partition of the job.
    pub partition: Partition,
    /// Position in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub id: AttemptId,
    /// The entry that sent it.
    pub origin: Name,
    /// Current phase.
    pub phase: Phase,
    /// Session on which its report was last sent.
    pub sent_on: Option<SessionId>,
    /// Time from start to end.
    pub run: Duration,
    released: bool,
    ended_at: Instant,
}

impl Attempt {
    /// Creates the report of the attempt for a new owner.
    #[must_use]
    pub fn report(&self) -> AttemptReport {
        let state = match &self.phase {
            Phase::Queued => AttemptState::Queued,
            Phase::Running => AttemptState::Running,
            Phase::Ended(outcome) => AttemptState::Ended(outcome.clone()),
        };
        AttemptReport {
            key: self.key.clone(),
            index: self.index,
            attempt: self.id,
            state,
        }
    }

    /// Returns true if no other attempt of the task may start here: this one completed, runs or is
    /// queued.
    fn prevents_new_attempt(&self) -> bool {
        match &self.phase {
            Phase::Queued | Phase::Running => true,
            Phase::Ended(outcome) => {
                matches!(outcome, TaskOutcome::Done(_) | TaskOutcome::ResultDropped)
            }
        }
    }

    /// Returns true if the task was started and not released, so its job's end may not be in the
    /// log yet.
    fn is_unreleased_start(&self) -> bool {
        let never_started = matches!(self.phase, Phase::Ended(TaskOutcome::NotStarted(_)));
        !self.released && !never_started
    }

    fn bytes(&self) -> usize {
        ATTEMPT_OVERHEAD_BYTES + self.key.job.len() + self.result_bytes()
    }

    fn result_bytes(&self) -> usize {
        match &self.phase {
            Phase::Ended(TaskOutcome::Done(json)) => json.len(),
            Phase::Ended(TaskOutcome::Failed(text)) => text.len(),
            _ => 0,
        }
    }
}

/// Result of looking up an attempt on its arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// Neither this attempt nor an earlier one that prevents its start is in the table.
    New,
    /// This attempt has arrived before.
    Duplicate,
    /// Not newer than an evicted attempt of its epoch, so it may have been started before.
    Evicted,
    /// An earlier attempt of the task is queued, running or done here.
    Earlier(AttemptId),
}

/// An attempt to add to the table.
#[derive(Debug, Clone)]
pub struct NewAttempt {
    /// The job.
    pub key: JobKey,
    /// Partition of the job.
    pub partition: Partition,
    /// Position in the job.
    pub index: TaskIndex,
    /// The attempt.
    pub id: AttemptId,
    /// The entry that sent it.
    pub origin: Name,
}

/// The table of attempts, bounded in memory and age.
#[derive(Debug)]
pub struct Attempts {
    by_id: FxHashMap<AttemptId, Attempt>,
    by_partition: BTreeMap<Partition, BTreeMap<JobKey, JobAttempts>>,
    ended: VecDeque<AttemptId>,
    /// Ended attempts older than [`RESULT_RETENTION`] that are not released.
    past_retention: VecDeque<AttemptId>,
    released: VecDeque<AttemptId>,
    /// Sequence number of the highest evicted attempt of each epoch; no attempt up to it may start.
    evicted: BTreeMap<Epoch, u64>,
    bytes: usize,
    memory_limit: usize,
    running: usize,
}

impl Attempts {
    /// Creates an empty table with a memory limit in bytes.
    #[must_use]
    pub fn new(memory_limit: usize) -> Self {
        Self {
            by_id: FxHashMap::default(),
            by_partition: BTreeMap::new(),
            ended: VecDeque::new(),
            past_retention: VecDeque::new(),
            released: VecDeque::new(),
            evicted: BTreeMap::new(),
            bytes: 0,
            memory_limit,
            running: 0,
        }
    }

    /// Returns an attempt.
    #[must_use]
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.by_id.get(&id)
    }

    /// Returns the number of running attempts.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of attempts in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns true if the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the memory taken by the attempts, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of attempts that started, ended and are not released.
    #[must_use]
    pub fn unreleased(&self) -> usize {
        let started = |a: &Attempt| match &a.phase {
            Phase::Ended(outcome) => !matches!(outcome, TaskOutcome::NotStarted(_)),
            Phase::Queued | Phase::Running => false,
        };
        let is_unreleased = |a: &&Attempt| started(a) && !a.released;
        self.by_id.values().filter(is_unreleased).count()
    }

    /// Looks up an attempt that arrives, by its id and by the task that it belongs to.
    #[must_use]
    pub fn lookup(&self, key: &JobKey, index: TaskIndex, id: AttemptId) -> Lookup {
        if self.by_id.contains_key(&id) {
            return Lookup::Duplicate;
        }
        let evicted = self.evicted.get(&id.epoch);
        if evicted.is_some_and(|seq| id.seq <= *seq) {
            return Lookup::Evicted;
        }
        let earlier = self
            .of_job(key)
            .find(|a| a.index == index && a.prevents_new_attempt());
        earlier.map_or(Lookup::New, |a| Lookup::Earlier(a.id))
    }

    /// Adds an attempt that is queued for a slot.
    pub fn insert(&mut self, new: NewAttempt, now: Instant) {
        let attempt = Attempt {
            key: new.key,
            partition: new.partition,
            index: new.index,
            id: new.id,
            origin: new.origin,
            phase: Phase::Queued,
            sent_on: None,
            run: Duration::ZERO,
            released: false,
            ended_at: now,
        };
        self.bytes += attempt.bytes();
        let jobs = self.by_partition.entry(attempt.partition).or_default();
        let ids = jobs.entry(attempt.key.clone()).or_default();
        ids.push(attempt.id);
        self.by_id.insert(attempt.id, attempt);
    }

    /// Marks a queued attempt as running. Returns false if it is not queued.
    pub fn start(&mut self, id: AttemptId) -> bool {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return false;
        };
        if attempt.phase != Phase::Queued {
            return false;
        }
        attempt.phase = Phase::Running;
        self.running += 1;
        true
    }

    /// Marks an attempt as ended. Returns false if it has already ended or is not in the table.
    pub fn end(
        &mut self,
        id: AttemptId,
        outcome: TaskOutcome,
        run: Duration,
        now: Instant,
    ) -> bool {
        let Some(attempt) = self.by_id.get_mut(&id) else {
            return false;
        };
        match attempt.phase {
            Phase::Ended(_) => return false,
            Phase::Running => self.running -= 1,
            Phase::Queued => {}
        }
        attempt.phase = Phase::Ended(outcome);
        attempt.run = run;
        attempt.ended_at = now;
        self.bytes += attempt.result_bytes();
        self.ended.push_back(id);
        if attempt.released {
            self.released.push_back(id);
        }
        true
    }

    /// Records on which session an attempt was reported.
    pub fn mark_sent(&mut self, id: AttemptId, session: Option<SessionId>) {
        if let Some(attempt) = self.by_id.get_mut(&id) {
            attempt.sent_on = session;
        }
    }

    /// Marks the attempts of an answered job as released; they are evicted first.
    pub fn release(&mut self, key: &JobKey) {
        let ids: JobAttempts = self.of_job(key).map(|a| a.id).collect();
        for id in ids {
            let Some(attempt) = self.by_id.get_mut(&id) else {
                continue;
            };
            if !attempt.released && matches!(attempt.phase, Phase::Ended(_)) {
                self.released.push_back(id);
            }
            attempt.released = true;
        }
    }

    /// Lists the attempts of a partition, by job.
    pub fn of_partition(&self, partition: Partition) -> impl Iterator<Item = &Attempt> {
        let jobs = self.by_partition.get(&partition).into_iter();
        let ids = jobs.flat_map(|jobs| jobs.values().flatten());
        ids.filter_map(|id| self.by_id.get(id))
    }

    /// Lists the ended attempts of a partition that are not released.
    pub fn unreleased_of(&self, partition: Partition) -> impl Iterator<Item = &Attempt> {
        self.of_partition(partition)
            .filter(|a| !a.released && matches!(a.phase, Phase::Ended(_)))
    }

    fn of_job(&self, key: &JobKey) -> impl Iterator<Item = &Attempt> {
        let jobs = self.by_partition.get(&key.partition());
        let ids = jobs.and_then(|jobs| jobs.get(key)).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id))
    }
}
