//! Tasks of each team at this entry, over all services, and their quotas.

use masticcross_basics::Name;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;

/// Why a reservation was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverQuota {
    /// Tasks that would be over the quota.
    pub excess: u32,
}

/// Result of a reservation.
pub type Result<T> = std::result::Result<T, OverQuota>;

/// Counts of tasks that are reserved, wait or run.
#[derive(Debug, Default)]
pub struct TeamUsage {
    tasks: Mutex<FxHashMap<Name, u32>>,
}

impl TeamUsage {
    /// Counts tasks if the team stays within its quota.
    ///
    /// # Errors
    /// Says by how many tasks the quota would be exceeded.
    pub fn reserve(&self, team: &Name, tasks: u32, quota: Option<u32>) -> Result<()> {
        let mut counts = self.tasks.lock();
        let used = counts.entry(team.clone()).or_default();
        let wanted = used.saturating_add(tasks);
        match quota {
            Some(quota) if wanted > quota => Err(OverQuota {
                excess: wanted - quota,
            }),
            _ => {
                *used = wanted;
                Ok(())
            }
        }
    }

    /// Counts tasks without regard to the quota, which they have passed before.
    pub fn add(&self, team: &Name, tasks: u32) {
        let mut counts = self.tasks.lock();
        let used = counts.entry(team.clone()).or_default();
        *used = used.saturating_add(tasks);
    }

    /// Stops counting tasks.
    pub fn release(&self, team: &Name, tasks: u32) {
        if let Some(used) = self.tasks.lock().get_mut(team) {
            *used = used.saturating_sub(tasks);
        }
    }

    /// Returns the number of tasks of a team.
    #[must_use]
    pub fn of(&self, team: &Name) -> u32 {
        self.tasks.lock().get(team).copied().unwrap_or_default()
    }
}
