//! Number of tasks of each team at this entry, across all services, and its quota.

use masticcross_basics::Name;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;

/// The reservation would exceed the team's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverQuota {
    /// Number of tasks over the quota.
    pub excess: u32,
}

/// Result of reserving tasks.
pub type Result<T> = std::result::Result<T, OverQuota>;

/// Number of reserved, waiting and running tasks by team.
#[derive(Debug, Default)]
pub struct TeamUsage {
    tasks: Mutex<FxHashMap<Name, u32>>,
}

impl TeamUsage {
    /// Adds tasks to a team's usage if the team stays within its quota.
    ///
    /// # Errors
    /// Returns by how many tasks the quota would be exceeded.
    pub fn reserve(&self, team: &Name, tasks: u32, quota: Option<u32>) -> Result<()> {
        let mut counts = self.tasks.lock();
        let used = counts.entry(team.clone()).or_default();
        let total = used.saturating_add(tasks);
        match quota {
            Some(quota) if total > quota => Err(OverQuota {
                excess: total - quota,
            }),
            _ => {
                *used = total;
                Ok(())
            }
        }
    }

    /// Adds tasks to a team's usage without a quota check, which was already done for them.
    pub fn add(&self, team: &Name, tasks: u32) {
        let mut counts = self.tasks.lock();
        let used = counts.entry(team.clone()).or_default();
        *used = used.saturating_add(tasks);
    }

    /// Removes tasks from a team's usage.
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
