//! Reports the number of waiting tasks to agents, so that they distribute their credits by demand.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::{Demand, Frame};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::Dispatch;
use super::shard::Shard;

/// Time for which the number of waiting tasks has to stay changed before it is reported.
const MIN_CHANGE_DURATION: Duration = Duration::from_millis(500);

/// Factor by which the number of waiting tasks has to change before it is reported again.
const MIN_CHANGE_FACTOR: usize = 4;

/// Waiting tasks for each running task below which demand is reported as 0. The credits that agents
/// renew anyway are enough for so few tasks.
const MIN_WAITING_PER_RUNNING: f64 = 2.0;

/// Share of that threshold that applies once a demand above 0 was reported.
const HYSTERESIS_SHARE: f64 = 0.25;

/// The demand reported last, and since when the current one differs from it.
#[derive(Debug, Default)]
pub struct DemandSignal {
    reported: usize,
    changed_since: Option<Instant>,
}

impl DemandSignal {
    /// Returns the demand to report, if it should be reported to agents now.
    pub fn update(&mut self, waiting: usize, running: f64, now: Instant) -> Option<usize> {
        let waiting = self.reportable(waiting, running);
        if !changed_significantly(self.reported, waiting) {
            self.changed_since = None;
            return None;
        }
        let since = *self.changed_since.get_or_insert(now);
        if now.saturating_duration_since(since) < MIN_CHANGE_DURATION {
            return None;
        }
        self.reported = waiting;
        self.changed_since = None;
        Some(waiting)
    }

    /// Returns the number of waiting tasks, or 0 if it is below the threshold.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a comparison needs no exact count"
    )]
    fn reportable(&self, waiting: usize, running: f64) -> usize {
        let share = if self.reported == 0 {
            1.0
        } else {
            HYSTERESIS_SHARE
        };
        let threshold = running * MIN_WAITING_PER_RUNNING * share;
        if (waiting as f64) < threshold {
            0
        } else {
            waiting
        }
    }
}

fn changed_significantly(reported: usize, waiting: usize) -> bool {
    (reported == 0) != (waiting == 0)
        || waiting > reported * MIN_CHANGE_FACTOR
        || waiting * MIN_CHANGE_FACTOR < reported
}

impl Dispatch {
    /// Reports the number of waiting tasks to the agents of a service, if it changed enough.
    pub(super) fn update_demand(&self, service: &Name, shard: &Mutex<Shard>) {
        let (waiting, workers) = {
            let mut shard = shard.lock();
            let Some(waiting) = shard.update_demand(Instant::now()) else {
                return;
            };
            (waiting, shard.workers().connected())
        };
        // Each agent gets its share of the number, so that it can subtract the tasks that it
        // receives.
        let per_agent = waiting.div_ceil(workers.len().max(1));
        let waiting = u32::try_from(per_agent).unwrap_or(u32::MAX);
        self.metrics.wasted("demand", workers.len() as u64);
        for session in workers.iter().filter_map(|w| self.sessions.of_worker(w)) {
            session.send(Frame::Demand(Demand {
                service: service.clone(),
                waiting,
            }));
        }
    }
}
