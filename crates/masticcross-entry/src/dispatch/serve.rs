//! Serves the session of one agent: heartbeats, credits and ended tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_config::Times;
use masticcross_wire::{
    BackendInfo, Credit, Frame, Hello, Link, NotStartedReason, PROTOCOL_VERSION, Ping, Pong,
    TaskEnded, TaskOutcome,
};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::Dispatch;
use super::session::{OpenResult, Session};
use super::workers::WorkerSession;

impl Dispatch {
    /// Serves the session of an agent until it ends. The agent's hello has already been read.
    pub async fn serve_agent(self: Arc<Self>, hello: Hello, link: Link) {
        let Link { tx, rx } = link;
        let session = Session::new(&hello, tx, self.metrics.clone());
        session.send(Frame::Hello(self.identity.hello(hello.session)));
        if hello.protocol != PROTOCOL_VERSION {
            session.send_goodbye(Code::ProtocolVersion);
            return;
        }
        if !self.open_session(&session).await {
            session.send_goodbye(Code::Superseded);
            return;
        }
        if let Some(owner) = self.owner() {
            owner.agent_connected(&session.agent);
        }
        let code = self.handle_frames(&session, rx).await;
        self.end_session(&session);
        if let Some(code) = code {
            session.send_goodbye(code);
        }
    }

    /// Makes a session the only one of its worker, and ends an older one. Returns false if the
    /// worker has a newer session.
    async fn open_session(&self, session: &Arc<Session>) -> bool {
        loop {
            match self.sessions.open(session) {
                OpenResult::Opened => return true,
                OpenResult::Superseded => return false,
                OpenResult::Replaces(older) => {
                    older.close(Code::Superseded);
                    self.end_session(&older);
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// Ends a session. Its frames are no longer handled after this.
    fn end_session(&self, session: &Arc<Session>) {
        if !session.end() {
            return;
        }
        let now = Instant::now();
        for service in session.services() {
            if let Some(handle) = self.service(&service) {
                let mut shard = handle.shard.lock();
                shard.disconnect(&session.agent.worker, session.number, now);
            }
        }
        self.sessions.remove(session);
        if let Some(owner) = self.owner() {
            owner.agent_disconnected(&session.agent);
        }
    }

    /// Handles frames until the session ends. Returns the close code to send to the agent, if any.
    async fn handle_frames(
        &self,
        session: &Session,
        mut rx: mpsc::Receiver<Frame>,
    ) -> Option<Code> {
        let mut close_code = session.close_code();
        loop {
            let frame = tokio::select! {
                biased;
                code = close_code.wait_for(Option::is_some) => return code.ok().and_then(|c| *c),
                frame = timeout(self.suspect_after(), rx.recv()) => frame,
            };
            let frame = match frame {
                Ok(Some(frame)) => frame,
                Ok(None) => return None,
                Err(_) => return Some(Code::SessionTimeout),
            };
            let open = session.lock_open();
            if !*open {
                return Some(Code::Superseded);
            }
            match self.handle(session, frame) {
                FrameOutcome::Continue => {}
                FrameOutcome::Close(code) => return code,
            }
        }
    }

    fn handle(&self, session: &Session, frame: Frame) -> FrameOutcome {
        self.metrics.received(&frame);
        match frame {
            Frame::Ping(ping) => self.pong(session, &ping),
            Frame::Backends(backends) => self.replace_backends(session, &backends),
            Frame::Credit(credit) => self.credit(session, &credit),
            Frame::Ended(ended) => self.task_ended(session, ended),
            Frame::Gathered(gathered) => {
                if gathered.last {
                    session.gather_ended(gathered.partition);
                    self.resume(session);
                }
                if let Some(owner) = self.owner() {
                    owner.receive_report(&session.agent, gathered);
                }
            }
            Frame::Drain => self.drain(session),
            Frame::Goodbye(_) => return FrameOutcome::Close(None),
            Frame::Hello(_)
            | Frame::Pong(_)
            | Frame::Demand(_)
            | Frame::Start(_)
            | Frame::Stop(_)
            | Frame::Release(_)
            | Frame::Gather(_)
            | Frame::Submit(_)
            | Frame::Query(_)
            | Frame::Reply(_)
            | Frame::Handover(_)
            | Frame::HandoverReceived(_)
            | Frame::AgentContactQuery(_)
            | Frame::AgentContactReply { .. }
            | Frame::Pool(_)
            | Frame::Peer(_) => return FrameOutcome::Close(Some(Code::MalformedFrame)),
        }
        FrameOutcome::Continue
    }

    fn pong(&self, session: &Session, ping: &Ping) {
        self.timeline.observe(ping.timestamp);
        // The age is read before the state, so that it is never lower than the age of that state.
        let age = self.ledger.view_age();
        let state = self.ledger.state();
        let agent = &session.agent;
        let view_is_current = ping.known == state.version;
        let view = (!view_is_current)
            .then(|| Box::new(state.agent_view(&agent.worker, agent.incarnation)));
        session.send(Frame::Pong(Pong {
            nonce: ping.nonce,
            age_ms: age.map(millis_rounded_up),
            view,
            timestamp: self.timeline.timestamp(),
        }));
        self.resume(session);
    }

    /// Resumes the placement of tasks on an agent's worker, unless its send queue is still
    /// backlogged or it still has to answer a gather request.
    fn resume(&self, session: &Session) {
        if session.is_backlogged() || session.is_gathering() {
            return;
        }
        for service in session.services() {
            if let Some(handle) = self.service(&service) {
                let mut shard = handle.shard.lock();
                shard.set_paused(&session.agent.worker, false, Instant::now());
                drop(shard);
                handle.wake();
            }
        }
    }

    fn replace_backends(&self, session: &Session, backends: &[BackendInfo]) {
        let mut slots: BTreeMap<Name, u32> = BTreeMap::new();
        for backend in backends {
            *slots.entry(backend.service.clone()).or_default() += u32::from(backend.slots);
        }
        let removed = session.replace_services(slots.keys().cloned().collect());
        for service in removed {
            self.connect(session, &service, 0);
        }
        for (service, slots) in slots {
            self.connect(session, &service, slots);
        }
    }

    fn connect(&self, session: &Session, service: &Name, slots: u32) {
        let connected = WorkerSession {
            worker: session.agent.worker.clone(),
            incarnation: session.agent.incarnation,
            zone: session.zone.clone(),
            number: session.number,
            slots,
        };
        let handle = self.service_or_new(service);
        handle.shard.lock().connect(&connected, Instant::now());
        handle.wake();
    }

    fn credit(&self, session: &Session, credit: &Credit) {
        let Some(handle) = self.service(&credit.service) else {
            return;
        };
        let worker = &session.agent.worker;
        let now = Instant::now();
        let raised = handle
            .shard
            .lock()
            .credit(worker, session.number, credit.total, now);
        if !raised {
            self.metrics.wasted("credit", 1);
        }
        handle.wake();
    }

    fn task_ended(&self, session: &Session, ended: TaskEnded) {
        self.timeline.observe(ended.timestamp);
        let handle = self.service(&ended.key.service);
        if let Some(handle) = &handle {
            let mut shard = handle.shard.lock();
            let was_outstanding = shard.ended(&session.agent.worker, &ended, Instant::now());
            drop(shard);
            self.record_end_metrics(&ended, was_outstanding);
        }
        if let Some(owner) = self.owner() {
            owner.attempt_ended(&session.agent, ended);
        }
        if let Some(handle) = handle {
            handle.wake();
        }
    }

    /// Counts the messages that an attempt wasted if it did no work, or records the run time of a
    /// task that succeeded.
    fn record_end_metrics(&self, ended: &TaskEnded, was_outstanding: bool) {
        match ended.outcome {
            _ if !was_outstanding => self.metrics.wasted("ended", 1),
            TaskOutcome::NotStarted(reason) if reason != NotStartedReason::Stopped => {
                self.metrics.wasted("start", 1);
                self.metrics.wasted("ended", 1);
            }
            TaskOutcome::Done(_) => {
                let run = Duration::from_micros(ended.run_us);
                self.metrics.observe_run(&ended.key.service, run);
            }
            TaskOutcome::NotStarted(_)
            | TaskOutcome::Failed(_)
            | TaskOutcome::Stopped
            | TaskOutcome::ResultDropped => {}
        }
    }

    fn drain(&self, session: &Session) {
        for service in session.services() {
            if let Some(handle) = self.service(&service) {
                let mut shard = handle.shard.lock();
                shard.drain(&session.agent.worker, session.number, Instant::now());
            }
        }
    }

    fn suspect_after(&self) -> Duration {
        let state = self.ledger.state();
        let document = state.config.document.as_ref();
        document.map_or_else(
            || Times::default().suspect_after(),
            |d| d.times.suspect_after(),
        )
    }
}

/// Whether the session continues after a frame.
enum FrameOutcome {
    Continue,
    Close(Option<Code>),
}

fn millis_rounded_up(age: Duration) -> u32 {
    let millis = age.as_micros().div_ceil(1000);
    u32::try_from(millis).unwrap_or(u32::MAX)
}
