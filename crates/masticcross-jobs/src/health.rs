//! Health of a worker: after failures it is quarantined, and reinstated after successful probes.

use std::time::Duration;

use tokio::time::Instant;

/// Failures, less the credit for successes, after which a worker is quarantined.
const QUARANTINE_FAILURES: f64 = 3.0;

/// Part of a failure that a success offsets.
const SUCCESS_CREDIT: f64 = 0.25;

/// Part of a failure for which an unanswered request counts. Some requests to a healthy worker get
/// lost on the network.
const UNANSWERED_WEIGHT: f64 = 0.3;

/// Time in quarantine before the first probe. It doubles with each failed probe, up to the maximum.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_mins(1);

/// Tasks that must succeed, one at a time, before a worker is reinstated.
const REQUIRED_PROBES: u32 = 3;

/// Time after reinstatement in which a further quarantine lasts longer.
const RELAPSE_WINDOW: Duration = Duration::from_mins(2);

/// Time without new tasks after a worker did not start one for a temporary reason.
const PAUSE: Duration = Duration::from_millis(100);

/// Initial limit of concurrent tasks of a worker, and the interval at which it doubles.
const RAMP_START: u32 = 2;
const RAMP_INTERVAL: Duration = Duration::from_millis(250);

/// Doublings after which there is no limit.
const RAMP_STEPS: u32 = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Healthy,
    Quarantined { until: Instant },
    Probing { successes: u32 },
}

/// Health of one worker.
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
    /// Creates the health of a new worker, whose limit starts low and doubles at intervals.
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

    /// Creates the health of a worker without an initial limit of concurrent tasks.
    #[must_use]
    pub fn without_ramp(now: Instant) -> Self {
        let ramp = RAMP_INTERVAL * RAMP_STEPS;
        Self {
            ramp_since: now.checked_sub(ramp).unwrap_or(now),
            ..Self::new(now)
        }
    }

    /// Resets the limit of concurrent tasks to its initial value, from which it doubles again.
    pub fn restart_ramp(&mut self, now: Instant) {
        self.ramp_since = now;
    }

    /// Returns the current limit of concurrent tasks.
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

    /// Returns true while the limit can change with time alone.
    #[must_use]
    pub fn limit_changes_over_time(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
            || self.state != State::Healthy
            || self.ramp(now) != u32::MAX
    }

    /// Returns true while the worker is quarantined or probed.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.state != State::Healthy
    }

    /// Records that a task was sent.
    pub fn sent(&mut self) {
        if let State::Quarantined { .. } = self.state {
            self.state = State::Probing { successes: 0 };
        }
    }

    /// Records a task that succeeded.
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

    /// Records a request that the worker did not answer. Quarantines the worker only if
    /// `may_quarantine`.
    pub fn unanswered(&mut self, now: Instant, may_quarantine: bool) {
        self.add_failures(UNANSWERED_WEIGHT, now, may_quarantine);
    }

    /// Records a failure that counts against the worker. Quarantines the worker only if
    /// `may_quarantine`.
    pub fn failed(&mut self, now: Instant, may_quarantine: bool) {
        self.add_failures(1.0, now, may_quarantine);
    }

    fn add_failures(&mut self, failures: f64, now: Instant, may_quarantine: bool) {
        self.failures += failures;
        match self.state {
            State::Probing { .. } => self.quarantine(now, true),
            State::Healthy if self.failures >= QUARANTINE_FAILURES && may_quarantine => {
                let healthy_for = self
                    .reinstated_at
                    .map(|at| now.saturating_duration_since(at));
                self.quarantine(now, healthy_for.is_some_and(|time| time < RELAPSE_WINDOW));
            }
            State::Healthy | State::Quarantined { .. } => {}
        }
    }

    /// Discounts failures that were later attributed to a job.
    pub fn discount_failures(&mut self, failures: u32, now: Instant) {
        self.failures = (self.failures - f64::from(failures)).max(0.0);
        if self.is_quarantined() && self.failures < QUARANTINE_FAILURES {
            self.reinstate(now);
        }
    }

    /// Records that the worker did not start a task for a temporary reason.
    pub fn pause(&mut self, now: Instant) {
        self.paused_until = Some(now + PAUSE);
    }

    fn quarantine(&mut self, now: Instant, is_relapse: bool) {
        self.backoff = if is_relapse {
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
