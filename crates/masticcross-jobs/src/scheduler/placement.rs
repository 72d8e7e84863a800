//! Choice of tasks and workers.

use std::collections::{BTreeMap, Bound};

use masticcross_basics::Name;
use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{PoolFrame, RunRequest, WorkerInfo};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::crashes::confinement::{Limit, Place};
use crate::crashes::suspects::Verdict;

use super::table::{Job, JobNumber, TaskPos, TaskState, Urgency};
use super::worker::load;
use super::workers::Candidate;
use super::{Effect, Placement, Rank, Scheduler};

/// Jobs skipped for lack of resources before the search ends.
const MAX_SKIPPED_JOBS: usize = 8;

/// Changes of workers after which a job that still has no room remembers the latest one.
const MAX_REMEMBERED_CHANGES: u64 = 8;

/// Cost factor of a worker that is far from the task's data, without the setting `remote_factor`.
const REMOTE_DATA_FACTOR: f64 = 1.5;

/// What a task requires of a worker beside resources.
#[derive(Debug, Clone, Copy)]
pub(super) struct Conditions {
    pub(super) isolation: Isolation,
    /// Limit of the task's queue, if it is confined.
    pub(super) limit: Option<Limit>,
    pub(super) now: Instant,
}

impl Conditions {
    /// Returns true if only resources and the state of the workers decide where the task can run.
    fn are_usual(&self) -> bool {
        self.isolation == Isolation::Shared && self.limit.is_none()
    }
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
        if let Placement::Held { due } = &mut self.placement {
            *due = true;
            return;
        }
        if self.waiting.is_empty() {
            return;
        }
        self.refresh_candidates(now);
        let mut run_requests: BTreeMap<Name, Vec<RunRequest>> = BTreeMap::new();
        let mut skipped = 0;
        let mut full_queues: SmallVec<[Name; 2]> = SmallVec::new();
        let mut next = self.waiting.keys().next().copied();
        while let Some(rank) = next {
            if !self.workers.has_candidates() || skipped >= MAX_SKIPPED_JOBS {
                break;
            }
            match self.place_unless_full(rank.2, &mut full_queues, &mut run_requests, now) {
                Placed::All | Placed::Held | Placed::QueueFull => {}
                Placed::NoRoom => skipped += 1,
            }
            self.rank_after_placement(rank, now);
            let after = (Bound::Excluded(rank), Bound::Unbounded);
            next = self.waiting.range(after).next().map(|(rank, _)| *rank);
        }
        for (name, run_requests) in run_requests {
            let session = self.workers.get(&name).and_then(|worker| worker.session);
            if let Some(session) = session {
                self.effects
                    .push(Effect::Send(session, PoolFrame::Run(run_requests)));
            }
        }
    }

    /// Ranks a job again if it has started, or if it can no longer be in time.
    fn rank_after_placement(&mut self, rank: Rank, now: Instant) {
        let job = self.jobs.get(&rank.2);
        let changed = job.is_none_or(|job| job.ranked_with != Some((job.runs, job.ran)));
        if changed || is_now_late(rank, now) {
            self.rank(rank.2, now);
        }
    }

    /// Places the waiting tasks of a job, unless it is known that there is no room for the first one.
    fn place_unless_full(
        &mut self,
        number: JobNumber,
        full_queues: &mut SmallVec<[Name; 2]>,
        run_requests: &mut BTreeMap<Name, Vec<RunRequest>>,
        now: Instant,
    ) -> Placed {
        if self.still_has_no_room(number, now) {
            return Placed::NoRoom;
        }
        let queue = self.jobs.get(&number).map(|job| job.queue.name.clone());
        let is_full = |queue: &Name| full_queues.contains(queue);
        if queue.as_ref().is_some_and(is_full) {
            return Placed::QueueFull;
        }
        let placed = self.place_job(number, run_requests, now);
        if matches!(placed, Placed::QueueFull) {
            full_queues.extend(queue);
        }
        placed
    }

    /// Places the waiting tasks of a job.
    fn place_job(
        &mut self,
        number: JobNumber,
        run_requests: &mut BTreeMap<Name, Vec<RunRequest>>,
        now: Instant,
    ) -> Placed {
        let Some(job) = self.jobs.get(&number) else {
            return Placed::All;
        };
        let mut placed = Placed::All;
        for pos in job.waiting() {
            let Some(conditions) = self.conditions(number, pos, now) else {
                break;
            };
            if self.is_too_risky(number, pos, conditions, now) {
                placed = Placed::Held;
                continue;
            }
            let Some(chosen) = self.choose(number, pos, conditions) else {
                self.remember_no_room(number, pos, conditions);
                match conditions {
                    Conditions {
                        isolation: Isolation::Shared,
                        limit: None,
                        ..
                    } => return Placed::NoRoom,
                    Conditions {
                        isolation: Isolation::Shared,
                        limit: Some(_),
                        ..
                    } => return Placed::QueueFull,
                    Conditions { .. } => {
                        placed = Placed::Held;
                        continue;
                    }
                }
            };
            let name = chosen;
            let may_wait = conditions.isolation == Isolation::Shared && conditions.limit.is_none();
            if may_wait && self.wait_for_place(number, pos, &name, now) {
                if let Some(job) = self.jobs.memory_mut(&number) {
                    job.ranked_with = None;
                }
                continue;
            }
            let Some(run_request) = self.send(number, pos, conditions.isolation, &name, now) else {
                continue;
            };
            // Runs of suspects may be queued at a worker that is full.
            let needs_cpu = self.suspects.is_empty();
            self.workers
                .run_sent(&name, run_request.resources, needs_cpu);
            if conditions.isolation == Isolation::Alone {
                self.workers.close(&name);
            }
            log::debug!(run:% = run_request.id, worker:% = name, waited_ms = waited(&self.jobs[&number], now); "run sent");
            run_requests.entry(name).or_default().push(run_request);
        }
        placed
    }

    pub(super) fn conditions(
        &self,
        number: JobNumber,
        pos: TaskPos,
        now: Instant,
    ) -> Option<Conditions> {
        let job = self.jobs.get(&number)?;
        Some(Conditions {
            isolation: self.isolation(job, pos),
            limit: self.confinement.limit(&job.queue.name),
            now,
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
        let limit = self.confinement.limit(&job.queue.name);
        let mut previous = None;
        job.waiting().into_iter().any(|pos| {
            let isolation = self.isolation(job, pos);
            let conditions = Conditions {
                isolation,
                limit,
                now,
            };
            // Tasks of a step differ only by their isolation.
            let is_repeated = previous.replace((pos.0, isolation)) == Some((pos.0, isolation));
            !is_repeated && self.options(job, pos, conditions).next().is_some()
        })
    }

    pub(super) fn refresh_candidates(&mut self, now: Instant) {
        self.workers.refresh(self.view.as_ref(), now);
        let places = self.places(now);
        self.workers.set_places(&places);
    }

    /// Returns the workers that can run a task of a job, in any order. Those that had no room for it and
    /// have not changed since are left out unseen.
    fn options(
        &self,
        job: &Job,
        pos: TaskPos,
        conditions: Conditions,
    ) -> impl Iterator<Item = &Candidate> {
        let no_room = job
            .no_room
            .filter(|(step, _)| *step == pos.0 && conditions.are_usual());
        let changed = no_room.and_then(|(_, stamp)| self.workers.candidates_after(stamp));
        let all = changed.is_none().then(|| self.workers.candidates());
        let candidates = changed.into_iter().flatten();
        let candidates = candidates.chain(all.into_iter().flatten());
        candidates.filter(move |candidate| accepts(job, pos, conditions, candidate))
    }

    /// Returns true if a job found no room before, and no worker that changed since has room for it. This
    /// is the usual case while jobs wait.
    fn still_has_no_room(&mut self, number: JobNumber, now: Instant) -> bool {
        if !self.suspects.is_empty() || !self.confinement.is_empty() {
            return false;
        }
        let Some(job) = self.jobs.get(&number) else {
            return false;
        };
        let (Some((step, stamp)), Some(pos)) = (job.no_room, job.first_waiting()) else {
            return false;
        };
        let conditions = Conditions {
            isolation: Isolation::Shared,
            limit: None,
            now,
        };
        let no_room = step == pos.0 && self.options(job, pos, conditions).next().is_none();
        if no_room && self.workers.stamp() > stamp + MAX_REMEMBERED_CHANGES {
            self.remember_no_room(number, pos, conditions);
        }
        no_room
    }

    /// Records that no worker has room for a task, until workers change.
    fn remember_no_room(&mut self, number: JobNumber, pos: TaskPos, conditions: Conditions) {
        let stamp = self.workers.stamp();
        if conditions.are_usual()
            && let Some(job) = self.jobs.memory_mut(&number)
        {
            job.no_room = Some((pos.0, stamp));
        }
    }

    /// Returns the best worker for a task. Workers on which the task failed come last.
    pub(super) fn choose(
        &self,
        number: JobNumber,
        pos: TaskPos,
        conditions: Conditions,
    ) -> Option<Name> {
        let job = self.jobs.get(&number)?;
        let task = job.task(pos)?;
        let rated = self.options(job, pos, conditions).map(|candidate| {
            let avoided = task.avoid.contains(&candidate.name);
            let cost = match conditions.isolation {
                Isolation::Shared | Isolation::Spaced => self.rate(job, pos, candidate),
                Isolation::Alone => load(candidate.info.capacity, candidate.free),
            };
            (avoided, cost, &candidate.name)
        });
        let best = rated.min_by(|a, b| {
            let cost = || a.1.total_cmp(&b.1);
            a.0.cmp(&b.0).then_with(cost).then_with(|| a.2.cmp(b.2))
        });
        best.map(|(_, _, name)| name.clone())
    }

    /// Returns the placement cost of a worker for a task; lower is better.
    fn rate(&self, job: &Job, pos: TaskPos, candidate: &Candidate) -> f64 {
        match &job.step(pos).data_label {
            Some(label) if !candidate.info.labels.contains(label) => {
                candidate.cost * self.remote_cost_factor().unwrap_or(REMOTE_DATA_FACTOR)
            }
            _ => candidate.cost,
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

/// Returns true if a job could be in time when it was ranked, and no longer can.
fn is_now_late(rank: Rank, now: Instant) -> bool {
    matches!(rank.0, Urgency::InTime(_)) && rank.1 < now
}

/// Returns true if a worker can run a task of the job.
fn accepts(job: &Job, pos: TaskPos, conditions: Conditions, candidate: &Candidate) -> bool {
    let step = job.step(pos);
    let info = &candidate.info;
    let has_room = match conditions.isolation {
        Isolation::Shared => candidate.free.covers(&step.resources),
        Isolation::Spaced => {
            let is_spaced = candidate.spaced_until.is_none_or(|t| t <= conditions.now);
            is_spaced && candidate.free.covers(&step.resources)
        }
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
