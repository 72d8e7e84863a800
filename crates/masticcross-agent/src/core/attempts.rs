//! The attempts that this agent knows: each is started at most once, and its end is kept until the
//! job's owner releases it.

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

/// How long the end of an attempt is kept with its result.
pub const KEEP_LIMIT: Duration = Duration::from_mins(10);

/// Memory that an attempt takes beside its result, in bytes.
const ATTEMPT_BYTES: usize = 320;

/// Epochs for which the highest forgotten attempt is kept.
const FORGOTTEN_EPOCHS: usize = 4_096;

/// Attempts of one job.
type JobAttempts = SmallVec<[AttemptId; 4]>;

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a slot.
    Queued,
    /// Runs at the backend server.
    Running,
    /// Ended, or never started and never will.
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
    /// How far it has come.
    pub phase: Phase,
    /// Session on which its end was sent last.
    pub sent_on: Option<SessionId>,
    /// Time from start to end.
    pub run: Duration,
    released: bool,
    ended_at: Instant,
}

impl Attempt {
    /// Returns what a new owner is told about the attempt.
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

    /// Returns true if the task ran to its end here, or still runs or waits.
    fn holds_task(&self) -> bool {
        match &self.phase {
            Phase::Queued | Phase::Running => true,
            Phase::Ended(outcome) => {
                matches!(outcome, TaskOutcome::Done(_) | TaskOutcome::ResultDropped)
            }
        }
    }

    /// Returns true if the task was started and its job's end may not be in the log yet.
    fn is_unreleased_start(&self) -> bool {
        let never_started = matches!(self.phase, Phase::Ended(TaskOutcome::NotStarted(_)));
        !self.released && !never_started
    }

    fn bytes(&self) -> usize {
        ATTEMPT_BYTES + self.key.job.len() + self.result_bytes()
    }

    fn result_bytes(&self) -> usize {
        match &self.phase {
            Phase::Ended(TaskOutcome::Done(json)) => json.len(),
            Phase::Ended(TaskOutcome::Failed(text)) => text.len(),
            _ => 0,
        }
    }
}

/// What is known of an attempt that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Known {
    /// Neither the attempt nor an earlier one that holds the task.
    New,
    /// This attempt arrived before.
    Duplicate,
    /// Older than what this agent remembers; it may have been started before.
    Forgotten,
    /// An earlier attempt of the task waits, runs or is done here.
    Earlier(AttemptId),
}

/// A new attempt.
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
    /// Ended attempts older than [`KEEP_LIMIT`] that are not released.
    overdue: VecDeque<AttemptId>,
    released: VecDeque<AttemptId>,
    /// For each epoch the highest attempt that was forgotten: none up to it may start.
    forgotten: BTreeMap<Epoch, u64>,
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
            overdue: VecDeque::new(),
            released: VecDeque::new(),
            forgotten: BTreeMap::new(),
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

    /// Returns the number of attempts that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of attempts kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns true if no attempt is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the memory taken, in bytes.
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
        let waits = |a: &&Attempt| started(a) && !a.released;
        self.by_id.values().filter(waits).count()
    }

    /// Looks up what is known of an attempt that arrives.
    #[must_use]
    pub fn known(&self, key: &JobKey, index: TaskIndex, id: AttemptId) -> Known {
        if self.by_id.contains_key(&id) {
            return Known::Duplicate;
        }
        let forgotten = self.forgotten.get(&id.epoch);
        if forgotten.is_some_and(|seq| id.seq <= *seq) {
            return Known::Forgotten;
        }
        let earlier = self
            .of_job(key)
            .find(|a| a.index == index && a.holds_task());
        earlier.map_or(Known::New, |a| Known::Earlier(a.id))
    }

    /// Adds an attempt that waits for a slot.
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

    /// Marks a waiting attempt as running. Returns false if it does not wait.
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

    /// Marks an attempt as ended. Returns false if it had ended before or is not known.
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

    /// Notes on which session the end of an attempt was sent.
    pub fn mark_sent(&mut self, id: AttemptId, session: Option<SessionId>) {
        if let Some(attempt) = self.by_id.get_mut(&id) {
            attempt.sent_on = session;
        }
    }

    /// Notes that a job was answered, so that its results may be dropped first.
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

    /// Lists the ended attempts of a partition that wait for their release.
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
