//! Sessions with other entries, and the jobs that are transferred on them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::peer::{PeerFrame, TransferAnswer, TransferredJob};
use masticcross_wire::pool::EntryAddr;
use masticcross_wire::{Frame, Link, PROTOCOL_VERSION, Refusal, Role};
use smallvec::smallvec;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout};

use crate::handover::credit::Capacity;
use crate::handover::origin::{InTransfer, Origin, ProtocolError};
use crate::handover::receiver::{NotAccepted, Receiver};
use crate::handover::selection::{PeerSelection, Peers};
use crate::handover::{PROBE_INTERVAL, TransferNumber, from_wire, to_wire};
use crate::job::{JobOutcome, JobRequest};
use crate::metrics::SessionEnd;
use crate::own_load::{Load, OwnLoad};
use crate::run_lifetime::SESSION_TIMEOUT;
use crate::scheduler::SessionId;
use crate::scheduler::table::JobNumber;
use crate::suspension::SuspensionDetector;

use super::metrics::HandoverMetrics;
use super::{Entry, EntryIdentity, State, Waiter};

/// Time limit for opening a session with another entry.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Least time between two log lines about the load.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a closing entry checks whether the received jobs have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Sender of a caller's answer.
type CallerTx = oneshot::Sender<JobOutcome>;

/// A frame that must end its session.
type Malformed = &'static str;

/// State of an entry's own load and of its sessions with other entries.
pub(super) struct PeerState {
    own_load: OwnLoad,
    selection: PeerSelection,
    origin: Origin<CallerTx>,
    receiver: Receiver,
    links: BTreeMap<SessionId, mpsc::Sender<Frame>>,
    closing: bool,
    clock_start: Instant,
    logged_load: Load,
    load_logged_at: Option<Instant>,
    metrics: HandoverMetrics,
}

impl PeerState {
    pub(super) fn new(identity: &EntryIdentity, metrics: HandoverMetrics) -> Self {
        Self {
            own_load: OwnLoad::default(),
            selection: PeerSelection::new(identity.addr.name.clone(), identity.zone.clone()),
            origin: Origin::default(),
            receiver: Receiver::default(),
            links: BTreeMap::new(),
            closing: false,
            clock_start: Instant::now(),
            logged_load: Load::Normal,
            load_logged_at: None,
            metrics,
        }
    }

    /// Sets the addresses of the known entries.
    pub(super) fn set_entries(&mut self, entries: &BTreeMap<Name, EntryAddr>) {
        self.selection.set_entries(entries);
    }

    /// Returns true if a job is in transfer.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.origin.contains(id)
    }

    /// Returns the number of jobs in transfer to other entries.
    pub(super) fn jobs_in_transfer(&self) -> usize {
        self.origin.jobs()
    }

    /// Queues a frame. Returns false and ends the session if there is no space.
    fn send(&mut self, session: SessionId, frame: PeerFrame) -> bool {
        let Some(tx) = self.links.get(&session) else {
            return false;
        };
        let sent = tx.try_send(Frame::Peer(frame)).is_ok();
        if !sent {
            log::warn!(session; "session with an entry dropped: its queue is full or closed");
            self.links.remove(&session);
        }
        sent
    }

    /// Sends the answer to a received job.
    pub(super) fn answer(
        &mut self,
        session: SessionId,
        number: TransferNumber,
        outcome: &JobOutcome,
    ) {
        self.receiver.ended(session, number);
        let answer = match outcome {
            JobOutcome::Completed => TransferAnswer::Completed,
            JobOutcome::Failed => TransferAnswer::Failed,
            JobOutcome::Refused(refusal) => TransferAnswer::Refused(refusal.clone()),
        };
        self.send(session, PeerFrame::Answer { number, answer });
    }

    /// Removes disconnected callers of a job in transfer, and cancels it if none is left. Returns true
    /// if it was cancelled.
    pub(super) fn remove_caller(&mut self, id: &str) -> bool {
        let Some(job) = self.origin.find(id) else {
            return false;
        };
        job.callers.retain(|tx| !tx.is_closed());
        job.callers.is_empty() && self.cancel(id)
    }

    /// Cancels a job in transfer. Returns false if there is none with this id.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let Some((session, number, job)) = self.origin.cancel(id) else {
            return false;
        };
        log::info!(job:% = job.request.id; "transferred job cancelled");
        self.count_end("cancelled");
        self.send(session, PeerFrame::Cancel(number));
        true
    }

    fn count_end(&self, result: &str) {
        self.metrics.ends.with_label_values(&[result]).inc();
    }

    /// Queues the frame of a job to an entry that accepts it. Returns the session, or `None` if no
    /// entry accepts the job.
    fn queue_transfer(
        &mut self,
        request: &JobRequest,
        view_position: u64,
        now: Instant,
    ) -> Option<SessionId> {
        let selection = &self.selection;
        let chosen = self
            .origin
            .choose(|session| selection.is_open(session), now);
        let Some((session, number)) = chosen else {
            self.own_load.transfer_blocked(now);
            self.metrics.blocked.inc();
            return None;
        };
        let frame = PeerFrame::Job(to_wire(request, number, now, view_position, now));
        if !self.send(session, frame) {
            return None;
        }
        self.metrics.transferred.inc();
        if let Some(peer) = self.origin.peer(session) {
            log::info!(
                job:% = request.id, queue:% = request.queue, peer:%, session, number,
                lag_ms:% = rounded(self.own_load.lag_ms()), share:% = rounded(self.own_load.transfer_share());
                "job transferred"
            );
        }
        Some(session)
    }

    fn log_load(&mut self, open_jobs: usize, now: Instant) {
        let load = self.own_load.load();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOAD_LOG_INTERVAL;
        if load == self.logged_load || self.load_logged_at.is_some_and(is_recent) {
            return;
        }
        log::info!(
            load = load.label(), before = self.logged_load.label(), lag_ms:% = rounded(self.own_load.lag_ms()),
            transfer_share:% = rounded(self.own_load.transfer_share()),
            shed_share:% = rounded(self.own_load.shed_share()),
            open_jobs, in_transfer = self.origin.jobs(), received = self.receiver.jobs(),
            sessions = self.origin.sessions();
            "load of the entry changed"
        );
        self.logged_load = load;
        self.load_logged_at = Some(now);
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.clock_start);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

impl State {
    /// Joins a job that is open, or transfers a new one, refuses it or runs it here.
    pub(super) fn admit(
        &mut self,
        request: JobRequest,
        tx: CallerTx,
        now: Instant,
    ) -> Result<(), Refusal> {
        if let Some(job) = self.peers.origin.find(&request.id) {
            job.callers.push(tx);
            return Ok(());
        }
        let is_new = self.scheduler.find(&request.id).is_none();
        if !is_new || request.check().is_err() || !self.scheduler.has_queue(&request.queue) {
            return self.run_here(request, now, vec![Waiter::Caller(tx)], now);
        }
        self.peers.receiver.job_arrived(request.concurrent_cpu());
        if self.peers.own_load.transfers_next() {
            let position = self.scheduler.view_status(now).position;
            if let Some(session) = self.peers.queue_transfer(&request, position, now) {
                let job = InTransfer {
                    request,
                    arrived: now,
                    callers: smallvec![tx],
                };
                self.peers.origin.transferred(session, job);
                return Ok(());
            }
        }
        if let Some(retry_after_ms) = self.peers.own_load.sheds_next() {
            self.peers.metrics.shed.inc();
            let detail = "this entry gets more jobs than it can process";
            let refusal = Refusal::not_run(Code::Overloaded, detail);
            return Err(refusal.retry_after_ms(retry_after_ms));
        }
        self.run_here(request, now, vec![Waiter::Caller(tx)], now)
    }

    fn run_here(
        &mut self,
        request: JobRequest,
        arrived: Instant,
        waiters: Vec<Waiter>,
        now: Instant,
    ) -> Result<(), Refusal> {
        let number = self.scheduler.submit_arrived(request, arrived, now)?;
        self.callers.entry(number).or_default().extend(waiters);
        Ok(())
    }

    /// Runs a returned job, or answers its callers if it cannot be accepted here either.
    fn run_returned(&mut self, job: InTransfer<CallerTx>, now: Instant) {
        log::info!(job:% = job.request.id, queue:% = job.request.queue; "transferred job returned");
        let submitted = self.scheduler.submit_arrived(job.request, job.arrived, now);
        match submitted {
            Ok(number) => {
                let waiters = job.callers.into_iter().map(Waiter::Caller);
                self.callers.entry(number).or_default().extend(waiters);
            }
            Err(refusal) => answer_all(job.callers, &JobOutcome::Refused(refusal)),
        }
    }

    /// Handles a frame on a session that this entry has opened.
    fn handle_as_origin(
        &mut self,
        session: SessionId,
        frame: PeerFrame,
        now: Instant,
    ) -> Result<(), Malformed> {
        match frame {
            PeerFrame::Echo(echo) => {
                let peers = &mut self.peers;
                let credit = peers.origin.echoed(session, echo, now);
                if credit.map_err(describe)? > 0 {
                    peers.selection.credit_granted(session, now);
                }
                Ok(())
            }
            PeerFrame::Answer { number, answer } => {
                let answered = self.peers.origin.answered(session, number);
                let Some(job) = answered.map_err(describe)? else {
                    return Ok(());
                };
                let (result, outcome) = match answer {
                    TransferAnswer::Completed => ("completed", JobOutcome::Completed),
                    TransferAnswer::Failed => ("failed", JobOutcome::Failed),
                    TransferAnswer::Refused(refusal) => ("refused", JobOutcome::Refused(refusal)),
                    TransferAnswer::Returned => {
                        self.peers.count_end("returned");
                        self.run_returned(job, now);
                        return Ok(());
                    }
                };
                self.peers.count_end(result);
                answer_all(job.callers, &outcome);
                Ok(())
            }
            PeerFrame::Probe(_) | PeerFrame::Job(_) | PeerFrame::Cancel(_) => {
                Err("a frame that only the origin sends")
            }
        }
    }

    /// Ends a session that this entry has opened. The outcome of the jobs on it is unknown.
    fn origin_closed(&mut self, session: SessionId, now: Instant) {
        let peers = &mut self.peers;
        peers.links.remove(&session);
        peers.selection.closed(session, now);
        for job in peers.origin.closed(session) {
            peers.count_end("lost");
            let detail = "contact to the entry that the job was transferred to is lost";
            log::info!(
                job:% = job.request.id, queue:% = job.request.queue, session,
                code = Code::OutcomeUnknown.number();
                "transferred job lost"
            );
            let refusal = Refusal::failed(Code::OutcomeUnknown, detail);
            answer_all(job.callers, &JobOutcome::Refused(refusal));
        }
    }

    /// Handles a frame on a session that another entry has opened.
    fn handle_as_receiver(
        &mut self,
        origin: &Name,
        session: SessionId,
        frame: PeerFrame,
        now: Instant,
    ) -> Result<(), Malformed> {
        match frame {
            PeerFrame::Probe(probe) => {
                let capacity = self.capacity();
                let echo = self.peers.receiver.probed(session, probe, capacity, now);
                self.peers.metrics.credit.inc_by(echo.credit.into());
                self.peers.send(session, PeerFrame::Echo(echo));
                Ok(())
            }
            PeerFrame::Job(job) => self.receive_job(origin, session, &job, now),
            PeerFrame::Cancel(number) => {
                if !self.peers.receiver.knows(session, number) {
                    return Err("a cancellation of an unknown number");
                }
                if let Some(job) = self.peers.receiver.ended(session, number) {
                    self.remove_origin(job, session, number, "stopped", now);
                }
                Ok(())
            }
            PeerFrame::Echo(_) | PeerFrame::Answer { .. } => {
                Err("a frame that only the receiver sends")
            }
        }
    }

    fn receive_job(
        &mut self,
        origin: &Name,
        session: SessionId,
        job: &TransferredJob,
        now: Instant,
    ) -> Result<(), Malformed> {
        let (request, arrived) = from_wire(job, now)?;
        let number = job.number;
        let credit = self.peers.receiver.received(session, number, now);
        if credit == Err(NotAccepted::NumberUsed) {
            return Err("a number that was used before");
        }
        if let Some(reason) = self.reason_to_return(job, credit.is_ok()) {
            log::info!(job:% = job.id, origin:%, number, reason; "received job not accepted");
            let counter = self.peers.metrics.not_accepted.with_label_values(&[reason]);
            counter.inc();
            let answer = TransferAnswer::Returned;
            self.peers
                .send(session, PeerFrame::Answer { number, answer });
            return Ok(());
        }
        log::info!(
            job:% = job.id, queue:% = job.queue, origin:%, session, number, age_ms = job.age_ms;
            "job received"
        );
        self.peers.metrics.received.inc();
        let submitted = if self.peers.contains(&job.id) {
            // Joining could make two entries wait for each other.
            let detail = "a job with this id is in transfer to another entry";
            Err(Refusal::failed(Code::OutcomeUnknown, detail))
        } else {
            self.peers.receiver.job_arrived(request.concurrent_cpu());
            self.scheduler.submit_arrived(request, arrived, now)
        };
        match submitted {
            Ok(job) => {
                let waiters = self.callers.entry(job).or_default();
                waiters.push(Waiter::Origin(session, number));
                self.peers.receiver.accepted(session, number, job);
            }
            Err(refusal) => {
                let outcome = JobOutcome::Refused(refusal);
                self.peers.answer(session, number, &outcome);
            }
        }
        Ok(())
    }

    /// Returns why a received job is returned to its origin, if it is.
    fn reason_to_return(&self, job: &TransferredJob, has_credit: bool) -> Option<&'static str> {
        let position = self.scheduler.view().map_or(0, |view| view.position);
        if self.peers.closing {
            Some("closing")
        } else if !has_credit {
            Some("no_credit")
        } else if position < job.view_position {
            Some("older_view")
        } else if !self.scheduler.serves_queue(&job.queue) {
            Some("no_worker")
        } else {
            None
        }
    }

    fn capacity(&self) -> Capacity {
        Capacity {
            load: self.peers.own_load.load(),
            lag_ms: self.peers.own_load.lag_ms(),
            free_cpu: self.scheduler.free_cpu(),
            is_open: !self.peers.closing && self.scheduler.view().is_some(),
        }
    }

    /// Ends a session that another entry has opened, and cancels its jobs.
    fn receiver_closed(&mut self, session: SessionId, now: Instant) {
        self.peers.links.remove(&session);
        for (number, job) in self.peers.receiver.closed(session) {
            self.remove_origin(job, session, number, "origin_lost", now);
        }
    }

    /// Removes an origin from those that wait for a job, and stops the job if none is left.
    fn remove_origin(
        &mut self,
        job: JobNumber,
        session: SessionId,
        number: TransferNumber,
        reason: &'static str,
        now: Instant,
    ) {
        let Some(waiters) = self.callers.get_mut(&job) else {
            return;
        };
        waiters.retain(|w| !matches!(w, Waiter::Origin(s, n) if (*s, *n) == (session, number)));
        if waiters.is_empty() {
            self.callers.remove(&job);
            self.scheduler.stop(job, reason, now);
        }
    }
}

impl Entry {
    /// Stops accepting jobs of other entries and waits until those that were accepted have ended, at
    /// most until the given time. Jobs of callers are still served.
    pub async fn drain(&self, deadline: Instant) {
        self.state.lock().peers.closing = true;
        while Instant::now() < deadline && self.state.lock().peers.receiver.jobs() > 0 {
            sleep(DRAIN_INTERVAL).await;
        }
    }

    /// Applies the lag of a tick, and dials other entries if the load requires it.
    pub(super) fn apply_lag(self: &Arc<Self>, lag: Duration) {
        let dials: Peers<EntryAddr> = self.with_state(|state, now| {
            let open_jobs = state.callers.len();
            let peers = &mut state.peers;
            peers.own_load.add(lag, now);
            peers.metrics.set(&peers.own_load);
            peers.log_load(open_jobs, now);
            let load = peers.own_load.load();
            match self.dialer {
                Some(_) => peers.selection.update(load, now),
                None => Peers::new(),
            }
        });
        for addr in dials {
            tokio::spawn(self.clone().serve_as_origin(addr));
        }
    }

    /// Opens a session with another entry and transfers jobs on it until it ends.
    async fn serve_as_origin(self: Arc<Self>, addr: EntryAddr) {
        let opened = timeout(OPEN_TIMEOUT, self.open_peer(&addr)).await;
        let Some(mut link) = opened.ok().flatten() else {
            log::info!(entry:% = addr.name, addr:% = addr.addr; "cannot open session with an entry");
            self.with_state(|state, now| state.peers.selection.dial_failed(&addr.name, now));
            return;
        };
        let session = self.with_state(|state, now| {
            let session = state.add_peer(&link);
            state.peers.origin.opened(session, addr.name.clone(), now);
            state.peers.selection.opened(&addr.name, session, now);
            session
        });
        log::info!(entry:% = addr.name, session; "session with an entry opened");
        let end = self.transfer_jobs(session, &mut link).await;
        self.metrics.session_ended(end);
        log::info!(entry:% = addr.name, session, reason = end.label(); "session with an entry ended");
        self.with_state(|state, now| state.origin_closed(session, now));
    }

    async fn open_peer(&self, addr: &EntryAddr) -> Option<Link> {
        let mut link = self.dialer.as_ref()?.dial(addr.addr).await.ok()?;
        link.tx.send(Frame::Hello(self.hello())).await.ok()?;
        match link.rx.recv().await? {
            Frame::Hello(hello)
                if hello.protocol == PROTOCOL_VERSION
                    && hello.role == Role::Entry
                    && hello.name == addr.name =>
            {
                Some(link)
            }
            other => {
                log::warn!(entry:% = addr.name, frame = other.kind(); "session closed: first frame is not a hello of the entry");
                None
            }
        }
    }

    async fn transfer_jobs(&self, session: SessionId, link: &mut Link) -> SessionEnd {
        let mut probes = interval(PROBE_INTERVAL);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_received = Instant::now();
        loop {
            tokio::select! {
                biased;
                frame = link.rx.recv() => {
                    let Some(frame) = frame else {
                        return SessionEnd::Closed;
                    };
                    last_received = Instant::now();
                    let handled = match frame {
                        Frame::Peer(frame) => self.with_state(|state, now| {
                            state.handle_as_origin(session, frame, now)
                        }),
                        _ => Err("an unexpected frame"),
                    };
                    if let Err(error) = handled {
                        log::warn!(session, error; "session with an entry ended: malformed frame");
                        return SessionEnd::Malformed;
                    }
                }
                () = sleep_until(last_received + SESSION_TIMEOUT) => return SessionEnd::Silent,
                _ = probes.tick() => {
                    if let Some(end) = self.with_state(|state, now| state.probe_peer(session, now)) {
                        return end;
                    }
                }
            }
        }
    }

    /// Serves a session that another entry has opened, until it ends.
    pub(super) async fn serve_as_receiver(self: Arc<Self>, origin: Name, mut link: Link) {
        let session = self.with_state(|state, _| {
            let session = state.add_peer(&link);
            state.peers.receiver.opened(session).then_some(session)
        });
        let Some(session) = session else {
            log::warn!(origin:%; "session refused: too many sessions of entries");
            return;
        };
        log::info!(origin:%, session; "session of an entry opened");
        let end = self.receive_jobs(&origin, session, &mut link).await;
        self.metrics.session_ended(end);
        log::info!(origin:%, session, reason = end.label(); "session of an entry ended");
        self.with_state(|state, now| state.receiver_closed(session, now));
    }

    async fn receive_jobs(&self, origin: &Name, session: SessionId, link: &mut Link) -> SessionEnd {
        let mut last_received = Instant::now();
        let mut suspension = SuspensionDetector::start();
        loop {
            let received = timeout(SESSION_TIMEOUT, link.rx.recv()).await;
            // After a suspension, the origin has given up the jobs whose frames are still queued, and
            // its callers submit them again.
            let suspended = suspension.check().unwrap_or_default();
            if last_received.elapsed() + suspended > SESSION_TIMEOUT {
                return SessionEnd::Silent;
            }
            last_received = Instant::now();
            let handled = match received {
                Ok(Some(Frame::Peer(frame))) => self
                    .with_state(|state, now| state.handle_as_receiver(origin, session, frame, now)),
                Ok(Some(_)) => Err("an unexpected frame"),
                Ok(None) => return SessionEnd::Closed,
                Err(_) => return SessionEnd::Silent,
            };
            if let Err(error) = handled {
                log::warn!(origin:%, session, error; "session of an entry ended: malformed frame");
                return SessionEnd::Malformed;
            }
            if !self.state.lock().peers.links.contains_key(&session) {
                return SessionEnd::QueueFull;
            }
        }
    }
}

impl State {
    fn add_peer(&mut self, link: &Link) -> SessionId {
        self.next_session += 1;
        self.peers.links.insert(self.next_session, link.tx.clone());
        self.next_session
    }

    /// Sends a probe, unless the session is to end.
    fn probe_peer(&mut self, session: SessionId, now: Instant) -> Option<SessionEnd> {
        let peers = &mut self.peers;
        if !peers.links.contains_key(&session) {
            return Some(SessionEnd::QueueFull);
        }
        if peers.selection.retiring().contains(&session) && peers.origin.is_idle(session) {
            return Some(SessionEnd::Retired);
        }
        let clock_ms = peers.clock_ms(now);
        let probe = peers.origin.probe(session, clock_ms)?;
        peers.send(session, PeerFrame::Probe(probe));
        None
    }
}

/// Formats a value of the load for logs.
fn rounded(value: f64) -> String {
    format!("{value:.2}")
}

fn describe(error: ProtocolError) -> Malformed {
    match error {
        ProtocolError::UnknownProbe => "an echo of an unknown probe",
        ProtocolError::UnknownNumber => "an answer for an unknown number",
    }
}

fn answer_all(callers: impl IntoIterator<Item = CallerTx>, outcome: &JobOutcome) {
    for tx in callers {
        // The caller may have disconnected.
        let _ = tx.send(outcome.clone());
    }
}
