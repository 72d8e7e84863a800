//! Parameters of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_config::{Document, Limits, Service, Team, Times, Zone};
use masticcross_entry::dispatch::queue::QueuePolicy;
use masticcross_entry::dispatch::workers::PlacementRule;

use super::Mix;

/// Name of the service in every experiment.
pub const SERVICE: &str = "quote-desk";

/// How a simulated worker runs its tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// Runs each task for its drawn run time.
    Healthy,
    /// Fails every task at once.
    FailAll,
    /// Fails this share of its tasks at once.
    FailSome(f64),
    /// Multiplies run times by this factor.
    Slow(f64),
    /// Never ends a task.
    Hang,
}

/// A fault or change during an experiment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Sets the behaviour of a worker from now on.
    SetBehaviour(u32, Behaviour),
    /// Takes a zone out of service.
    ZoneOut(u32),
    /// Puts a zone back into service.
    ZoneIn(u32),
    /// Multiplies the configured arrival rate of jobs by this factor from now on.
    ScaleArrivalRate(f64),
    /// Multiplies the run times of new jobs by this factor from now on; the arrival rate is divided
    /// by it, so the load stays the same.
    ScaleRunTimes(f64),
    /// Cancels every second job that has not ended.
    CancelHalf,
    /// Ends the session of a worker; its tasks continue.
    Disconnect(u32),
    /// Opens a new session of a worker.
    Connect(u32),
}

/// Parameters of an experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Policy for the order of waiting tasks.
    pub queue: QueuePolicy,
    /// Rule for the choice of workers.
    pub rule: PlacementRule,
    /// Number of workers.
    pub workers: u32,
    /// Number of slots of each worker.
    pub slots: u32,
    /// Credits of each worker in addition to its slots.
    pub prefetch: u32,
    /// Number of availability zones; workers are distributed evenly.
    pub zones: u32,
    /// Weights of the teams; all teams submit at the same rate.
    pub weights: Vec<u32>,
    /// Quota of each team.
    pub quota: Option<u32>,
    /// One-way network latency between entry and agent.
    pub latency: Duration,
    /// Arriving work as a share of the capacity of all slots.
    pub load: f64,
    /// Distribution of the sizes and run times of jobs.
    pub mix: Mix,
    /// Deadline of a job, relative to its arrival.
    pub deadline: Duration,
    /// True if the shard's admission check can refuse jobs before they are queued.
    pub admission_check: bool,
    /// Time from the start that is excluded from the measurement.
    pub warm_up: Duration,
    /// Time from the start during which jobs arrive.
    pub duration: Duration,
    /// Actions with their times.
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
            admission_check: true,
            warm_up: Duration::from_secs(20),
            duration: Duration::from_secs(320),
            actions: Vec::new(),
        }
    }
}

impl Setup {
    /// Returns the configuration document, with the given zones out of service.
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
