//! Names, job ids, result codes, the timeline and logging, shared by all packages of masticcross.
//!
//! ```
//! use masticcross_basics::{Code, JobKey};
//!
//! let key = JobKey::new("quote-desk", "order-17").expect("both names are valid");
//! assert!(key.partition().index() < masticcross_basics::PARTITIONS);
//! assert_eq!(Code::UnknownTeam.number(), 1007);
//! ```

pub mod code;
pub mod job;
pub mod logging;
pub mod name;
pub mod secret;
pub mod status;
pub mod timeline;

pub use code::Code;
pub use job::{AttemptId, Digest, Epoch, JobKey, PARTITIONS, Partition, TaskIndex};
pub use name::{Name, NameError};
pub use status::ProcessStatus;
