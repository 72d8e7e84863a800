//! Support for tests in which several entries read one log on a paused clock.

use std::sync::Arc;

use masticcross_basics::timeline::Timeline;
use masticcross_basics::{Epoch, Name, Partition};
use masticcross_config::samples;
use masticcross_ledger::{
    Ledger, LedgerIdentity, LedgerSettings, PartitionClaim, PartitionsChange,
};
use masticcross_log::Log;
use masticcross_standins::log::{MemoryLog, MemoryLogSettings};
use masticcross_wire::{Incarnation, Member};

/// Name of the stream of members and owners in the region of the tests.
pub const PARTITIONS_STREAM: &str = "partitions.perth";

pub fn new_log() -> MemoryLog {
    MemoryLog::new(MemoryLogSettings::default())
}

/// Starts a ledger that reads the log under the name of its entry.
pub fn start(log: &MemoryLog, name: &str, settings: LedgerSettings) -> Arc<Ledger> {
    start_on(Arc::new(log.client(name)), name, settings)
}

/// Starts a ledger that reads a log.
pub fn start_on(log: Arc<dyn Log>, name: &str, settings: LedgerSettings) -> Arc<Ledger> {
    let identity = LedgerIdentity {
        name: Name::from(name),
        incarnation: 1,
        region: Name::from("perth"),
    };
    let timeline = Timeline::new(Name::from(name), 1000);
    let ledger = Ledger::with_settings(identity, log, timeline, settings);
    tokio::spawn(ledger.clone().run());
    ledger
}

pub fn join(name: &str, incarnation: Incarnation) -> PartitionsChange {
    let member = Member {
        name: Name::from(name),
        incarnation,
        addr: ([127, 0, 0, 1], 7000).into(),
        zone: Name::from("perth-north"),
    };
    PartitionsChange::Join { member }
}

pub fn claim(name: &str, partition: u16, previous: Epoch) -> PartitionsChange {
    PartitionsChange::Claim {
        owner: Name::from(name),
        incarnation: 1,
        partitions: vec![PartitionClaim {
            partition: Partition(partition),
            previous,
        }],
    }
}

/// Returns a configuration document that contains a number, so that documents differ.
pub fn document(number: u32) -> String {
    let max = format!("max_deadline_ms = {}", 30_000 + number);
    samples::GUILD.replacen("max_deadline_ms = 30000", &max, 1)
}
