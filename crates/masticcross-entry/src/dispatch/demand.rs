//! Tells agents how many tasks wait, so that they share their credits by need.

use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::{Demand, Frame};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::Dispatch;
use super::shard::Shard;

/// Time for which tasks have to wait, or not to wait, before agents are told.
const SETTLE: Duration = Duration::from_millis(200);

/// Factor by which the number of waiting tasks has to change before agents are told again.
const FACTOR: usize = 2;

/// What agents were told last, and since when it is different.
#[derive(Debug, Default)]
pub struct DemandSignal {
    told: usize,
    differs_since: Option<Instant>,
}

impl DemandSignal {
    /// Returns the number to tell, if agents are to be told now.
    pub fn update(&mut self, waiting: usize, now: Instant) -> Option<usize> {
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
}

fn differs(told: usize, waiting: usize) -> bool {
    (told == 0) != (waiting == 0) || waiting >= told * FACTOR * 2 || waiting * FACTOR * 2 <= told
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
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        for session in workers.iter().filter_map(|w| self.sessions.of_worker(w)) {
            session.send(Frame::Demand(Demand {
                service: service.clone(),
                waiting,
            }));
        }
    }
}
