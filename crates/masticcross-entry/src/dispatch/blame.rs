//! Tells a bad job from a bad worker: a job that fails on several workers counts against none.

use std::collections::VecDeque;

use masticcross_basics::JobKey;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::workers::WorkerId;

/// Failed jobs that are remembered.
const MAX_JOBS: usize = 1024;

/// Failures of one job, by worker.
type Failures = SmallVec<[(WorkerId, u32); 2]>;

/// Whom a failure counts against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The worker, until the job fails elsewhere.
    Worker,
    /// The job. The failures named were counted against workers before and are to be taken back.
    Job(SmallVec<[(WorkerId, u32); 2]>),
}

/// Failures of the last failed jobs.
#[derive(Debug, Default)]
pub struct Blame {
    jobs: FxHashMap<JobKey, Failures>,
    by_age: VecDeque<JobKey>,
}

impl Blame {
    /// Notes a failure and judges it.
    pub fn failed(&mut self, key: &JobKey, worker: WorkerId) -> Verdict {
        let Some(failures) = self.jobs.get_mut(key) else {
            self.remember(key, worker);
            return Verdict::Worker;
        };
        match failures.iter_mut().find(|(id, _)| *id == worker) {
            Some((_, count)) if *count > 0 => {
                *count += 1;
                Verdict::Worker
            }
            Some(_) => Verdict::Job(Failures::new()),
            None => {
                let counted = failures.iter().copied().filter(|(_, n)| *n > 0).collect();
                failures.iter_mut().for_each(|(_, count)| *count = 0);
                failures.push((worker, 0));
                Verdict::Job(counted)
            }
        }
    }

    fn remember(&mut self, key: &JobKey, worker: WorkerId) {
        if self.by_age.len() >= MAX_JOBS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        self.by_age.push_back(key.clone());
        self.jobs
            .insert(key.clone(), smallvec::smallvec![(worker, 1)]);
    }
}
