//! How long a run may live without the process that it runs for.
//!
//! A caller depends on its entry, the entry on an agent, and the agent on its worker; with a transferred job
//! one entry depends on another. Each of them may fall silent. The caller submits a lost job again after
//! [`RESUBMIT_DELAY`], and by then the runs of the first submission must have ended by themselves, as an
//! order to stop them may be lost or late. One silent process is noticed within [`AUTHORITY_TIMEOUT`], and the
//! lease at the worker ends within [`MAX_LEASE`] after that: it is not extended for a run that must end.

use std::time::Duration;

/// Time after which callers submit a lost job again (from the platform's documentation).
pub const RESUBMIT_DELAY: Duration = Duration::from_millis(1_300);

/// Time from the end of a lease until its runs are gone: covers stopping them and the network delay.
pub const END_MARGIN: Duration = Duration::from_millis(80);

/// Time from the last contact with an entry until the lease of its runs ends.
pub const MAX_LIFETIME: Duration = RESUBMIT_DELAY.saturating_sub(END_MARGIN);

/// Time since the last answered probe after which an agent no longer acts for an entry.
pub const AUTHORITY_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest lease, on the agent's clock.
pub const MAX_LEASE: Duration = MAX_LIFETIME.saturating_sub(AUTHORITY_TIMEOUT);

/// Time after which a session without received frames is closed.
pub const SESSION_TIMEOUT: Duration = Duration::from_millis(600);

/// Fraction by which a worker's clock may run slower than the agent's (from the platform's
/// documentation).
pub const CLOCK_DRIFT: f64 = 0.02;
