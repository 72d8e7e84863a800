//! The state that all entries replicate: a fold of the streams `config` and `partitions`.
//!
//! Every entry reads both streams in order and applies each record by the same rules. Entries that
//! have read up to the same positions therefore have the same state. There is no voting between
//! entries; the order of records in the log decides.
//!
//! ```
//! use masticcross_ledger::ReplicatedState;
//!
//! let state = ReplicatedState::default();
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
pub use state::{Ownership, RegisteredAgent, ReplicatedConfig, ReplicatedState};

/// Name of the stream of configuration documents.
pub const CONFIG_STREAM: &str = "config";

/// Prefix of the name of the stream of members, owners and agents; see [`region_stream`].
pub const PARTITIONS_STREAM: &str = "partitions";

/// Prefix of the name of the stream of admitted jobs; see [`region_stream`].
pub const ADMISSIONS_STREAM: &str = "admissions";

/// Returns the name of a stream of a region.
#[must_use]
pub fn region_stream(stream: &str, region: &str) -> String {
    format!("{stream}.{region}")
}
