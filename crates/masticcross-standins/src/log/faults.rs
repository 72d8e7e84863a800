//! Faults of the in-memory log, which can be changed while it runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

/// Maximum factor on the latency of a call.
const MAX_SLOW_FACTOR: f64 = 1e6;

/// Maximum delay added to the latency of a call.
const MAX_EXTRA_DELAY: Duration = Duration::from_hours(1);

/// Time that a call hangs before it fails; zero to fail at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hang(pub Duration);

/// Which calls a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Occurrence {
    /// No call.
    #[default]
    Never,
    /// The given number of next calls.
    Next(u32),
    /// A random share of all calls, between 0 and 1.
    Share(f64),
    /// All calls.
    Always,
}

/// Faults of one client, or of all.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientFaults {
    /// The log refuses every call.
    pub down: bool,
    /// Calls do not reach the log and fail after hanging.
    pub unreachable: Option<Hang>,
    /// Factor on the latency of a call.
    pub slow_factor: f64,
    /// Delay added to the latency of a call.
    pub extra_delay: Duration,
    /// Appends that take effect although their reply is lost.
    pub lost_replies: Occurrence,
    /// Appends that take effect only `late_by` after their arrival, and whose reply is lost.
    pub late_appends: Occurrence,
    /// Delay of late appends.
    pub late_by: Duration,
    /// Time that an append hangs if its reply is lost.
    pub hang: Hang,
}

impl Default for ClientFaults {
    fn default() -> Self {
        Self {
            down: false,
            unreachable: None,
            slow_factor: 1.0,
            extra_delay: Duration::ZERO,
            lost_replies: Occurrence::Never,
            late_appends: Occurrence::Never,
            late_by: Duration::from_secs(1),
            hang: Hang::default(),
        }
    }
}

impl ClientFaults {
    /// Returns the latency of a call that takes `base` without faults.
    #[must_use]
    pub fn latency(&self, base: Duration) -> Duration {
        let factor = self.slow_factor.clamp(0.0, MAX_SLOW_FACTOR);
        base.mul_f64(factor) + self.extra_delay.min(MAX_EXTRA_DELAY)
    }

    /// Combines the faults of all clients with those of one client, except those of appends.
    fn combine(&self, client: &Self) -> Self {
        Self {
            down: self.down || client.down,
            unreachable: self.unreachable.or(client.unreachable),
            slow_factor: self.slow_factor * client.slow_factor,
            extra_delay: self.extra_delay + client.extra_delay,
            ..self.clone()
        }
    }
}

/// The fault of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// No fault.
    None,
    /// The append takes effect, but its reply is lost.
    ReplyLost {
        /// Time that the call hangs.
        hang: Hang,
    },
    /// The append takes effect later, and its reply is lost.
    Late {
        /// Delay of the effect.
        delay: Duration,
        /// Time that the call hangs.
        hang: Hang,
    },
}

/// A handle for setting faults. Clones share the faults.
#[derive(Debug, Clone)]
pub struct Faults {
    inner: Arc<Mutex<FaultTable>>,
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Debug)]
struct FaultTable {
    all: ClientFaults,
    clients: BTreeMap<Name, ClientFaults>,
    rng: SmallRng,
}

impl Faults {
    /// Creates a handle without faults, with a seed for the random choice of faulty calls.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let table = FaultTable {
            all: ClientFaults::default(),
            clients: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        Self {
            inner: Arc::new(Mutex::new(table)),
            changes: Arc::default(),
        }
    }

    /// Changes the faults of all clients.
    pub fn change(&self, change: impl FnOnce(&mut ClientFaults)) {
        change(&mut self.inner.lock().all);
        self.notify();
    }

    /// Changes the faults of one client.
    pub fn change_for(&self, client: &str, change: impl FnOnce(&mut ClientFaults)) {
        let mut table = self.inner.lock();
        change(table.clients.entry(Name::from(client)).or_default());
        drop(table);
        self.notify();
    }

    /// Replaces all faults.
    pub fn replace(
        &self,
        all: ClientFaults,
        clients: impl IntoIterator<Item = (String, ClientFaults)>,
    ) {
        let clients = clients.into_iter();
        let mut table = self.inner.lock();
        table.all = all;
        table.clients = clients
            .map(|(name, faults)| (Name::from(name), faults))
            .collect();
        drop(table);
        self.notify();
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.replace(ClientFaults::default(), []);
    }

    /// Sets whether the log refuses every call.
    pub fn set_down(&self, down: bool) {
        self.change(|all| all.down = down);
    }

    /// Slows all calls down by a factor and an added delay.
    pub fn set_slow(&self, factor: f64, extra_delay: Duration) {
        self.change(|all| {
            all.slow_factor = factor;
            all.extra_delay = extra_delay;
        });
    }

    /// Sets whether the log is unreachable for one client. Calls then fail at once.
    pub fn set_unreachable(&self, client: &str, is_unreachable: bool) {
        let unreachable = is_unreachable.then(Hang::default);
        self.change_for(client, |faults| faults.unreachable = unreachable);
    }

    /// Lets appends take effect but lose their reply.
    pub fn lose_replies(&self, occurrence: Occurrence, hang: Duration) {
        self.change(|all| {
            all.lost_replies = occurrence;
            all.hang = Hang(hang);
        });
    }

    /// Delays the effect of appends by `late_by`. Their calls fail without a reply after `hang`.
    pub fn delay_appends(&self, occurrence: Occurrence, late_by: Duration, hang: Duration) {
        self.change(|all| {
            all.late_appends = occurrence;
            all.late_by = late_by;
            all.hang = Hang(hang);
        });
    }

    /// Returns the current faults of a client, combined with those of all clients.
    #[must_use]
    pub fn for_client(&self, client: &str) -> ClientFaults {
        let table = self.inner.lock();
        match table.clients.get(client) {
            Some(faults) => table.all.combine(faults),
            None => table.all.clone(),
        }
    }

    /// Chooses the fault of a client's next append. Its own faults precede those of all clients.
    pub(crate) fn next_append_fault(&self, client: &str) -> AppendFault {
        let mut table = self.inner.lock();
        let FaultTable { all, clients, rng } = &mut *table;
        let client_fault = clients
            .get_mut(client)
            .map(|faults| faults.next_append_fault(rng));
        match client_fault {
            Some(fault) if fault != AppendFault::None => fault,
            _ => all.next_append_fault(rng),
        }
    }

    /// Returns a receiver that is notified of changes of the faults.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

impl ClientFaults {
    fn next_append_fault(&mut self, rng: &mut SmallRng) -> AppendFault {
        let hang = self.hang;
        if self.late_appends.affects_next_call(rng) {
            let delay = self.late_by;
            return AppendFault::Late { delay, hang };
        }
        if self.lost_replies.affects_next_call(rng) {
            return AppendFault::ReplyLost { hang };
        }
        AppendFault::None
    }
}

impl Occurrence {
    /// Returns true if the next call is affected, and counts down [`Occurrence::Next`].
    pub(crate) fn affects_next_call(&mut self, rng: &mut SmallRng) -> bool {
        match self {
            Self::Never | Self::Next(0) => false,
            Self::Next(remaining) => {
                *remaining -= 1;
                true
            }
            Self::Share(share) => rng.random_bool(share.clamp(0.0, 1.0)),
            Self::Always => true,
        }
    }
}
