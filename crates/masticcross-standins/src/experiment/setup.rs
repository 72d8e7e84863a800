//! What an experiment varies.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_config::{Document, Limits, Service, Team, Times, Zone};
use masticcross_entry::dispatch::queue::QueuePolicy;
use masticcross_entry::dispatch::workers::PlacementRule;

use super::Mix;

/// Name of the service in all experiments.
pub const SERVICE: &str = "quote-desk";

/// How a modelled worker treats its tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// Runs each task in its time.
    Good,
    /// Fails every task at once.
    FailAll,
    /// Fails this share of its tasks at once.
    FailSome(f64),
    /// Takes this many times longer.
    Slow(f64),
    /// Never ends a task.
    Hang,
}

/// What happens to the system during an experiment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// A worker changes its behaviour from now on.
    Behave(u32, Behaviour),
    /// Operators take a zone out of service.
    ZoneOut(u32),
    /// Operators put a zone back into service.
    ZoneBack(u32),
    /// Jobs arrive this many times faster from now on.
    Rate(f64),
    /// Run times of new jobs are multiplied by this from now on, at the same load.
    RunTimes(f64),
    /// Callers cancel every second job that is not ended.
    CancelHalf,
    /// A worker's session ends, and its tasks go on.
    Disconnect(u32),
    /// A worker's session opens again.
    Connect(u32),
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Order of tasks.
    pub queue: QueuePolicy,
    /// Choice of workers.
    pub rule: PlacementRule,
    /// Number of workers.
    pub workers: u32,
    /// Slots of each worker.
    pub slots: u32,
    /// Credits beyond the slots of each worker.
    pub prefetch: u32,
    /// Number of availability zones; workers are spread evenly.
    pub zones: u32,
    /// Weights of the teams, which submit equally much.
    pub weights: Vec<u32>,
    /// Quota of each team.
    pub quota: Option<u32>,
    /// One-way time between entry and agent.
    pub latency: Duration,
    /// Work that arrives, as a share of what all slots can do.
    pub load: f64,
    /// Sizes and run times of jobs.
    pub mix: Mix,
    /// Time that callers allow for a job.
    pub deadline: Duration,
    /// True if jobs pass the check before they are queued.
    pub check: bool,
    /// Jobs that arrive before this do not count.
    pub warm_up: Duration,
    /// Time for which jobs arrive.
    pub length: Duration,
    /// What happens when.
    pub actions: Vec<(Duration, Action)>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 1,
            queue: QueuePolicy::default(),
            rule: PlacementRule::default(),
            workers: 10,
            slots: 8,
            prefetch: 0,
            zones: 4,
            weights: vec![4, 2, 2, 1],
            quota: None,
            latency: Duration::from_micros(500),
            load: 0.7,
            mix: Mix::Guild,
            deadline: Duration::from_secs(10),
            check: true,
            warm_up: Duration::from_secs(20),
            length: Duration::from_secs(320),
            actions: Vec::new(),
        }
    }
}

impl Setup {
    /// Returns the configuration document with some zones out of service.
    #[must_use]
    pub fn document(&self, zones_out: &[u32]) -> Document {
        let service = Service {
            max_deadline_ms: 60_000,
            default_deadline_ms: 10_000,
            max_waiting_tasks: 20_000,
        };
        let zone = |id: u32| Zone {
            in_service: !zones_out.contains(&id),
        };
        let team = |weight: u32| Team {
            weight,
            max_tasks: self.quota,
        };
        let weights = self.weights.iter().zip(0..);
        Document {
            schema: masticcross_config::document::SCHEMA_VERSION,
            services: BTreeMap::from([(Name::from(SERVICE), service)]),
            zones: (0..self.zones)
                .map(|id| (zone_name(id), zone(id)))
                .collect(),
            teams: weights.map(|(w, id)| (team_name(id), team(*w))).collect(),
            limits: Limits::default(),
            times: Times::default(),
        }
    }
}

/// Returns the name of a zone.
#[must_use]
pub fn zone_name(id: u32) -> Name {
    Name::from(format!("zone-{id}"))
}

/// Returns the name of a team.
#[must_use]
pub fn team_name(id: usize) -> Name {
    Name::from(format!("team-{id:02}"))
}
