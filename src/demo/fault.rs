//! Faults that the demo injects while it runs.

use std::str::FromStr;
use std::time::Duration;

use eyre::Result;

use super::cluster::Cluster;

/// Kind of a fault, or of the end of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultKind {
    /// An entry is killed.
    KillEntry,
    /// A worker's agent and backend server are killed.
    KillAgent,
    /// An availability zone is taken out of service.
    ZoneOut(String),
    /// An availability zone is brought back.
    ZoneIn(String),
    /// The log becomes unavailable.
    LogDown,
    /// The log becomes available again.
    LogUp,
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Time after the sample job.
    pub after: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let (kind, seconds) = text.rsplit_once('@').ok_or_else(|| usage_error(text))?;
        let seconds: u64 = seconds.parse().map_err(|_| usage_error(text))?;
        let kind = match kind.split_once(':') {
            Some(("zone-out", zone)) => FaultKind::ZoneOut(zone.to_owned()),
            Some(("zone-in", zone)) => FaultKind::ZoneIn(zone.to_owned()),
            None if kind == "kill-entry" => FaultKind::KillEntry,
            None if kind == "kill-agent" => FaultKind::KillAgent,
            None if kind == "log-down" => FaultKind::LogDown,
            None if kind == "log-up" => FaultKind::LogUp,
            _ => return Err(usage_error(text)),
        };
        Ok(Self {
            after: Duration::from_secs(seconds),
            kind,
        })
    }
}

impl Fault {
    /// Injects the fault.
    ///
    /// # Errors
    /// Fails if a zone cannot be taken out or brought back.
    pub async fn inject(&self, cluster: &mut Cluster) -> Result<()> {
        match &self.kind {
            FaultKind::KillEntry => cluster.kill_entry(),
            FaultKind::KillAgent => cluster.kill_agent(),
            FaultKind::ZoneOut(zone) => cluster.set_zone(zone, false).await?,
            FaultKind::ZoneIn(zone) => cluster.set_zone(zone, true).await?,
            FaultKind::LogDown => cluster.set_log_down(true),
            FaultKind::LogUp => cluster.set_log_down(false),
        }
        Ok(())
    }
}

fn usage_error(text: &str) -> String {
    format!(
        "{text:?} is not a fault; accepted are kill-entry@S, kill-agent@S, zone-out:ZONE@S, \
         zone-in:ZONE@S, log-down@S and log-up@S, with S in seconds"
    )
}
