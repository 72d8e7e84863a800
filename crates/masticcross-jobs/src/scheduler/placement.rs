//! The choice of task and worker.

use std::collections::BTreeMap;

use masticcross_basics::Name;
use masticcross_wire::pool::{PoolFrame, Resources, RunRequest, WorkerInfo};
use tokio::time::Instant;

use super::table::{Job, JobNumber, TaskPos, TaskState, Urgency};
use super::{Effect, Scheduler};

/// Jobs passed over for lack of room before the search ends.
const MAX_PASSED_OVER: usize = 8;

/// Factor on a task's run time on a worker that is far from its data.
const FAR_FROM_DATA: f64 = 1.5;

/// A worker that may get runs now.
struct Candidate {
    name: Name,
    info: WorkerInfo,
    free: Resources,
    places: u32,
}

impl Scheduler {
    /// Places tasks that wait as far as there is room.
    pub(super) fn place(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now);
        let mut orders: BTreeMap<Name, Vec<RunRequest>> = BTreeMap::new();
        let mut passed_over = 0;
        let numbers: Vec<JobNumber> = self.waiting.iter().map(|rank| rank.2).collect();
        for number in numbers {
            if candidates.is_empty() || passed_over >= MAX_PASSED_OVER {
                break;
            }
            if !self.place_job(number, &mut candidates, &mut orders, now) {
                passed_over += 1;
            }
            self.rank(number, now);
        }
        for (name, orders) in orders {
            let session = self.workers.get(&name).and_then(|worker| worker.session);
            if let Some(session) = session {
                self.effects
                    .push(Effect::Send(session, PoolFrame::Run(orders)));
            }
        }
    }

    /// Places the waiting tasks of a job. Returns false if one had to be left.
    fn place_job(
        &mut self,
        number: JobNumber,
        candidates: &mut Vec<Candidate>,
        orders: &mut BTreeMap<Name, Vec<RunRequest>>,
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
            let Some(order) = self.send(number, pos, &name, now) else {
                continue;
            };
            candidate.free = candidate.free.minus(order.resources);
            candidate.places -= 1;
            if candidate.places == 0 {
                candidates.swap_remove(chosen);
            }
            log::debug!(run:% = order.id, worker:% = name, waited_ms = waited(&self.jobs[&number], now); "run sent");
            orders.entry(name).or_default().push(order);
        }
        true
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
            let places = worker.places(now);
            let free = worker.free();
            (places > 0 && free.cpu > 0).then(|| Candidate {
                name: worker.name.clone(),
                info: info.clone(),
                free,
                places,
            })
        };
        self.workers.values().filter_map(candidate).collect()
    }

    /// Chooses the best worker for a task. A worker on which it failed is the last choice.
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
            Some(label) if !candidate.info.labels.contains(label) => cost * FAR_FROM_DATA,
            _ => cost,
        }
    }

    /// Marks a task as sent to a worker.
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
        let order = RunRequest {
            id: job.run_id(pos, run),
            resources: step.room,
            spec: job.request.spec.clone(),
            expected_ms: step.expected_ms,
            late,
        };
        self.workers.get_mut(worker)?.send(order.resources);
        Some(order)
    }
}

/// Returns true if a worker may run a task of the job.
fn accepts(job: &Job, pos: TaskPos, candidate: &Candidate) -> bool {
    let step = job.step(pos);
    let info = &candidate.info;
    let has_label = step
        .label
        .as_ref()
        .is_none_or(|label| info.labels.contains(label));
    let within = |max: u16| job.placed_on(pos.0, &candidate.name) < usize::from(max);
    info.service == job.queue.service
        && candidate.free.covers(&step.room)
        && has_label
        && step.max_per_worker.is_none_or(within)
}

fn waited(job: &Job, now: Instant) -> u64 {
    let waited = now.saturating_duration_since(job.arrived);
    u64::try_from(waited.as_millis()).unwrap_or(u64::MAX)
}
