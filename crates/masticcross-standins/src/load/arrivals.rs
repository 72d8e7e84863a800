//! Arrivals of jobs: a Poisson process by seed, with resubmissions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::mix::Mix;
use super::submission::{Submission, TaskSpec, task_value};

/// Latest resubmission, in units of the job's ideal response time.
const RESUBMIT_WITHIN: f64 = 2.0;

/// A part of a run with one rate and one mix.
#[derive(Debug, Clone, PartialEq)]
pub struct Phase {
    /// How long it lasts.
    pub length: Duration,
    /// Jobs a second on average.
    pub jobs_per_second: f64,
    /// Mix of the jobs.
    pub mix: Mix,
}

/// What decides about the arrivals.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Phases in order.
    pub phases: Vec<Phase>,
    /// Share of jobs that are submitted a second time.
    pub resubmitted: f64,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Begin of all job ids.
    pub prefix: String,
}

/// Submissions in the order of their times.
#[derive(Debug)]
pub struct Arrivals {
    plan: Plan,
    rng: SmallRng,
    phase: usize,
    phase_start: Duration,
    last: Duration,
    jobs: u64,
    upcoming: Option<Submission>,
    resubmissions: BinaryHeap<Reverse<Resubmission>>,
}

/// A resubmission, ordered by time and then by number.
#[derive(Debug)]
struct Resubmission {
    number: u64,
    submission: Submission,
}

impl Arrivals {
    /// Starts the arrivals of a plan.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        let mut arrivals = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            plan,
            phase: 0,
            phase_start: Duration::ZERO,
            last: Duration::ZERO,
            jobs: 0,
            upcoming: None,
            resubmissions: BinaryHeap::new(),
        };
        arrivals.upcoming = arrivals.draw_next();
        arrivals
    }

    fn draw_next(&mut self) -> Option<Submission> {
        loop {
            let phase = self.plan.phases.get(self.phase)?;
            let phase_end = self.phase_start + phase.length;
            let gap = draw_gap(phase.jobs_per_second, &mut self.rng);
            let at = gap.and_then(|gap| self.last.checked_add(gap));
            if let Some(at) = at.filter(|at| *at < phase_end) {
                self.last = at;
                return Some(self.draw_job(at));
            }
            // The process has no memory, so it may start anew in the next phase.
            self.phase += 1;
            self.phase_start = phase_end;
            self.last = phase_end;
        }
    }

    fn draw_job(&mut self, at: Duration) -> Submission {
        let mix = &self.plan.phases[self.phase].mix;
        let rng = &mut self.rng;
        let job = format!("{}-{}", self.plan.prefix, self.jobs);
        let tasks = mix
            .draw_tasks(rng)
            .into_iter()
            .enumerate()
            .map(|(index, ms)| TaskSpec {
                ms,
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
        self.jobs += 1;
        submission
    }

    fn draw_resubmission(&mut self, first: &Submission) {
        if !self.rng.random_bool(self.plan.resubmitted.clamp(0.0, 1.0)) {
            return;
        }
        let delay = first
            .ideal()
            .mul_f64(self.rng.random::<f64>() * RESUBMIT_WITHIN);
        self.resubmissions.push(Reverse(Resubmission {
            number: self.jobs,
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

/// Draws the time to the next arrival; none if there is none.
fn draw_gap(per_second: f64, rng: &mut SmallRng) -> Option<Duration> {
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
        let key = |r: &Self| (r.submission.at, r.number);
        key(self).cmp(&key(other))
    }
}
