//! A simulated worker: slots, run times and faults.

use std::collections::VecDeque;
use std::time::Duration;

use masticcross_basics::Name;
use rand::Rng;
use rand::rngs::SmallRng;

use super::Behaviour;
use super::model::TaskEnd;

/// Time after which a faulty worker fails a task.
const FAILURE_DELAY: Duration = Duration::from_millis(1);

/// A simulated task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SimulatedTask {
    /// Index of the job in the simulation.
    pub job: usize,
    /// Index of the task in the job.
    pub index: u16,
    /// Number of the attempt.
    pub attempt: u64,
    /// Run time of the task on a healthy worker.
    pub run_time: Duration,
}

/// Simulated run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SimulatedRun {
    /// The task succeeds after this time.
    Done(Duration),
    /// The task fails after this time.
    Failed(Duration),
    /// The task never ends.
    Never,
}

/// State of a simulated worker.
#[derive(Debug)]
pub struct SimulatedWorker {
    /// Name of the worker.
    pub name: Name,
    /// Number of its zone.
    pub zone: u32,
    /// How the worker runs its tasks.
    pub behaviour: Behaviour,
    /// Number of the current or last session, counted from 1.
    pub session: u64,
    /// True while the session is open.
    pub connected: bool,
    /// Total of credits granted on the session.
    pub credit: u64,
    /// Number of running tasks.
    pub running: u32,
    /// Tasks that wait for a slot.
    pub queue: VecDeque<SimulatedTask>,
    /// Tasks that ended while no session was open; reported when the next one opens.
    pub(super) unreported_ends: Vec<(usize, TaskEnd)>,
}

impl SimulatedWorker {
    /// Creates a healthy worker with an open session.
    #[must_use]
    pub fn new(id: u32, zones: u32) -> Self {
        Self {
            name: Name::from(format!("worker-{id:04}")),
            zone: id % zones,
            behaviour: Behaviour::Healthy,
            session: 1,
            connected: true,
            credit: 0,
            running: 0,
            queue: VecDeque::new(),
            unreported_ends: Vec::new(),
        }
    }

    /// Simulates a run of a task that starts now and takes `run_time` on a healthy worker.
    pub fn simulate_run(&self, run_time: Duration, rng: &mut SmallRng) -> SimulatedRun {
        match self.behaviour {
            Behaviour::FailAll => SimulatedRun::Failed(FAILURE_DELAY),
            Behaviour::FailSome(share) if rng.random_bool(share) => {
                SimulatedRun::Failed(FAILURE_DELAY)
            }
            Behaviour::Healthy | Behaviour::FailSome(_) => SimulatedRun::Done(run_time),
            Behaviour::Slow(factor) => SimulatedRun::Done(run_time.mul_f64(factor)),
            Behaviour::Hang => SimulatedRun::Never,
        }
    }
}
