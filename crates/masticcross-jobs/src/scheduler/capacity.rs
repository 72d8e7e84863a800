//! What an entry needs to know of its workers before it accepts jobs of other entries.

use super::Scheduler;
use super::worker::Worker;

impl Scheduler {
    /// Returns the free CPU of the workers that can get runs, in thousandths of a core.
    #[must_use]
    pub fn free_cpu(&self) -> u64 {
        let Some(view) = &self.view else {
            return 0;
        };
        let is_usable = |worker: &&Worker| {
            let info = worker.info.as_ref();
            info.is_some_and(|info| !info.leaving && !view.zones_out.contains(&info.zone))
        };
        let free = self.workers.values().filter(is_usable);
        free.map(|worker| worker.free().cpu)
            .fold(0, u64::saturating_add)
    }

    /// Returns true if a queue is configured.
    #[must_use]
    pub fn has_queue(&self, name: &str) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.queues.iter().any(|queue| &*queue.name == name))
    }

    /// Returns true if a queue is configured and a worker of its service is in contact.
    #[must_use]
    pub fn serves_queue(&self, name: &str) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        let queue = view.queues.iter().find(|queue| &*queue.name == name);
        queue.is_some_and(|queue| self.serves(&queue.service))
    }
}
