//! How much of its arriving jobs an entry can process itself. It answers the load of an entry whose
//! own processor is the bottleneck: while workers are free, the entry's answers, runs and refusals all
//! come late, because its event loop has more to do than its share of a core allows.
//!
//! The measure is the lag of the entry's tick loop, which needs no constant of a deployment. A
//! controller computes which share of the arriving jobs is transferred to other entries, and which
//! share is refused at once when that is not enough. Which job it concerns follows from an error
//! accumulator, not from chance.

#[cfg(test)]
mod tests;

use std::time::Duration;

use tokio::time::Instant;

/// Interval of the ticks whose lag is measured.
const TICK: Duration = Duration::from_millis(20);

/// Smoothed lag below which load is normal, in milliseconds. Under normal load the mean over 0.5 s is
/// 1 to 3 ms.
pub const NORMAL_LAG_MS: f64 = 5.0;

/// Smoothed lag from which the entry is at its limit, in milliseconds.
pub const LIMIT_LAG_MS: f64 = 10.0;

/// Smoothed lag above which jobs are refused if no other entry accepts them, in milliseconds. With
/// more, refusals would come later than 50 ms after the arrival.
pub const SHED_LAG_MS: f64 = 40.0;

/// Smoothed lag below which the entry is calm, in milliseconds. Measured: 0.1 to 1 ms without load.
const CALM_LAG_MS: f64 = 1.0;

/// Time constant of the smoothing, in milliseconds. Single ticks are up to 25 ms late under normal
/// load; overload raises the lag for many ticks within a second.
const SMOOTHING_MS: f64 = 250.0;

/// Limit of a sample, as a multiple of the sample before and a time in milliseconds beyond that. A
/// process that was suspended or has just started has one late tick, which must not count as load.
const GROWTH_FACTOR: f64 = 2.0;
const GROWTH_MS: f64 = 15.0;

/// Largest lag that counts, in milliseconds. A longer one says no more about the load.
const MAX_SAMPLE_MS: f64 = 250.0;

/// How a share is controlled: the sum of an integral and a proportional part. The integral part finds
/// the share that keeps the lag low. The proportional part reacts to a sudden overload, whose backlog
/// grows by up to a second per second.
#[derive(Debug, Clone, Copy)]
struct Gains {
    /// Lag above which the share rises, in milliseconds.
    limit_ms: f64,
    /// Excess over the limit at which the integral part rises at its full rate, in milliseconds.
    full_rate_excess_ms: f64,
    /// Full rate of the integral part, per second.
    rise: f64,
    /// Excess of the last two ticks at which the proportional part is at its highest, in milliseconds.
    full_excess_ms: f64,
    /// Highest proportional part.
    highest: f64,
}

const TRANSFER: Gains = Gains {
    limit_ms: LIMIT_LAG_MS,
    full_rate_excess_ms: 20.0,
    rise: 2.0,
    full_excess_ms: 40.0,
    highest: 1.0,
};

const SHED: Gains = Gains {
    limit_ms: SHED_LAG_MS,
    full_rate_excess_ms: 80.0,
    rise: 1.0,
    full_excess_ms: 60.0,
    highest: 0.8,
};

/// Rates at which the share to transfer falls under normal load and in calm, per second.
const TRANSFER_FALL: f64 = 0.1;
const CALM_FALL: f64 = 0.4;

/// Rates at which the share to refuse falls: while other entries accept no more jobs, and as soon as
/// they do or the entry is not at its limit any more, per second.
const SHED_FALL: f64 = 0.25;
const SHED_END: f64 = 2.0;

/// Time after a job that no entry accepted in which the share to transfer does not rise further.
const BLOCKED_TIME: Duration = Duration::from_millis(300);

/// Limits of a retry-after, in milliseconds, and the number of jobs over which it is spread by half.
const MIN_RETRY_MS: f64 = 500.0;
const MAX_RETRY_MS: f64 = 5_000.0;
const RETRY_SPREAD: f64 = 0.5;
const SPREAD_STEPS: u32 = 64;

/// Load of an entry's processor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Load {
    /// The entry can accept jobs of other entries.
    #[default]
    Normal,
    /// The entry processes its own jobs in time, but should get no more.
    Raised,
    /// The entry gets more than it can process.
    AtLimit,
}

impl Load {
    /// Returns the label for logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Raised => "raised",
            Self::AtLimit => "at_limit",
        }
    }

    fn of(lag_ms: f64) -> Self {
        if lag_ms < NORMAL_LAG_MS {
            Self::Normal
        } else if lag_ms < LIMIT_LAG_MS {
            Self::Raised
        } else {
            Self::AtLimit
        }
    }
}

/// A share of the arriving jobs, applied to jobs in order.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    integral: f64,
    proportional: f64,
    /// Part of a job by which the share is behind.
    debt: f64,
}

impl Share {
    fn share(&self) -> f64 {
        (self.integral + self.proportional).min(1.0)
    }

    fn rise(&mut self, gains: Gains, lag_ms: f64, elapsed_s: f64) {
        let rate = ((lag_ms - gains.limit_ms) / gains.full_rate_excess_ms).min(1.0) * gains.rise;
        self.integral = (self.integral + rate * elapsed_s).min(1.0);
    }

    fn fall(&mut self, rate: f64, elapsed_s: f64) {
        self.integral = (self.integral - rate * elapsed_s).max(0.0);
        if self.share() == 0.0 {
            self.debt = 0.0;
        }
    }

    fn set_proportional(&mut self, gains: Gains, sustained_ms: f64) {
        let excess = (sustained_ms - gains.limit_ms) / gains.full_excess_ms;
        self.proportional = excess.clamp(0.0, 1.0) * gains.highest;
    }

    fn takes_next(&mut self) -> bool {
        self.debt = (self.debt + self.share()).min(2.0);
        let takes = self.debt >= 1.0;
        if takes {
            self.debt -= 1.0;
        }
        takes
    }
}

/// Measures an entry's own load and decides which arriving jobs it does not process itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnLoad {
    lag_ms: f64,
    /// The last sample before its limit was applied.
    last_sample_ms: f64,
    transfer: Share,
    shed: Share,
    blocked_at: Option<Instant>,
    refused: u32,
}

impl OwnLoad {
    /// Adds the lag of a tick: the time from when it was due until it ran.
    pub fn add(&mut self, lag: Duration, now: Instant) {
        let lag_ms = (lag.as_secs_f64() * 1_000.0).min(MAX_SAMPLE_MS);
        let sample_ms = lag_ms.min(self.last_sample_ms * GROWTH_FACTOR + GROWTH_MS);
        let sustained_ms = lag_ms.min(self.last_sample_ms);
        self.last_sample_ms = lag_ms;
        let elapsed_ms = TICK.as_secs_f64() * 1_000.0 + sample_ms;
        let weight = 1.0 - (-elapsed_ms / SMOOTHING_MS).exp();
        self.lag_ms += weight * (sample_ms - self.lag_ms);
        self.control(sustained_ms, elapsed_ms / 1_000.0, now);
    }

    /// Returns the load.
    #[must_use]
    pub fn load(&self) -> Load {
        Load::of(self.lag_ms)
    }

    /// Returns the smoothed lag, in milliseconds.
    #[must_use]
    pub fn lag_ms(&self) -> f64 {
        self.lag_ms
    }

    /// Returns the share of the arriving jobs to transfer, from 0 to 1.
    #[must_use]
    pub fn transfer_share(&self) -> f64 {
        self.transfer.share()
    }

    /// Returns the share of the jobs that are not transferred to refuse, from 0 to 1.
    #[must_use]
    pub fn shed_share(&self) -> f64 {
        self.shed.share()
    }

    /// Returns true if the next arriving job is to be transferred.
    pub fn transfers_next(&mut self) -> bool {
        self.transfer.takes_next()
    }

    /// Records that no entry accepted a job that was to be transferred. The next one is offered again.
    pub fn transfer_blocked(&mut self, now: Instant) {
        self.blocked_at = Some(now);
        self.transfer.debt += 1.0;
    }

    /// Returns the retry-after if the next job that was not transferred is to be refused, in
    /// milliseconds.
    ///
    /// It is the time until the share to refuse is 0 again if the load ends now. Jobs in a row get
    /// different times, so that their callers do not return together.
    pub fn sheds_next(&mut self) -> Option<u32> {
        if !self.shed.takes_next() {
            return None;
        }
        self.refused = self.refused.wrapping_add(1);
        let clear_ms = (self.shed.share() / SHED_FALL * 1_000.0).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        let position = f64::from(self.refused % SPREAD_STEPS) / f64::from(SPREAD_STEPS);
        Some(to_ms(clear_ms * (1.0 + RETRY_SPREAD * position)))
    }

    fn control(&mut self, sustained_ms: f64, elapsed_s: f64, now: Instant) {
        let is_blocked = self
            .blocked_at
            .is_some_and(|at| now.saturating_duration_since(at) < BLOCKED_TIME);
        self.transfer.set_proportional(TRANSFER, sustained_ms);
        if self.lag_ms >= LIMIT_LAG_MS {
            self.transfer.rise(TRANSFER, self.lag_ms, elapsed_s);
        } else if self.lag_ms < CALM_LAG_MS {
            self.transfer.fall(CALM_FALL, elapsed_s);
        } else if self.lag_ms < NORMAL_LAG_MS {
            self.transfer.fall(TRANSFER_FALL, elapsed_s);
        }
        let cannot_transfer_more = is_blocked || self.transfer.share() >= 1.0;
        if !cannot_transfer_more || self.lag_ms < LIMIT_LAG_MS {
            self.shed.set_proportional(SHED, 0.0);
            self.shed.fall(SHED_END, elapsed_s);
            return;
        }
        self.shed.set_proportional(SHED, sustained_ms);
        if self.lag_ms >= SHED_LAG_MS && sustained_ms >= SHED_LAG_MS {
            self.shed.rise(SHED, self.lag_ms, elapsed_s);
        } else {
            self.shed.fall(SHED_FALL, elapsed_s);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is between the limits of a retry-after"
)]
fn to_ms(ms: f64) -> u32 {
    ms as u32
}
