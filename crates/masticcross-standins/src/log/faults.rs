//! Faults of the log, set while it runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::Name;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

/// Largest factor on the time that a call takes.
const MAX_SLOW_FACTOR: f64 = 1e6;

/// Longest time that a call takes in addition.
const MAX_EXTRA_DELAY: Duration = Duration::from_hours(1);

/// How long a call hangs before it fails; zero for at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hang(pub Duration);

/// Which calls a fault hits.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Occurrence {
    /// None.
    #[default]
    Never,
    /// The next ones, as many as given.
    Next(u32),
    /// A share of all, between 0 and 1, chosen at random.
    Share(f64),
    /// All.
    Always,
}

/// Faults that concern one client, or all.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientFaults {
    /// The log refuses every call.
    pub down: bool,
    /// No call arrives; it fails after hanging.
    pub unreachable: Option<Hang>,
    /// Factor on the time that a call takes.
    pub slow_factor: f64,
    /// Time that a call takes in addition.
    pub extra_delay: Duration,
    /// Appends that take effect although their reply is lost.
    pub lost_replies: Occurrence,
    /// Appends that take effect only `late_by` after their arrival, without a reply.
    pub late_appends: Occurrence,
    /// Delay of late appends.
    pub late_by: Duration,
    /// How long an append without reply hangs.
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
    /// Returns the time that a call takes which usually takes `usual`.
    #[must_use]
    pub fn latency(&self, usual: Duration) -> Duration {
        let factor = self.slow_factor.clamp(0.0, MAX_SLOW_FACTOR);
        usual.mul_f64(factor) + self.extra_delay.min(MAX_EXTRA_DELAY)
    }

    /// Combines the faults of all clients with those of one.
    fn and(&self, one: &Self) -> Self {
        Self {
            down: self.down || one.down,
            unreachable: self.unreachable.or(one.unreachable),
            slow_factor: self.slow_factor * one.slow_factor,
            extra_delay: self.extra_delay + one.extra_delay,
            ..self.clone()
        }
    }
}

/// What happens to one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// Nothing.
    None,
    /// It takes effect; the reply is lost.
    ReplyLost {
        /// How long the call hangs.
        hang: Hang,
    },
    /// It takes effect later; the reply is lost.
    Late {
        /// When it takes effect.
        delay: Duration,
        /// How long the call hangs.
        hang: Hang,
    },
}

/// The handle by which faults are set. Clones share the faults.
#[derive(Debug, Clone)]
pub struct Faults {
    inner: Arc<Mutex<Table>>,
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Debug)]
struct Table {
    all: ClientFaults,
    clients: BTreeMap<Name, ClientFaults>,
    rng: SmallRng,
}

impl Faults {
    /// Creates a table without faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let table = Table {
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
        self.announce();
    }

    /// Changes the faults of one client.
    pub fn change_for(&self, client: &str, change: impl FnOnce(&mut ClientFaults)) {
        let mut table = self.inner.lock();
        change(table.clients.entry(Name::from(client)).or_default());
        drop(table);
        self.announce();
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
        table.clients = clients.map(|(name, one)| (Name::from(name), one)).collect();
        drop(table);
        self.announce();
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.replace(ClientFaults::default(), []);
    }

    /// Makes the log refuse every call, or ends that.
    pub fn set_down(&self, down: bool) {
        self.change(|all| all.down = down);
    }

    /// Makes all calls slower by a factor and a delay.
    pub fn set_slow(&self, factor: f64, extra_delay: Duration) {
        self.change(|all| {
            all.slow_factor = factor;
            all.extra_delay = extra_delay;
        });
    }

    /// Cuts one client off, or ends that. Its calls fail at once.
    pub fn set_unreachable(&self, client: &str, cut: bool) {
        let unreachable = cut.then(Hang::default);
        self.change_for(client, |one| one.unreachable = unreachable);
    }

    /// Loses the replies of appends that took effect.
    pub fn lose_replies(&self, which: Occurrence, hang: Duration) {
        self.change(|all| {
            all.lost_replies = which;
            all.hang = Hang(hang);
        });
    }

    /// Delays the effect of appends until after their caller gave up.
    pub fn delay_appends(&self, which: Occurrence, late_by: Duration, hang: Duration) {
        self.change(|all| {
            all.late_appends = which;
            all.late_by = late_by;
            all.hang = Hang(hang);
        });
    }

    /// Returns the faults that a client meets now.
    #[must_use]
    pub fn of(&self, client: &str) -> ClientFaults {
        let table = self.inner.lock();
        match table.clients.get(client) {
            Some(one) => table.all.and(one),
            None => table.all.clone(),
        }
    }

    /// Decides what happens to the next append of a client.
    pub(crate) fn next_append(&self, client: &str) -> AppendFault {
        let mut table = self.inner.lock();
        let Table { all, clients, rng } = &mut *table;
        let own = clients.get_mut(client).map(|one| one.next_append(rng));
        match own {
            Some(fault) if fault != AppendFault::None => fault,
            _ => all.next_append(rng),
        }
    }

    /// Returns a receiver that changes with the faults.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn announce(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

impl ClientFaults {
    fn next_append(&mut self, rng: &mut SmallRng) -> AppendFault {
        let hang = self.hang;
        if self.late_appends.hits(rng) {
            let delay = self.late_by;
            return AppendFault::Late { delay, hang };
        }
        if self.lost_replies.hits(rng) {
            return AppendFault::ReplyLost { hang };
        }
        AppendFault::None
    }
}

impl Occurrence {
    /// Decides about one call. Counts down the next ones.
    pub(crate) fn hits(&mut self, rng: &mut SmallRng) -> bool {
        match self {
            Self::Never | Self::Next(0) => false,
            Self::Next(left) => {
                *left -= 1;
                true
            }
            Self::Share(share) => rng.random_bool(share.clamp(0.0, 1.0)),
            Self::Always => true,
        }
    }
}
