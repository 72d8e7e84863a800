//! Whether a task waits for a worker near its data, and for how long.
//!
//! It answers two loads: jobs whose data is in racks, at a load at which a rack is full for a moment
//! while others have room, and a rack that stores the data of most jobs. A run elsewhere takes
//! `remote_factor` times as long. Capacity that remote runs take is missing near the data of the next
//! tasks, which then run remote as well. A long queue at one rack, on the other hand, leaves the others
//! idle.
//!
//! A task waits if the expected wait is below what it loses elsewhere. All its waits together are no
//! longer than this loss, so that a wrong estimate costs at most as much as a remote run.

use std::time::Duration;

use masticcross_wire::pool::Resources;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::run_times::RunTimes;

/// Time by which the end of a wait may be noticed late: one interval of the entry's ticks.
const TICK_MARGIN: Duration = Duration::from_millis(20);

/// Part of the expected run time that a run beyond it is expected to take further.
const OVERDUE_SHARE: f64 = 0.125;

/// Number of waits that are compared.
const WAIT_STEPS: u32 = 8;

/// Difference of chances that counts as none.
const EQUAL_CHANCES: f64 = 0.001;

/// Shortest expected wait that [`WaitHistory`] compares with the actual one.
const MIN_EXPECTED_WAIT: Duration = Duration::from_millis(5);

/// Time after which a wait counts by a factor of e less in [`WaitHistory`].
const HISTORY_DECAY: Duration = Duration::from_secs(1);

/// Number of waits as expected that [`WaitHistory`] starts from, so that single waits change little.
const PRIOR_WAITS: f64 = 4.0;

/// Largest correction. With 8, a hot rack at 80% of the capacity with factor 2 has fewer jobs in time
/// than without a correction.
const MAX_CORRECTION: f64 = 4.0;

/// Interval over which [`FreedCapacity`] reports.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Number of parts of [`RATE_WINDOW`].
const RATE_PARTS: usize = 10;

/// A run near the data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownRun {
    /// When it was sent.
    pub sent_at: Instant,
    /// Expected run time there.
    pub expected: Duration,
    /// Resources that become free at its end.
    pub resources: Resources,
}

impl KnownRun {
    /// Returns the time until the expected end.
    fn remaining(&self, now: Instant) -> Duration {
        let remaining = (self.sent_at + self.expected).saturating_duration_since(now);
        remaining.max(self.expected.mul_f64(OVERDUE_SHARE))
    }
}

/// A worker near the data that can run the task when it has free resources.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NearWorker {
    /// Resources that are free now.
    pub free: Resources,
    /// Runs of this entry.
    pub runs: SmallVec<[KnownRun; 8]>,
}

/// Capacity near the data of a task.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NearCapacity {
    /// Workers that can run the task.
    pub workers: SmallVec<[NearWorker; 8]>,
    /// CPU that became free in the last second, in thousandths of a core.
    pub freed_cpu: u64,
    /// CPU of the tasks that wait for this place and go before this task, in thousandths of a core.
    pub waiting_cpu: u64,
    /// Factor on the expected wait, from [`WaitHistory`]. Less than 1 counts as 1.
    pub correction: f64,
}

/// A task for which there is no free capacity near its data, but elsewhere.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacedTask {
    /// Required resources.
    pub resources: Resources,
    /// Expected run time near the data.
    pub expected: Duration,
    /// Factor on the run time elsewhere.
    pub remote_factor: f64,
    /// How long the task has waited for the place.
    pub waited: Duration,
    /// Limits of its job.
    pub limits: JobLimits,
}

/// Times that limit the wait of a job's task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobLimits {
    /// Time until which the answer is in time.
    pub due: Instant,
    /// Time until which the answer is of use.
    pub useful_until: Instant,
    /// Time at which the job is refused, if no run has started.
    pub refuse_at: Option<Instant>,
    /// Expected time from the start of the task near its data to the end of the job.
    pub chain: Duration,
}

/// Decision about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Start it elsewhere now.
    Elsewhere(Reason),
    /// Wait for capacity near the data.
    Wait {
        /// Time at which the task takes any worker.
        until: Instant,
        /// Expected wait, without the correction.
        expected: Duration,
    },
}

/// Why a task does not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No worker near the data can run it.
    NoWorker,
    /// The job would be late, or refused, after a wait.
    NoSlack,
    /// Nothing is known that will end near the data.
    Unknown,
    /// The expected wait takes longer than the run elsewhere loses.
    LongWait,
    /// The task has waited for as long as the run elsewhere loses.
    WaitedEnough,
}

impl Reason {
    /// Returns the reason for logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::NoSlack => "no_slack",
            Self::Unknown => "unknown",
            Self::LongWait => "long_wait",
            Self::WaitedEnough => "waited_enough",
        }
    }
}

/// Decides whether a task waits for capacity near its data. `ratios` are the observed ratios of actual
/// to expected run times, as seconds.
#[must_use]
pub fn decide(task: &PlacedTask, near: &NearCapacity, ratios: &RunTimes, now: Instant) -> Decision {
    if near.workers.is_empty() {
        return Decision::Elsewhere(Reason::NoWorker);
    }
    let budget = task.loss().saturating_sub(task.waited);
    if budget.is_zero() {
        return Decision::Elsewhere(Reason::WaitedEnough);
    }
    let Some(expected) = near.expected_wait(task.resources, now) else {
        return Decision::Elsewhere(Reason::Unknown);
    };
    let corrected = expected.mul_f64(near.correction.max(1.0));
    if corrected > budget {
        return Decision::Elsewhere(Reason::LongWait);
    }
    let chances = Chances { task, ratios, now };
    let longest = budget.min(task.slack(now)).min(task.slack_elsewhere(now));
    match chances.longest_wait(longest, corrected) {
        Some(wait) => Decision::Wait {
            until: now + wait,
            expected,
        },
        None => Decision::Elsewhere(Reason::NoSlack),
    }
}

impl PlacedTask {
    /// Returns the time by which the task takes longer elsewhere.
    #[must_use]
    pub fn loss(&self) -> Duration {
        self.expected.mul_f64((self.remote_factor - 1.0).max(0.0))
    }

    /// Returns the longest wait after which the job is not refused, its answer is of use if the task
    /// then runs elsewhere, and in time if it runs near its data.
    fn slack(&self, now: Instant) -> Duration {
        let limits = &self.limits;
        let left = |end: Instant, run: Duration| {
            let left = end.saturating_duration_since(now);
            left.saturating_sub(run + TICK_MARGIN)
        };
        let until_refused = limits
            .refuse_at
            .map_or(Duration::MAX, |at| left(at, Duration::ZERO));
        let useful = left(limits.useful_until, limits.chain + self.loss());
        left(limits.due, limits.chain)
            .min(useful)
            .min(until_refused)
    }

    /// Returns the longest wait after which a job that would be in time elsewhere now still is.
    fn slack_elsewhere(&self, now: Instant) -> Duration {
        let end = now + self.limits.chain + self.loss();
        let left = self.limits.due.checked_duration_since(end);
        left.unwrap_or(Duration::MAX)
    }
}

/// Chances of a task to end in time, according to the spread of run times.
struct Chances<'a> {
    task: &'a PlacedTask,
    ratios: &'a RunTimes,
    now: Instant,
}

impl Chances<'_> {
    /// Returns the chance if the task starts after a wait, near its data or elsewhere.
    fn after(&self, wait: Duration, elsewhere: bool) -> f64 {
        let task = self.task;
        let run = if elsewhere {
            task.expected + task.loss()
        } else {
            task.expected
        };
        let later_steps = task.limits.chain.saturating_sub(task.expected);
        let left = task.limits.due.saturating_duration_since(self.now);
        let left = left.saturating_sub(wait + later_steps);
        let ratio = left.div_duration_f64(run.max(TICK_MARGIN / 20));
        let ratio = Duration::from_secs_f64(ratio.min(1_000.0));
        let without_samples = f64::from(u8::from(ratio >= Duration::from_secs(1)));
        self.ratios.share_within(ratio).unwrap_or(without_samples)
    }

    /// Returns the wait of at most `limit` with the best chance, or `None` if it is better to start
    /// elsewhere now. Of waits with equal chances the longest is best, as it saves capacity.
    fn longest_wait(&self, limit: Duration, expected: Duration) -> Option<Duration> {
        let mut best = (self.after(Duration::ZERO, true), None);
        for step in 1..=WAIT_STEPS {
            let wait = limit * step / WAIT_STEPS;
            let no_place = (-wait.div_duration_f64(expected.max(TICK_MARGIN / 20))).exp();
            let near = self.after(expected.min(wait / 2), false);
            let elsewhere = self.after(wait + TICK_MARGIN, true);
            let chance = (1.0 - no_place) * near + no_place * elsewhere;
            if !wait.is_zero() && near > 0.0 && chance >= best.0 - EQUAL_CHANCES {
                best = (chance.max(best.0), Some(wait));
            }
        }
        best.1
    }
}

impl NearCapacity {
    /// Returns the time until the task is expected to fit, or `None` if nothing is known to end. The
    /// tasks before it are counted as tasks of its size.
    fn expected_wait(&self, task: Resources, now: Instant) -> Option<Duration> {
        let ahead = self.waiting_cpu.div_ceil(task.cpu.max(1));
        let ahead = usize::try_from(ahead).unwrap_or(usize::MAX);
        let mut fits: SmallVec<[Duration; 32]> = SmallVec::new();
        for worker in &self.workers {
            worker.add_fits(task, now, &mut fits);
        }
        fits.sort_unstable();
        let by_runs = fits.get(ahead).copied();
        let by_rate = self.wait_at_rate(task);
        by_runs.into_iter().chain(by_rate).min()
    }

    /// Returns the expected wait if capacity becomes free as in the last second. This covers the runs
    /// of other entries.
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    fn wait_at_rate(&self, task: Resources) -> Option<Duration> {
        let needed = self.waiting_cpu.saturating_add(task.cpu);
        if self.freed_cpu == 0 || self.freed_cpu < task.cpu {
            return None;
        }
        Some(RATE_WINDOW.mul_f64(needed as f64 / self.freed_cpu as f64))
    }
}

impl NearWorker {
    /// Adds the times at which one more task fits, as runs end.
    fn add_fits(&self, task: Resources, now: Instant, fits: &mut SmallVec<[Duration; 32]>) {
        let mut runs = self.runs.clone();
        runs.sort_unstable_by_key(|run| run.remaining(now));
        let mut free = self.free;
        for run in runs {
            free = free.plus(run.resources);
            while task.cpu > 0 && free.covers(&task) {
                free = free.minus(task);
                fits.push(run.remaining(now));
            }
        }
    }
}

/// How waits of one priority for one place ended recently, relative to the expected waits. Tasks of more
/// urgent jobs that arrive later go first, which the expected wait of the others does not include.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitHistory {
    /// Weight of the waits that ended near the data.
    near: f64,
    /// Sum of the ratios of actual to expected waits, also of those that ended elsewhere.
    ratios: f64,
    /// Time of the last wait, since a fixed start.
    updated: Duration,
}

impl WaitHistory {
    /// Adds a wait that ended near the data or elsewhere, at a time since a fixed start.
    pub fn add(&mut self, waited: Duration, expected: Duration, near: bool, since_start: Duration) {
        let weight = self.weight(since_start);
        let ratio = waited.div_duration_f64(expected.max(MIN_EXPECTED_WAIT));
        self.near = self.near * weight + f64::from(u8::from(near));
        self.ratios = self.ratios * weight + ratio;
        self.updated = since_start;
    }

    /// Returns the factor on expected waits, from 1 to 4. If waits are distributed exponentially, it is
    /// the maximum-likelihood estimate: the total wait for each one that ended near the data.
    #[must_use]
    pub fn correction(&self, since_start: Duration) -> f64 {
        let weight = self.weight(since_start);
        let factor = (PRIOR_WAITS + self.ratios * weight) / (PRIOR_WAITS + self.near * weight);
        factor.clamp(1.0, MAX_CORRECTION)
    }

    fn weight(&self, since_start: Duration) -> f64 {
        let passed = since_start.saturating_sub(self.updated);
        (-passed.div_duration_f64(HISTORY_DECAY)).exp()
    }
}

/// CPU that became free in the last [`RATE_WINDOW`].
#[derive(Debug, Clone, Copy, Default)]
pub struct FreedCapacity {
    parts: [u64; RATE_PARTS],
    /// Number of the newest part, counted from the start of the clock given by the caller.
    newest: u64,
}

impl FreedCapacity {
    /// Adds CPU that became free, in thousandths of a core, at a time since a fixed start.
    pub fn add(&mut self, cpu: u64, since_start: Duration) {
        self.advance(since_start);
        let part = &mut self.parts[index(self.newest)];
        *part = part.saturating_add(cpu);
    }

    /// Returns the CPU that became free in the last second, in thousandths of a core.
    #[must_use]
    pub fn cpu(mut self, since_start: Duration) -> u64 {
        self.advance(since_start);
        self.parts.into_iter().fold(0, u64::saturating_add)
    }

    fn advance(&mut self, since_start: Duration) {
        let part_ms = RATE_WINDOW.as_millis() / RATE_PARTS as u128;
        let number = u64::try_from(since_start.as_millis() / part_ms).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.newest).min(RATE_PARTS as u64);
        for step in 0..passed {
            self.parts[index(number - step)] = 0;
        }
        self.newest = self.newest.max(number);
    }
}

fn index(number: u64) -> usize {
    usize::try_from(number % RATE_PARTS as u64).unwrap_or(0)
}
