//! The check before an admission: what cannot be done in time is refused at once.

use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::{JobRequest, Refusal};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::Result;
use super::shard::Shard;
use super::sizes::class_of;

/// Allowance for the error of the expected time.
const SAFETY: f64 = 1.2;

/// Part of the rate below which the arrivals of a team do not count.
const MIN_RATE: f64 = 0.001;

/// Time for which the jobs that arrive now are expected to go on arriving.
const HORIZON_SECS: f64 = 6.0;

/// Wait named in a refusal when nothing was observed that it could follow from.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);
const MIN_RETRY: Duration = Duration::from_millis(50);
const MAX_RETRY: Duration = Duration::from_secs(30);

impl Shard {
    /// Checks whether a job would be taken now, and reserves room for its tasks.
    ///
    /// # Errors
    /// Returns the refusal; nothing of the job ran.
    pub fn check(&mut self, request: &JobRequest, now: Instant) -> Result<()> {
        if self.reservations.contains(&request.key) {
            return Ok(());
        }
        let tasks = u16::try_from(request.tasks.len()).unwrap_or(u16::MAX);
        let arrivals = self.arrivals.entry(request.team.clone()).or_default();
        arrivals.offered.add(tasks, now);
        self.check_backends()?;
        self.check_room(tasks)?;
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
        Err(refusal(Code::NoBackend, detail, DEFAULT_RETRY))
    }

    fn check_room(&self, tasks: u16) -> Result<()> {
        let Some(config) = &self.config else {
            return Ok(());
        };
        let limit = config.max_waiting_tasks as usize;
        let wanted = self.waiting_and_reserved() + usize::from(tasks);
        if wanted <= limit {
            return Ok(());
        }
        let retry = self.time_for(wanted - limit);
        Err(refusal(
            Code::Overloaded,
            format!("{limit} tasks may wait for the service"),
            retry,
        ))
    }

    fn check_deadline(&mut self, request: &JobRequest, tasks: u16, now: Instant) -> Result<()> {
        let Some(longest) = self.runs.longest_of(tasks) else {
            return Ok(());
        };
        let deadline = Duration::from_millis(request.deadline_ms.into());
        let wait = self.expected_wait(&request.team, tasks, now);
        let expected = wait.mul_f64(SAFETY) + longest;
        if expected <= deadline {
            return Ok(());
        }
        let detail = format!("the job would take about {} ms", expected.as_millis());
        let retry = expected.saturating_sub(deadline).min(wait);
        Err(refusal(Code::DeadlineUnreachable, detail, retry))
    }

    fn check_quota(&self, team: &Name, tasks: u16) -> Result<()> {
        let quota = self.quotas.get(team).copied();
        let Err(over) = self.usage.reserve(team, tasks.into(), quota) else {
            return Ok(());
        };
        let detail = format!("the team may have {} tasks", quota.unwrap_or_default());
        let retry = self.time_for(over.excess as usize);
        Err(refusal(Code::QuotaExceeded, detail, retry))
    }

    /// Returns the time until the last of a job's tasks probably starts. Before it go the team's
    /// smaller jobs that wait, and those that arrive meanwhile.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no exact count"
    )]
    #[must_use]
    pub fn expected_wait(&mut self, team: &Name, tasks: u16, now: Instant) -> Duration {
        let Some(mean) = self.runs.mean() else {
            return Duration::ZERO;
        };
        let class = class_of(tasks);
        let ahead = self.queue.team_len(team, class) + usize::from(tasks);
        let rate = self.concurrency().max(1.0) / mean.as_secs_f64();
        let rate = self.rate_of_team(team, rate, now);
        let own = self.arrivals.get_mut(team);
        let overtaking = own.map_or(0.0, |a| a.admitted.before(class, now));
        Duration::from_secs_f64(wait_secs(ahead as f64, rate, overtaking))
    }

    /// Returns the tasks of a team that start in a second while it has enough waiting: its share,
    /// or what the other teams leave of theirs.
    fn rate_of_team(&mut self, team: &Name, rate: f64, now: Instant) -> f64 {
        let own_weight = self.queue.weight(team);
        let mut others = SmallVec::<[(f64, f64); 64]>::new();
        for (other, arrivals) in self.arrivals.iter_mut().filter(|(t, _)| *t != team) {
            let offered = arrivals.offered.all(now);
            if offered > rate * MIN_RATE {
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

    /// Returns the time in which so many tasks start at the observed rate.
    #[expect(
        clippy::cast_precision_loss,
        reason = "an estimate needs no exact count"
    )]
    fn time_for(&self, tasks: usize) -> Duration {
        let Some(mean) = self.runs.mean() else {
            return Duration::ZERO;
        };
        mean.mul_f64(tasks as f64 / self.concurrency().max(1.0))
    }
}

/// Returns the time in which a number of tasks start, while others overtake them for a time.
fn wait_secs(ahead: f64, rate: f64, overtaking: f64) -> f64 {
    let steady = ahead / (rate - overtaking);
    if overtaking < rate && steady <= HORIZON_SECS {
        steady
    } else {
        (ahead + overtaking * HORIZON_SECS) / rate
    }
}

fn refusal(code: Code, detail: impl Into<String>, retry: Duration) -> Refusal {
    let retry = retry.clamp(MIN_RETRY, MAX_RETRY);
    let millis = u32::try_from(retry.as_millis()).unwrap_or(u32::MAX);
    Refusal::not_run(code, detail).retry_after_ms(millis)
}
