//! Faults of the relay, which can be changed while it runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Maximum delay in each direction.
const MAX_DELAY_MS: u64 = 600_000;

/// Direction in which bytes flow through a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// Faults of one connection, or of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkFaults {
    /// Open connections are closed, and new ones on arrival.
    pub cut: bool,
    /// Bytes to the target are buffered but not forwarded.
    pub freeze_to_target: bool,
    /// Bytes to the client are buffered but not forwarded.
    pub freeze_to_client: bool,
    /// Delay of all bytes in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Bandwidth of each direction, in bytes per second, which all connections of the relay share; 0
    /// means no limit.
    pub bytes_per_s: u64,
}

impl LinkFaults {
    /// Returns true if bytes of a direction are buffered but not forwarded.
    #[must_use]
    pub fn is_frozen(&self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.freeze_to_target,
            Direction::ToClient => self.freeze_to_client,
        }
    }

    /// Returns the delay in each direction.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.min(MAX_DELAY_MS))
    }

    /// Combines the faults of all connections with those of one connection.
    fn combine(self, other: Self) -> Self {
        Self {
            cut: self.cut || other.cut,
            freeze_to_target: self.freeze_to_target || other.freeze_to_target,
            freeze_to_client: self.freeze_to_client || other.freeze_to_client,
            delay_ms: self.delay_ms.saturating_add(other.delay_ms),
            bytes_per_s: match (self.bytes_per_s, other.bytes_per_s) {
                (0, limit) | (limit, 0) => limit,
                (one, other) => one.min(other),
            },
        }
    }
}

/// Times until which the two directions of a relay are busy with bytes at their bandwidth.
#[derive(Debug, Clone, Default)]
pub struct Bandwidth(Arc<Mutex<[Option<Instant>; 2]>>);

impl Bandwidth {
    /// Reserves the time to transmit bytes. Returns when they have been transmitted.
    #[must_use]
    pub fn reserve(&self, direction: Direction, bytes: usize, bytes_per_s: u64) -> Instant {
        let now = Instant::now();
        if bytes_per_s == 0 {
            return now;
        }
        let nanos = bytes as u64 * 1_000_000_000 / bytes_per_s;
        let busy_until = &mut self.0.lock()[direction as usize];
        let until = busy_until.unwrap_or(now).max(now) + Duration::from_nanos(nanos);
        *busy_until = Some(until);
        until
    }
}

/// Faults of all connections and of single connections. A missing field means no fault.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultTable {
    /// Faults of all connections.
    pub all: LinkFaults,
    /// Additional faults by connection id.
    pub connections: BTreeMap<u64, LinkFaults>,
}

impl FaultTable {
    fn for_connection(&self, connection: u64) -> LinkFaults {
        match self.connections.get(&connection) {
            Some(faults) => self.all.combine(*faults),
            None => self.all,
        }
    }
}

/// A handle for setting faults. Clones share the faults.
#[derive(Debug, Clone, Default)]
pub struct RelayFaults {
    table: Arc<watch::Sender<FaultTable>>,
    bandwidth: Bandwidth,
}

impl RelayFaults {
    /// Replaces all faults.
    pub fn replace(&self, table: FaultTable) {
        self.table.send_replace(table);
    }

    /// Changes the faults of all connections.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.table.send_modify(|table| change(&mut table.all));
    }

    /// Changes the faults of one connection.
    pub fn change_for(&self, connection: u64, change: impl FnOnce(&mut LinkFaults)) {
        self.table
            .send_modify(|table| change(table.connections.entry(connection).or_default()));
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.replace(FaultTable::default());
    }

    /// Returns the faults of one connection, which follow later changes.
    pub(super) fn for_connection(&self, connection: u64) -> ConnectionFaults {
        ConnectionFaults {
            connection,
            table: self.table.subscribe(),
            bandwidth: self.bandwidth.clone(),
        }
    }
}

/// The faults of one connection, kept up to date.
#[derive(Debug, Clone)]
pub struct ConnectionFaults {
    connection: u64,
    table: watch::Receiver<FaultTable>,
    bandwidth: Bandwidth,
}

impl ConnectionFaults {
    /// Returns the current faults.
    #[must_use]
    pub fn current(&self) -> LinkFaults {
        self.table.borrow().for_connection(self.connection)
    }

    /// Waits until bytes have been transmitted at the bandwidth of a direction.
    pub async fn transmit(&self, direction: Direction, bytes: usize) {
        let bytes_per_s = self.current().bytes_per_s;
        sleep_until(self.bandwidth.reserve(direction, bytes, bytes_per_s)).await;
    }

    /// Waits until the connection is cut. Never returns after the relay is dropped.
    pub async fn wait_until_cut(mut self) {
        self.wait_until(|faults| faults.cut).await;
    }

    /// Waits until bytes of a direction may be forwarded. Never returns after the relay is dropped.
    pub async fn wait_until_unfrozen(&mut self, direction: Direction) {
        self.wait_until(|faults| !faults.is_frozen(direction)).await;
    }

    async fn wait_until(&mut self, condition: impl Fn(&LinkFaults) -> bool) {
        let connection = self.connection;
        let is_met = |table: &FaultTable| condition(&table.for_connection(connection));
        if self.table.wait_for(is_met).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
