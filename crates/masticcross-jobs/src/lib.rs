//! Scheduling of jobs whose tasks need resources: the scheduler of an entry and the supervisor by
//! which an agent controls its worker.
//!
//! An entry accepts jobs from callers and sends runs of their tasks to agents. An agent tracks the
//! free resources of its worker, holds the worker's lease, and reports the end of every run. Both
//! are state machines without I/O ([`scheduler`], [`supervisor`]); [`entry`] and [`agent`] connect
//! them to sessions and clocks.
//!
//! ```
//! use masticcross_jobs::Scheduler;
//!
//! let mut scheduler = Scheduler::new("zone-a".into());
//! assert_eq!(scheduler.gauges().jobs, 0);
//! assert!(scheduler.take_effects().is_empty());
//! ```

pub mod agent;
pub mod crashes;
pub mod entry;
pub mod entry_selection;
pub mod failure_attribution;
pub mod handover;
pub mod health;
pub mod job;
pub mod metrics;
pub mod own_load;
pub mod report_store;
pub mod run_lifetime;
pub mod run_times;
pub mod scheduler;
pub mod supervisor;
pub mod suspension;
pub mod view;
pub mod view_reader;
pub mod worker_client;

pub use agent::Agent;
pub use entry::Entry;
pub use job::{JobOutcome, JobRequest, StepRequest};
pub use scheduler::Scheduler;
pub use supervisor::Supervisor;
