//! What owners are told of attempts, also after the owner of a partition changed.

use masticcross_basics::{AttemptId, Epoch, JobKey, Name, Partition};
use masticcross_wire::{
    AttemptReport, AttemptState, Frame, Gather, Gathered, NotStartedReason, TaskEnded, TaskOutcome,
};
use tokio::time::Instant;

use super::attempts::{Attempt, Phase};
use super::view::{ViewChange, owner_of};
use super::{AgentCore, SessionId, State};

/// Attempts in one frame of an answer to a new owner.
const REPORTS_PER_FRAME: usize = 256;

/// Results in one frame of an answer to a new owner, in bytes; a larger one travels alone.
const RESULT_BYTES_PER_FRAME: usize = 1024 * 1024;

/// The entry that gathered a partition last, under the highest epoch.
#[derive(Debug, Clone)]
pub struct Gatherer {
    /// Its epoch.
    pub epoch: Epoch,
    /// Its name.
    pub entry: Name,
}

impl AgentCore {
    /// Answers a new owner: from now on no task of the partition starts under an older epoch, and
    /// the owner learns of all attempts known.
    pub fn gather(&self, session: SessionId, gather: Gather, now: Instant) {
        let mut state = self.state.lock();
        let Some(entry) = self.sessions.entry_of(session) else {
            return;
        };
        if gather.epoch >= state.fence(gather.partition) {
            let epoch = gather.epoch;
            state
                .gatherers
                .insert(gather.partition, Gatherer { epoch, entry });
        }
        let fenced = state
            .queue
            .take(|task| task.partition == gather.partition && task.epoch < gather.epoch);
        self.refuse(&mut state, &fenced, NotStartedReason::OldEpoch, now);
        self.answer(&mut state, session, gather);
        self.grant(&mut state, now);
    }

    /// Notes that jobs were answered, so that their results may be dropped first.
    pub fn release(&self, keys: &[JobKey], now: Instant) {
        let mut state = self.state.lock();
        for key in keys {
            state.attempts.release(key);
        }
        state.attempts.trim(now);
    }

    /// Sends the end of an attempt to the entry that decides about its job, if it has ended and the
    /// entry is connected.
    pub(super) fn report(&self, state: &mut State, id: AttemptId) {
        let Some(attempt) = state.attempts.get(id) else {
            return;
        };
        let Some(ended) = self.ended_frame(attempt) else {
            return;
        };
        let addressee = self.addressee(state, attempt);
        let session = self.sessions.with_entry(&addressee);
        let sent = session.filter(|s| self.sessions.send(*s, Frame::Ended(ended)));
        state.attempts.mark_sent(id, sent);
    }

    /// Sends a newly connected entry the results that wait for it.
    pub(super) fn resend_to(&self, state: &mut State, entry: &Name, session: SessionId) {
        let waits = |state: &State, attempt: &Attempt| {
            attempt.sent_on != Some(session) && self.addressee(state, attempt) == *entry
        };
        self.resend(state, Partition::all(), waits);
    }

    /// Sends the results of partitions whose owner changed to the new owners.
    pub(super) fn resend_after(&self, state: &mut State, change: &ViewChange) {
        let before = change.before.as_deref();
        let moved = Partition::all().filter(|partition| {
            let old = before.and_then(|view| owner_of(view, *partition));
            old != owner_of(&change.after, *partition)
        });
        let elsewhere = |state: &State, attempt: &Attempt| {
            let addressee = self.addressee(state, attempt);
            attempt.sent_on != self.sessions.with_entry(&addressee)
        };
        self.resend(state, moved, elsewhere);
    }

    fn resend(
        &self,
        state: &mut State,
        partitions: impl Iterator<Item = Partition>,
        condition: impl Fn(&State, &Attempt) -> bool,
    ) {
        let ids: Vec<AttemptId> = partitions
            .flat_map(|partition| state.attempts.unreleased_of(partition))
            .filter(|attempt| condition(state, attempt))
            .map(|attempt| attempt.id)
            .collect();
        for id in ids {
            self.report(state, id);
        }
    }

    /// Returns the name of the entry with the highest epoch for an attempt's partition: the owner
    /// in the view, the entry that gathered, or the one that sent the attempt.
    pub(super) fn addressee(&self, state: &State, attempt: &Attempt) -> Name {
        let mut newest = (attempt.id.epoch, attempt.origin.clone());
        if let Some(gatherer) = state.gatherers.get(&attempt.partition)
            && gatherer.epoch > newest.0
        {
            newest = (gatherer.epoch, gatherer.entry.clone());
        }
        let view = self.view.view();
        let owner = view
            .as_deref()
            .and_then(|view| owner_of(view, attempt.partition));
        if let Some((epoch, name)) = owner
            && epoch > newest.0
        {
            newest = (epoch, name.clone());
        }
        newest.1
    }

    fn ended_frame(&self, attempt: &Attempt) -> Option<TaskEnded> {
        let Phase::Ended(outcome) = &attempt.phase else {
            return None;
        };
        Some(TaskEnded {
            key: attempt.key.clone(),
            index: attempt.index,
            attempt: attempt.id,
            outcome: outcome.clone(),
            run_us: u64::try_from(attempt.run.as_micros()).unwrap_or(u64::MAX),
            timestamp: self.timeline.timestamp(),
        })
    }

    fn answer(&self, state: &mut State, session: SessionId, gather: Gather) {
        let reports: Vec<AttemptReport> = state
            .attempts
            .of_partition(gather.partition)
            .map(Attempt::report)
            .collect();
        for report in &reports {
            state.attempts.mark_sent(report.attempt, Some(session));
        }
        let mut frames = split(reports);
        let last = frames.pop().unwrap_or_default();
        for reports in frames {
            self.send_gathered(session, gather, reports, false);
        }
        self.send_gathered(session, gather, last, true);
    }

    fn send_gathered(
        &self,
        session: SessionId,
        gather: Gather,
        attempts: Vec<AttemptReport>,
        last: bool,
    ) {
        let gathered = Gathered {
            partition: gather.partition,
            epoch: gather.epoch,
            attempts,
            last,
        };
        self.sessions.send(session, Frame::Gathered(gathered));
    }
}

/// Splits reports into parts that fit into one frame each.
fn split(reports: Vec<AttemptReport>) -> Vec<Vec<AttemptReport>> {
    let mut parts = Vec::new();
    let mut part: Vec<AttemptReport> = Vec::new();
    let mut bytes = 0;
    for report in reports {
        let size = result_bytes(&report);
        let full = part.len() >= REPORTS_PER_FRAME || bytes + size > RESULT_BYTES_PER_FRAME;
        if full && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += size;
        part.push(report);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}

fn result_bytes(report: &AttemptReport) -> usize {
    match &report.state {
        AttemptState::Ended(TaskOutcome::Done(json)) => json.len(),
        _ => 0,
    }
}
