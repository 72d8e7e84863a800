//! Load generator: sends jobs at a stated rate or from a recorded trace, checks every answer and
//! reports what callers saw.
//!
//! - [`mix`]: sizes, run times and teams of jobs.
//! - [`arrivals`]: when jobs are submitted, by rate and seed.
//! - [`days`]: days of the two users in small.
//! - [`trace`]: submissions in a file.
//! - [`caller`]: sends one submission and checks the answer.
//! - [`jobs`]: what is known of each job, over all its submissions.
//! - [`report`]: figures of a run.
//! - [`run`]: the run itself.

pub mod args;
pub mod arrivals;
pub mod caller;
pub mod days;
pub mod jobs;
pub mod mix;
pub mod report;
pub mod run;
pub mod starts;
pub mod submission;
pub mod trace;

#[cfg(test)]
mod tests;

pub use args::{LoadArgs, load_args};
pub use report::Report;
pub use run::run;
pub use submission::{Submission, TaskSpec};
