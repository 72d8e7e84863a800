//! The agent of a worker: sessions with all entries, looks at the worker, and the carrying out of
//! the keeper's effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::pool::{EntryAddr, PoolFrame};
use masticcross_wire::{Dialer, Frame, Hello, Incarnation, Link, PROTOCOL_VERSION, Role};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::keeper::clients::ClientId;
use crate::keeper::{Effect, Keeper, LOOK_WAIT, START_TIMEOUT, SessionId, WorkerReport};
use crate::metrics::{self, AgentMetrics};
use crate::worker_client::{CallError, LookCall, StartCall, StopCall, WorkerClient};
use crate::worker_memory::WorkerMemory;

/// Interval of probes on a session.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Silence after which a session is closed.
const SESSION_SILENCE: Duration = Duration::from_millis(600);

/// Longest wait for an entry's first frame. The opening packet to a machine that is down is sent
/// again only after a second or more, so that a new dial finds a returned machine sooner.
const HELLO_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause after a failed dial; it doubles up to the greatest.
const FIRST_REDIAL: Duration = Duration::from_millis(25);
const MAX_REDIAL: Duration = Duration::from_millis(100);

/// Time after which an address at which nothing was ever heard is not dialled any more.
const FORGET_ADDR: Duration = Duration::from_mins(1);

/// Interval of the decisions that depend on time alone.
const TICK: Duration = Duration::from_millis(20);

/// Time beyond the worker's wait after which a look counts as unanswered.
const LOOK_SLACK: Duration = Duration::from_millis(60);

/// Time after an unanswered look in which two looks wait at the worker, so that an end is seen at
/// once though one of them is lost.
const DOUBLE_LOOKS: Duration = Duration::from_secs(3);

/// Time after which a stop counts as unanswered.
const STOP_TIMEOUT: Duration = Duration::from_millis(60);

/// Pause of the looks while there is no worker.
const NO_WORKER_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for what runs when the agent closes.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// Who an agent is.
#[derive(Debug, Clone)]
pub struct AgentIdentity {
    /// Name of the agent.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Start of the process.
    pub incarnation: Incarnation,
}

/// A running agent.
pub struct Agent {
    identity: AgentIdentity,
    keeper: Mutex<Keeper>,
    outlets: Mutex<BTreeMap<SessionId, mpsc::Sender<Frame>>>,
    metrics: AgentMetrics,
    client: Arc<dyn WorkerClient>,
    memory: Arc<dyn WorkerMemory>,
    dialer: Arc<dyn Dialer>,
    next_session: Mutex<SessionId>,
    entries_changed: Notify,
    worker_changed: Notify,
    missed_look: Mutex<Option<Instant>>,
}

impl Agent {
    /// Creates an agent. `lease` is the longest lease that the worker grants, `unix_ms` the time of
    /// day.
    ///
    /// # Errors
    /// Fails if a metric's name is registered twice.
    pub fn new(
        identity: AgentIdentity,
        lease: Duration,
        unix_ms: u64,
        client: Arc<dyn WorkerClient>,
        memory: Arc<dyn WorkerMemory>,
        dialer: Arc<dyn Dialer>,
    ) -> metrics::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            metrics: AgentMetrics::new()?,
            identity,
            keeper: Mutex::new(Keeper::new(lease, unix_ms, Instant::now())),
            outlets: Mutex::default(),
            client,
            memory,
            dialer,
            next_session: Mutex::new(0),
            entries_changed: Notify::new(),
            worker_changed: Notify::new(),
            missed_look: Mutex::new(None),
        }))
    }

    /// Writes all metrics in the text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let levels = self.keeper.lock().levels(Instant::now());
        self.metrics.text(levels)
    }

    /// Serves until the process ends. `seeds` are addresses at which entries may listen.
    pub async fn run(self: Arc<Self>, seeds: Vec<SocketAddr>) {
        tokio::join!(
            self.clone().recall_worker(),
            self.clone().keep_sessions(seeds),
            self.clone().keep_looking(),
            self.clone().keep_looking_twice(),
            self.clone().keep_time(),
        );
    }

    /// Takes over what the worker says of itself. Returns false if it is out of date.
    pub fn worker_reported(self: &Arc<Self>, report: WorkerReport) -> bool {
        let accepted = self.with_keeper(|keeper, now| keeper.worker_reported(report, now));
        self.worker_changed.notify_one();
        accepted
    }

    /// Notes that the worker has ended in order.
    pub fn worker_left(self: &Arc<Self>, id: &str) {
        self.with_keeper(|keeper, now| keeper.worker_left(id, now));
    }

    /// Takes over addresses of entries.
    pub fn learn_entries(self: &Arc<Self>, entries: &[EntryAddr]) {
        if self.with_keeper(|keeper, _| keeper.learn_entries(entries)) {
            self.entries_changed.notify_one();
        }
    }

    /// Returns true while a session with an entry is open.
    #[must_use]
    pub fn has_session(&self) -> bool {
        !self.outlets.lock().is_empty()
    }

    /// Calls the decisions and carries out what they leave.
    pub fn with_keeper<T>(self: &Arc<Self>, f: impl FnOnce(&mut Keeper, Instant) -> T) -> T {
        let (result, effects) = {
            let mut keeper = self.keeper.lock();
            let result = f(&mut keeper, Instant::now());
            (result, keeper.take_effects())
        };
        for effect in effects {
            self.carry_out(effect);
        }
        result
    }

    /// Takes nothing new and waits until what runs has ended.
    pub async fn close(self: Arc<Self>) {
        self.with_keeper(Keeper::close);
        let idle = async {
            while !self.keeper.lock().is_idle() {
                sleep(TICK).await;
            }
        };
        if timeout(CLOSE_LIMIT, idle).await.is_err() {
            log::warn!(agent:% = self.identity.name; "runs left at the end of the close limit");
        }
        // The last ends are on their way to the entries.
        sleep(TICK).await;
    }

    fn carry_out(self: &Arc<Self>, effect: Effect) {
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
            Effect::Look => {
                tokio::spawn(self.clone().look_once());
            }
            Effect::Remember(report) => {
                let memory = self.memory.clone();
                tokio::spawn(async move { memory.remember(report).await });
            }
        }
    }

    fn send(&self, session: SessionId, frame: PoolFrame) {
        let mut outlets = self.outlets.lock();
        let Some(tx) = outlets.get(&session) else {
            return;
        };
        if tx.try_send(Frame::Pool(frame)).is_err() {
            log::warn!(session; "session dropped: its queue is full or closed");
            outlets.remove(&session);
        }
    }

    async fn start(self: Arc<Self>, call: StartCall) {
        let sent_at = Instant::now();
        let answer = timeout(START_TIMEOUT, self.client.start(call.clone())).await;
        let answer = answer.unwrap_or_else(|_| Err(no_answer()));
        match &answer {
            Ok(_) => self.metrics.start_answered(sent_at.elapsed()),
            Err(_) => self.metrics.unanswered("start"),
        }
        self.with_keeper(|keeper, now| keeper.started(&call, answer, now));
    }

    async fn stop(self: Arc<Self>, call: StopCall) {
        let run = call.run.clone();
        match timeout(STOP_TIMEOUT, self.client.stop(call)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::info!(run:%, error:%; "run could not be stopped yet"),
            Err(_) => log::info!(run:%; "stop not answered"),
        }
    }

    async fn recall_worker(self: Arc<Self>) {
        if let Some(report) = self.memory.recall().await {
            self.with_keeper(|keeper, _| keeper.worker_recalled(report));
            self.worker_changed.notify_one();
        }
    }

    async fn look_once(self: Arc<Self>) {
        let call = self.with_keeper(|keeper, now| keeper.next_look(0, Duration::ZERO, now));
        if let Some(call) = call {
            self.look(call).await;
        }
    }

    /// Looks at the worker. Returns false if it did not answer.
    async fn look(self: &Arc<Self>, call: LookCall) -> bool {
        let wait = Duration::from_millis(call.wait_ms) + LOOK_SLACK;
        let answer = timeout(wait, self.client.look(call.clone())).await;
        let answer = answer.unwrap_or_else(|_| Err(no_answer()));
        let answered = !matches!(answer, Err(CallError::NoAnswer(_)));
        if !answered {
            self.metrics.unanswered("look");
            *self.missed_look.lock() = Some(Instant::now());
        }
        self.with_keeper(|keeper, now| keeper.looked(&call, answer, now));
        answered
    }

    /// Looks again and again, which also extends the lease.
    async fn keep_looking(self: Arc<Self>) {
        let mut missed = 0;
        loop {
            let wait = if missed == 0 {
                LOOK_WAIT
            } else {
                Duration::ZERO
            };
            let call = self.with_keeper(|keeper, now| {
                keeper.tick(now);
                keeper.next_look(missed, wait, now)
            });
            let Some(call) = call else {
                missed = 0;
                // A report of the worker ends the pause.
                let _ = timeout(NO_WORKER_PAUSE, self.worker_changed.notified()).await;
                continue;
            };
            missed = if self.look(call).await { 0 } else { missed + 1 };
        }
    }

    /// Looks a second time beside [`Self::keep_looking`] while looks are lost.
    async fn keep_looking_twice(self: Arc<Self>) {
        loop {
            let missed = *self.missed_look.lock();
            if missed.is_none_or(|at| at.elapsed() > DOUBLE_LOOKS) {
                sleep(TICK).await;
                continue;
            }
            let call = self.with_keeper(|keeper, now| keeper.next_look(0, LOOK_WAIT, now));
            match call {
                Some(call) => {
                    self.look(call).await;
                }
                None => sleep(TICK).await,
            }
        }
    }

    async fn keep_time(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.with_keeper(Keeper::tick);
        }
    }

    /// Keeps a session with every known entry.
    async fn keep_sessions(self: Arc<Self>, seeds: Vec<SocketAddr>) {
        let mut connectors: JoinSet<SocketAddr> = JoinSet::new();
        let mut dialled: Vec<SocketAddr> = Vec::new();
        loop {
            let known = self.keeper.lock().entries();
            let known = known.into_iter().map(|entry| entry.addr);
            for addr in seeds.iter().copied().chain(known) {
                if !dialled.contains(&addr) {
                    dialled.push(addr);
                    connectors.spawn(self.clone().connect(addr));
                }
            }
            tokio::select! {
                () = self.entries_changed.notified() => {}
                Some(Ok(addr)) = connectors.join_next() => {
                    log::info!(addr:%; "entry forgotten");
                    // A seed is dialled again with the next change of the entries.
                    dialled.retain(|known| *known != addr);
                    sleep(MAX_REDIAL).await;
                }
            }
        }
    }

    async fn connect(self: Arc<Self>, addr: SocketAddr) -> SocketAddr {
        let mut pause = FIRST_REDIAL;
        let mut heard_at = Instant::now();
        while heard_at.elapsed() < FORGET_ADDR {
            match timeout(HELLO_TIMEOUT, self.open(addr)).await {
                Ok(Some((hello, link))) => {
                    log::info!(entry:% = hello.name, addr:%; "session opened");
                    self.serve(&hello, link).await;
                    log::info!(entry:% = hello.name, addr:%; "session ended");
                    heard_at = Instant::now();
                    pause = FIRST_REDIAL;
                }
                Ok(None) | Err(_) => log::debug!(addr:%; "no session"),
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_REDIAL);
        }
        addr
    }

    async fn open(&self, addr: SocketAddr) -> Option<(Hello, Link)> {
        let mut link = self.dialer.dial(addr).await.ok()?;
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            role: Role::Agent,
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
            session: 0,
        };
        link.tx.send(Frame::Hello(hello)).await.ok()?;
        match link.rx.recv().await? {
            Frame::Hello(hello) if hello.protocol == PROTOCOL_VERSION => Some((hello, link)),
            other => {
                log::warn!(addr:%, frame = other.kind(); "unexpected first frame");
                None
            }
        }
    }

    async fn serve(self: &Arc<Self>, hello: &Hello, mut link: Link) {
        let session = {
            let mut next = self.next_session.lock();
            *next += 1;
            *next
        };
        let client = ClientId {
            name: hello.name.clone(),
            incarnation: hello.incarnation,
        };
        self.outlets.lock().insert(session, link.tx.clone());
        self.with_keeper(|keeper, now| keeper.session_opened(&client, session, now));
        self.pump(session, &mut link).await;
        self.outlets.lock().remove(&session);
        self.with_keeper(|keeper, _| keeper.session_closed(session));
    }

    async fn pump(self: &Arc<Self>, session: SessionId, link: &mut Link) {
        let mut probes = interval(PROBE_INTERVAL);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heard_at = Instant::now();
        loop {
            tokio::select! {
                biased;
                frame = link.rx.recv() => match frame {
                    Some(Frame::Pool(frame)) => {
                        heard_at = Instant::now();
                        self.handle(session, frame);
                    }
                    Some(other) => {
                        log::warn!(session, frame = other.kind(); "unexpected frame");
                    }
                    None => return,
                },
                _ = probes.tick() => {
                    let open = self.outlets.lock().contains_key(&session);
                    if heard_at.elapsed() > SESSION_SILENCE || !open {
                        return;
                    }
                    let probe = self.keeper.lock().probe(Instant::now());
                    self.send(session, PoolFrame::Probe(probe));
                }
            }
        }
    }

    fn handle(self: &Arc<Self>, session: SessionId, frame: PoolFrame) {
        match frame {
            PoolFrame::Echo(probe) => {
                self.with_keeper(|keeper, now| keeper.echoed(session, probe, now));
            }
            PoolFrame::View(view) => {
                self.with_keeper(|keeper, now| keeper.view_offered(session, *view, now));
            }
            PoolFrame::Entries(entries) => self.learn_entries(&entries),
            PoolFrame::Run(orders) => {
                self.with_keeper(|keeper, now| keeper.run(session, orders, now));
            }
            PoolFrame::Stop(ids) => {
                self.with_keeper(|keeper, now| keeper.stop(session, &ids, now));
            }
            PoolFrame::Probe(_)
            | PoolFrame::Worker(_)
            | PoolFrame::Free(_)
            | PoolFrame::Resume(_)
            | PoolFrame::Ended(_) => {
                log::warn!(session, frame = frame.kind(); "unexpected frame");
            }
        }
    }
}

fn no_answer() -> CallError {
    CallError::NoAnswer("timed out".to_owned())
}
