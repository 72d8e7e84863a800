//! A modelled worker: slots, run times and faults.

use std::collections::VecDeque;
use std::time::Duration;

use masticcross_basics::Name;
use rand::Rng;
use rand::rngs::SmallRng;

use super::Behaviour;
use super::model::End;

/// Time in which a bad worker fails a task.
const FAIL_TIME: Duration = Duration::from_millis(1);

/// A task as the model knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelTask {
    /// Number of the job.
    pub job: usize,
    /// Position in the job.
    pub index: u16,
    /// Number of the attempt.
    pub attempt: u64,
    /// Time that the task takes on a good worker.
    pub run: Duration,
}

/// What becomes of a task that starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It ends well after this time.
    Done(Duration),
    /// It fails after this time.
    Failed(Duration),
    /// It never ends.
    Never,
}

/// A worker of the model.
#[derive(Debug)]
pub struct ModelWorker {
    /// Name of the worker.
    pub name: Name,
    /// Number of its zone.
    pub zone: u32,
    /// How it treats its tasks.
    pub behaviour: Behaviour,
    /// Number of the session, from 1.
    pub session: u64,
    /// True while the session is open.
    pub connected: bool,
    /// Total of credits given on the session.
    pub credit: u64,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait for a slot.
    pub queue: VecDeque<ModelTask>,
    /// Tasks that ended while no session was open.
    pub(super) unsent: Vec<(usize, End)>,
}

impl ModelWorker {
    /// Creates a good worker.
    #[must_use]
    pub fn new(id: u32, zones: u32) -> Self {
        Self {
            name: Name::from(format!("worker-{id:04}")),
            zone: id % zones,
            behaviour: Behaviour::Good,
            session: 1,
            connected: true,
            credit: 0,
            running: 0,
            queue: VecDeque::new(),
            unsent: Vec::new(),
        }
    }

    /// Decides what becomes of a task that starts now.
    pub fn fate(&self, run: Duration, rng: &mut SmallRng) -> Fate {
        match self.behaviour {
            Behaviour::FailAll => Fate::Failed(FAIL_TIME),
            Behaviour::FailSome(share) if rng.random_bool(share) => Fate::Failed(FAIL_TIME),
            Behaviour::Good | Behaviour::FailSome(_) => Fate::Done(run),
            Behaviour::Slow(factor) => Fate::Done(run.mul_f64(factor)),
            Behaviour::Hang => Fate::Never,
        }
    }
}
