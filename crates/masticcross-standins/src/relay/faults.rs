//! Faults of the relay, set while it runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Longest delay.
const MAX_DELAY_MS: u64 = 600_000;

/// Direction of bytes.
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
    /// Open connections are closed, new ones too.
    pub cut: bool,
    /// Bytes to the target stay in the relay.
    pub freeze_to_target: bool,
    /// Bytes to the client stay in the relay.
    pub freeze_to_client: bool,
    /// Delay of all bytes in each direction, in milliseconds.
    pub delay_ms: u64,
}

impl LinkFaults {
    /// Returns true if bytes of a direction stay in the relay.
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

    fn and(self, other: Self) -> Self {
        Self {
            cut: self.cut || other.cut,
            freeze_to_target: self.freeze_to_target || other.freeze_to_target,
            freeze_to_client: self.freeze_to_client || other.freeze_to_client,
            delay_ms: self.delay_ms.saturating_add(other.delay_ms),
        }
    }
}

/// Faults of all connections and of single ones. What is left out has no fault.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultTable {
    /// Faults of all connections.
    pub all: LinkFaults,
    /// Further faults by number of the connection.
    pub connections: BTreeMap<u64, LinkFaults>,
}

impl FaultTable {
    fn of(&self, connection: u64) -> LinkFaults {
        match self.connections.get(&connection) {
            Some(one) => self.all.and(*one),
            None => self.all,
        }
    }
}

/// The handle by which faults are set. Clones share the faults.
#[derive(Debug, Clone, Default)]
pub struct RelayFaults(Arc<watch::Sender<FaultTable>>);

impl RelayFaults {
    /// Replaces all faults.
    pub fn replace(&self, table: FaultTable) {
        self.0.send_replace(table);
    }

    /// Changes the faults of all connections.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.0.send_modify(|table| change(&mut table.all));
    }

    /// Changes the faults of one connection.
    pub fn change_for(&self, connection: u64, change: impl FnOnce(&mut LinkFaults)) {
        self.0
            .send_modify(|table| change(table.connections.entry(connection).or_default()));
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.replace(FaultTable::default());
    }

    /// Returns what one connection sees of the faults.
    pub(super) fn of(&self, connection: u64) -> ConnectionFaults {
        ConnectionFaults {
            connection,
            table: self.0.subscribe(),
        }
    }
}

/// The faults as one connection sees them.
#[derive(Debug, Clone)]
pub struct ConnectionFaults {
    connection: u64,
    table: watch::Receiver<FaultTable>,
}

impl ConnectionFaults {
    /// Returns the faults now.
    #[must_use]
    pub fn now(&self) -> LinkFaults {
        self.table.borrow().of(self.connection)
    }

    /// Waits until the connection is to be closed. Waits for ever once the relay is gone.
    pub async fn until_cut(mut self) {
        self.until(|faults| faults.cut).await;
    }

    /// Waits until bytes of a direction may flow.
    pub async fn until_flowing(&mut self, direction: Direction) {
        self.until(|faults| !faults.is_frozen(direction)).await;
    }

    async fn until(&mut self, condition: impl Fn(&LinkFaults) -> bool) {
        let connection = self.connection;
        let holds = |table: &FaultTable| condition(&table.of(connection));
        if self.table.wait_for(holds).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
