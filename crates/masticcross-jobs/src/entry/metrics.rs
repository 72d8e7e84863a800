//! Metrics of an entry's own load and of the transfer of jobs.

use prometheus::{Gauge, IntCounter, IntCounterVec, Opts, Registry};

use crate::metrics::Result;
use crate::own_load::OwnLoad;

/// Gauges and counters.
#[derive(Debug, Clone)]
pub struct HandoverMetrics {
    lag: Gauge,
    transfer_share: Gauge,
    shed_share: Gauge,
    /// Jobs transferred to other entries.
    pub transferred: IntCounter,
    /// Transferred jobs that ended, by result.
    pub ends: IntCounterVec,
    /// Jobs received from other entries.
    pub received: IntCounter,
    /// Received jobs that were returned, by reason.
    pub not_accepted: IntCounterVec,
    /// Jobs refused because of the entry's own load.
    pub shed: IntCounter,
    /// Jobs that were to be transferred, but that no entry accepted.
    pub blocked: IntCounter,
    /// Credit granted to other entries, in jobs.
    pub credit: IntCounter,
}

impl HandoverMetrics {
    /// Creates the metrics in a registry.
    ///
    /// # Errors
    /// Fails if a name is registered twice.
    pub fn new(registry: &Registry) -> Result<Self> {
        let gauge = |name: &str, help: &str| -> Result<Gauge> {
            let gauge = Gauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let counters = |name: &str, help: &str, label: &str| -> Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        Ok(Self {
            lag: gauge("own_lag_seconds", "Smoothed lag of the tick loop")?,
            transfer_share: gauge("transfer_share", "Share of the arriving jobs to transfer")?,
            shed_share: gauge("shed_share", "Share of the other jobs to refuse at once")?,
            transferred: counter("jobs_transferred_total", "Jobs sent to other entries")?,
            ends: counters("transfers_ended_total", "Transferred jobs ended", "result")?,
            received: counter("jobs_received_total", "Jobs accepted of other entries")?,
            not_accepted: counters(
                "jobs_not_accepted_total",
                "Received jobs returned",
                "reason",
            )?,
            shed: counter("jobs_shed_total", "Jobs refused because of the own load")?,
            blocked: counter(
                "transfers_blocked_total",
                "Jobs to transfer, but not accepted",
            )?,
            credit: counter("credit_granted_total", "Jobs granted to other entries")?,
        })
    }

    /// Sets the gauges.
    pub fn set(&self, load: &OwnLoad) {
        self.lag.set(load.lag_ms() / 1_000.0);
        self.transfer_share.set(load.transfer_share());
        self.shed_share.set(load.shed_share());
    }
}
