//! Crashes of the worker, and their announcement to the entries.

use std::time::Duration;

use masticcross_wire::crash::{CrashedRun, WorkerCrash};
use masticcross_wire::pool::PoolFrame;
use tokio::time::Instant;

use crate::crashes::log::RETENTION;

use super::runs::{Phase, Run};
use super::{Effect, SessionId, Supervisor};

/// Runs that were lost with an unresponsive worker. If the worker turns out to have crashed, they
/// were lost with it.
#[derive(Debug)]
pub(super) struct SilentLoss {
    /// When the process of the worker had started, in milliseconds since the Unix epoch.
    started_at_ms: u64,
    lost_at: Instant,
    runs: Vec<CrashedRun>,
}

impl Supervisor {
    /// Records that the worker's process has ended without having announced it.
    pub(super) fn record_crash(&mut self, now: Instant) {
        let silent = self.silent_loss.take();
        let Some(worker) = &self.worker else {
            return;
        };
        if worker.has_left || worker.info.as_ref().is_some_and(|info| info.leaving) {
            return;
        }
        let started_at_ms = worker.incarnation.started_at_ms;
        let mut runs = self.runs_at_worker(now);
        let mut age = Duration::ZERO;
        if let Some(silent) = silent.filter(|silent| silent.started_at_ms == started_at_ms) {
            age = now.saturating_duration_since(silent.lost_at);
            runs.extend(silent.runs);
        }
        if runs.is_empty() {
            return;
        }
        runs.sort_by(|a, b| a.id.cmp(&b.id));
        self.crash_count += 1;
        let crash = WorkerCrash {
            worker: self.name.clone(),
            started_at_ms,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            runs,
        };
        let youngest_ms = crash.runs.iter().map(|run| run.ran_ms).min();
        log::warn!(
            born_ms = started_at_ms, runs = crash.runs.len(), youngest_ms, age_ms = crash.age_ms;
            "worker crashed"
        );
        if self.crash_log.add(&crash, now).is_some() {
            self.send_all(&PoolFrame::Crashes(vec![crash]));
        }
    }

    /// Applies crashes that an entry announced, and tells the other entries.
    pub fn crashes_announced(
        &mut self,
        session: SessionId,
        crashes: Vec<WorkerCrash>,
        now: Instant,
    ) {
        let mut new = crashes;
        new.retain(|crash| self.crash_log.add(crash, now).is_some());
        if new.is_empty() {
            return;
        }
        let others = self.clients.sessions().filter(|other| *other != session);
        let sends = others.map(|other| Effect::Send(other, PoolFrame::Crashes(new.clone())));
        self.effects.extend(sends);
    }

    /// Remembers the current runs as lost while the worker does not answer.
    pub(super) fn record_silent_loss(&mut self, now: Instant) {
        let Some(worker) = &self.worker else {
            return;
        };
        let started_at_ms = worker.incarnation.started_at_ms;
        let mut runs = self.runs_at_worker(now);
        let is_recent = |loss: &SilentLoss| {
            let age = now.saturating_duration_since(loss.lost_at);
            loss.started_at_ms == started_at_ms && age < RETENTION
        };
        if let Some(earlier) = self.silent_loss.take().filter(is_recent) {
            runs.extend(earlier.runs);
        }
        self.silent_loss = Some(SilentLoss {
            started_at_ms,
            lost_at: now,
            runs,
        });
    }

    fn runs_at_worker(&self, now: Instant) -> Vec<CrashedRun> {
        let at_worker = self
            .runs
            .iter()
            .filter(|run| matches!(run.phase, Phase::Starting { .. } | Phase::Running { .. }));
        at_worker.map(|run| crashed_run(run, now)).collect()
    }
}

fn crashed_run(run: &Run, now: Instant) -> CrashedRun {
    let ran = now.saturating_duration_since(run.received_at);
    CrashedRun {
        id: run.request.id.clone(),
        queue: run.request.queue.clone(),
        ran_ms: u32::try_from(ran.as_millis()).unwrap_or(u32::MAX),
        isolation: run.request.isolation,
    }
}
