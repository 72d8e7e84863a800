//! Reports of attempts to the owners of partitions, also after a change of owner.

use masticcross_basics::{AttemptId, Epoch, JobKey, Name, Partition};
use masticcross_wire::{
    AttemptReport, AttemptState, Frame, Gather, Gathered, NotStartedReason, TaskEnded, TaskOutcome,
};
use tokio::time::Instant;

use super::attempts::{Attempt, Phase};
use super::view::{ViewChange, owner_of};
use super::{AgentCore, SessionId, State};

/// Maximum number of attempts in one frame of an answer to a gather.
const REPORTS_PER_FRAME: usize = 256;

/// Maximum size of the results in one frame of an answer to a gather, in bytes. A larger result is sent
/// in a separate frame.
const RESULT_BYTES_PER_FRAME: usize = 1024 * 1024;

/// The entry whose gather of a partition had the highest epoch.
#[derive(Debug, Clone)]
pub struct Gatherer {
    /// Its epoch.
    pub epoch: Epoch,
    /// Its name.
    pub entry: Name,
}

impl AgentCore {
    /// Answers the gather of a new owner with reports of all attempts of the partition. From then
    /// on no task of the partition starts under a lower epoch.
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
            .remove_where(|task| task.partition == gather.partition && task.epoch < gather.epoch);
        self.refuse(&mut state, &fenced, NotStartedReason::OldEpoch, now);
        self.report_partition(&mut state, session, gather);
        self.grant(&mut state, now);
    }

    /// Marks the attempts of answered jobs as released; they are evicted first.
    pub fn release(&self, keys: &[JobKey], now: Instant) {
        let mut state = self.state.lock();
        for key in keys {
            state.attempts.release(key);
        }
        state.attempts.trim(now);
    }

    /// Sends the outcome of an attempt to its recipient, if the attempt has ended and the recipient
    /// is connected.
    pub(super) fn report(&self, state: &mut State, id: AttemptId) {
        let Some(attempt) = state.attempts.get(id) else {
            return;
        };
        let Some(ended) = self.ended_frame(attempt) else {
            return;
        };
        let recipient = self.recipient(state, attempt);
        let session = self.sessions.session_with(&recipient);
        let sent = session.filter(|s| self.sessions.send(*s, Frame::Ended(ended)));
        state.attempts.mark_sent(id, sent);
    }

    /// Sends a newly connected entry the outcomes that it has not received on this session.
    pub(super) fn resend_to_entry(&self, state: &mut State, entry: &Name, session: SessionId) {
        let is_pending = |state: &State, attempt: &Attempt| {
            attempt.sent_on != Some(session) && self.recipient(state, attempt) == *entry
        };
        self.resend(state, Partition::all(), is_pending);
    }

    /// Sends outcomes to the new owners of partitions whose owner changed.
    pub(super) fn resend_after_change(&self, state: &mut State, change: &ViewChange) {
        let before = change.before.as_deref();
        let reassigned = Partition::all().filter(|partition| {
            let old = before.and_then(|view| owner_of(view, *partition));
            old != owner_of(&change.after, *partition)
        });
        let not_sent_to_recipient = |state: &State, attempt: &Attempt| {
            let recipient = self.recipient(state, attempt);
            attempt.sent_on != self.sessions.session_with(&recipient)
        };
        self.resend(state, reassigned, not_sent_to_recipient);
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

    /// Returns the entry that receives the reports of an attempt. This is the one with the highest
    /// epoch among the sender of the attempt, the gatherer of its partition, and the partition's
    /// owner in the view.
    pub(super) fn recipient(&self, state: &State, attempt: &Attempt) -> Name {
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

    fn report_partition(&self, state: &mut State, session: SessionId, gather: Gather) {
        let reports: Vec<AttemptReport> = state
            .attempts
            .of_partition(gather.partition)
            .map(Attempt::report)
            .collect();
        for report in &reports {
            state.attempts.mark_sent(report.attempt, Some(session));
        }
        let mut frames = split_into_frames(reports);
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

/// Splits reports into parts that each fit into one frame.
fn split_into_frames(reports: Vec<AttemptReport>) -> Vec<Vec<AttemptReport>> {
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
