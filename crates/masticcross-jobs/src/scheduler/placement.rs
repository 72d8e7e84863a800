//! Choice of tasks and workers.

use std::collections::{BTreeMap, Bound};
use std::sync::Arc;

use masticcross_basics::Name;
use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{PoolFrame, Resources, RunRequest, WorkerInfo};
use tokio::time::Instant;

use super::table::{Job, JobNumber, TaskPos, TaskState, Urgency};
use super::{Effect, Scheduler};

/// Jobs skipped for lack of resources before the search ends.
const MAX_SKIPPED_JOBS: usize = 8;

/// Cost factor of a worker that is far from the task's data.
const REMOTE_DATA_FACTOR: f64 = 1.5;

/// A worker that can get runs now.
struct Candidate {
    name: Name,
    info: Arc<WorkerInfo>,
    free: Resources,
    slots: u32,
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
        let mut next = self.waiting.first().copied();
        while let Some(rank) = next {
            if candidates.is_empty() || skipped >= MAX_SKIPPED_JOBS {
                break;
            }
            let number = rank.2;
            if !self.place_job(number, &mut candidates, &mut run_requests, now) {
                skipped += 1;
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

    /// Places the waiting tasks of a job. Returns false if no worker fits one of them.
    fn place_job(
        &mut self,
        number: JobNumber,
        candidates: &mut Vec<Candidate>,
        run_requests: &mut BTreeMap<Name, Vec<RunRequest>>,
        now: Instant,
    ) -> bool {
        let Some(job) = self.jobs.get(&number) else {
            return true;
        };
        for pos in job.waiting() {
            let Some(chosen) = self.choose(number, pos, candidates) else {
                return false;
            };
            let candidate = &mut candidates[chosen];
            let name = candidate.name.clone();
            let Some(run_request) = self.send(number, pos, &name, now) else {
                continue;
            };
            candidate.free = candidate.free.minus(run_request.resources);
            candidate.slots -= 1;
            if candidate.slots == 0 {
                candidates.swap_remove(chosen);
            }
            log::debug!(run:% = run_request.id, worker:% = name, waited_ms = waited(&self.jobs[&number], now); "run sent");
            run_requests.entry(name).or_default().push(run_request);
        }
        true
    }

    /// Returns true if a worker has room for a waiting task of a job.
    pub(super) fn has_room_for(&self, job: &Job, now: Instant) -> bool {
        let waiting = job.waiting();
        let candidates = self.candidates(now);
        let fits = |pos: &TaskPos| candidates.iter().any(|c| accepts(job, *pos, c));
        waiting.iter().any(fits)
    }

    fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
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
            })
        };
        self.workers.values().filter_map(candidate).collect()
    }

    /// Returns the index of the best worker for a task. Workers on which the task failed come last.
    fn choose(&self, number: JobNumber, pos: TaskPos, candidates: &[Candidate]) -> Option<usize> {
        let job = self.jobs.get(&number)?;
        let task = job.task(pos)?;
        let fits = |c: &&(usize, &Candidate)| accepts(job, pos, c.1);
        let rated = candidates.iter().enumerate().collect::<Vec<_>>();
        let rated = rated.iter().filter(fits).map(|(index, candidate)| {
            let avoided = task.avoid.contains(&candidate.name);
            (avoided, self.rate(job, pos, candidate), *index)
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
            Some(label) if !candidate.info.labels.contains(label) => cost * REMOTE_DATA_FACTOR,
            _ => cost,
        }
    }

    /// Marks a task as sent to a worker and returns the run request.
    fn send(
        &mut self,
        number: JobNumber,
        pos: TaskPos,
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
            isolation: Isolation::Shared,
            expected_ms: step.expected_ms,
            late,
        };
        self.workers
            .get_mut(worker)?
            .record_sent(run_request.resources);
        Some(run_request)
    }
}

/// Returns true if a worker can run a task of the job.
fn accepts(job: &Job, pos: TaskPos, candidate: &Candidate) -> bool {
    let step = job.step(pos);
    let info = &candidate.info;
    let has_label = step
        .label
        .as_ref()
        .is_none_or(|label| info.labels.contains(label));
    let within = |max: u16| job.placed_on(pos.0, &candidate.name) < usize::from(max);
    info.service == job.queue.service
        && candidate.free.covers(&step.resources)
        && has_label
        && step.max_per_worker.is_none_or(within)
}

fn waited(job: &Job, now: Instant) -> u64 {
    let waited = now.saturating_duration_since(job.arrived);
    u64::try_from(waited.as_millis()).unwrap_or(u64::MAX)
}
