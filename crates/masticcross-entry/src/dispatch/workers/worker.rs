//! One worker as seen by this entry.

use std::time::Duration;

use masticcross_basics::{AttemptId, JobKey, Name};
use masticcross_wire::Incarnation;
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use masticcross_jobs::health::Health;
use masticcross_jobs::run_times::Speed;

/// Minimum slowness of a worker at which a task may wait for a faster one.
pub(super) const SLOW_THRESHOLD: f64 = 2.0;

/// First interval between tasks that are sent to a slow worker to measure its speed again. It
/// doubles with each task while the worker stays slow.
const FIRST_SPEED_PROBE_INTERVAL: Duration = Duration::from_secs(2);
const MAX_SPEED_PROBE_INTERVAL: Duration = Duration::from_mins(1);

/// Id of a worker, numbered in the order in which workers first connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub(super) u64);

/// A task that was sent to a worker and may be running there.
#[derive(Debug, Clone)]
pub struct OutstandingTask {
    /// The job.
    pub key: JobKey,
    /// Team whose quota the task counts against; `None` if the attempt was found at the worker by a
    /// new owner.
    pub team: Option<Name>,
    /// When the task was sent, or found at the worker.
    pub since: Instant,
}

/// A worker as seen by this entry.
pub struct Worker {
    /// Name of the worker.
    pub name: Name,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    pub(super) zone: Name,
    pub(super) session: Option<u64>,
    pub(super) disconnected_since: Option<Instant>,
    pub(super) paused: bool,
    pub(super) draining: bool,
    pub(super) slots: u32,
    pub(super) credit_total: u64,
    pub(super) credit_used: u64,
    pub(super) peak_credits: u64,
    pub(super) pending: u32,
    pub(super) outstanding: FxHashMap<AttemptId, OutstandingTask>,
    pub(super) speed: Speed,
    pub(super) last_success: Option<Instant>,
    pub(super) next_speed_probe: Option<(Instant, Duration)>,
    /// Health of the worker, updated after successes and failures.
    pub health: Health,
    pub(super) last_used: u64,
    pub(super) selection_key: Option<SelectionKey>,
    pub(super) counted_concurrency: u64,
}

/// Sort key of an available worker: score, last use, id. The lowest key is picked first.
pub(super) type SelectionKey = (u64, u64, WorkerId);

/// Session of a worker that serves the service.
#[derive(Debug, Clone)]
pub struct WorkerSession {
    /// Name of the worker.
    pub worker: Name,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Availability zone of the worker.
    pub zone: Name,
    /// Number of the session.
    pub number: u64,
    /// Number of tasks that its backend servers of the service run at once.
    pub slots: u32,
}

impl Worker {
    pub(super) fn new(session: &WorkerSession, now: Instant) -> Self {
        Self {
            name: session.worker.clone(),
            incarnation: session.incarnation,
            zone: session.zone.clone(),
            session: None,
            disconnected_since: None,
            paused: false,
            draining: false,
            slots: 0,
            credit_total: 0,
            credit_used: 0,
            peak_credits: 0,
            pending: 0,
            outstanding: FxHashMap::default(),
            speed: Speed::default(),
            last_success: None,
            next_speed_probe: None,
            health: Health::new(now),
            last_used: 0,
            selection_key: None,
            counted_concurrency: 0,
        }
    }

    pub(super) fn start_session(&mut self, session: &WorkerSession, now: Instant) {
        self.session = Some(session.number);
        self.disconnected_since = None;
        self.zone = session.zone.clone();
        self.paused = false;
        self.draining = false;
        self.credit_total = 0;
        self.credit_used = 0;
        self.peak_credits = 0;
        self.health.restart_ramp(now);
    }

    /// Returns the number of the open session, if there is one.
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

    /// Returns the load of the worker, 0 if idle. It is the larger of two shares: its slots that
    /// tasks of this entry use, and the credits that its agent withholds because of other entries'
    /// tasks.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a comparison needs no exact count"
    )]
    pub(super) fn load(&self) -> f64 {
        let own = f64::from(self.in_flight()) / f64::from(self.slots.max(1));
        let credits = self.credits() as f64 / self.peak_credits.max(1) as f64;
        own.max(1.0 - credits)
    }

    pub(super) fn schedule_speed_probe(&mut self, now: Instant) {
        if self.speed.slowness() < SLOW_THRESHOLD {
            return;
        }
        let wait = match self.next_speed_probe {
            Some((due, _)) if now < due => return,
            Some((_, wait)) => (wait * 2).min(MAX_SPEED_PROBE_INTERVAL),
            None => FIRST_SPEED_PROBE_INTERVAL,
        };
        self.next_speed_probe = Some((now + wait, wait));
    }
}
