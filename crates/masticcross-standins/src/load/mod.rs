//! Load generator: sends jobs at a given rate or from a recorded trace, checks every answer and
//! reports what callers saw.
//!
//! - [`mix`]: distributions of job sizes, run times and teams.
//! - [`arrivals`]: random submission times from a rate and a seed.
//! - [`days`]: predefined workloads, each a scaled-down day of a deployment.
//! - [`trace`]: reads and writes submissions as a file.
//! - [`caller`]: sends one submission and checks the answer.
//! - [`jobs`]: records the answers to each job over all its submissions.
//! - [`report`]: metrics of a run.
//! - [`mod@run`]: runs the load generator.

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
