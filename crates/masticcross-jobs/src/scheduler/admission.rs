//! Admission: whether a job that cannot start now can still be of use to its caller, and when a
//! refused caller should return. It answers the load of an overloaded system, in which callers bring
//! more work than the workers can do: a job without a chance is refused at once instead of after a
//! long wait, and refused callers return when its backlog is done, at different times.
//!
//! The estimate uses only the present backlog and the entry's share of the workers in the last one to two
//! seconds, so that a wrong one is corrected within that time.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::entry_selection::MAX_SESSIONS;

/// CPU time, in thousandths of a core times milliseconds.
pub type Work = u64;

/// Part of the time until a job's latest start that the expected wait may take. The rest is for jobs
/// that run longer than expected.
const USABLE_WAIT_SHARE: f64 = 0.7;

/// Part of an entry's share that less urgent jobs get at least in the estimate.
const MIN_REMAINING_SHARE: u64 = 16;

/// Limits of a retry-after.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Part of the retry-after over which the callers' returns are spread.
const SPREAD: f64 = 0.5;

/// Number of different times in the spread.
const SPREAD_STEPS: u64 = 64;

/// Time after which a lower share of the workers counts. An entry loses sight of workers for less than
/// this when connections are reset or sessions move.
const SHARE_WINDOW: Duration = Duration::from_secs(1);

/// Time for which jobs have to wait for room until jobs without a chance are refused.
const SATURATION_TIME: Duration = Duration::from_millis(750);

/// Time without waiting jobs after which the system no longer counts as overloaded.
const RELIEF_TIME: Duration = Duration::from_millis(250);

/// Window of the rate at which work arrives.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(500);

/// Whether the system is overloaded, with hysteresis: it is once jobs have waited for room without a
/// break for [`SATURATION_TIME`], until none has waited for [`RELIEF_TIME`].
#[derive(Debug, Clone, Copy, Default)]
pub struct Saturation {
    overloaded: bool,
    /// Since when jobs have waited, or not waited, without a break.
    since: Option<(bool, Instant)>,
}

impl Saturation {
    /// Records whether jobs wait for room. Returns true if the system is overloaded.
    pub fn update(&mut self, jobs_wait: bool, now: Instant) -> bool {
        let since = match self.since {
            Some((waited, since)) if waited == jobs_wait => since,
            _ => now,
        };
        self.since = Some((jobs_wait, since));
        let lasted = now.saturating_duration_since(since);
        if jobs_wait {
            self.overloaded |= lasted >= SATURATION_TIME;
        } else {
            self.overloaded &= lasted < RELIEF_TIME;
        }
        self.overloaded
    }
}

/// Work that arrived for jobs of one priority, in windows of [`ARRIVAL_WINDOW`].
#[derive(Debug, Clone, Copy)]
struct ArrivedWork {
    since: Instant,
    current: Work,
    previous: Work,
}

/// Rate at which work arrives, by the priority of its queue.
#[derive(Debug, Clone, Default)]
pub struct ArrivalRates {
    by_priority: BTreeMap<u32, ArrivedWork>,
}

impl ArrivalRates {
    /// Adds the work of an accepted job.
    pub fn add(&mut self, priority: u32, work: Work, now: Instant) {
        let arrived = self.by_priority.entry(priority).or_insert(ArrivedWork {
            since: now,
            current: 0,
            previous: 0,
        });
        arrived.advance(now);
        arrived.current = arrived.current.saturating_add(work);
    }

    /// Returns the CPU that the arriving work of queues of the given priority takes, in thousandths of a
    /// core.
    #[must_use]
    pub fn cpu_of(&self, priority: u32, now: Instant) -> u64 {
        let arrived = self.by_priority.get(&priority);
        arrived.map_or(0, |arrived| arrived.cpu(now))
    }

    /// Returns the CPU that the arriving work of queues before the given priority takes, in thousandths
    /// of a core.
    #[must_use]
    pub fn cpu_before(&self, priority: u32, now: Instant) -> u64 {
        let before = self.by_priority.range(..priority);
        let cpu = before.map(|(_, arrived)| arrived.cpu(now));
        cpu.fold(0, u64::saturating_add)
    }
}

impl ArrivedWork {
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed >= ARRIVAL_WINDOW * 2 {
            (self.previous, self.current, self.since) = (0, 0, now);
        } else if elapsed >= ARRIVAL_WINDOW {
            (self.previous, self.current) = (self.current, 0);
            self.since += ARRIVAL_WINDOW;
        }
    }

    fn cpu(mut self, now: Instant) -> u64 {
        self.advance(now);
        let elapsed = now.saturating_duration_since(self.since) + ARRIVAL_WINDOW;
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.previous.saturating_add(self.current) / elapsed_ms.max(1)
    }
}

/// Highest share of the workers in the last one to two times [`SHARE_WINDOW`].
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentShare {
    current: u64,
    previous: u64,
    window_since: Option<Instant>,
}

impl RecentShare {
    /// Adds the present share, in thousandths of a core.
    pub fn add(&mut self, share: u64, now: Instant) {
        let is_over = |since: Instant| now.saturating_duration_since(since) >= SHARE_WINDOW;
        if self.window_since.is_none_or(is_over) {
            self.previous = self.current;
            self.current = 0;
            self.window_since = Some(now);
        }
        self.current = self.current.max(share);
    }

    /// Returns the highest recent share, in thousandths of a core.
    #[must_use]
    pub fn highest(&self) -> u64 {
        self.current.max(self.previous)
    }
}

/// Returns the CPU on which an entry's tasks can run at a time: that of its present runs, but at least
/// an equal part of the usable workers, each of which works for up to [`MAX_SESSIONS`] entries.
#[must_use]
pub fn share_cpu(running: u64, usable: u64) -> u64 {
    let sharing = u64::try_from(MAX_SESSIONS).unwrap_or(u64::MAX);
    if usable == 0 {
        return 0;
    }
    running.max(usable / sharing)
}

/// What delays a job at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Backlog {
    /// Work of the waiting tasks that go before the job.
    pub ahead: Work,
    /// CPU on which the entry's tasks can run at a time, in thousandths of a core; 0 if unknown.
    pub share_cpu: u64,
}

impl Backlog {
    /// Returns the same backlog for a job that later work overtakes, which takes the given CPU.
    #[must_use]
    pub fn overtaken_by(self, overtaking_cpu: u64) -> Self {
        let least = self.share_cpu / MIN_REMAINING_SHARE;
        let share_cpu = self.share_cpu.saturating_sub(overtaking_cpu).max(least);
        Self { share_cpu, ..self }
    }

    /// Returns the time until the work ahead has started, or `None` if the entry's share of the workers
    /// is not known.
    #[must_use]
    pub fn expected_wait(&self) -> Option<Duration> {
        let wait_ms = self.ahead.checked_div(self.share_cpu)?;
        Some(Duration::from_millis(wait_ms))
    }

    /// Returns true if [`Self::allows_start_by`] is certain for a start within the given time. This needs
    /// no division, as it is asked for each waiting job at each submission.
    #[must_use]
    pub fn surely_allows_start_within(&self, longest_ms: u64) -> bool {
        const { assert!(USABLE_WAIT_SHARE > 0.5) };
        self.ahead <= self.share_cpu.saturating_mul(longest_ms / 2)
    }

    /// Returns true if a job may start by the given time.
    #[must_use]
    pub fn allows_start_by(&self, latest: Instant, now: Instant) -> bool {
        let longest_wait = latest.saturating_duration_since(now);
        let limit = longest_wait.mul_f64(USABLE_WAIT_SHARE);
        self.expected_wait().is_none_or(|wait| wait <= limit)
    }

    /// Returns the time after which a caller of a refused job should return: not before the work ahead
    /// is done, and later by a part that depends on the job.
    #[must_use]
    pub fn retry_after(&self, job: u64) -> Duration {
        let wait = self.expected_wait().unwrap_or_default();
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        wait + wait.mul_f64(SPREAD * spread_position(job))
    }
}

/// Returns the position of a job in the spread, from 0 to 1.
#[expect(clippy::cast_precision_loss, reason = "the values are small")]
pub(super) fn spread_position(job: u64) -> f64 {
    (job % SPREAD_STEPS) as f64 / SPREAD_STEPS as f64
}
