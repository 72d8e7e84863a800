//! The state that all entries agree on: a fold of the streams `config` and `partitions`.
//!
//! Every entry reads both streams in order and applies each record by the same rules, so entries
//! that have read equally far have equal state. Nothing is voted on: the order of the log decides.
//!
//! ```
//! use masticcross_ledger::AgreedState;
//!
//! let state = AgreedState::default();
//! assert_eq!(state.config.version, 0);
//! ```

mod append;
pub mod fold;
pub mod ledger;
pub mod publish;
pub mod record;
pub mod settings;
mod snapshot;
pub mod state;
mod tail;

pub use ledger::{Ledger, LedgerIdentity};
pub use publish::{ConfigHistory, PublishOutcome, publish, read_config};
pub use record::{
    AdmissionBatch, AdmissionRecord, ConfigChange, ConfigRecord, ConfigSnapshot, EndedRecord,
    PartitionClaim, PartitionsChange, PartitionsRecord, PartitionsSnapshot,
};
pub use settings::LedgerSettings;
pub use state::{AgreedConfig, AgreedState, Ownership, RegisteredAgent};

/// Stream of configuration documents.
pub const CONFIG_STREAM: &str = "config";

/// Stream of members, owners and agents. Its name ends with the region's.
pub const PARTITIONS_STREAM: &str = "partitions";

/// Stream of admitted jobs. Its name ends with the region's.
pub const ADMISSIONS_STREAM: &str = "admissions";

/// Returns the name of a region's stream.
#[must_use]
pub fn region_stream(stream: &str, region: &str) -> String {
    format!("{stream}.{region}")
}
