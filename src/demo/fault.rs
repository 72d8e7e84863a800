//! Faults that the demo causes while it runs.

use std::str::FromStr;
use std::time::Duration;

use eyre::Result;

use super::cluster::Cluster;

/// What goes wrong, or comes back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// An entry is killed.
    KillEntry,
    /// A worker's agent and backend server are killed.
    KillAgent,
    /// An availability zone is taken out of service.
    ZoneOut(String),
    /// An availability zone is brought back.
    ZoneIn(String),
    /// The log stops answering.
    LogDown,
    /// The log answers again.
    LogUp,
}

/// A fault at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Time after the sample job.
    pub after: Duration,
    /// What happens.
    pub kind: Kind,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let (kind, seconds) = text.rsplit_once('@').ok_or_else(|| usage(text))?;
        let seconds: u64 = seconds.parse().map_err(|_| usage(text))?;
        let kind = match kind.split_once(':') {
            Some(("zone-out", zone)) => Kind::ZoneOut(zone.to_owned()),
            Some(("zone-in", zone)) => Kind::ZoneIn(zone.to_owned()),
            None if kind == "kill-entry" => Kind::KillEntry,
            None if kind == "kill-agent" => Kind::KillAgent,
            None if kind == "log-down" => Kind::LogDown,
            None if kind == "log-up" => Kind::LogUp,
            _ => return Err(usage(text)),
        };
        Ok(Self {
            after: Duration::from_secs(seconds),
            kind,
        })
    }
}

impl Fault {
    /// Causes the fault.
    ///
    /// # Errors
    /// Fails if a zone cannot be taken out or brought back.
    pub async fn cause(&self, cluster: &mut Cluster) -> Result<()> {
        match &self.kind {
            Kind::KillEntry => cluster.kill_entry(),
            Kind::KillAgent => cluster.kill_agent(),
            Kind::ZoneOut(zone) => cluster.set_zone(zone, false).await?,
            Kind::ZoneIn(zone) => cluster.set_zone(zone, true).await?,
            Kind::LogDown => cluster.set_log_down(true),
            Kind::LogUp => cluster.set_log_down(false),
        }
        Ok(())
    }
}

fn usage(text: &str) -> String {
    format!(
        "{text:?} is no fault; accepted are kill-entry@S, kill-agent@S, zone-out:ZONE@S, \
         zone-in:ZONE@S, log-down@S and log-up@S, with S in seconds"
    )
}
