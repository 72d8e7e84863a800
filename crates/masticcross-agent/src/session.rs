//! One session with an entry: the exchange of hellos, heartbeats, and frames to the decisions.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Code;
use masticcross_wire::link::CONNECT_TIMEOUT;
use masticcross_wire::{Frame, Goodbye, Hello, Link, PROTOCOL_VERSION, Ping, Pong, Role};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::Agent;
use crate::core::SessionId;
use crate::core::sessions::Outlet;

/// Heartbeats that wait for an answer before the oldest is given up.
const MAX_OPEN_PINGS: usize = 64;

/// How far a session came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionEnd {
    /// Both sides said hello.
    Opened,
    /// No connection, or no accepted hello.
    NotOpened,
}

/// Why no session was opened.
#[derive(Debug, Error)]
enum OpenError {
    #[error(transparent)]
    Link(#[from] masticcross_wire::LinkError),
    #[error("no hello came")]
    NoHello,
    #[error("the other process closed: {}", .0.detail)]
    Goodbye(Goodbye),
    #[error("the other process is no entry of protocol version {PROTOCOL_VERSION}")]
    Mismatch,
}

type Result<T> = std::result::Result<T, OpenError>;

/// Opens a session with an address and serves it until it ends.
pub async fn run(agent: &Arc<Agent>, addr: SocketAddr) -> SessionEnd {
    let session = agent.next_session();
    let (hello, link) = match open(agent, addr, session).await {
        Ok(opened) => opened,
        Err(error) => {
            log::info!(addr:%, error:%; "no session");
            return SessionEnd::NotOpened;
        }
    };
    log::info!(entry:% = hello.name, addr:%, session; "session opened");
    let code = Session::open(agent.clone(), session, &hello, link)
        .serve()
        .await;
    log::info!(entry:% = hello.name, session, code = code.number(); "session ended");
    SessionEnd::Opened
}

async fn open(agent: &Agent, addr: SocketAddr, session: SessionId) -> Result<(Hello, Link)> {
    let mut link = agent.dialer.dial(addr).await?;
    let hello = agent.core.identity().hello(session);
    let sent = link.tx.send(Frame::Hello(hello)).await;
    sent.map_err(|_| OpenError::NoHello)?;
    let first = timeout(CONNECT_TIMEOUT, link.rx.recv()).await;
    match first.ok().flatten() {
        Some(Frame::Hello(hello)) if is_accepted(&hello) => Ok((hello, link)),
        Some(Frame::Goodbye(goodbye)) => Err(OpenError::Goodbye(goodbye)),
        Some(_) => {
            let _ = link.tx.try_send(goodbye(Code::ProtocolVersion));
            Err(OpenError::Mismatch)
        }
        None => Err(OpenError::NoHello),
    }
}

fn is_accepted(hello: &Hello) -> bool {
    hello.protocol == PROTOCOL_VERSION && hello.role == Role::Entry
}

fn goodbye(code: Code) -> Frame {
    Frame::Goodbye(Goodbye {
        code,
        detail: code.title().to_owned(),
    })
}

/// A heartbeat that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct OpenPing {
    nonce: u64,
    sent_at: Instant,
}

struct Session {
    agent: Arc<Agent>,
    id: SessionId,
    link: Link,
    close: watch::Receiver<Option<Code>>,
    pings: VecDeque<OpenPing>,
    next_nonce: u64,
    heard_at: Instant,
}

impl Session {
    fn open(agent: Arc<Agent>, id: SessionId, hello: &Hello, link: Link) -> Self {
        let (close_tx, close) = watch::channel(None);
        let outlet = Outlet {
            entry: hello.name.clone(),
            incarnation: hello.incarnation,
            tx: link.tx.clone(),
            close: close_tx,
        };
        let now = Instant::now();
        agent.core.session_opened(id, outlet, now);
        Self {
            agent,
            id,
            link,
            close,
            pings: VecDeque::new(),
            next_nonce: 0,
            heard_at: now,
        }
    }

    async fn serve(mut self) -> Code {
        let code = self.pump().await;
        self.agent.core.session_closed(self.id, Instant::now());
        // The other process may be gone already.
        let _ = self.link.tx.try_send(goodbye(code));
        code
    }

    /// Handles frames and sends heartbeats until the session must end.
    async fn pump(&mut self) -> Code {
        let mut beats = interval(self.agent.settings.heartbeat);
        beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                code = closed(&mut self.close) => return code,
                _ = beats.tick() => {
                    if self.was_silent() {
                        return Code::SessionTimeout;
                    }
                    self.ping();
                }
                frame = self.link.rx.recv() => match frame {
                    // What waited while this process was paused may be out of date.
                    _ if self.was_silent() => return Code::SessionTimeout,
                    Some(Frame::Goodbye(goodbye)) => return goodbye.code,
                    Some(frame) => self.handle(frame),
                    None => return Code::SessionTimeout,
                },
            }
        }
    }

    /// Returns true if nothing came for so long that the other process counts as lost.
    fn was_silent(&self) -> bool {
        let silence = Instant::now().saturating_duration_since(self.heard_at);
        silence > self.agent.settings.suspect_after
    }

    fn ping(&mut self) {
        let core = &self.agent.core;
        let ping = Ping {
            nonce: self.next_nonce,
            known: core.view().version(),
            timestamp: core.timeline().timestamp(),
        };
        self.pings.push_back(OpenPing {
            nonce: ping.nonce,
            sent_at: Instant::now(),
        });
        if self.pings.len() > MAX_OPEN_PINGS {
            self.pings.pop_front();
        }
        self.next_nonce += 1;
        core.sessions().send(self.id, Frame::Ping(ping));
    }

    fn handle(&mut self, frame: Frame) {
        let now = Instant::now();
        self.heard_at = now;
        let agent = self.agent.clone();
        let core = &agent.core;
        if !core.sessions().is_open(self.id) {
            return;
        }
        core.metrics().frame_received(&frame);
        match frame {
            Frame::Pong(pong) => self.pong(pong, now),
            Frame::Start(start) => agent.perform(core.start(self.id, &start, now)),
            Frame::Stop(stop) => core.stop(self.id, &stop, now),
            Frame::Release(keys) => core.release(&keys, now),
            Frame::Gather(gather) => core.gather(self.id, gather, now),
            Frame::Demand(demand) => core.demand(self.id, &demand, now),
            Frame::Drain => log::info!(session = self.id; "entry is shutting down"),
            other => log::warn!(session = self.id, frame = other.kind(); "unexpected frame"),
        }
    }

    /// Takes over a heartbeat's answer. The age counts from when the request was sent.
    fn pong(&mut self, pong: Pong, now: Instant) {
        let core = &self.agent.core;
        core.timeline().observe(pong.timestamp);
        let Some(position) = self.pings.iter().position(|p| p.nonce == pong.nonce) else {
            return;
        };
        let Some(answered) = self.pings.drain(..=position).next_back() else {
            return;
        };
        let age = pong.age_ms.map(|ms| Duration::from_millis(ms.into()));
        let as_of = age.and_then(|age| answered.sent_at.checked_sub(age));
        core.view_offered(pong.view.map(|view| *view), as_of, now);
    }
}

/// Waits until the session is told to end.
async fn closed(close: &mut watch::Receiver<Option<Code>>) -> Code {
    let code = close.wait_for(Option::is_some).await.ok();
    code.and_then(|code| *code).unwrap_or(Code::Superseded)
}
