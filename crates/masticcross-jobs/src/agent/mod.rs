//! The agent of a worker: connects the supervisor to the worker, the entries and the clock.
//!
//! - `calls`: calls to the worker.
//! - `sessions`: sessions with the selected entries.

mod calls;
mod sessions;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::{EntryAddr, PoolFrame};
use masticcross_wire::{Dialer, Frame, Incarnation};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

pub use sessions::CONNECT_TIMEOUT;

use crate::entry_selection::EntrySelection;
use crate::metrics::{self, AgentMetrics};
use crate::report_store::WorkerReportStore;
use crate::supervisor::{Effect, SessionId, Supervisor, WorkerReport};
use crate::suspension::SuspensionDetector;
use crate::view_reader::ViewReader;
use crate::worker_client::WorkerClient;

/// Interval of the supervisor's ticks.
const TICK: Duration = Duration::from_millis(20);

/// Time between a failed attempt to save a report of the worker and the next one.
const SAVE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time to wait for runs to end when the agent closes.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// Identity of an agent.
#[derive(Debug, Clone)]
pub struct AgentIdentity {
    /// Name of the agent.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// A running agent.
pub struct Agent {
    identity: AgentIdentity,
    supervisor: Mutex<Supervisor>,
    suspension: Mutex<SuspensionDetector>,
    senders: Mutex<BTreeMap<SessionId, mpsc::Sender<Frame>>>,
    metrics: AgentMetrics,
    client: Arc<dyn WorkerClient>,
    store: Arc<dyn WorkerReportStore>,
    view_reader: Arc<dyn ViewReader>,
    dialer: Arc<dyn Dialer>,
    next_session: Mutex<SessionId>,
    seeds: Mutex<Vec<SocketAddr>>,
    selection: Mutex<EntrySelection>,
    entries_changed: Notify,
    worker_changed: Notify,
    last_missed_poll: Mutex<Option<Instant>>,
    /// Last report of the worker, if it has not been saved.
    unsaved_report: Mutex<Option<WorkerReport>>,
    report_changed: Notify,
}

impl Agent {
    /// Creates an agent. `lease` is the longest lease that the worker grants, `unix_ms` the current
    /// Unix time.
    ///
    /// # Errors
    /// Fails if a metric's name is registered twice.
    pub fn new(
        identity: AgentIdentity,
        lease: Duration,
        unix_ms: u64,
        client: Arc<dyn WorkerClient>,
        store: Arc<dyn WorkerReportStore>,
        view_reader: Arc<dyn ViewReader>,
        dialer: Arc<dyn Dialer>,
    ) -> metrics::Result<Arc<Self>> {
        let supervisor = Supervisor::new(&identity.name, lease, unix_ms, Instant::now());
        Ok(Arc::new(Self {
            metrics: AgentMetrics::new()?,
            selection: Mutex::new(EntrySelection::new(
                identity.name.clone(),
                identity.zone.clone(),
            )),
            identity,
            supervisor: Mutex::new(supervisor),
            suspension: Mutex::new(SuspensionDetector::start()),
            senders: Mutex::default(),
            client,
            store,
            view_reader,
            dialer,
            next_session: Mutex::new(0),
            seeds: Mutex::default(),
            entries_changed: Notify::new(),
            worker_changed: Notify::new(),
            last_missed_poll: Mutex::new(None),
            unsaved_report: Mutex::default(),
            report_changed: Notify::new(),
        }))
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let gauges = self.supervisor.lock().gauges(Instant::now());
        self.metrics.text(gauges)
    }

    /// Sets the addresses at which entries may listen.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock() = seeds;
        self.entries_changed.notify_one();
    }

    /// Runs the agent until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.clone().restore_worker_report(),
            self.clone().save_loop(),
            self.clone().session_loop(),
            self.clone().poll_loop(),
            self.clone().redundant_poll_loop(),
            self.clone().tick_loop(),
        );
    }

    /// Applies a heartbeat of the worker. Returns false if it is out of date.
    pub fn worker_reported(self: &Arc<Self>, report: WorkerReport) -> bool {
        let accepted =
            self.with_supervisor(|supervisor, now| supervisor.worker_reported(report, now));
        self.worker_changed.notify_one();
        accepted
    }

    /// Handles the announcement that a worker ends now.
    pub fn worker_left(self: &Arc<Self>, id: &str) {
        self.with_supervisor(|supervisor, _| supervisor.worker_left(id));
    }

    /// Adds or updates addresses of entries.
    pub fn add_entries(self: &Arc<Self>, entries: &[EntryAddr]) {
        if self.with_supervisor(|supervisor, _| supervisor.add_entries(entries)) {
            self.entries_changed.notify_one();
        }
    }

    /// Returns true while a session with an entry is open.
    #[must_use]
    pub fn has_session(&self) -> bool {
        !self.senders.lock().is_empty()
    }

    /// Calls a function with the supervisor and the current time, then executes the queued effects.
    pub fn with_supervisor<T>(
        self: &Arc<Self>,
        f: impl FnOnce(&mut Supervisor, Instant) -> T,
    ) -> T {
        let (result, effects) = {
            let mut supervisor = self.supervisor.lock();
            if let Some(time) = self.suspension.lock().check() {
                log::warn!(ms = time.as_millis(); "host was suspended");
                supervisor.suspended_for(time);
            }
            let result = f(&mut supervisor, Instant::now());
            (result, supervisor.take_effects())
        };
        for effect in effects {
            self.execute(effect);
        }
        result
    }

    /// Refuses new runs and waits until the current ones have ended.
    pub async fn close(self: Arc<Self>) {
        self.with_supervisor(Supervisor::close);
        let idle = async {
            while !self.supervisor.lock().is_idle() {
                sleep(TICK).await;
            }
        };
        if timeout(CLOSE_LIMIT, idle).await.is_err() {
            log::warn!(agent:% = self.identity.name; "runs have not ended within the close limit");
        }
        // Leaves time to send the last ends to the entries.
        sleep(TICK).await;
    }

    fn execute(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Send(session, frame) => {
                if let PoolFrame::Ended(ends) = &frame {
                    self.metrics.runs_ended(ends);
                }
                self.send(session, frame);
            }
            Effect::Start(call) => {
                tokio::spawn(self.clone().start(call));
            }
            Effect::Stop(call) => {
                tokio::spawn(self.clone().stop(call));
            }
            Effect::Close(session) => {
                self.senders.lock().remove(&session);
            }
            Effect::Poll => {
                tokio::spawn(self.clone().poll_once());
            }
            Effect::SaveReport(report) => {
                *self.unsaved_report.lock() = Some(report);
                self.report_changed.notify_one();
            }
            Effect::ReadView => {
                tokio::spawn(self.clone().read_view());
            }
        }
    }

    fn send(&self, session: SessionId, frame: PoolFrame) {
        let mut senders = self.senders.lock();
        let Some(tx) = senders.get(&session) else {
            return;
        };
        if tx.try_send(Frame::Pool(frame)).is_err() {
            log::warn!(session; "session dropped: its queue is full or closed");
            senders.remove(&session);
        }
    }

    async fn read_view(self: Arc<Self>) {
        let read_at = Instant::now();
        let read = self.view_reader.read().await;
        self.with_supervisor(|supervisor, now| supervisor.view_read(read, read_at, now));
    }

    /// Saves reports of the worker one after the other, so that no earlier one replaces a later one.
    async fn save_loop(self: Arc<Self>) {
        loop {
            let unsaved = self.unsaved_report.lock().clone();
            let Some(report) = unsaved else {
                self.report_changed.notified().await;
                continue;
            };
            if self.store.save(report.clone()).await {
                self.unsaved_report
                    .lock()
                    .take_if(|unsaved| *unsaved == report);
            } else {
                sleep(SAVE_RETRY_INTERVAL).await;
            }
        }
    }

    async fn tick_loop(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.with_supervisor(Supervisor::tick);
        }
    }
}
