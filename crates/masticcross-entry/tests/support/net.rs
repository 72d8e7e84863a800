//! A network in memory: links with latency that can be cut in one direction, slowed or reset.

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

/// Frames moved at once.
const BATCH: usize = 256;

/// State of the network. A direction names the sender first.
#[derive(Debug, Clone, Default)]
struct Weather {
    cut: BTreeSet<(Name, Name)>,
    slow: BTreeMap<(Name, Name), Duration>,
    /// Processes that are gone; their links are closed for ever.
    dead: BTreeSet<Name>,
    /// Grows for a pair whenever its links are reset.
    resets: BTreeMap<(Name, Name), u64>,
}

/// The network. Clones share everything.
#[derive(Clone)]
pub struct Net {
    latency: Duration,
    weather: Arc<watch::Sender<Weather>>,
    listeners: Arc<Mutex<BTreeMap<SocketAddr, Listener>>>,
    tamper: Arc<Mutex<Option<Tamper>>>,
}

/// Changes frames on their way, to take a rule out of the process that gets them.
type Tamper = fn(&mut Frame);

struct Listener {
    process: Name,
    links: mpsc::Sender<Link>,
}

impl Net {
    /// Creates a network in which a frame takes a time in one direction.
    pub fn new(latency: Duration) -> Self {
        Self {
            latency,
            weather: Arc::default(),
            listeners: Arc::default(),
            tamper: Arc::default(),
        }
    }

    /// Accepts links for a process at an address. It replaces an earlier process there.
    pub fn listen(&self, process: &Name, addr: SocketAddr) -> mpsc::Receiver<Link> {
        let (links, accepted) = mpsc::channel(64);
        let listener = Listener {
            process: process.clone(),
            links,
        };
        self.listeners.lock().insert(addr, listener);
        accepted
    }

    /// Returns the dialler of a process.
    pub fn dialer(&self, process: &Name) -> Arc<dyn Dialer> {
        Arc::new(NetDialer {
            net: self.clone(),
            from: process.clone(),
        })
    }

    /// Changes every frame on its way from now on.
    pub fn tamper(&self, tamper: Tamper) {
        *self.tamper.lock() = Some(tamper);
    }

    /// Holds frames from one process to another, until healed.
    pub fn cut(&self, from: &Name, to: &Name) {
        let pair = (from.clone(), to.clone());
        self.weather.send_modify(|w| {
            w.cut.insert(pair);
        });
    }

    /// Delays frames from one process to another.
    pub fn slow(&self, from: &Name, to: &Name, by: Duration) {
        let pair = (from.clone(), to.clone());
        self.weather.send_modify(|w| {
            w.slow.insert(pair, by);
        });
    }

    /// Closes all links between two processes; what is on the way is lost.
    pub fn reset(&self, one: &Name, other: &Name) {
        self.weather.send_modify(|w| {
            *w.resets.entry(ordered(one, other)).or_default() += 1;
        });
    }

    /// Ends all cuts and delays.
    pub fn heal(&self) {
        self.weather.send_modify(|w| {
            w.cut.clear();
            w.slow.clear();
        });
    }

    /// Closes all links of a process for ever.
    pub fn kill(&self, process: &Name) {
        self.weather.send_modify(|w| {
            w.dead.insert(process.clone());
        });
        self.listeners.lock().retain(|_, l| l.process != *process);
    }

    fn connect(&self, from: &Name, addr: SocketAddr) -> Option<Link> {
        let (to, links) = {
            let listeners = self.listeners.lock();
            let listener = listeners.get(&addr)?;
            (listener.process.clone(), listener.links.clone())
        };
        let weather = self.weather.borrow().clone();
        let is_cut = weather.cut.contains(&(from.clone(), to.clone()))
            || weather.cut.contains(&(to.clone(), from.clone()));
        if is_cut || weather.dead.contains(from) || weather.dead.contains(&to) {
            return None;
        }
        let (near, near_inner) = Link::pair();
        let (far, far_inner) = Link::pair();
        links.try_send(far).ok()?;
        let reset = weather.resets.get(&ordered(from, &to)).copied();
        let one = self.pump(from, &to, reset, near_inner.rx, far_inner.tx);
        let other = self.pump(&to, from, reset, far_inner.rx, near_inner.tx);
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = one => {}
                () = other => {}
            }
        });
        Some(near)
    }

    /// Moves frames in one direction until either end is closed.
    fn pump(
        &self,
        from: &Name,
        to: &Name,
        reset: Option<u64>,
        mut rx: mpsc::Receiver<Frame>,
        tx: mpsc::Sender<Frame>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let pair = (from.clone(), to.clone());
        let both = ordered(from, to);
        let latency = self.latency;
        let tamper = self.tamper.clone();
        let mut weather = self.weather.subscribe();
        let mut broken = self.weather.subscribe();
        let is_broken = move |w: &Weather| {
            w.dead.contains(&both.0)
                || w.dead.contains(&both.1)
                || w.resets.get(&both).copied() != reset
        };
        async move {
            let moving = async {
                let mut batch = Vec::with_capacity(BATCH);
                while rx.recv_many(&mut batch, BATCH).await > 0 {
                    let slow = weather
                        .borrow()
                        .slow
                        .get(&pair)
                        .copied()
                        .unwrap_or_default();
                    sleep_until(Instant::now() + latency + slow).await;
                    let open = weather.wait_for(|w| !w.cut.contains(&pair)).await.is_ok();
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
                _ = broken.wait_for(is_broken) => {}
                () = tx.closed() => {}
                () = moving => {}
            }
        }
    }
}

fn ordered(one: &Name, other: &Name) -> (Name, Name) {
    if one <= other {
        (one.clone(), other.clone())
    } else {
        (other.clone(), one.clone())
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
