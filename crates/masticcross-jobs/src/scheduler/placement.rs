//! Choice of tasks and workers.

use std::collections::{BTreeMap, Bound};
use std::sync::Arc;

use masticcross_basics::Name;
use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{PoolFrame, Resources, RunRequest, WorkerInfo};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::crashes::confinement::{Limit, Place};
use crate::crashes::suspects::Verdict;

use super::table::{Job, JobNumber, TaskPos, TaskState, Urgency};
use super::worker::load;
use super::{Effect, Scheduler};

/// Jobs skipped for lack of resources before the search ends.
const MAX_SKIPPED_JOBS: usize = 8;

/// Cost factor of a worker that is far from the task's data, without the setting `remote_factor`.
const REMOTE_DATA_FACTOR: f64 = 1.5;

/// A worker that can get runs now.
struct Candidate {
    name: Name,
    info: Arc<WorkerInfo>,
    free: Resources,
    slots: u32,
    /// Position among the workers of the service, if a queue is confined.
    place: Option<Place>,
    /// True if a run that may not start close to another such run can start now.
    takes_spaced: bool,
}

/// What a task requires of a worker beside resources.
#[derive(Debug, Clone, Copy)]
pub(super) struct Conditions {
    pub(super) isolation: Isolation,
    /// Limit of the task's queue, if it is confined.
    pub(super) limit: Option<Limit>,
}

/// Result of an attempt to place the waiting tasks of a job.
enum Placed {
    /// All tasks were sent.
    All,
    /// No worker has room for one of the tasks.
    NoRoom,
    /// The workers that are left to the job's confined queue have no room for one of the tasks.
    QueueFull,
    /// A suspect waits until it may start. This does not concern other jobs.
    Held,
}

impl Scheduler {
    /// Places waiting tasks as long as there are free resources.
    pub(super) fn place(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now);
        let mut run_requests: BTreeMap<Name, Vec<RunRequest>> = BTreeMap::new();
        let mut skipped = 0;
        let mut full_queues: SmallVec<[Name; 2]> = SmallVec::new();
        let mut next = self.waiting.first().copied();
        while let Some(rank) = next {
            if candidates.is_empty() || skipped >= MAX_SKIPPED_JOBS {
                break;
            }
            let number = rank.2;
            let queue = self.jobs.get(&number).map(|job| job.queue.name.clone());
            if !queue
                .as_ref()
                .is_some_and(|queue| full_queues.contains(queue))
            {
                match self.place_job(number, &mut candidates, &mut run_requests, now) {
                    Placed::All | Placed::Held => {}
                    Placed::NoRoom => skipped += 1,
                    Placed::QueueFull => full_queues.extend(queue),
                }
            }
            // Ranks the job among those before the next one if its first task has just been sent.
            self.rank(number, now);
            let after = (Bound::Excluded(rank), Bound::Unbounded);
            next = self.waiting.range(after).next().copied();
        }
        for (name, run_requests) in run_requests {
            let session = self.workers.get(&name).and_then(|worker| worker.session);
            if let Some(session) = session {
                self.effects
                    .push(Effect::Send(session, PoolFrame::Run(run_requests)));
            }
        }
    }

    /// Places the waiting tasks of a job.
    fn place_job(
        &mut self,
        number: JobNumber,
        candidates: &mut Vec<Candidate>,
        run_requests: &mut BTreeMap<Name, Vec<RunRequest>>,
        now: Instant,
    ) -> Placed {
        let Some(job) = self.jobs.get(&number) else {
            return Placed::All;
        };
        let mut placed = Placed::All;
        for pos in job.waiting() {
            let Some(conditions) = self.conditions(number, pos) else {
                break;
            };
            if self.is_too_risky(number, pos, conditions, now) {
                placed = Placed::Held;
                continue;
            }
            let Some(chosen) = self.choose(number, pos, conditions, candidates) else {
                match conditions {
                    Conditions {
                        isolation: Isolation::Shared,
                        limit: None,
                    } => return Placed::NoRoom,
                    Conditions {
                        isolation: Isolation::Shared,
                        limit: Some(_),
                    } => return Placed::QueueFull,
                    Conditions { .. } => {
                        placed = Placed::Held;
                        continue;
                    }
                }
            };
            let name = candidates[chosen].name.clone();
            let may_wait = conditions.isolation == Isolation::Shared && conditions.limit.is_none();
            if may_wait && self.wait_for_place(number, pos, &name, now) {
                continue;
            }
            let candidate = &mut candidates[chosen];
            let Some(run_request) = self.send(number, pos, conditions.isolation, &name, now) else {
                continue;
            };
            candidate.free = candidate.free.minus(run_request.resources);
            candidate.slots -= 1;
            match conditions.isolation {
                Isolation::Shared => {}
                Isolation::Spaced => candidate.takes_spaced = false,
                Isolation::Alone => candidate.slots = 0,
            }
            if candidate.slots == 0 {
                candidates.swap_remove(chosen);
            }
            log::debug!(run:% = run_request.id, worker:% = name, waited_ms = waited(&self.jobs[&number], now); "run sent");
            run_requests.entry(name).or_default().push(run_request);
        }
        placed
    }

    fn conditions(&self, number: JobNumber, pos: TaskPos) -> Option<Conditions> {
        let job = self.jobs.get(&number)?;
        Some(Conditions {
            isolation: self.isolation(job, pos),
            limit: self.confinement.limit(&job.queue.name),
        })
    }

    /// Returns true if a run may crash one of the last workers that are left to its confined queue. A
    /// repeated suspect runs all the same, as the result protects the other workers.
    fn is_too_risky(
        &self,
        number: JobNumber,
        pos: TaskPos,
        conditions: Conditions,
        now: Instant,
    ) -> bool {
        let (Some(job), Some(limit)) = (self.jobs.get(&number), conditions.limit) else {
            return false;
        };
        conditions.isolation == Isolation::Alone
            && self.suspects.verdict(&job.run_id(pos, 0).task) == Verdict::Suspect
            && !self.confined_workers(&job.queue, limit, now).allow_risk()
    }

    /// Returns true if a worker has room for a waiting task of a job.
    pub(super) fn has_room_for(&self, job: &Job, now: Instant) -> bool {
        let waiting = job.waiting();
        let candidates = self.candidates(now);
        let fits = |pos: &TaskPos| {
            let conditions = Conditions {
                isolation: self.isolation(job, *pos),
                limit: self.confinement.limit(&job.queue.name),
            };
            candidates.iter().any(|c| accepts(job, *pos, conditions, c))
        };
        waiting.iter().any(fits)
    }

    fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let places = self.places(now);
        let candidate = |worker: &super::worker::Worker| {
            let info = worker.info.as_ref()?;
            worker.session?;
            if info.leaving || view.zones_out.contains(&info.zone) {
                return None;
            }
            let slots = worker.slots(now);
            let free = worker.free();
            (slots > 0 && free.cpu > 0).then(|| Candidate {
                name: worker.name.clone(),
                info: info.clone(),
                free,
                slots,
                place: places.get(&worker.name).copied(),
                takes_spaced: worker.spaced_until.is_none_or(|until| until <= now),
            })
        };
        self.workers.values().filter_map(candidate).collect()
    }

    /// Returns the index of the best worker for a task. Workers on which the task failed come last.
    fn choose(
        &self,
        number: JobNumber,
        pos: TaskPos,
        conditions: Conditions,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let job = self.jobs.get(&number)?;
        let task = job.task(pos)?;
        let fits = |c: &&(usize, &Candidate)| accepts(job, pos, conditions, c.1);
        let rated = candidates.iter().enumerate().collect::<Vec<_>>();
        let rated = rated.iter().filter(fits).map(|(index, candidate)| {
            let avoided = task.avoid.contains(&candidate.name);
            let cost = match conditions.isolation {
                Isolation::Shared | Isolation::Spaced => self.rate(job, pos, candidate),
                Isolation::Alone => load(candidate.info.capacity, candidate.free),
            };
            (avoided, cost, *index)
        });
        let best = rated.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, index)| index)
    }

    fn rate(&self, job: &Job, pos: TaskPos, candidate: &Candidate) -> f64 {
        let Some(worker) = self.workers.get(&candidate.name) else {
            return f64::INFINITY;
        };
        let cost = worker.cost(&self.zone, candidate.free);
        match &job.step(pos).data_label {
            Some(label) if !candidate.info.labels.contains(label) => {
                cost * self.remote_cost_factor().unwrap_or(REMOTE_DATA_FACTOR)
            }
            _ => cost,
        }
    }

    /// Marks a task as sent to a worker and returns the run request.
    fn send(
        &mut self,
        number: JobNumber,
        pos: TaskPos,
        isolation: Isolation,
        worker: &Name,
        now: Instant,
    ) -> Option<RunRequest> {
        let rank = self.ranks.get(&number);
        let late = rank.is_some_and(|rank| rank.0 == Urgency::Late);
        let job = self.jobs.get_mut(&number)?;
        let task = job.task_mut(pos)?;
        task.run += 1;
        task.state = TaskState::Running(worker.clone());
        let run = task.run;
        job.runs += 1;
        job.first_sent.get_or_insert(now);
        let step = job.step(pos);
        let run_request = RunRequest {
            id: job.run_id(pos, run),
            resources: step.resources,
            queue: job.queue.name.clone(),
            spec: job.request.spec.clone(),
            isolation,
            expected_ms: step.expected_ms,
            late,
            priority: job.queue.priority,
        };
        let worker = self.workers.get_mut(worker)?;
        let name = worker.name.clone();
        worker.record_sent(&run_request, now);
        self.record_place(number, pos, &name, now);
        Some(run_request)
    }
}

/// Returns true if a worker can run a task of the job.
fn accepts(job: &Job, pos: TaskPos, conditions: Conditions, candidate: &Candidate) -> bool {
    let step = job.step(pos);
    let info = &candidate.info;
    let has_room = match conditions.isolation {
        Isolation::Shared => candidate.free.covers(&step.resources),
        Isolation::Spaced => candidate.takes_spaced && candidate.free.covers(&step.resources),
        Isolation::Alone => info.capacity.covers(&step.resources),
    };
    has_room
        && is_open_to(candidate.place, conditions)
        && is_eligible(job, pos, &candidate.name, info)
}

/// Returns true if a worker may run a task of the job when it has free resources.
pub(super) fn is_eligible(job: &Job, pos: TaskPos, name: &Name, info: &WorkerInfo) -> bool {
    let step = job.step(pos);
    let label = step.label.as_ref();
    let within = |max: u16| job.placed_on(pos.0, name) < usize::from(max);
    info.service == job.queue.service
        && label.is_none_or(|label| info.labels.contains(label))
        && step.max_per_worker.is_none_or(within)
}

/// Returns true if a worker at the given place runs tasks under the given conditions.
pub(super) fn is_open_to(place: Option<Place>, conditions: Conditions) -> bool {
    let Some(place) = place else {
        return true;
    };
    match conditions.limit {
        Some(limit) => place.is_within(limit),
        None => conditions.isolation == Isolation::Alone || !place.is_exclusive(),
    }
}

fn waited(job: &Job, now: Instant) -> u64 {
    let waited = now.saturating_duration_since(job.arrived);
    u64::try_from(waited.as_millis()).unwrap_or(u64::MAX)
}
