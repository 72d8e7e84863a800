//! Generates the arrivals of jobs: a seeded Poisson process, with resubmissions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::mix::Mix;
use super::submission::{Submission, TaskSpec, task_value};

/// Upper bound of the delay of a resubmission, as a multiple of the job's ideal response time.
const MAX_RESUBMIT_DELAY_RATIO: f64 = 2.0;

/// A part of a run with a constant rate and mix.
#[derive(Debug, Clone, PartialEq)]
pub struct Phase {
    /// Duration of the phase.
    pub duration: Duration,
    /// Average number of jobs per second.
    pub jobs_per_second: f64,
    /// Distribution of the jobs.
    pub mix: Mix,
}

/// Parameters of the generated arrivals.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Phases in chronological order.
    pub phases: Vec<Phase>,
    /// Share of jobs that are submitted a second time.
    pub resubmit_share: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Prefix of all job ids.
    pub prefix: String,
}

/// Iterator over the generated submissions, ordered by time.
#[derive(Debug)]
pub struct Arrivals {
    plan: Plan,
    rng: SmallRng,
    phase_index: usize,
    phase_start: Duration,
    last_arrival: Duration,
    job_count: u64,
    upcoming: Option<Submission>,
    resubmissions: BinaryHeap<Reverse<Resubmission>>,
}

/// A resubmission, ordered by time and then by the number of its job.
#[derive(Debug)]
struct Resubmission {
    job_number: u64,
    submission: Submission,
}

impl Arrivals {
    /// Creates the arrivals of a plan.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        let mut arrivals = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            plan,
            phase_index: 0,
            phase_start: Duration::ZERO,
            last_arrival: Duration::ZERO,
            job_count: 0,
            upcoming: None,
            resubmissions: BinaryHeap::new(),
        };
        arrivals.upcoming = arrivals.draw_next();
        arrivals
    }

    fn draw_next(&mut self) -> Option<Submission> {
        loop {
            let phase = self.plan.phases.get(self.phase_index)?;
            let phase_end = self.phase_start + phase.duration;
            let gap = draw_interarrival_time(phase.jobs_per_second, &mut self.rng);
            let at = gap.and_then(|gap| self.last_arrival.checked_add(gap));
            if let Some(at) = at.filter(|at| *at < phase_end) {
                self.last_arrival = at;
                return Some(self.draw_job(at));
            }
            // A Poisson process is memoryless, so the next phase can start with a new draw.
            self.phase_index += 1;
            self.phase_start = phase_end;
            self.last_arrival = phase_end;
        }
    }

    fn draw_job(&mut self, at: Duration) -> Submission {
        let mix = &self.plan.phases[self.phase_index].mix;
        let rng = &mut self.rng;
        let job = format!("{}-{}", self.plan.prefix, self.job_count);
        let tasks = mix
            .draw_tasks(rng)
            .into_iter()
            .enumerate()
            .map(|(index, run_ms)| TaskSpec {
                run_ms,
                value: task_value(&job, index),
            })
            .collect();
        let submission = Submission {
            at,
            copy: 0,
            service: mix.service.clone(),
            team: mix.draw_team(rng),
            repeatable: !rng.random_bool(mix.not_repeatable.clamp(0.0, 1.0)),
            deadline: mix.deadline,
            tasks,
            job,
        };
        self.draw_resubmission(&submission);
        self.job_count += 1;
        submission
    }

    fn draw_resubmission(&mut self, first: &Submission) {
        if !self
            .rng
            .random_bool(self.plan.resubmit_share.clamp(0.0, 1.0))
        {
            return;
        }
        let delay = first
            .ideal()
            .mul_f64(self.rng.random::<f64>() * MAX_RESUBMIT_DELAY_RATIO);
        self.resubmissions.push(Reverse(Resubmission {
            job_number: self.job_count,
            submission: Submission {
                at: first.at + delay,
                copy: 1,
                ..first.clone()
            },
        }));
    }
}

impl Iterator for Arrivals {
    type Item = Submission;

    fn next(&mut self) -> Option<Submission> {
        let resubmit_at = self.resubmissions.peek().map(|r| r.0.submission.at);
        match (&self.upcoming, resubmit_at) {
            (Some(first), Some(at)) if at < first.at => self.pop_resubmission(),
            (Some(_), _) => {
                let next = self.draw_next();
                std::mem::replace(&mut self.upcoming, next)
            }
            (None, _) => self.pop_resubmission(),
        }
    }
}

impl Arrivals {
    fn pop_resubmission(&mut self) -> Option<Submission> {
        self.resubmissions.pop().map(|r| r.0.submission)
    }
}

/// Draws the time to the next arrival. Returns `None` if it is too long for a `Duration`.
fn draw_interarrival_time(per_second: f64, rng: &mut SmallRng) -> Option<Duration> {
    let uniform: f64 = rng.random();
    let seconds = -(1.0 - uniform).ln() / per_second;
    Duration::try_from_secs_f64(seconds).ok()
}

impl PartialEq for Resubmission {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Resubmission {}

impl PartialOrd for Resubmission {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Resubmission {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let key = |r: &Self| (r.submission.at, r.job_number);
        key(self).cmp(&key(other))
    }
}
