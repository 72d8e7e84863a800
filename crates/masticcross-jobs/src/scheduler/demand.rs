//! The work that waits at an entry, as its agents are told. They divide freed resources among the
//! entries by it; see [`crate::supervisor::offers`].

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::crash::Isolation;
use masticcross_wire::pool::{PriorityDemand, RoomDemand, WorkerInfo};
use tokio::time::Instant;

use crate::crashes::confinement::Limit;

use super::admission::{ArrivalRates, Work};
use super::placement::{Conditions, is_open_to};
use super::table::{Job, Urgency};
use super::{Scheduler, SessionId};

/// How long a sum over the waiting jobs is used. Without it, each echo of a probe would iterate over all
/// waiting jobs.
const MAX_AGE: Duration = Duration::from_millis(20);

/// Waiting tasks of one kind.
#[derive(Debug, Clone)]
struct WaitingTasks {
    service: Name,
    priority: u32,
    label: Option<Name>,
    limit: Option<Limit>,
    cpu: u64,
    task_cpu: u64,
    latest_start: Instant,
}

/// Waiting tasks by kind, as summed up last.
#[derive(Debug, Default)]
pub(super) struct WaitingSums {
    summed_at: Option<Instant>,
    kinds: Vec<WaitingTasks>,
    /// Rates of arriving work by service.
    arrivals: BTreeMap<Name, ArrivalRates>,
    /// By service and priority, the CPU that the next agent is told beside its worker's part, because
    /// the parts were smaller than a task.
    parts: BTreeMap<Name, BTreeMap<u32, u64>>,
}

impl WaitingSums {
    /// Adds the work of an accepted job.
    pub(super) fn add_arrival(&mut self, service: &Name, priority: u32, work: Work, now: Instant) {
        if !self.arrivals.contains_key(service) {
            self.arrivals
                .insert(service.clone(), ArrivalRates::default());
        }
        if let Some(rates) = self.arrivals.get_mut(service) {
            rates.add(priority, work, now);
        }
    }

    fn add(&mut self, tasks: WaitingTasks) {
        let same = |other: &&mut WaitingTasks| {
            other.priority == tasks.priority
                && other.service == tasks.service
                && other.label == tasks.label
                && other.limit == tasks.limit
        };
        match self.kinds.iter_mut().find(same) {
            Some(sum) => {
                sum.cpu = sum.cpu.saturating_add(tasks.cpu);
                sum.task_cpu = sum.task_cpu.min(tasks.task_cpu);
                sum.latest_start = sum.latest_start.max(tasks.latest_start);
            }
            None => self.kinds.push(tasks),
        }
    }
}

impl Scheduler {
    /// Returns one worker's part of the work that waits for the workers of its service and can still be
    /// in time, or `None` if there is none.
    pub fn demand(&mut self, agent: &Name, session: SessionId, now: Instant) -> Option<RoomDemand> {
        if self.waiting.is_empty() {
            return None;
        }
        let worker = self.workers.get(agent)?;
        if worker.session != Some(session) {
            return None;
        }
        // A degraded worker gets few runs at a time. An offer for more would stay unused.
        if worker.slots(now) == 0 {
            return None;
        }
        let info = worker.info.clone()?;
        self.sum_waiting(now);
        let workers = self.count_workers(&info.service).max(1);
        let place = self.places(now).get(agent).copied();
        let mut demand = RoomDemand::default();
        for tasks in &self.waiting_sums.kinds {
            let conditions = Conditions {
                isolation: Isolation::Shared,
                limit: tasks.limit,
                now,
            };
            if fits(tasks, &info) && is_open_to(place, conditions) {
                add(&mut demand, tasks, now);
            }
        }
        let rates = self.waiting_sums.arrivals.get(&info.service);
        for demand in &mut demand.priorities {
            let arriving = rates.map_or(0, |rates| rates.cpu_of(demand.priority, now));
            demand.arriving_cpu = arriving / workers;
        }
        let parts = self.waiting_sums.parts.entry(info.service.clone());
        let parts = parts.or_default();
        demand.priorities.retain(|d| take_part(parts, d, workers));
        demand.priorities.sort_by_key(|d| d.priority);
        demand.priorities.truncate(RoomDemand::MAX_PRIORITIES);
        (!demand.priorities.is_empty()).then_some(demand)
    }

    fn count_workers(&self, service: &Name) -> u64 {
        let infos = self.workers.values().filter_map(|w| w.info.as_ref());
        let usable = infos.filter(|info| !info.leaving && info.service == *service);
        usable.count() as u64
    }

    fn sum_waiting(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_AGE;
        if self.waiting_sums.summed_at.is_some_and(is_recent) {
            return;
        }
        let mut sums = std::mem::take(&mut self.waiting_sums);
        sums.summed_at = Some(now);
        sums.kinds.clear();
        for (urgency, _, number) in self.waiting.keys() {
            if let Some(job) = self.jobs.get(number).filter(|_| *urgency != Urgency::Late) {
                let limit = self.confinement.limit(&job.queue.name);
                add_job(&mut sums, job, limit);
            }
        }
        self.waiting_sums = sums;
    }
}

fn add_job(sums: &mut WaitingSums, job: &Job, limit: Option<Limit>) {
    for pos in job.waiting() {
        let step = job.step(pos);
        sums.add(WaitingTasks {
            service: job.queue.service.clone(),
            priority: job.queue.priority,
            label: step.label.clone(),
            limit,
            cpu: step.resources.cpu,
            task_cpu: step.resources.cpu,
            latest_start: job.latest_useful_start(),
        });
    }
}

/// Reduces the demand to one worker's part. Returns false if that is less than a task; the next worker is
/// told the sum then. If each worker were told all of it, a few tasks would get many offers.
fn take_part(parts: &mut BTreeMap<u32, u64>, demand: &mut PriorityDemand, workers: u64) -> bool {
    let part = parts.entry(demand.priority).or_default();
    *part = part.saturating_add(demand.cpu / workers).min(demand.cpu);
    if *part < demand.task_cpu {
        return false;
    }
    demand.cpu = std::mem::take(part);
    true
}

fn fits(tasks: &WaitingTasks, info: &WorkerInfo) -> bool {
    let has_label = |label: &Name| info.labels.contains(label);
    tasks.service == info.service
        && tasks.task_cpu <= info.capacity.cpu
        && tasks.label.as_ref().is_none_or(has_label)
}

/// Adds tasks to the demand of their priority.
fn add(demand: &mut RoomDemand, tasks: &WaitingTasks, now: Instant) {
    let remaining = tasks.latest_start.saturating_duration_since(now);
    let latest_start_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    let same = |d: &&mut PriorityDemand| d.priority == tasks.priority;
    if let Some(sum) = demand.priorities.iter_mut().find(same) {
        sum.cpu = sum.cpu.saturating_add(tasks.cpu);
        sum.task_cpu = sum.task_cpu.min(tasks.task_cpu);
        sum.latest_start_ms = sum.latest_start_ms.max(latest_start_ms);
    } else {
        demand.priorities.push(PriorityDemand {
            priority: tasks.priority,
            cpu: tasks.cpu,
            arriving_cpu: 0,
            task_cpu: tasks.task_cpu,
            latest_start_ms,
        });
    }
}
