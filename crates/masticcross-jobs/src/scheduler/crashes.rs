//! Crashes of workers that agents announce.

use masticcross_wire::crash::WorkerCrash;
use tokio::time::Instant;

use super::{Scheduler, SessionId};

impl Scheduler {
    /// Applies crashes that an agent announced on a session.
    pub fn crashes_announced(&mut self, session: SessionId, crashes: &[WorkerCrash], now: Instant) {
        for crash in crashes {
            if self.crash_log.add(crash, now).is_none() {
                continue;
            }
            log::warn!(
                worker:% = crash.worker, session, born_ms = crash.started_at_ms,
                runs = crash.runs.len(), age_ms = crash.age_ms;
                "worker crash announced"
            );
            for run in &crash.runs {
                if !self.by_id.contains_key(&run.id.task.job) {
                    continue;
                }
                let crashes = self.crash_log.crashes_under(&run.id.task);
                if crashes > 1 {
                    log::warn!(
                        run:% = run.id, queue:% = run.queue, crashes, ran_ms = run.ran_ms,
                        isolation:? = run.isolation;
                        "task was in several crashes"
                    );
                }
            }
        }
    }
}
