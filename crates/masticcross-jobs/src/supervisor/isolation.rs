//! Runs of tasks under which workers have crashed: they do not start close to each other, or run alone.

use masticcross_wire::NotStartedReason;
use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{RunId, RunResult};
use tokio::time::Instant;

use crate::crashes::SPACING;

use super::Supervisor;

impl Supervisor {
    /// Returns true if a run cannot start now because of the isolation of another one.
    pub(super) fn breaks_isolation(&self, isolation: Isolation, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SPACING;
        match isolation {
            Isolation::Shared => false,
            Isolation::Spaced => self.spaced_start_at.is_some_and(is_recent),
            Isolation::Alone => self.runs.alone().is_some(),
        }
    }

    /// Starts the queued run if all others have ended and it may still start.
    pub(super) fn start_queued_run(&mut self, now: Instant) {
        if self.runs.len() != 1 {
            return;
        }
        let Some(id) = self.runs.queued().map(|run| run.request.id.clone()) else {
            return;
        };
        if let Some(reason) = self.reason_not_to_start(&id, now) {
            return self.finish(&id, RunResult::NotStarted(reason), now);
        }
        if let Some(run) = self.runs.get_mut(&id.task) {
            run.received_at = now;
            run.progress = (0, now);
        }
        self.send_start(&id, now);
    }

    /// Removes the queued run if it must not start any more.
    pub(super) fn drop_queued_run(&mut self, now: Instant) {
        let Some(id) = self.runs.queued().map(|run| run.request.id.clone()) else {
            return;
        };
        if let Some(reason) = self.reason_not_to_start(&id, now) {
            self.finish(&id, RunResult::NotStarted(reason), now);
        }
    }

    fn reason_not_to_start(&self, id: &RunId, now: Instant) -> Option<NotStartedReason> {
        let run = self.runs.get(&id.task)?;
        if run.stopping {
            return Some(NotStartedReason::Stopped);
        }
        let Some(info) = self.advertised(now) else {
            return Some(NotStartedReason::NoBackend);
        };
        if info.leaving {
            Some(NotStartedReason::ShuttingDown)
        } else if self.view.zones_out.contains(&info.zone) {
            Some(NotStartedReason::ZoneOut)
        } else if !self.own_reads.allow_use(&self.view_age, now) {
            Some(NotStartedReason::ViewStale)
        } else if !info.capacity.covers(&run.request.resources) {
            Some(NotStartedReason::NoRoom)
        } else {
            None
        }
    }
}
