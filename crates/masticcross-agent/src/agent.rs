//! The running agent: connects the core with sessions, backend servers and the clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticcross_basics::Code;
use masticcross_basics::timeline::Timeline;
use masticcross_wire::Dialer;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::backend::{BackendClient, RunOutcome, StartGate};
use crate::connector;
use crate::core::starts::Run;
use crate::core::{AgentCore, SessionId, SharedCore, Stats};
use crate::metrics::Metrics;
use crate::{Announcement, Settings};

/// Interval at which time limits are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a closing agent checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last frames to be sent after the sessions were closed.
const GOODBYE_DELAY: Duration = Duration::from_millis(100);

/// Longest wait for the response of a stopped task.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of creating an agent.
pub type Result<T> = crate::metrics::Result<T>;

/// Stage in the lifecycle of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Sessions are maintained. This includes the wait for running tasks during a shutdown.
    Running,
    /// Sessions are closed and not reopened.
    Leaving,
    /// All work ends.
    Closed,
}

/// One agent.
pub struct Agent {
    pub(crate) settings: Settings,
    pub(crate) core: SharedCore,
    pub(crate) dialer: Arc<dyn Dialer>,
    client: Arc<dyn BackendClient>,
    next_session: AtomicU64,
    pub(crate) stage: watch::Sender<Stage>,
}

impl Agent {
    /// Creates an agent that is not connected yet.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(
        settings: Settings,
        dialer: Arc<dyn Dialer>,
        client: Arc<dyn BackendClient>,
        timeline: Timeline,
    ) -> Result<Arc<Self>> {
        let core = AgentCore::new(
            settings.identity(),
            settings.limits.clone(),
            timeline,
            Metrics::new()?,
        );
        Ok(Arc::new(Self {
            settings,
            core: Arc::new(core),
            dialer,
            client,
            next_session: AtomicU64::new(1),
            stage: watch::Sender::new(Stage::Running),
        }))
    }

    /// Maintains sessions with the entries and runs tasks until [`Agent::close`] completes.
    pub async fn run(self: Arc<Self>) {
        let mut stage = self.stage.subscribe();
        tokio::select! {
            biased;
            _ = stage.wait_for(|stage| *stage == Stage::Closed) => {}
            () = connector::maintain_sessions(self.clone()) => {}
            () = self.run_ticks() => {}
        }
    }

    /// Shuts down gracefully: accepts no new tasks, waits until running tasks have ended and their
    /// results are released, at most for `drain_limit`, and closes the sessions.
    pub async fn close(self: Arc<Self>) {
        self.core.drain(Instant::now());
        if timeout(self.settings.drain_limit, self.wait_until_idle())
            .await
            .is_err()
        {
            let stats = self.stats();
            log::warn!(running = stats.running, unreleased = stats.unreleased;
                "drain limit exceeded; stopping with unfinished tasks or unreleased results");
        }
        self.stage.send_replace(Stage::Leaving);
        self.core.sessions().close_all(Code::ShuttingDown);
        sleep(GOODBYE_DELAY).await;
        self.stage.send_replace(Stage::Closed);
    }

    /// Adds or renews a backend server.
    pub fn announce(self: &Arc<Self>, announcement: Announcement) {
        let runs = self.core.announce(announcement, Instant::now());
        self.spawn_runs(runs);
    }

    /// Marks a backend server as withdrawn. Returns false if it is unknown or already withdrawn.
    #[must_use]
    pub fn withdraw(&self, name: &str) -> bool {
        self.core.withdraw(name, Instant::now())
    }

    /// Returns the current counts and gauges.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.core.stats(Instant::now())
    }

    /// Returns the core, for inspection.
    #[must_use]
    pub fn core(&self) -> &AgentCore {
        &self.core
    }

    /// Spawns the requests to backend servers for the given runs.
    pub(crate) fn spawn_runs(self: &Arc<Self>, runs: Vec<Run>) {
        for run in runs {
            tokio::spawn(self.clone().run_task(run));
        }
    }

    /// Returns the number of the next session. A restarted process may count from one again,
    /// because its incarnation is larger.
    pub(crate) fn next_session(&self) -> SessionId {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    async fn run_task(self: Arc<Self>, run: Run) {
        let id = run.id;
        let outcome = self.run_or_stop(run).await;
        let next = self.core.finished(id, outcome, Instant::now());
        self.spawn_runs(next);
    }

    async fn run_or_stop(&self, run: Run) -> RunOutcome {
        let mut request = {
            let gate = StartGate::new(self.core.clone(), run.id);
            self.client.run(run.backend.clone(), run.body, gate)
        };
        let mut stop = run.stop;
        tokio::select! {
            biased;
            outcome = &mut request => return outcome,
            _ = stop.wait_for(|stop| *stop) => {}
        }
        let stopped = async {
            self.client.stop(run.backend, run.id).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            biased;
            outcome = &mut request => outcome,
            () = sleep(STOP_TIMEOUT) => RunOutcome::Stopped,
            () = stopped => RunOutcome::Stopped,
        }
    }

    async fn run_ticks(self: &Arc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let runs = self.core.tick(Instant::now());
            self.spawn_runs(runs);
        }
    }

    async fn wait_until_idle(&self) {
        loop {
            let stats = self.stats();
            if stats.running == 0 && stats.unreleased == 0 {
                return;
            }
            sleep(IDLE_CHECK_INTERVAL).await;
        }
    }
}
