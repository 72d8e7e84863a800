//! Tells agents how many tasks wait, so that they share their credits by need.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::{Demand, Frame};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::Dispatch;
use super::shard::Shard;

/// Time for which the number has to differ before agents are told.
const SETTLE: Duration = Duration::from_millis(500);

/// Factor by which the number of waiting tasks has to change before agents are told again.
const FACTOR: usize = 4;

/// Tasks that have to wait, for each that runs, before agents are told at all. Fewer are served by
/// the credits that agents renew anyway.
const WAITING_PER_RUNNING: f64 = 2.0;

/// Part of that number below which agents are told that nothing waits.
const HYSTERESIS: f64 = 0.25;

/// What agents were told last, and since when it is different.
#[derive(Debug, Default)]
pub struct DemandSignal {
    told: usize,
    differs_since: Option<Instant>,
}

impl DemandSignal {
    /// Returns the number to tell, if agents are to be told now.
    pub fn update(&mut self, waiting: usize, running: f64, now: Instant) -> Option<usize> {
        let waiting = self.worth_telling(waiting, running);
        if !differs(self.told, waiting) {
            self.differs_since = None;
            return None;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) < SETTLE {
            return None;
        }
        self.told = waiting;
        self.differs_since = None;
        Some(waiting)
    }

    /// Returns the number, or none if so few wait that agents need not know.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a comparison needs no exact count"
    )]
    fn worth_telling(&self, waiting: usize, running: f64) -> usize {
        let part = if self.told == 0 { 1.0 } else { HYSTERESIS };
        let least = running * WAITING_PER_RUNNING * part;
        if (waiting as f64) < least { 0 } else { waiting }
    }
}

fn differs(told: usize, waiting: usize) -> bool {
    (told == 0) != (waiting == 0) || waiting > told * FACTOR || waiting * FACTOR < told
}

impl Dispatch {
    /// Tells the agents of a service how many tasks wait, if it changed much.
    pub(super) fn update_demand(&self, service: &Name, shard: &Mutex<Shard>) {
        let (waiting, workers) = {
            let mut shard = shard.lock();
            let Some(waiting) = shard.update_demand(Instant::now()) else {
                return;
            };
            (waiting, shard.workers().connected())
        };
        // Each agent learns its part, so that what it receives tells it what is left.
        let part = waiting.div_ceil(workers.len().max(1));
        let waiting = u32::try_from(part).unwrap_or(u32::MAX);
        self.metrics.wasted("demand", workers.len() as u64);
        for session in workers.iter().filter_map(|w| self.sessions.of_worker(w)) {
            session.send(Frame::Demand(Demand {
                service: service.clone(),
                waiting,
            }));
        }
    }
}
