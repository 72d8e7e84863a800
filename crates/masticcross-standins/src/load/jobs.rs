//! Records the answers that callers received for each job, over all its submissions.

use std::collections::BTreeMap;

use masticcross_basics::{Digest, Name};

use super::caller::Answer;
use super::submission::Submission;

/// Most jobs that are recorded; for further ones only answers are counted.
const MAX_JOBS: usize = 1_000_000;

/// A job and the answers to its submissions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobOutcome {
    /// Service that runs the job.
    pub service: Name,
    /// Number of tasks.
    pub tasks: usize,
    /// False if its tasks must run at most once.
    pub repeatable: bool,
    /// Submissions sent.
    pub submissions: u32,
    /// Submissions whose answer said "not run".
    pub not_run: u32,
    /// Digest of the first complete answer.
    pub digest: Option<Digest>,
}

impl JobOutcome {
    /// Returns true if the job was submitted and all submissions were answered with "not run".
    #[must_use]
    pub fn is_reported_not_run(&self) -> bool {
        self.submissions > 0 && self.not_run == self.submissions
    }
}

/// Jobs by id.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: BTreeMap<String, JobOutcome>,
    untracked: u64,
}

impl JobTable {
    /// Records a sent submission.
    pub fn record_submission(&mut self, submission: &Submission) {
        if let Some(job) = self.jobs.get_mut(&submission.job) {
            job.submissions += 1;
            return;
        }
        if self.jobs.len() >= MAX_JOBS {
            self.untracked += 1;
            return;
        }
        let outcome = JobOutcome {
            service: submission.service.clone(),
            tasks: submission.tasks.len(),
            repeatable: submission.repeatable,
            submissions: 1,
            not_run: 0,
            digest: None,
        };
        self.jobs.insert(submission.job.clone(), outcome);
    }

    /// Records an answer. Returns false if it differs from an earlier complete answer of the same
    /// job.
    pub fn record_answer(&mut self, submission: &Submission, answer: &Answer) -> bool {
        let Some(job) = self.jobs.get_mut(&submission.job) else {
            return true;
        };
        match answer {
            Answer::Complete { digest } => *job.digest.get_or_insert(*digest) == *digest,
            Answer::Refused { not_run, .. } => {
                job.not_run += u32::from(*not_run);
                true
            }
            _ => true,
        }
    }

    /// Iterates over the recorded jobs and their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &JobOutcome)> {
        self.jobs.iter().map(|(id, job)| (id.as_str(), job))
    }

    /// Returns the number of recorded jobs.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.jobs.len() as u64
    }

    /// Returns true if no job is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of submissions whose jobs are not recorded.
    #[must_use]
    pub fn untracked(&self) -> u64 {
        self.untracked
    }
}
