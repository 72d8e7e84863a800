//! How many jobs of other entries an entry accepts.
//!
//! The limit for all origins together starts low and is adjusted at each probe interval: it grows
//! while it is used up and the entry's own lag stays far below its limit, and shrinks as the lag rises.
//! So it follows the entry's own speed without a constant of a deployment. Each origin gets an equal
//! part, and a job counts against the part of one session only, so that no credit is spent twice.
//!
//! The second limit is the free CPU of the workers. The up to [`MAX_PEERS`] receivers of an origin see
//! the same free CPU, and each counts on its part only, divided by the CPU of a mean recent job. An
//! eighth instead, for the entries that share a worker, kept the credits of three receivers below the
//! load of one entry while a third of the CPU was free.

use std::time::Duration;

use tokio::time::Instant;

use crate::own_load::{Load, NORMAL_LAG_MS};

use super::PROBE_INTERVAL;
use super::selection::MAX_PEERS;

/// Jobs per probe interval that all origins together get at first: 80 a second.
const FIRST_BUDGET: f64 = 12.0;

/// Highest budget, in jobs per probe interval.
const MAX_BUDGET: f64 = 1_000.0;

/// Factor at which the budget grows when it was used.
const GROWTH: f64 = 2.0;

/// Factor at which the budget shrinks when the lag is above half of its normal limit.
const SHRINKAGE: f64 = 0.9;

/// Factor at which the budget shrinks when the load is not normal.
const BACKOFF: f64 = 0.5;

/// Part of the budget that must be used for it to grow.
const USED_SHARE: f64 = 0.6;

/// Time without transferred jobs after which the budget starts from the beginning.
const RESET_TIME: Duration = Duration::from_secs(10);

/// Weight of a job in the mean CPU of jobs.
const JOB_WEIGHT: f64 = 0.05;

/// What a credit depends on.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Load of the entry's own processor.
    pub load: Load,
    /// Smoothed lag of the entry, in milliseconds.
    pub lag_ms: f64,
    /// Free CPU of the workers in contact, in thousandths of a core.
    pub free_cpu: u64,
    /// True if the entry has a configuration and accepts new jobs.
    pub is_open: bool,
}

/// The budget of jobs that an entry accepts from all origins per probe interval.
#[derive(Debug, Clone, Copy)]
pub struct CreditBudget {
    budget: f64,
    /// Jobs accepted since the last adjustment.
    used: u32,
    adjusted_at: Option<Instant>,
    last_used_at: Option<Instant>,
    /// CPU that the tasks of a mean job take at the same time, in thousandths of a core.
    mean_job_cpu: f64,
}

impl Default for CreditBudget {
    fn default() -> Self {
        Self {
            budget: FIRST_BUDGET,
            used: 0,
            adjusted_at: None,
            last_used_at: None,
            mean_job_cpu: 0.0,
        }
    }
}

impl CreditBudget {
    /// Records the CPU that the tasks of an arrived job take at the same time, in thousandths of a
    /// core.
    pub fn job_arrived(&mut self, cpu: u64) {
        let cpu = as_f64(cpu);
        if self.mean_job_cpu == 0.0 {
            self.mean_job_cpu = cpu;
        }
        self.mean_job_cpu += JOB_WEIGHT * (cpu - self.mean_job_cpu);
    }

    /// Records that a job of an origin was accepted.
    pub fn job_accepted(&mut self, now: Instant) {
        self.used = self.used.saturating_add(1);
        self.last_used_at = Some(now);
    }

    /// Adjusts the budget at the end of a probe interval.
    pub fn adjust(&mut self, capacity: Capacity, now: Instant) {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        if self
            .adjusted_at
            .is_some_and(|at| elapsed(at) < PROBE_INTERVAL)
        {
            return;
        }
        self.adjusted_at = Some(now);
        let used = f64::from(std::mem::take(&mut self.used));
        if capacity.load != Load::Normal {
            self.budget = (self.budget * BACKOFF).max(1.0);
        } else if capacity.lag_ms > NORMAL_LAG_MS / 2.0 {
            self.budget = (self.budget * SHRINKAGE).max(1.0);
        } else if self.last_used_at.is_some_and(|at| elapsed(at) > RESET_TIME) {
            self.budget = FIRST_BUDGET;
            self.last_used_at = None;
        } else if used >= self.budget * USED_SHARE {
            self.budget = (self.budget * GROWTH).min(MAX_BUDGET);
        }
    }

    /// Returns the credit of one of a number of origins until its next echo.
    #[must_use]
    pub fn credit(&self, capacity: Capacity, origins: usize) -> u32 {
        if capacity.load != Load::Normal || !capacity.is_open || capacity.free_cpu == 0 {
            return 0;
        }
        let receivers = as_f64(u64::try_from(MAX_PEERS).unwrap_or(u64::MAX));
        let by_cpu = as_f64(capacity.free_cpu) / receivers / self.mean_job_cpu.max(1.0);
        let origins = as_f64(u64::try_from(origins.max(1)).unwrap_or(u64::MAX));
        to_count((self.budget.min(by_cpu) / origins).floor())
    }
}

#[expect(clippy::cast_precision_loss, reason = "amounts need not be exact")]
fn as_f64(value: u64) -> f64 {
    value as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is between 0 and the highest budget"
)]
fn to_count(value: f64) -> u32 {
    value as u32
}
