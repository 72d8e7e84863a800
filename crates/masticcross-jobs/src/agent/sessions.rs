//! Sessions with the selected entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticcross_wire::pool::PoolFrame;
use masticcross_wire::{Frame, Hello, Link, PROTOCOL_VERSION, Role};
use smallvec::SmallVec;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};

use crate::entry_selection::MAX_SESSIONS;
use crate::run_lifetime::SESSION_TIMEOUT;
use crate::supervisor::SessionId;
use crate::supervisor::clients::ClientId;

use super::Agent;

/// Interval of probes on a session.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum time to establish a connection. The opening packet to a host that is down is retransmitted
/// only after a second or more, so that redialing finds a recovered host sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum wait for an entry's first frame. An entry to which all agents connect at once takes some
/// time to answer them; a shorter timeout would only add to its load.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the selection is checked while no address has to be dialed.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

impl Agent {
    /// Maintains sessions with the selected entries.
    pub(super) async fn session_loop(self: Arc<Self>) {
        let mut connectors: JoinSet<SocketAddr> = JoinSet::new();
        loop {
            let now = Instant::now();
            for addr in self.update_selection(now) {
                connectors.spawn(self.clone().connect(addr));
            }
            let next_dial_at = self.selection.lock().next_dial_at(now);
            let next_dial_at = next_dial_at.unwrap_or(now + IDLE_INTERVAL);
            tokio::select! {
                () = self.entries_changed.notified() => {}
                Some(Ok(addr)) = connectors.join_next() => {
                    self.selection.lock().closed(addr, Instant::now());
                }
                () = sleep_until(next_dial_at) => {}
            }
        }
    }

    /// Applies the known entries to the selection and ends the sessions that it has replaced.
    /// Returns the addresses to dial.
    fn update_selection(self: &Arc<Self>, now: Instant) -> SmallVec<[SocketAddr; MAX_SESSIONS]> {
        let entries = self.supervisor.lock().entries();
        let seeds = self.seeds.lock().clone();
        let (dials, replaced) = {
            let mut selection = self.selection.lock();
            selection.set_entries(&seeds, &entries, now);
            (selection.dials(now), selection.replaced(now))
        };
        for session in replaced {
            log::info!(session; "session replaced by one with another entry");
            self.with_supervisor(|supervisor, now| supervisor.retire_session(session, now));
        }
        dials
    }

    /// Dials an address and serves the session until it ends. Returns the address.
    async fn connect(self: Arc<Self>, addr: SocketAddr) -> SocketAddr {
        match timeout(HELLO_TIMEOUT, self.open(addr)).await {
            Ok(Some((hello, link))) => {
                log::info!(entry:% = hello.name, addr:%; "session opened");
                self.serve(addr, &hello, link).await;
                log::info!(entry:% = hello.name, addr:%; "session ended");
            }
            Ok(None) | Err(_) => log::debug!(addr:%; "cannot open session"),
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
                log::warn!(addr:%, frame = other.kind(); "session closed: first frame is not a hello of this protocol version");
                None
            }
        }
    }

    async fn serve(self: &Arc<Self>, addr: SocketAddr, hello: &Hello, mut link: Link) {
        let session = {
            let mut next = self.next_session.lock();
            *next += 1;
            *next
        };
        let client = ClientId {
            name: hello.name.clone(),
            incarnation: hello.incarnation,
        };
        self.senders.lock().insert(session, link.tx.clone());
        self.with_supervisor(|supervisor, now| supervisor.session_opened(&client, session, now));
        self.selection.lock().opened(addr, session, Instant::now());
        self.entries_changed.notify_one();
        self.receive_frames(session, &mut link).await;
        self.senders.lock().remove(&session);
        self.with_supervisor(|supervisor, _| supervisor.session_closed(session));
    }

    async fn receive_frames(self: &Arc<Self>, session: SessionId, link: &mut Link) {
        let mut probes = interval(PROBE_INTERVAL);
        probes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_received = Instant::now();
        loop {
            tokio::select! {
                biased;
                frame = link.rx.recv() => match frame {
                    Some(Frame::Pool(frame)) => {
                        last_received = Instant::now();
                        self.handle(session, frame);
                    }
                    Some(other) => {
                        log::warn!(session, frame = other.kind(); "unexpected frame");
                    }
                    None => return,
                },
                _ = probes.tick() => {
                    let open = self.senders.lock().contains_key(&session);
                    if last_received.elapsed() > SESSION_TIMEOUT || !open {
                        return;
                    }
                    let probe = self.supervisor.lock().probe(Instant::now());
                    self.send(session, PoolFrame::Probe(probe));
                }
            }
        }
    }

    fn handle(self: &Arc<Self>, session: SessionId, frame: PoolFrame) {
        match frame {
            PoolFrame::Echo(echo) => {
                self.with_supervisor(|supervisor, now| supervisor.echoed(session, echo, now));
            }
            PoolFrame::EarlierReport(report) => self.with_supervisor(|supervisor, now| {
                supervisor.earlier_report_told(session, report, now);
            }),
            PoolFrame::Demand(demand) => self.with_supervisor(|supervisor, now| {
                supervisor.demand_received(session, &demand, now);
            }),
            PoolFrame::View(view) => self.with_supervisor(|supervisor, now| {
                supervisor.view_announced(session, view, now);
            }),
            PoolFrame::FetchView(range) => {
                self.with_supervisor(|supervisor, _| supervisor.view_requested(session, range));
            }
            PoolFrame::ViewPart(part) => self.with_supervisor(|supervisor, now| {
                supervisor.view_part_received(session, &part, now);
            }),
            PoolFrame::Entries(entries) => self.add_entries(&entries),
            PoolFrame::Run(requests) => {
                self.with_supervisor(|supervisor, now| supervisor.run(session, requests, now));
            }
            PoolFrame::Stop(ids) => {
                self.with_supervisor(|supervisor, now| supervisor.stop(session, &ids, now));
            }
            PoolFrame::Crashes(crashes) => self.with_supervisor(|supervisor, now| {
                supervisor.crashes_announced(session, crashes, now);
            }),
            PoolFrame::Probe(_)
            | PoolFrame::Worker(_)
            | PoolFrame::Report(_)
            | PoolFrame::Free(_)
            | PoolFrame::Resume(_)
            | PoolFrame::Ended(_) => {
                log::warn!(session, frame = frame.kind(); "unexpected frame");
            }
        }
    }
}
