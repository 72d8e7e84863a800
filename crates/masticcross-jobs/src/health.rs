//! Whether a worker may be given tasks: after failures it is taken out, and probed back.

use std::time::Duration;

use tokio::time::Instant;

/// Failures, less the successes in between, after which a worker is taken out.
const QUARANTINE_FAILURES: f64 = 3.0;

/// Part of a failure that a success makes up for.
const SUCCESS_CREDIT: f64 = 0.25;

/// Part of a failure that an order without answer counts for. A few are lost on the way to a worker
/// that is sound.
const UNANSWERED_WEIGHT: f64 = 0.3;

/// Time that a worker is out before its first probe. It doubles with each failed probe.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_mins(1);

/// Tasks that have to end well, one at a time, before a worker is back.
const REQUIRED_PROBES: u32 = 3;

/// Time after its return in which a worker that is taken out again stays out longer.
const RELAPSE_WINDOW: Duration = Duration::from_mins(2);

/// Pause of a worker that did not start a task for a reason that passes by itself.
const PAUSE: Duration = Duration::from_millis(100);

/// Tasks that a worker may have at once at first, and the interval at which they double.
const RAMP_START: u32 = 2;
const RAMP_INTERVAL: Duration = Duration::from_millis(250);

/// Doublings after which a ramp limits nothing.
const RAMP_STEPS: u32 = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Healthy,
    Quarantined { until: Instant },
    Probing { successes: u32 },
}

/// Standing of one worker.
#[derive(Debug, Clone)]
pub struct Health {
    state: State,
    failures: f64,
    backoff: Duration,
    reinstated_at: Option<Instant>,
    paused_until: Option<Instant>,
    ramp_since: Instant,
}

impl Health {
    /// Creates the standing of a worker that has just come.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            state: State::Healthy,
            failures: 0.0,
            backoff: FIRST_BACKOFF,
            reinstated_at: None,
            paused_until: None,
            ramp_since: now,
        }
    }

    /// Creates the standing of a worker that may have all its tasks at once.
    #[must_use]
    pub fn without_ramp(now: Instant) -> Self {
        let ramp = RAMP_INTERVAL * RAMP_STEPS;
        Self {
            ramp_since: now.checked_sub(ramp).unwrap_or(now),
            ..Self::new(now)
        }
    }

    /// Lets the number of tasks grow from a few again.
    pub fn restart_ramp(&mut self, now: Instant) {
        self.ramp_since = now;
    }

    /// Returns how many tasks the worker may have at once now.
    #[must_use]
    pub fn limit(&self, now: Instant) -> u32 {
        if self.paused_until.is_some_and(|until| now < until) {
            return 0;
        }
        match self.state {
            State::Quarantined { until } if now < until => 0,
            State::Quarantined { .. } | State::Probing { .. } => 1,
            State::Healthy if self.failures >= 1.0 => 1,
            State::Healthy => self.ramp(now),
        }
    }

    fn ramp(&self, now: Instant) -> u32 {
        let since = now.saturating_duration_since(self.ramp_since);
        let steps = since.as_millis() / RAMP_INTERVAL.as_millis();
        match u32::try_from(steps) {
            Ok(steps) if steps < RAMP_STEPS => RAMP_START << steps,
            _ => u32::MAX,
        }
    }

    /// Returns true while the limit changes by time alone.
    #[must_use]
    pub fn limit_changes_over_time(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
            || self.state != State::Healthy
            || self.ramp(now) != u32::MAX
    }

    /// Returns true while the worker is taken out, or probed.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.state != State::Healthy
    }

    /// Notes that a task was sent.
    pub fn sent(&mut self) {
        if let State::Quarantined { .. } = self.state {
            self.state = State::Probing { successes: 0 };
        }
    }

    /// Notes a task that ended well.
    pub fn succeeded(&mut self, now: Instant) {
        match self.state {
            State::Healthy => self.failures = (self.failures - SUCCESS_CREDIT).max(0.0),
            State::Quarantined { .. } => {}
            State::Probing { successes } if successes + 1 < REQUIRED_PROBES => {
                self.state = State::Probing {
                    successes: successes + 1,
                };
            }
            State::Probing { .. } => {
                self.failures = 0.0;
                self.reinstate(now);
            }
        }
    }

    /// Notes an order that the worker did not answer. It is taken out only if `may_quarantine`.
    pub fn unanswered(&mut self, now: Instant, may_quarantine: bool) {
        self.add_failures(UNANSWERED_WEIGHT, now, may_quarantine);
    }

    /// Notes a failure that counts against the worker. It is taken out only if `may_quarantine`.
    pub fn failed(&mut self, now: Instant, may_quarantine: bool) {
        self.add_failures(1.0, now, may_quarantine);
    }

    fn add_failures(&mut self, failures: f64, now: Instant, may_quarantine: bool) {
        self.failures += failures;
        match self.state {
            State::Probing { .. } => self.quarantine(now, true),
            State::Healthy if self.failures >= QUARANTINE_FAILURES && may_quarantine => {
                let healthy_for = self.reinstated_at.map(|b| now.saturating_duration_since(b));
                self.quarantine(now, healthy_for.is_some_and(|time| time < RELAPSE_WINDOW));
            }
            State::Healthy | State::Quarantined { .. } => {}
        }
    }

    /// Takes back failures that turned out to be the job's.
    pub fn discount_failures(&mut self, failures: u32, now: Instant) {
        self.failures = (self.failures - f64::from(failures)).max(0.0);
        if self.is_quarantined() && self.failures < QUARANTINE_FAILURES {
            self.reinstate(now);
        }
    }

    /// Notes that the worker did not start a task for a reason that passes by itself.
    pub fn pause(&mut self, now: Instant) {
        self.paused_until = Some(now + PAUSE);
    }

    fn quarantine(&mut self, now: Instant, again: bool) {
        self.backoff = if again {
            (self.backoff * 2).min(MAX_BACKOFF)
        } else {
            FIRST_BACKOFF
        };
        self.state = State::Quarantined {
            until: now + self.backoff,
        };
    }

    fn reinstate(&mut self, now: Instant) {
        self.state = State::Healthy;
        self.reinstated_at = Some(now);
        self.restart_ramp(now);
    }
}
