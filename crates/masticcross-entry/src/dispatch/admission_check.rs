//! Admission check: a job that cannot be completed in time, or is over a limit, is refused at once.

use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::{JobRequest, Refusal};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::Result;
use super::arrivals::class_of;
use super::shard::Shard;

/// Factor on the expected wait that allows for errors of the estimate.
const SAFETY_FACTOR: f64 = 1.2;

/// Share of the service's rate below which a team's arrivals are ignored.
const MIN_RATE_SHARE: f64 = 0.001;

/// Time for which jobs are expected to keep arriving at the current rate.
const HORIZON_SECS: f64 = 6.0;

/// Retry-after of a refusal if there are no observations to estimate it from.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Shard {
    /// Checks whether a job can be admitted now, and reserves queue capacity for its tasks.
    ///
    /// # Errors
    /// Returns the refusal if the job cannot be admitted. None of its tasks ran.
    pub fn check(&mut self, request: &JobRequest, now: Instant) -> Result<()> {
        if self.reservations.contains(&request.key) {
            return Ok(());
        }
        let tasks = u16::try_from(request.tasks.len()).unwrap_or(u16::MAX);
        let arrivals = self.arrivals.entry(request.team.clone()).or_default();
        arrivals.offered.add(tasks, now);
        self.check_backends()?;
        self.check_queue_limit(tasks)?;
        self.check_deadline(request, tasks, now)?;
        self.check_quota(&request.team, tasks)?;
        if let Some(arrivals) = self.arrivals.get_mut(&request.team) {
            arrivals.admitted.add(tasks, now);
        }
        self.reservations
            .add(&request.key, &request.team, tasks.into(), now);
        Ok(())
    }

    fn check_backends(&self) -> Result<()> {
        if self.workers.any_in_service() {
            return Ok(());
        }
        let detail = "no backend server of the service is connected in a zone in service";
        Err(refusal(Code::NoBackend, detail, DEFAULT_RETRY_AFTER))
    }

    fn check_queue_limit(&self, tasks: u16) -> Result<()> {
        let Some(config) = &self.config else {
            return Ok(());
        };
        let limit = config.max_waiting_tasks as usize;
        let total_waiting = self.waiting_and_reserved() + usize::from(tasks);
        if total_waiting <= limit {
            return Ok(());
        }
        let retry_after = self.time_to_start(total_waiting - limit);
        Err(refusal(
            Code::Overloaded,
            format!("{limit} tasks may wait for the service"),
            retry_after,
        ))
    }

    fn check_deadline(&mut self, request: &JobRequest, tasks: u16, now: Instant) -> Result<()> {
        let Some(longest) = self.run_times.longest_of(tasks) else {
            return Ok(());
        };
        let deadline = Duration::from_millis(request.deadline_ms.into());
        let wait = self.expected_wait(&request.team, tasks, now);
        let expected = wait.mul_f64(SAFETY_FACTOR) + longest;
        if expected <= deadline {
            return Ok(());
        }
        let detail = format!("the job would take about {} ms", expected.as_millis());
        let retry_after = expected.saturating_sub(deadline).min(wait);
        Err(refusal(Code::DeadlineUnreachable, detail, retry_after))
    }

    fn check_quota(&self, team: &Name, tasks: u16) -> Result<()> {
        let quota = self.quotas.get(team).copied();
        let Err(over_quota) = self.usage.reserve(team, tasks.into(), quota) else {
            return Ok(());
        };
        let detail = format!("the team may have {} tasks", quota.unwrap_or_default());
        let retry_after = self.time_to_start(over_quota.excess as usize);
        Err(refusal(Code::QuotaExceeded, detail, retry_after))
    }

    /// Returns the estimated time until the last task of a job starts. The team's smaller jobs
    /// start before it, both those that wait now and those that arrive in the meantime.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no exact count"
    )]
    #[must_use]
    pub fn expected_wait(&mut self, team: &Name, tasks: u16, now: Instant) -> Duration {
        let Some(mean) = self.run_times.mean() else {
            return Duration::ZERO;
        };
        let class = class_of(tasks);
        let ahead = self.queue.team_len(team, class) + usize::from(tasks);
        let rate = self.concurrency().max(1.0) / mean.as_secs_f64();
        let rate = self.rate_of_team(team, rate, now);
        let own = self.arrivals.get_mut(team);
        let overtaking = own.map_or(0.0, |a| a.admitted.ahead_of(class, now));
        Duration::from_secs_f64(wait_secs(ahead as f64, rate, overtaking))
    }

    /// Returns how many tasks of a team start per second while enough of its tasks wait: its
    /// weighted share, plus what the other teams do not use of theirs.
    fn rate_of_team(&mut self, team: &Name, rate: f64, now: Instant) -> f64 {
        let own_weight = self.queue.weight(team);
        let mut others = SmallVec::<[(f64, f64); 64]>::new();
        for (other, arrivals) in self.arrivals.iter_mut().filter(|(t, _)| *t != team) {
            let offered = arrivals.offered.total(now);
            if offered > rate * MIN_RATE_SHARE {
                others.push((self.queue.weight(other), offered));
            }
        }
        let weights = own_weight + others.iter().map(|(weight, _)| weight).sum::<f64>();
        let used = others
            .iter()
            .map(|(weight, offered)| offered.min(rate * weight / weights));
        rate - used.sum::<f64>()
    }

    fn waiting_and_reserved(&self) -> usize {
        self.queue.len() + self.reservations.tasks() as usize
    }

    /// Returns the time in which this number of tasks start at the observed rate.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no exact count"
    )]
    fn time_to_start(&self, tasks: usize) -> Duration {
        let Some(mean) = self.run_times.mean() else {
            return Duration::ZERO;
        };
        mean.mul_f64(tasks as f64 / self.concurrency().max(1.0))
    }
}

/// Returns the time in which `ahead` tasks start at `rate` per second, while `overtaking` tasks per
/// second arrive that start before them. Arrivals are expected to last for [`HORIZON_SECS`].
fn wait_secs(ahead: f64, rate: f64, overtaking: f64) -> f64 {
    let steady = ahead / (rate - overtaking);
    if overtaking < rate && steady <= HORIZON_SECS {
        steady
    } else {
        (ahead + overtaking * HORIZON_SECS) / rate
    }
}

fn refusal(code: Code, detail: impl Into<String>, retry_after: Duration) -> Refusal {
    let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let millis = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    Refusal::not_run(code, detail).retry_after_ms(millis)
}
