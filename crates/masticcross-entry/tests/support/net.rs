//! An in-memory network whose links have a latency and can be cut in one direction, slowed or
//! reset.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use masticcross_basics::Name;
use masticcross_wire::{Dialer, Frame, Link, LinkError};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Maximum number of frames forwarded at once.
const BATCH: usize = 256;

/// State of the network. The first name of a pair is the sender.
#[derive(Debug, Clone, Default)]
struct NetworkState {
    cut: BTreeSet<(Name, Name)>,
    slow: BTreeMap<(Name, Name), Duration>,
    /// Killed processes; their links are closed permanently.
    killed: BTreeSet<Name>,
    /// Incremented for a pair whenever its links are reset.
    resets: BTreeMap<(Name, Name), u64>,
}

/// The network. Clones share their state.
#[derive(Clone)]
pub struct Net {
    latency: Duration,
    state: Arc<watch::Sender<NetworkState>>,
    listeners: Arc<Mutex<BTreeMap<SocketAddr, Listener>>>,
    tamper: Arc<Mutex<Option<Tamper>>>,
}

/// Modifies frames in transit, to switch off a safety rule of the receiving process.
type Tamper = fn(&mut Frame);

struct Listener {
    process: Name,
    links: mpsc::Sender<Link>,
}

impl Net {
    /// Creates a network with a one-way latency.
    pub fn new(latency: Duration) -> Self {
        Self {
            latency,
            state: Arc::default(),
            listeners: Arc::default(),
            tamper: Arc::default(),
        }
    }

    /// Accepts links for a process at an address. Replaces an earlier process there.
    pub fn listen(&self, process: &Name, addr: SocketAddr) -> mpsc::Receiver<Link> {
        let (links, accepted) = mpsc::channel(64);
        let listener = Listener {
            process: process.clone(),
            links,
        };
        self.listeners.lock().insert(addr, listener);
        accepted
    }

    /// Returns the dialer of a process.
    pub fn dialer(&self, process: &Name) -> Arc<dyn Dialer> {
        Arc::new(NetDialer {
            net: self.clone(),
            from: process.clone(),
        })
    }

    /// Modifies every frame from now on.
    pub fn tamper(&self, tamper: Tamper) {
        *self.tamper.lock() = Some(tamper);
    }

    /// Holds back frames from one process to another until [`Self::heal`] is called.
    pub fn cut(&self, from: &Name, to: &Name) {
        let pair = (from.clone(), to.clone());
        self.state.send_modify(|s| {
            s.cut.insert(pair);
        });
    }

    /// Delays frames from one process to another until [`Self::heal`] is called.
    pub fn slow(&self, from: &Name, to: &Name, by: Duration) {
        let pair = (from.clone(), to.clone());
        self.state.send_modify(|s| {
            s.slow.insert(pair, by);
        });
    }

    /// Closes all links between two processes. Frames in transit are lost.
    pub fn reset(&self, first: &Name, second: &Name) {
        self.state.send_modify(|s| {
            *s.resets.entry(sorted_pair(first, second)).or_default() += 1;
        });
    }

    /// Ends all cuts and delays.
    pub fn heal(&self) {
        self.state.send_modify(|s| {
            s.cut.clear();
            s.slow.clear();
        });
    }

    /// Closes all links of a process permanently.
    pub fn kill(&self, process: &Name) {
        self.state.send_modify(|s| {
            s.killed.insert(process.clone());
        });
        self.listeners.lock().retain(|_, l| l.process != *process);
    }

    fn connect(&self, from: &Name, addr: SocketAddr) -> Option<Link> {
        let (to, links) = {
            let listeners = self.listeners.lock();
            let listener = listeners.get(&addr)?;
            (listener.process.clone(), listener.links.clone())
        };
        let state = self.state.borrow().clone();
        let is_cut = state.cut.contains(&(from.clone(), to.clone()))
            || state.cut.contains(&(to.clone(), from.clone()));
        if is_cut || state.killed.contains(from) || state.killed.contains(&to) {
            return None;
        }
        let (dialer_end, dialer_inner) = Link::pair();
        let (listener_end, listener_inner) = Link::pair();
        links.try_send(listener_end).ok()?;
        let reset = state.resets.get(&sorted_pair(from, &to)).copied();
        let to_listener = self.forward(from, &to, reset, dialer_inner.rx, listener_inner.tx);
        let to_dialer = self.forward(&to, from, reset, listener_inner.rx, dialer_inner.tx);
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = to_listener => {}
                () = to_dialer => {}
            }
        });
        Some(dialer_end)
    }

    /// Forwards frames in one direction until either end is closed.
    fn forward(
        &self,
        from: &Name,
        to: &Name,
        reset: Option<u64>,
        mut rx: mpsc::Receiver<Frame>,
        tx: mpsc::Sender<Frame>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let pair = (from.clone(), to.clone());
        let both = sorted_pair(from, to);
        let latency = self.latency;
        let tamper = self.tamper.clone();
        let mut state = self.state.subscribe();
        let mut link_state = self.state.subscribe();
        let is_broken = move |s: &NetworkState| {
            s.killed.contains(&both.0)
                || s.killed.contains(&both.1)
                || s.resets.get(&both).copied() != reset
        };
        async move {
            let forwarding = async {
                let mut batch = Vec::with_capacity(BATCH);
                while rx.recv_many(&mut batch, BATCH).await > 0 {
                    let slow = state.borrow().slow.get(&pair).copied().unwrap_or_default();
                    sleep_until(Instant::now() + latency + slow).await;
                    let open = state.wait_for(|s| !s.cut.contains(&pair)).await.is_ok();
                    if !open {
                        return;
                    }
                    let change = *tamper.lock();
                    for mut frame in batch.drain(..) {
                        if let Some(change) = change {
                            change(&mut frame);
                        }
                        if tx.send(frame).await.is_err() {
                            return;
                        }
                    }
                }
            };
            tokio::select! {
                biased;
                _ = link_state.wait_for(is_broken) => {}
                () = tx.closed() => {}
                () = forwarding => {}
            }
        }
    }
}

fn sorted_pair(first: &Name, second: &Name) -> (Name, Name) {
    if first <= second {
        (first.clone(), second.clone())
    } else {
        (second.clone(), first.clone())
    }
}

struct NetDialer {
    net: Net,
    from: Name,
}

impl Dialer for NetDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, masticcross_wire::link::Result<Link>> {
        Box::pin(async move {
            sleep_until(Instant::now() + self.net.latency * 2).await;
            self.net
                .connect(&self.from, addr)
                .ok_or_else(|| LinkError::Connect {
                    addr,
                    reason: "refused".to_owned(),
                })
        })
    }
}
