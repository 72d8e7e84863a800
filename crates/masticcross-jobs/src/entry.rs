//! An entry: connects the scheduler to the sessions of agents, the waiting callers and the clock.

mod metrics;
mod peers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::{EntryAddr, OperatorView, PoolFrame};
use masticcross_wire::{Dialer, Frame, Hello, Incarnation, Link, PROTOCOL_VERSION, Refusal, Role};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use smallvec::{SmallVec, smallvec};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::handover::TransferNumber;
use crate::job::{JobOutcome, JobRequest};
use crate::metrics::{EntryMetrics, Result as MetricsResult, SessionEnd, ViewRead, ViewSource};
use crate::run_lifetime::SESSION_TIMEOUT;
use crate::scheduler::table::JobNumber;
use crate::scheduler::{Effect, Scheduler, SessionId, ViewStatus};
use crate::supervisor::clients::update_addrs;

use metrics::HandoverMetrics;
use peers::PeerState;

/// Maximum wait for the first frame of a session.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of frames of a session that are handled together. It bounds the time for which other
/// sessions and callers wait.
const MAX_BATCH: usize = 64;

/// Interval of the scheduler's ticks.
const TICK: Duration = Duration::from_millis(20);

/// Identity of an entry.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Name and address for agents.
    pub addr: EntryAddr,
    /// Availability zone.
    pub zone: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// A running entry.
pub struct Entry {
    identity: EntryIdentity,
    metrics: EntryMetrics,
    dialer: Option<Arc<dyn Dialer>>,
    state: Mutex<State>,
}

/// Who waits for the answer of a job.
enum Waiter {
    Caller(oneshot::Sender<JobOutcome>),
    /// The entry that transferred the job on a session, with its number there.
    Origin(SessionId, TransferNumber),
}

struct State {
    scheduler: Scheduler,
    sessions: BTreeMap<SessionId, mpsc::Sender<Frame>>,
    next_session: SessionId,
    callers: FxHashMap<JobNumber, Vec<Waiter>>,
    entries: BTreeMap<Name, EntryAddr>,
    peers: PeerState,
    /// True if agents are told the waiting work, by which they divide free resources.
    announces_demand: bool,
}

impl Entry {
    /// Creates an entry without agents, jobs and operator settings. It transfers no jobs.
    ///
    /// # Errors
    /// Fails if a metric's name is registered twice.
    pub fn new(identity: EntryIdentity) -> MetricsResult<Arc<Self>> {
        Self::with_dialer(identity, None)
    }

    /// Creates an entry that dials other entries when it gets more jobs than it can process.
    ///
    /// # Errors
    /// Fails if a metric's name is registered twice.
    pub fn with_dialer(
        identity: EntryIdentity,
        dialer: Option<Arc<dyn Dialer>>,
    ) -> MetricsResult<Arc<Self>> {
        let own_addr = identity.addr.clone();
        let metrics = EntryMetrics::new()?;
        let handover_metrics = HandoverMetrics::new(metrics.registry())?;
        let state = State {
            scheduler: Scheduler::new(identity.zone.clone()),
            sessions: BTreeMap::new(),
            next_session: 0,
            callers: FxHashMap::default(),
            entries: BTreeMap::from([(own_addr.name.clone(), own_addr)]),
            peers: PeerState::new(&identity, handover_metrics),
            announces_demand: false,
        };
        Ok(Arc::new(Self {
            identity,
            metrics,
            dialer,
            state: Mutex::new(state),
        }))
    }

    /// Sets the factor by which tasks take longer away from their data, at least 1. It must be set
    /// before [`Entry::run`]; without it no task waits for a worker near its data.
    pub fn set_remote_factor(&self, factor: f64) {
        self.state.lock().scheduler.set_remote_factor(factor);
    }

    /// Makes the entry announce its waiting work to the agents, which divide free resources among the
    /// entries by it, most urgent priority first. It must be set before [`Entry::run`].
    pub fn announce_demand(&self) {
        self.state.lock().announces_demand = true;
    }

    /// Serves the sessions of agents until the process ends.
    pub async fn run(self: Arc<Self>, links: mpsc::Receiver<Link>) {
        tokio::join!(self.clone().accept(links), self.clone().tick_loop());
    }

    /// Runs a job and returns its outcome. A job whose callers have all disconnected is stopped.
    pub async fn submit(self: &Arc<Self>, request: JobRequest) -> JobOutcome {
        let arrived = Instant::now();
        let (job, queue) = (request.id.clone(), request.queue.clone());
        let outcome = match self.add_caller(request) {
            Ok(waiting) => waiting.outcome().await,
            Err(refusal) => {
                log::info!(
                    job:%, queue:%, code = refusal.code.number(), detail = refusal.detail;
                    "job refused"
                );
                JobOutcome::Refused(refusal)
            }
        };
        self.metrics.answered(&outcome, arrived.elapsed());
        outcome
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let (gauges, view) = {
            let scheduler = &self.state.lock().scheduler;
            (scheduler.gauges(), scheduler.view_status(Instant::now()))
        };
        self.metrics.text(gauges, view)
    }

    /// Returns which operator view is in force, and how old the knowledge is.
    #[must_use]
    pub fn view_status(&self) -> ViewStatus {
        self.state.lock().scheduler.view_status(Instant::now())
    }

    /// Records the result of a read of the operators' records. `current_at` is the latest time at which a
    /// complete read is known to have returned the newest records.
    pub fn view_read(&self, read: ViewRead, current_at: Instant) {
        self.metrics.view_read(read);
        if read.is_complete() {
            self.state.lock().scheduler.view_confirmed(current_at);
        }
    }

    /// Cancels a job. Returns false if this entry does not have it.
    pub fn cancel(&self, id: &str) -> bool {
        self.with_state(|state, now| match state.scheduler.find(id) {
            Some((number, _)) => {
                state.scheduler.cancel(number, now);
                state.cancel_waiters(number);
                true
            }
            None => state.peers.cancel(id),
        })
    }

    /// Returns whether a task of a job may have started, or `None` if this entry does not have the
    /// job. It is false for a job in transfer, as only the other entry knows.
    #[must_use]
    pub fn may_have_started(&self, id: &str) -> Option<bool> {
        let state = self.state.lock();
        let found = state.scheduler.find(id).map(|(_, started)| started);
        found.or_else(|| state.peers.contains(id).then_some(false))
    }

    /// Returns the number of jobs in a queue of which no task can have started.
    #[must_use]
    pub fn count_unstarted(&self, queue: &str) -> usize {
        self.state.lock().scheduler.count_unstarted(queue)
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        let state = self.state.lock();
        state.scheduler.gauges().jobs + state.peers.jobs_in_transfer()
    }

    /// Returns true if there are an operator view and a usable worker.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        let state = self.state.lock();
        state.scheduler.view().is_some() && state.scheduler.gauges().workers > 0
    }

    /// Calls a function with the operator view, or returns `None` if there is none yet.
    pub fn with_view<T>(&self, f: impl FnOnce(&OperatorView) -> T) -> Option<T> {
        self.state.lock().scheduler.view().map(f)
    }

    /// Applies an operator view from the operators' records if it is newer.
    pub fn update_view(&self, view: OperatorView) {
        self.with_state(|state, now| {
            if state.scheduler.update_view(view, now) {
                self.view_applied(state, ViewSource::Records);
            }
        });
    }

    fn view_applied(&self, state: &State, source: ViewSource) {
        self.metrics.view_updated(source);
        if let Some(view) = state.scheduler.view() {
            log::info!(
                position = view.position, version = view.config_version,
                zones_out:? = view.zones_out, source = source.label();
                "operators' orders"
            );
        }
    }

    /// Adds or updates addresses of entries, and sends them to the agents if any changed.
    pub fn add_entries(&self, entries: &[EntryAddr]) {
        let mut state = self.state.lock();
        let others = entries.iter().filter(|e| e.name != self.identity.addr.name);
        let others: Vec<EntryAddr> = others.cloned().collect();
        let changed = update_addrs(&mut state.entries, &others);
        if changed.is_empty() {
            return;
        }
        state.update_peer_addrs();
        let sessions: Vec<SessionId> = state.sessions.keys().copied().collect();
        for session in sessions {
            state.send(session, PoolFrame::Entries(changed.clone()));
        }
    }

    fn add_caller(self: &Arc<Self>, request: JobRequest) -> Result<WaitingCaller, Refusal> {
        let (tx, rx) = oneshot::channel();
        let id = request.id.clone();
        self.with_state(|state, now| state.admit(request, tx, now))?;
        Ok(WaitingCaller {
            entry: self.clone(),
            id,
            rx,
        })
    }

    fn remove_caller(&self, id: &str) {
        self.with_state(|state, now| {
            let Some((number, _)) = state.scheduler.find(id) else {
                if state.peers.remove_caller(id) {
                    self.metrics.callers_left();
                }
                return;
            };
            let Some(waiters) = state.callers.get_mut(&number) else {
                return;
            };
            waiters.retain(|waiter| !waiter.is_gone());
            if waiters.is_empty() {
                self.metrics.callers_left();
                state.callers.remove(&number);
                state.scheduler.cancel(number, now);
            }
        });
    }

    /// Calls a function with the state and the current time, then executes the queued effects.
    fn with_state<T>(&self, f: impl FnOnce(&mut State, Instant) -> T) -> T {
        let mut state = self.state.lock();
        let result = f(&mut state, Instant::now());
        for effect in state.scheduler.take_effects() {
            match effect {
                Effect::Send(session, frame) => state.send(session, frame),
                Effect::Answer(number, outcome) => state.answer(number, &outcome),
            }
        }
        result
    }

    async fn tick_loop(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due = ticks.tick().await;
            self.apply_lag(due.elapsed());
            self.with_state(|state, now| state.scheduler.tick(now));
        }
    }

    async fn accept(self: Arc<Self>, mut links: mpsc::Receiver<Link>) {
        let mut sessions = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                Some(_) = sessions.join_next(), if !sessions.is_empty() => {}
                link = links.recv() => match link {
                    Some(link) => {
                        sessions.spawn(self.clone().serve(link));
                    }
                    None => return,
                },
            }
        }
    }

    async fn serve(self: Arc<Self>, mut link: Link) {
        let first = timeout(HELLO_TIMEOUT, link.rx.recv()).await;
        let Ok(Some(Frame::Hello(hello))) = first else {
            log::info!("session closed: first frame is not a hello");
            return;
        };
        if hello.protocol != PROTOCOL_VERSION || hello.name == self.identity.addr.name {
            log::warn!(name:% = hello.name, protocol = hello.protocol; "session refused: wrong protocol version or own name");
            return;
        }
        if link.tx.send(Frame::Hello(self.hello())).await.is_err() {
            return;
        }
        if hello.role == Role::Entry {
            self.serve_as_receiver(hello.name, link).await;
            return;
        }
        let Some(session) = self.open(&hello, &link) else {
            log::warn!(agent:% = hello.name; "session refused: a later process of the agent has one");
            return;
        };
        log::info!(agent:% = hello.name, session; "session opened");
        let end = self.receive_frames(&hello.name, session, &mut link).await;
        self.metrics.session_ended(end);
        log::info!(agent:% = hello.name, session, reason = end.label(); "session ended");
        self.with_state(|state, now| {
            state.sessions.remove(&session);
            state.scheduler.session_closed(&hello.name, session, now);
        });
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            role: Role::Entry,
            name: self.identity.addr.name.clone(),
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
            session: 0,
        }
    }

    fn open(&self, hello: &Hello, link: &Link) -> Option<SessionId> {
        self.with_state(|state, now| {
            state.next_session += 1;
            let session = state.next_session;
            state.sessions.insert(session, link.tx.clone());
            let all = state.entries.values().cloned().collect();
            state.send(session, PoolFrame::Entries(all));
            let scheduler = &mut state.scheduler;
            if scheduler.session_opened(&hello.name, hello.incarnation, session, now) {
                return Some(session);
            }
            state.sessions.remove(&session);
            None
        })
    }

    async fn receive_frames(
        &self,
        agent: &Name,
        session: SessionId,
        link: &mut Link,
    ) -> SessionEnd {
        loop {
            match timeout(SESSION_TIMEOUT, link.rx.recv()).await {
                Ok(Some(first)) => {
                    let mut frames: SmallVec<[Frame; 4]> = smallvec![first];
                    while frames.len() < MAX_BATCH
                        && let Ok(frame) = link.rx.try_recv()
                    {
                        frames.push(frame);
                    }
                    self.handle_batch(agent, session, frames);
                }
                Ok(None) => return SessionEnd::Closed,
                Err(_) => return SessionEnd::Silent,
            }
            if !self.state.lock().sessions.contains_key(&session) {
                return SessionEnd::QueueFull;
            }
        }
    }

    /// Handles frames that arrived together. Waiting tasks are placed once, after the last frame.
    fn handle_batch(&self, agent: &Name, session: SessionId, frames: SmallVec<[Frame; 4]>) {
        self.with_state(|state, now| {
            state.scheduler.hold_placement();
            for frame in frames {
                match frame {
                    Frame::Pool(frame) => self.handle(state, agent, session, frame, now),
                    other => log::warn!(session, frame = other.kind(); "unexpected frame"),
                }
            }
            state.scheduler.resume_placement(now);
        });
    }

    fn handle(
        &self,
        state: &mut State,
        agent: &Name,
        session: SessionId,
        frame: PoolFrame,
        now: Instant,
    ) {
        match frame {
            PoolFrame::Probe(probe) => {
                if state.announces_demand
                    && let Some(demand) = state.scheduler.demand(agent, session, now)
                {
                    state.send(session, PoolFrame::Demand(demand));
                }
                state.scheduler.heard_from(agent, session, now);
                let echo = state.scheduler.echo(probe, now);
                state.send(session, PoolFrame::Echo(echo));
            }
            PoolFrame::Report(worker) => {
                state.scheduler.report_received(agent, session, worker, now);
            }
            PoolFrame::Worker(info) => {
                state.scheduler.worker_changed(agent, session, info, now);
            }
            PoolFrame::Free(free) => state.scheduler.update_free(agent, session, free, now),
            PoolFrame::Resume(resume) if resume.entry == self.identity.incarnation => {
                state.scheduler.resumed(agent, session, &resume, now);
            }
            PoolFrame::Ended(ends) => {
                self.metrics.runs_ended(&ends);
                state.scheduler.ended(agent, session, &ends, now);
            }
            PoolFrame::Crashes(crashes) => {
                state.scheduler.crashes_announced(session, &crashes, now);
            }
            PoolFrame::View(view) => {
                state.scheduler.view_announced(session, &view, now);
            }
            PoolFrame::FetchView(range) => state.scheduler.view_requested(session, range),
            PoolFrame::ViewPart(part) => {
                if state.scheduler.view_part_received(session, &part, now) {
                    self.view_applied(state, ViewSource::Session);
                }
            }
            PoolFrame::Entries(_)
            | PoolFrame::Resume(_)
            | PoolFrame::Echo(_)
            | PoolFrame::EarlierReport(_)
            | PoolFrame::Demand(_)
            | PoolFrame::Run(_)
            | PoolFrame::Stop(_) => {}
        }
    }
}

impl Waiter {
    fn is_gone(&self) -> bool {
        matches!(self, Self::Caller(tx) if tx.is_closed())
    }
}

impl State {
    fn send(&mut self, session: SessionId, frame: PoolFrame) {
        let Some(tx) = self.sessions.get(&session) else {
            return;
        };
        if tx.try_send(Frame::Pool(frame)).is_err() {
            log::warn!(session; "session dropped: its queue is full or closed");
            self.sessions.remove(&session);
        }
    }

    fn answer(&mut self, number: JobNumber, outcome: &JobOutcome) {
        for waiter in self.callers.remove(&number).unwrap_or_default() {
            match waiter {
                // The caller may have disconnected.
                Waiter::Caller(tx) => drop(tx.send(outcome.clone())),
                Waiter::Origin(session, number) => self.peers.answer(session, number, outcome),
            }
        }
    }

    /// Answers those that wait for a job that was cancelled here.
    fn cancel_waiters(&mut self, number: JobNumber) {
        self.answer(number, &cancelled());
    }

    fn update_peer_addrs(&mut self) {
        self.peers.set_entries(&self.entries);
    }
}

/// A caller that waits for its job. Dropping it signals that the caller has disconnected.
struct WaitingCaller {
    entry: Arc<Entry>,
    id: Name,
    rx: oneshot::Receiver<JobOutcome>,
}

impl WaitingCaller {
    async fn outcome(mut self) -> JobOutcome {
        let outcome = (&mut self.rx).await;
        outcome.unwrap_or_else(|_| cancelled())
    }
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        self.rx.close();
        self.entry.remove_caller(&self.id);
    }
}

fn cancelled() -> JobOutcome {
    let code = masticcross_basics::Code::Cancelled;
    JobOutcome::Refused(Refusal::failed(code, "the job was cancelled"))
}
