//! Sessions that other entries dial: their requests, heartbeats and tables arrive here.

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

/// Requests of one session that run at once. A peer that sends more breaks the protocol.
const MAX_RUNNING: usize = 64 * 1024;

/// Heartbeat answers whose time of sending is kept.
const PONGS_KEPT: usize = 64;

/// Silence after which a session is closed, in suspicion times.
const SILENCE_FACTOR: u32 = 4;

/// Order of the sessions of one entry: a later start first, then a later session.
type SessionOrder = (Incarnation, u64);

/// The newest session of one other entry. No frame of an older one is handled.
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

    /// Makes a session the newest one. Returns false if it is not newer. When it returns, no frame
    /// of an older session is being handled, and none will be.
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

/// One session that another entry dialled.
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

/// When a heartbeat answer was sent.
struct SentPong {
    nonce: u64,
    at: Instant,
}

impl Peers {
    /// Serves the session that another entry opened and whose hello has been read, until it ends.
    /// Sessions of the same entry that are older end first.
    pub async fn serve_peer(self: Arc<Self>, hello: Hello, link: Link, owner: Arc<Owner>) {
        let Link { tx, rx } = link;
        if hello.protocol != PROTOCOL_VERSION {
            return say_goodbye(&tx, Code::ProtocolVersion);
        }
        let order = (hello.incarnation, hello.session);
        let inbound = self.inbound_of(&hello.name);
        if !inbound.supersede(order) {
            return say_goodbye(&tx, Code::Superseded);
        }
        let session = InboundSession {
            peers: self,
            owner,
            hello,
            order,
            inbound,
            tx,
            pongs: VecDeque::with_capacity(PONGS_KEPT),
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

fn say_goodbye(tx: &mpsc::Sender<Frame>, code: Code) {
    let detail = code.title().to_owned();
    let _ = tx.try_send(Frame::Goodbye(Goodbye { code, detail }));
}

impl InboundSession {
    async fn serve(mut self, mut rx: mpsc::Receiver<Frame>) {
        let hello = self.peers.identity.hello(self.hello.session);
        self.note_pong(0);
        if self.tx.try_send(Frame::Hello(hello)).is_err() {
            return;
        }
        let mut newest = self.inbound.newest.subscribe();
        loop {
            let limit = self.peers.ledger.times().suspect_after() * SILENCE_FACTOR;
            tokio::select! {
                biased;
                _ = newest.wait_for(|newest| *newest != self.order) => {
                    return say_goodbye(&self.tx, Code::Superseded);
                }
                frame = timeout(limit, rx.recv()) => match frame {
                    Ok(Some(frame)) => {
                        if let Err(code) = self.handle(frame) {
                            return say_goodbye(&self.tx, code);
                        }
                    }
                    Ok(None) => return,
                    Err(_) => return say_goodbye(&self.tx, Code::SessionTimeout),
                },
            }
        }
    }

    /// Handles a frame, unless a newer session of the same entry exists.
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
            Frame::Handover(handover) => return self.take_table(handover),
            Frame::Drain | Frame::Goodbye(_) => self.peers.liveness.drains(name, incarnation),
            Frame::AgentContactQuery(queried) => {
                let in_contact = self.peers.agents.heard_of(&queried);
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
            .heard(&self.hello.name, self.hello.incarnation);
        let answer = Pong {
            nonce: ping.nonce,
            age_ms: None,
            view: None,
            timestamp: peers.timeline.timestamp(),
        };
        self.note_pong(ping.nonce);
        self.send(Frame::Pong(answer))
    }

    fn note_pong(&mut self, nonce: u64) {
        if self.pongs.len() == PONGS_KEPT {
            self.pongs.pop_front();
        }
        let at = Instant::now();
        self.pongs.push_back(SentPong { nonce, at });
    }

    /// Returns the time that passed at most since a request was sent; none if it is not known.
    fn age(&self, after: SentAfter) -> Option<Duration> {
        let pong = self.pongs.iter().find(|p| p.nonce == after.pong)?;
        let elapsed = Duration::from_micros(after.elapsed_us);
        Some(pong.at.elapsed().saturating_sub(elapsed))
    }

    /// Runs a job for another entry, unless that entry may have given it up already.
    fn submit(&mut self, submit: Submit) -> Result<(), Code> {
        self.peers.timeline.observe(submit.timestamp);
        let mut request = submit.request;
        let left = self
            .age(submit.after)
            .and_then(|age| u32::try_from(age.as_millis()).ok())
            .and_then(|age_ms| request.deadline_ms.checked_sub(age_ms))
            .filter(|left_ms| *left_ms > 0);
        let Some(left_ms) = left else {
            log::info!(job:% = request.key, peer = &*self.hello.name; "late request dropped");
            return Ok(());
        };
        request.deadline_ms = left_ms;
        let owner = self.owner.clone();
        let epoch = submit.epoch;
        self.answer(submit.id, async move { owner.submit(epoch, request).await })
    }

    fn query(&mut self, query: Query) -> Result<(), Code> {
        if self
            .age(query.after)
            .is_none_or(|age| age >= super::QUERY_TIMEOUT)
        {
            return Ok(());
        }
        let owner = self.owner.clone();
        let answer = async move { owner.query(query.epoch, query.key, query.cancel).await };
        self.answer(query.id, answer)
    }

    /// Answers a request when the owner has an answer. The owner sees the request before any later
    /// frame is handled, so its first step is taken here.
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
        let mut work: Pin<Box<dyn Future<Output = ()> + Send>> = Box::pin(async move {
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
        if work.as_mut().poll(&mut cx).is_pending() {
            tokio::spawn(work);
        }
        Ok(())
    }

    fn take_table(&mut self, handover: Handover) -> Result<(), Code> {
        let taken = Gather {
            partition: handover.partition,
            epoch: handover.epoch,
        };
        let last = handover.last;
        self.owner.receive_handover(&self.hello.name, handover);
        if last {
            return self.send(Frame::HandoverReceived(taken));
        }
        Ok(())
    }
}
