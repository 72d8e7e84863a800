//! One session with an entry: the exchange of hello frames, heartbeats, and dispatch of received
//! frames to the core.

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
use crate::core::sessions::SessionHandle;

/// Maximum number of heartbeats that await an answer; beyond that the oldest is dropped.
const MAX_PENDING_PINGS: usize = 64;

/// Whether a session was opened before it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionEnd {
    /// Both sides exchanged hello frames.
    Opened,
    /// The connection or the exchange of hello frames failed.
    NotOpened,
}

/// Error while opening a session.
#[derive(Debug, Error)]
enum OpenError {
    #[error(transparent)]
    Link(#[from] masticcross_wire::LinkError),
    #[error("no hello frame received")]
    NoHello,
    #[error("peer closed the connection: {}", .0.detail)]
    Goodbye(Goodbye),
    #[error("peer is not an entry with protocol version {PROTOCOL_VERSION}")]
    Mismatch,
}

type Result<T> = std::result::Result<T, OpenError>;

/// Opens a session with an address and serves it until it ends.
pub async fn run(agent: &Arc<Agent>, addr: SocketAddr) -> SessionEnd {
    let session = agent.next_session();
    let (hello, link) = match open(agent, addr, session).await {
        Ok(opened) => opened,
        Err(error) => {
            log::info!(addr:%, error:%; "cannot open session");
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

/// A heartbeat that awaits its answer.
#[derive(Debug, Clone, Copy)]
struct PendingPing {
    nonce: u64,
    sent_at: Instant,
}

struct Session {
    agent: Arc<Agent>,
    id: SessionId,
    link: Link,
    close: watch::Receiver<Option<Code>>,
    pings: VecDeque<PendingPing>,
    next_nonce: u64,
    last_received_at: Instant,
}

impl Session {
    fn open(agent: Arc<Agent>, id: SessionId, hello: &Hello, link: Link) -> Self {
        let (close_tx, close) = watch::channel(None);
        let handle = SessionHandle {
            entry: hello.name.clone(),
            incarnation: hello.incarnation,
            tx: link.tx.clone(),
            close: close_tx,
        };
        let now = Instant::now();
        agent.core.session_opened(id, handle, now);
        Self {
            agent,
            id,
            link,
            close,
            pings: VecDeque::new(),
            next_nonce: 0,
            last_received_at: now,
        }
    }

    async fn serve(mut self) -> Code {
        let code = self.run_until_end().await;
        self.agent.core.session_closed(self.id, Instant::now());
        // The entry may be gone already.
        let _ = self.link.tx.try_send(goodbye(code));
        code
    }

    /// Handles frames and sends heartbeats until the session must end. Returns the closing code.
    async fn run_until_end(&mut self) -> Code {
        let mut heartbeats = interval(self.agent.settings.heartbeat);
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                code = wait_for_close(&mut self.close) => return code,
                _ = heartbeats.tick() => {
                    if self.is_unresponsive() {
                        return Code::SessionTimeout;
                    }
                    self.ping();
                }
                frame = self.link.rx.recv() => match frame {
                    // Frames that were buffered while this process was paused may be outdated.
                    _ if self.is_unresponsive() => return Code::SessionTimeout,
                    Some(Frame::Goodbye(goodbye)) => return goodbye.code,
                    Some(frame) => self.handle_frame(frame),
                    None => return Code::SessionTimeout,
                },
            }
        }
    }

    /// Returns true if nothing was received for longer than `suspect_after`, so that the entry is
    /// considered lost.
    fn is_unresponsive(&self) -> bool {
        let idle = Instant::now().saturating_duration_since(self.last_received_at);
        idle > self.agent.settings.suspect_after
    }

    fn ping(&mut self) {
        let core = &self.agent.core;
        let ping = Ping {
            nonce: self.next_nonce,
            known: core.view().version(),
            timestamp: core.timeline().timestamp(),
        };
        self.pings.push_back(PendingPing {
            nonce: ping.nonce,
            sent_at: Instant::now(),
        });
        if self.pings.len() > MAX_PENDING_PINGS {
            self.pings.pop_front();
        }
        self.next_nonce += 1;
        core.sessions().send(self.id, Frame::Ping(ping));
    }

    fn handle_frame(&mut self, frame: Frame) {
        let now = Instant::now();
        self.last_received_at = now;
        let agent = self.agent.clone();
        let core = &agent.core;
        if !core.sessions().is_open(self.id) {
            return;
        }
        core.metrics().frame_received(&frame);
        match frame {
            Frame::Pong(pong) => self.pong(pong, now),
            Frame::Start(start) => agent.spawn_runs(core.start(self.id, &start, now)),
            Frame::Stop(stop) => core.stop(self.id, &stop, now),
            Frame::Release(keys) => core.release(&keys, now),
            Frame::Gather(gather) => core.gather(self.id, gather, now),
            Frame::Demand(demand) => core.demand(self.id, &demand, now),
            Frame::Drain => log::info!(session = self.id; "entry is shutting down"),
            other => log::warn!(session = self.id, frame = other.kind(); "unexpected frame"),
        }
    }

    /// Applies a heartbeat answer. The age of its view counts from the time at which the
    /// heartbeat was sent.
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
        core.apply_view(pong.view.map(|view| *view), as_of, now);
    }
}

/// Waits until the core closes the session, and returns the code.
async fn wait_for_close(close: &mut watch::Receiver<Option<Code>>) -> Code {
    let code = close.wait_for(Option::is_some).await.ok();
    code.and_then(|code| *code).unwrap_or(Code::Superseded)
}
