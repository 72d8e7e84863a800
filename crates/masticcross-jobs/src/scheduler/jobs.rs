//! The jobs of an entry, with their total CPU and the times at which they need attention, so that a
//! tick touches only jobs that are due.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

use tokio::time::Instant;

use super::table::{Job, JobNumber};

#[derive(Debug)]
struct Tracked {
    job: Job,
    /// True from a mutable access to the next refresh. The totals do not include the job then.
    touched: bool,
    running_cpu: u64,
    due: Instant,
}

/// Jobs by number.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    all: BTreeMap<JobNumber, Tracked>,
    touched: Vec<JobNumber>,
    /// CPU of all runs, in thousandths of a core.
    running_cpu: u128,
    due: BTreeSet<(Instant, JobNumber)>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the methods have the signatures of a map's"
)]
impl Jobs {
    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn get(&self, number: &JobNumber) -> Option<&Job> {
        self.all.get(number).map(|tracked| &tracked.job)
    }

    /// Returns a job for a change.
    pub fn get_mut(&mut self, number: &JobNumber) -> Option<&mut Job> {
        let tracked = self.all.get_mut(number)?;
        if !tracked.touched {
            tracked.touched = true;
            self.running_cpu -= u128::from(tracked.running_cpu);
            self.touched.push(*number);
        }
        Some(&mut tracked.job)
    }

    /// Returns a job for a change of what placement and ranking remember, which changes neither totals
    /// nor the time at which the job needs attention.
    pub fn memory_mut(&mut self, number: &JobNumber) -> Option<&mut Job> {
        self.all.get_mut(number).map(|tracked| &mut tracked.job)
    }

    pub fn insert(&mut self, number: JobNumber, job: Job) {
        self.remove(&number);
        let due = job.arrived;
        let tracked = Tracked {
            job,
            touched: true,
            running_cpu: 0,
            due,
        };
        self.all.insert(number, tracked);
        self.touched.push(number);
    }

    pub fn remove(&mut self, number: &JobNumber) -> Option<Job> {
        let tracked = self.all.remove(number)?;
        self.due.remove(&(tracked.due, *number));
        if !tracked.touched {
            self.running_cpu -= u128::from(tracked.running_cpu);
        }
        self.touched.retain(|touched| touched != number);
        Some(tracked.job)
    }

    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.all.values().map(|tracked| &tracked.job)
    }

    pub fn numbers(&self) -> Vec<JobNumber> {
        self.all.keys().copied().collect()
    }

    /// Returns the CPU of all runs, in thousandths of a core.
    pub fn running_cpu(&self) -> u64 {
        let touched = self.touched.iter().filter_map(|number| self.get(number));
        let touched: u128 = touched.map(|job| u128::from(job.running_cpu())).sum();
        u64::try_from(self.running_cpu + touched).unwrap_or(u64::MAX)
    }

    /// Updates totals and times after changes of jobs.
    pub fn refresh(&mut self) {
        for number in std::mem::take(&mut self.touched) {
            let Some(tracked) = self.all.get_mut(&number) else {
                continue;
            };
            tracked.touched = false;
            tracked.running_cpu = tracked.job.running_cpu();
            self.running_cpu += u128::from(tracked.running_cpu);
            self.due.remove(&(tracked.due, number));
            tracked.due = tracked.job.attention_at();
            self.due.insert((tracked.due, number));
        }
    }

    /// Returns the jobs that need attention, in the order of their arrival.
    pub fn due(&mut self, now: Instant) -> Vec<JobNumber> {
        self.refresh();
        let due = self.due.range(..=(now, JobNumber::MAX));
        let mut numbers: Vec<JobNumber> = due.map(|(_, number)| *number).collect();
        numbers.sort_unstable();
        numbers
    }
}

impl Index<&JobNumber> for Jobs {
    type Output = Job;

    fn index(&self, number: &JobNumber) -> &Job {
        &self.all[number].job
    }
}
