//! One worker as this entry sees it.

use std::time::Duration;

use masticcross_basics::{AttemptId, JobKey, Name};
use masticcross_wire::Incarnation;
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use masticcross_jobs::health::Health;
use masticcross_jobs::run_times::Speed;

/// Slowness from which on a task rather waits for another worker.
pub(super) const SLOW: f64 = 2.0;

/// First interval between tasks that try out whether a slow worker is still slow; it doubles.
const FIRST_TRIAL: Duration = Duration::from_secs(2);
const MAX_TRIAL: Duration = Duration::from_mins(1);

/// A worker, numbered in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub(super) u64);

/// A task that may be running at a worker.
#[derive(Debug, Clone)]
pub struct Outstanding {
    /// The job.
    pub key: JobKey,
    /// Team that pays; none if the task was adopted from another owner.
    pub team: Option<Name>,
    /// When it was sent, or adopted.
    pub since: Instant,
}

/// A worker as this entry sees it.
pub struct Worker {
    /// Name of the worker.
    pub name: Name,
    /// Start of its agent.
    pub incarnation: Incarnation,
    pub(super) zone: Name,
    pub(super) session: Option<u64>,
    pub(super) gone_since: Option<Instant>,
    pub(super) held: bool,
    pub(super) draining: bool,
    pub(super) slots: u32,
    pub(super) credit_total: u64,
    pub(super) credit_used: u64,
    pub(super) most_credits: u64,
    pub(super) pending: u32,
    pub(super) outstanding: FxHashMap<AttemptId, Outstanding>,
    pub(super) speed: Speed,
    pub(super) last_success: Option<Instant>,
    pub(super) next_trial: Option<(Instant, Duration)>,
    /// Standing after failures.
    pub health: Health,
    pub(super) last_used: u64,
    pub(super) place: Option<Place>,
    pub(super) counted: u64,
}

/// Place among the workers with room: score, last use, worker.
pub(super) type Place = (u64, u64, WorkerId);

/// A session of a worker that serves the service.
#[derive(Debug, Clone)]
pub struct Connected {
    /// Name of the worker.
    pub worker: Name,
    /// Start of its agent.
    pub incarnation: Incarnation,
    /// Availability zone of the worker.
    pub zone: Name,
    /// Number of the session.
    pub number: u64,
    /// Tasks that its backend servers of the service run at once.
    pub slots: u32,
}

impl Worker {
    pub(super) fn new(session: &Connected, now: Instant) -> Self {
        Self {
            name: session.worker.clone(),
            incarnation: session.incarnation,
            zone: session.zone.clone(),
            session: None,
            gone_since: None,
            held: false,
            draining: false,
            slots: 0,
            credit_total: 0,
            credit_used: 0,
            most_credits: 0,
            pending: 0,
            outstanding: FxHashMap::default(),
            speed: Speed::default(),
            last_success: None,
            next_trial: None,
            health: Health::new(now),
            last_used: 0,
            place: None,
            counted: 0,
        }
    }

    pub(super) fn start_session(&mut self, session: &Connected, now: Instant) {
        self.session = Some(session.number);
        self.gone_since = None;
        self.zone = session.zone.clone();
        self.held = false;
        self.draining = false;
        self.credit_total = 0;
        self.credit_used = 0;
        self.most_credits = 0;
        self.health.restart_ramp(now);
    }

    /// Returns the number of the open session.
    #[must_use]
    pub fn session(&self) -> Option<u64> {
        self.session
    }

    pub(super) fn credits(&self) -> u64 {
        self.credit_total.saturating_sub(self.credit_used)
    }

    pub(super) fn in_flight(&self) -> u32 {
        let outstanding = u32::try_from(self.outstanding.len()).unwrap_or(u32::MAX);
        outstanding.saturating_add(self.pending)
    }

    /// Returns how busy the worker is, from 0 for idle: by the tasks of this entry, or by the credits
    /// that its agent holds back while the tasks of other entries fill it.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a comparison needs no exact count"
    )]
    pub(super) fn load(&self) -> f64 {
        let own = f64::from(self.in_flight()) / f64::from(self.slots.max(1));
        let credits = self.credits() as f64 / self.most_credits.max(1) as f64;
        own.max(1.0 - credits)
    }

    pub(super) fn postpone_trial(&mut self, now: Instant) {
        if self.speed.slowness() < SLOW {
            return;
        }
        let wait = match self.next_trial {
            Some((due, _)) if now < due => return,
            Some((_, wait)) => (wait * 2).min(MAX_TRIAL),
            None => FIRST_TRIAL,
        };
        self.next_trial = Some((now + wait, wait));
    }
}
