//! Sessions that other entries dial, on which their requests, heartbeats and tables arrive.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Waker};
use std::time::Duration;

use masticcross_basics::{Code, Name};
use masticcross_wire::{
    Frame, Gather, Goodbye, Handover, Hello, Incarnation, JobAnswer, Link, PROTOCOL_VERSION, Ping,
    Pong, Query, Reply, SentAfter, Submit,
};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

use super::Peers;
use crate::owner::Owner;

/// Maximum number of concurrent requests of one session. A peer that sends more violates the
/// protocol.
const MAX_RUNNING: usize = 64 * 1024;

/// Maximum number of heartbeat answers whose send time is stored.
const MAX_STORED_PONGS: usize = 64;

/// Time without a frame after which a session is closed, as a multiple of the suspicion time.
const SESSION_TIMEOUT_FACTOR: u32 = 4;

/// Order of the sessions of one entry: by incarnation, then by session number.
type SessionOrder = (Incarnation, u64);

/// Tracks the newest session of another entry. Frames of older sessions are not handled.
#[derive(Debug)]
pub(super) struct Inbound {
    newest: watch::Sender<SessionOrder>,
    handling: Mutex<()>,
}

impl Inbound {
    fn new() -> Self {
        Self {
            newest: watch::Sender::new((0, 0)),
            handling: Mutex::new(()),
        }
    }

    /// Makes a session the newest one. Returns false if it is not newer than the current one. When
    /// this returns, no frame of an older session is being handled or will be handled.
    fn supersede(&self, order: SessionOrder) -> bool {
        let _handling = self.handling.lock();
        self.newest.send_if_modified(|newest| {
            let newer = order > *newest;
            if newer {
                *newest = order;
            }
            newer
        })
    }
}

/// A session that another entry dialed.
struct InboundSession {
    peers: Arc<Peers>,
    owner: Arc<Owner>,
    hello: Hello,
    order: SessionOrder,
    inbound: Arc<Inbound>,
    tx: mpsc::Sender<Frame>,
    pongs: VecDeque<SentPong>,
    running: Arc<AtomicUsize>,
}

/// Number and send time of a heartbeat answer.
struct SentPong {
    nonce: u64,
    at: Instant,
}

impl Peers {
    /// Serves a session that another entry opened, after its hello was read, until the session
    /// ends. Closes older sessions of the same entry first.
    pub async fn serve_peer(self: Arc<Self>, hello: Hello, link: Link, owner: Arc<Owner>) {
        let Link { tx, rx } = link;
        if hello.protocol != PROTOCOL_VERSION {
            return send_goodbye(&tx, Code::ProtocolVersion);
        }
        let order = (hello.incarnation, hello.session);
        let inbound = self.inbound_of(&hello.name);
        if !inbound.supersede(order) {
            return send_goodbye(&tx, Code::Superseded);
        }
        let session = InboundSession {
            peers: self,
            owner,
            hello,
            order,
            inbound,
            tx,
            pongs: VecDeque::with_capacity(MAX_STORED_PONGS),
            running: Arc::default(),
        };
        session.serve(rx).await;
    }

    fn inbound_of(&self, name: &Name) -> Arc<Inbound> {
        let mut table = self.inbound.lock();
        let inbound = table
            .entry(name.clone())
            .or_insert_with(|| Arc::new(Inbound::new()));
        inbound.clone()
    }
}

fn send_goodbye(tx: &mpsc::Sender<Frame>, code: Code) {
    let detail = code.title().to_owned();
    let _ = tx.try_send(Frame::Goodbye(Goodbye { code, detail }));
}

impl InboundSession {
    async fn serve(mut self, mut rx: mpsc::Receiver<Frame>) {
        let hello = self.peers.identity.hello(self.hello.session);
        self.record_pong(0);
        if self.tx.try_send(Frame::Hello(hello)).is_err() {
            return;
        }
        let mut newest = self.inbound.newest.subscribe();
        loop {
            let limit = self.peers.ledger.times().suspect_after() * SESSION_TIMEOUT_FACTOR;
            tokio::select! {
                biased;
                _ = newest.wait_for(|newest| *newest != self.order) => {
                    return send_goodbye(&self.tx, Code::Superseded);
                }
                frame = timeout(limit, rx.recv()) => match frame {
                    Ok(Some(frame)) => {
                        if let Err(code) = self.handle(frame) {
                            return send_goodbye(&self.tx, code);
                        }
                    }
                    Ok(None) => return,
                    Err(_) => return send_goodbye(&self.tx, Code::SessionTimeout),
                },
            }
        }
    }

    /// Handles a frame, unless there is a newer session of the same entry.
    fn handle(&mut self, frame: Frame) -> Result<(), Code> {
        let inbound = self.inbound.clone();
        let _handling = inbound.handling.lock();
        if *inbound.newest.borrow() != self.order {
            return Err(Code::Superseded);
        }
        let (name, incarnation) = (&self.hello.name, self.hello.incarnation);
        match frame {
            Frame::Ping(ping) => return self.answer_ping(&ping),
            Frame::Submit(submit) => return self.submit(submit),
            Frame::Query(query) => return self.query(query),
            Frame::Handover(handover) => return self.receive_table(handover),
            Frame::Drain | Frame::Goodbye(_) => self.peers.liveness.set_draining(name, incarnation),
            Frame::AgentContactQuery(queried) => {
                let in_contact = self.peers.agents.in_contact(&queried);
                return self.send(Frame::AgentContactReply {
                    queried,
                    in_contact,
                });
            }
            _ => return Err(Code::MalformedFrame),
        }
        Ok(())
    }

    fn send(&self, frame: Frame) -> Result<(), Code> {
        self.tx.try_send(frame).map_err(|_| Code::SlowReader)
    }

    fn answer_ping(&mut self, ping: &Ping) -> Result<(), Code> {
        let peers = &self.peers;
        peers.timeline.observe(ping.timestamp);
        peers
            .liveness
            .record_contact(&self.hello.name, self.hello.incarnation);
        let answer = Pong {
            nonce: ping.nonce,
            age_ms: None,
            view: None,
            timestamp: peers.timeline.timestamp(),
        };
        self.record_pong(ping.nonce);
        self.send(Frame::Pong(answer))
    }

    fn record_pong(&mut self, nonce: u64) {
        if self.pongs.len() == MAX_STORED_PONGS {
            self.pongs.pop_front();
        }
        let at = Instant::now();
        self.pongs.push_back(SentPong { nonce, at });
    }

    /// Returns the maximum time since a request was sent, or `None` if the heartbeat answer that it
    /// refers to is not stored.
    fn max_age(&self, after: SentAfter) -> Option<Duration> {
        let pong = self.pongs.iter().find(|p| p.nonce == after.pong)?;
        let elapsed = Duration::from_micros(after.elapsed_us);
        Some(pong.at.elapsed().saturating_sub(elapsed))
    }

    /// Runs a job for another entry. Drops the request if that entry may have timed out already.
    fn submit(&mut self, submit: Submit) -> Result<(), Code> {
        self.peers.timeline.observe(submit.timestamp);
        let mut request = submit.request;
        let remaining = self
            .max_age(submit.after)
            .and_then(|age| u32::try_from(age.as_millis()).ok())
            .and_then(|age_ms| request.deadline_ms.checked_sub(age_ms))
            .filter(|remaining_ms| *remaining_ms > 0);
        let Some(remaining_ms) = remaining else {
            log::info!(job:% = request.key, peer = &*self.hello.name; "late request dropped");
            return Ok(());
        };
        request.deadline_ms = remaining_ms;
        let owner = self.owner.clone();
        let epoch = submit.epoch;
        self.answer(submit.id, async move { owner.submit(epoch, request).await })
    }

    fn query(&mut self, query: Query) -> Result<(), Code> {
        if self
            .max_age(query.after)
            .is_none_or(|age| age >= super::QUERY_TIMEOUT)
        {
            return Ok(());
        }
        let owner = self.owner.clone();
        let answer = async move { owner.query(query.epoch, query.key, query.cancel).await };
        self.answer(query.id, answer)
    }

    /// Sends the owner's answer to a request once it is available. Polls the future once before it
    /// returns, so that the owner receives the request before any later frame is handled.
    fn answer(
        &self,
        id: u64,
        answer: impl Future<Output = JobAnswer> + Send + 'static,
    ) -> Result<(), Code> {
        if self.running.fetch_add(1, Ordering::Relaxed) >= MAX_RUNNING {
            return Err(Code::TooManyRequests);
        }
        let running = self.running.clone();
        let tx = self.tx.downgrade();
        let timeline = self.peers.timeline.clone();
        let mut task: Pin<Box<dyn Future<Output = ()> + Send>> = Box::pin(async move {
            let answer = answer.await;
            let timestamp = timeline.timestamp();
            if let Some(tx) = tx.upgrade() {
                let _ = tx
                    .send(Frame::Reply(Reply {
                        id,
                        answer,
                        timestamp,
                    }))
                    .await;
            }
            running.fetch_sub(1, Ordering::Relaxed);
        });
        let mut cx = Context::from_waker(Waker::noop());
        if task.as_mut().poll(&mut cx).is_pending() {
            tokio::spawn(task);
        }
        Ok(())
    }

    fn receive_table(&mut self, handover: Handover) -> Result<(), Code> {
        let receipt = Gather {
            partition: handover.partition,
            epoch: handover.epoch,
        };
        let last = handover.last;
        self.owner.receive_handover(&self.hello.name, handover);
        if last {
            return self.send(Frame::HandoverReceived(receipt));
        }
        Ok(())
    }
}
