//! Attributes failures to jobs or workers: a job that fails on several workers counts against none
//! of them.

use std::collections::VecDeque;
use std::hash::Hash;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

/// Number of failed jobs that are tracked.
const MAX_TRACKED_JOBS: usize = 1024;

/// Failures of one job, by worker.
type Failures<W> = SmallVec<[(W, u32); 2]>;

/// What a failure counts against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Attribution<W> {
    /// The worker, until the job fails elsewhere.
    Worker,
    /// The job. The listed failures were counted against workers before and must be discounted.
    Job(SmallVec<[(W, u32); 2]>),
}

/// Failures of the most recently failed jobs, by worker.
#[derive(Debug)]
pub struct FailureAttribution<J, W> {
    jobs: FxHashMap<J, Failures<W>>,
    by_age: VecDeque<J>,
}

impl<J, W> Default for FailureAttribution<J, W> {
    fn default() -> Self {
        Self {
            jobs: FxHashMap::default(),
            by_age: VecDeque::new(),
        }
    }
}

impl<J: Eq + Hash + Clone, W: PartialEq + Clone> FailureAttribution<J, W> {
    /// Records a failure and attributes it to the worker or the job.
    pub fn failed(&mut self, key: &J, worker: W) -> Attribution<W> {
        let Some(failures) = self.jobs.get_mut(key) else {
            self.track(key, worker);
            return Attribution::Worker;
        };
        match failures.iter_mut().find(|(id, _)| *id == worker) {
            Some((_, count)) if *count > 0 => {
                *count += 1;
                Attribution::Worker
            }
            Some(_) => Attribution::Job(Failures::new()),
            None => {
                let counted = failures.iter().filter(|(_, n)| *n > 0).cloned().collect();
                failures.iter_mut().for_each(|(_, count)| *count = 0);
                failures.push((worker, 0));
                Attribution::Job(counted)
            }
        }
    }

    fn track(&mut self, key: &J, worker: W) {
        if self.by_age.len() >= MAX_TRACKED_JOBS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        self.by_age.push_back(key.clone());
        self.jobs
            .insert(key.clone(), smallvec::smallvec![(worker, 1)]);
    }
}
