//! The simulation: processes events in virtual time around the real shard of an entry.
//!
//! - `actions`: faults and changes during the experiment.
//! - `tasks`: tasks on workers, from their arrival to the report of their end.

mod actions;
mod tasks;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{AttemptId, Code, Epoch, JobKey, Name};
use masticcross_entry::dispatch::budget::RetryBudget;
use masticcross_entry::dispatch::shard::{Shard, ShardSettings};
use masticcross_entry::dispatch::{TeamUsage, WaitingTask};
use masticcross_wire::{JobRequest, Json};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::report::SLICE;
use super::setup::{SERVICE, team_name, zone_name};
use super::worker::{SimulatedTask, SimulatedWorker};
use super::{Report, Setup};

/// Interval at which the shard updates its time-dependent state.
const TICK: Duration = Duration::from_millis(100);

/// Number of jobs drawn to estimate the mean work of a job.
const SAMPLE_JOBS: u32 = 20_000;

/// Largest number of attempts to run a task.
const MAX_ATTEMPTS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    JobArrival,
    Tick,
    RunAction(usize),
    TaskArrival {
        worker: usize,
        task: usize,
    },
    Stop {
        worker: usize,
        task: usize,
    },
    TaskEnd {
        worker: usize,
        task: usize,
        end: TaskEnd,
    },
    EndReport {
        worker: usize,
        task: usize,
        end: TaskEnd,
    },
    Credit {
        worker: usize,
        session: u64,
        total: u64,
    },
    Deadline {
        job: usize,
    },
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TaskEnd {
    Done,
    Failed,
    Stopped,
}

#[derive(Debug)]
struct Job {
    key: JobKey,
    team: usize,
    arrived: Duration,
    ideal: Duration,
    work: Duration,
    unfinished_tasks: usize,
    run_times: Vec<Duration>,
    sent: Vec<(usize, usize)>,
    failed_on: BTreeMap<u16, Vec<Name>>,
    ended: bool,
}

struct Simulation<'a> {
    setup: &'a Setup,
    origin: Instant,
    now: Duration,
    rng: SmallRng,
    shard: Shard,
    budget: RetryBudget,
    workers: Vec<SimulatedWorker>,
    zones_out: Vec<u32>,
    config_version: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    seq: u64,
    jobs: Vec<Job>,
    job_by_key: BTreeMap<JobKey, usize>,
    tasks: Vec<SimulatedTask>,
    task_ended: Vec<bool>,
    rate_factor: f64,
    run_time_factor: f64,
    jobs_per_second: f64,
    report: Report,
}

/// Runs an experiment and returns its report.
#[must_use]
pub fn run(setup: &Setup) -> Report {
    let mut simulation = Simulation::new(setup);
    simulation.start();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.report
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup) -> Self {
        let origin = Instant::now();
        let settings = ShardSettings {
            queue: setup.queue,
            rule: setup.rule,
            zone: zone_name(0),
            seed: setup.seed,
        };
        let service = Name::from(SERVICE);
        let slots = f64::from(setup.workers * setup.slots);
        let jobs_per_second = setup.load * slots / mean_work(setup);
        let measured = setup.duration.saturating_sub(setup.warm_up);
        Self {
            setup,
            origin,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(setup.seed),
            shard: Shard::new(service, &settings, Arc::new(TeamUsage::default()), origin),
            budget: RetryBudget::default(),
            workers: (0..setup.workers)
                .map(|id| SimulatedWorker::new(id, setup.zones))
                .collect(),
            zones_out: Vec::new(),
            config_version: 0,
            events: BinaryHeap::new(),
            seq: 0,
            jobs: Vec::new(),
            job_by_key: BTreeMap::new(),
            tasks: Vec::new(),
            task_ended: Vec::new(),
            rate_factor: 1.0,
            run_time_factor: 1.0,
            jobs_per_second,
            report: Report::new(slots, measured),
        }
    }

    fn start(&mut self) {
        self.publish_config();
        for worker in 0..self.workers.len() {
            self.connect(worker);
        }
        for (id, (at, _)) in self.setup.actions.iter().enumerate() {
            self.schedule_at(*at, Event::RunAction(id));
        }
        self.schedule_at(Duration::ZERO, Event::Tick);
        self.schedule_at(Duration::ZERO, Event::JobArrival);
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn now_instant(&self) -> Instant {
        self.origin + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::JobArrival => self.arrive(),
            Event::Tick => self.tick(),
            Event::RunAction(id) => self.run_action(self.setup.actions[id].1),
            Event::TaskArrival { worker, task } => self.task_arrived(worker, task),
            Event::Stop { worker, task } => self.end_task(worker, task, TaskEnd::Stopped),
            Event::TaskEnd { worker, task, end } => self.end_task(worker, task, end),
            Event::EndReport { worker, task, end } => self.end_reported(worker, task, end),
            Event::Credit {
                worker,
                session,
                total,
            } => {
                let now = self.now_instant();
                let name = &self.workers[worker].name;
                self.shard.credit(name, session, total, now);
            }
            Event::Deadline { job } => self.fail_job(job, Code::DeadlineExceeded),
        }
        self.place_tasks();
    }

    fn tick(&mut self) {
        let now = self.now_instant();
        self.shard.tick(now);
        if self.shard.update_demand(now).is_some() {
            self.report.demand_frames += self.workers.len() as u64;
        }
        if self.now < self.setup.duration || self.jobs.iter().rev().take(10_000).any(|j| !j.ended) {
            self.schedule_after(TICK, Event::Tick);
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.setup.duration {
            return;
        }
        let arrival_rate = self.jobs_per_second * self.rate_factor / self.run_time_factor;
        let delay = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / arrival_rate;
        self.schedule_after(Duration::from_secs_f64(delay), Event::JobArrival);
        let job = self.draw_job();
        let request = self.new_request(&job);
        if self.is_measured(job.arrived) {
            self.report.offered_secs += job.work.as_secs_f64();
        }
        if self.setup.admission_check
            && let Err(refusal) = self.shard.check(&request, self.now_instant())
        {
            if self.is_measured(job.arrived) {
                *self.report.refused.entry(refusal.code).or_default() += 1;
                let without_retry_after = refusal.retry_after_ms.is_none();
                self.report.refused_without_retry_after += u64::from(without_retry_after);
            }
            return;
        }
        self.admit(job);
    }

    fn draw_job(&mut self) -> Job {
        let factor = self.run_time_factor;
        let run_times = self.setup.mix.draw_run_times(&mut self.rng);
        let run_times: Vec<Duration> = run_times.into_iter().map(|r| r.mul_f64(factor)).collect();
        let longest = run_times.iter().max().copied().unwrap_or_default();
        let key = JobKey {
            service: Name::from(SERVICE),
            job: Name::from(format!("job-{}", self.seq)),
        };
        Job {
            key,
            team: self.rng.random_range(0..self.setup.weights.len()),
            arrived: self.now,
            ideal: longest + 2 * self.setup.latency,
            work: run_times.iter().sum(),
            unfinished_tasks: run_times.len(),
            run_times,
            sent: Vec::new(),
            failed_on: BTreeMap::new(),
            ended: false,
        }
    }

    fn new_request(&self, job: &Job) -> JobRequest {
        let deadline = self.setup.deadline.as_millis();
        JobRequest {
            key: job.key.clone(),
            team: team_name(job.team),
            repeatable: true,
            deadline_ms: u32::try_from(deadline).unwrap_or(u32::MAX),
            tasks: vec![Json::from("0"); job.run_times.len()],
        }
    }

    fn admit(&mut self, job: Job) {
        let id = self.jobs.len();
        let tasks = u16::try_from(job.run_times.len()).unwrap_or(u16::MAX);
        self.job_by_key.insert(job.key.clone(), id);
        self.jobs.push(job);
        self.schedule_after(self.setup.deadline, Event::Deadline { job: id });
        for index in 0..tasks {
            self.queue_task(id, index);
        }
    }

    fn queue_task(&mut self, job: usize, index: u16) {
        let arrived = self.origin + self.jobs[job].arrived;
        let job = &self.jobs[job];
        self.shard.push(WaitingTask {
            key: job.key.clone(),
            index,
            team: team_name(job.team),
            deadline: arrived + self.setup.deadline,
            arrived,
            job_tasks: u16::try_from(job.run_times.len()).unwrap_or(u16::MAX),
            avoid: job.failed_on.get(&index).cloned().unwrap_or_default(),
        });
    }

    fn place_tasks(&mut self) {
        let now = self.now_instant();
        while let Some(placement) = self.shard.next_placement(now) {
            let job = self.job_by_key[&placement.task.key];
            let index = placement.task.index;
            let name = self.shard.workers().get(placement.worker);
            let Some(name) = name.map(|w| w.name.clone()) else {
                return;
            };
            let task = self.tasks.len();
            self.tasks.push(SimulatedTask {
                job,
                index,
                attempt: task as u64,
                run_time: self.jobs[job].run_times[usize::from(index)],
            });
            self.task_ended.push(false);
            self.shard.confirm(&placement, attempt(task as u64), now);
            self.budget.started(1, now);
            let worker = self.workers.iter().position(|w| w.name == name);
            let worker = worker.unwrap_or_default();
            self.count_start(worker, job);
            self.jobs[job].sent.push((worker, task));
            self.schedule_after(self.setup.latency, Event::TaskArrival { worker, task });
        }
    }

    fn count_start(&mut self, worker: usize, job: usize) {
        self.report.starts += 1;
        let slice = usize::try_from(self.now.as_millis() / SLICE.as_millis()).unwrap_or(0);
        let zones = self.setup.zones as usize;
        let slices = &mut self.report.starts_by_slice;
        if slices.len() <= slice {
            slices.resize(slice + 1, vec![0; zones]);
        }
        slices[slice][self.workers[worker].zone as usize] += 1;
        let job = &self.jobs[job];
        let waited = self.now.saturating_sub(job.arrived);
        let longest = self.report.longest_wait.entry(job.team).or_default();
        *longest = waited.max(*longest);
    }

    fn fail_job(&mut self, id: usize, code: Code) {
        let measured = self.is_measured(self.jobs[id].arrived);
        let job = &mut self.jobs[id];
        if job.ended {
            return;
        }
        job.ended = true;
        self.shard.remove(&job.key);
        let sent = std::mem::take(&mut job.sent);
        for (worker, task) in sent {
            if !self.task_ended[task] {
                self.schedule_after(self.setup.latency, Event::Stop { worker, task });
            }
        }
        if measured {
            *self.report.failed.entry(code).or_default() += 1;
        }
    }

    fn is_measured(&self, at: Duration) -> bool {
        (self.setup.warm_up..self.setup.duration).contains(&at)
    }
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId {
        epoch: Epoch(1),
        seq,
    }
}

/// Returns the mean work of a job of the mix, in seconds, estimated from [`SAMPLE_JOBS`] jobs.
fn mean_work(setup: &Setup) -> f64 {
    let mut rng = SmallRng::seed_from_u64(0);
    let work: Duration = (0..SAMPLE_JOBS)
        .flat_map(|_| setup.mix.draw_run_times(&mut rng))
        .sum();
    work.as_secs_f64() / f64::from(SAMPLE_JOBS)
}
