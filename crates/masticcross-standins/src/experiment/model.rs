//! The model: events in virtual time around the real shard of an entry.
//!
//! - `actions`: what happens to the system.
//! - `tasks`: tasks at workers, and their ends.

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
use super::worker::{ModelTask, ModelWorker};
use super::{Report, Setup};

/// Interval at which the shard updates what changes by time alone.
const TICK: Duration = Duration::from_millis(100);

/// Jobs drawn to find the mean work of a job.
const SAMPLE_JOBS: u32 = 20_000;

/// Most times that a task of a job is tried.
const MAX_TRIES: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Tick,
    Act(usize),
    Reach {
        worker: usize,
        task: usize,
    },
    Stop {
        worker: usize,
        task: usize,
    },
    End {
        worker: usize,
        task: usize,
        end: End,
    },
    Report {
        worker: usize,
        task: usize,
        end: End,
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
pub(super) enum End {
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
    left: usize,
    runs: Vec<Duration>,
    sent: Vec<(usize, usize)>,
    failed_at: BTreeMap<u16, Vec<Name>>,
    ended: bool,
}

struct Model<'a> {
    setup: &'a Setup,
    origin: Instant,
    now: Duration,
    rng: SmallRng,
    shard: Shard,
    budget: RetryBudget,
    workers: Vec<ModelWorker>,
    zones_out: Vec<u32>,
    config_version: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    seq: u64,
    jobs: Vec<Job>,
    by_key: BTreeMap<JobKey, usize>,
    tasks: Vec<ModelTask>,
    over: Vec<bool>,
    rate: f64,
    run_factor: f64,
    jobs_a_second: f64,
    report: Report,
}

/// Runs an experiment.
#[must_use]
pub fn run(setup: &Setup) -> Report {
    let mut model = Model::new(setup);
    model.start();
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        model.handle(event);
    }
    model.report
}

impl<'a> Model<'a> {
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
        let jobs_a_second = setup.load * slots / mean_work(setup);
        let measured = setup.length.saturating_sub(setup.warm_up);
        Self {
            setup,
            origin,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(setup.seed),
            shard: Shard::new(service, &settings, Arc::new(TeamUsage::default()), origin),
            budget: RetryBudget::default(),
            workers: (0..setup.workers)
                .map(|id| ModelWorker::new(id, setup.zones))
                .collect(),
            zones_out: Vec::new(),
            config_version: 0,
            events: BinaryHeap::new(),
            seq: 0,
            jobs: Vec::new(),
            by_key: BTreeMap::new(),
            tasks: Vec::new(),
            over: Vec::new(),
            rate: 1.0,
            run_factor: 1.0,
            jobs_a_second,
            report: Report::new(slots, measured),
        }
    }

    fn start(&mut self) {
        self.publish();
        for worker in 0..self.workers.len() {
            self.connect(worker);
        }
        for (id, (at, _)) in self.setup.actions.iter().enumerate() {
            self.at(*at, Event::Act(id));
        }
        self.at(Duration::ZERO, Event::Tick);
        self.at(Duration::ZERO, Event::Arrive);
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick => self.tick(),
            Event::Act(id) => self.act(self.setup.actions[id].1),
            Event::Reach { worker, task } => self.reach(worker, task),
            Event::Stop { worker, task } => self.end(worker, task, End::Stopped),
            Event::End { worker, task, end } => self.end(worker, task, end),
            Event::Report { worker, task, end } => self.reported(worker, task, end),
            Event::Credit {
                worker,
                session,
                total,
            } => {
                let now = self.instant();
                let name = &self.workers[worker].name;
                self.shard.credit(name, session, total, now);
            }
            Event::Deadline { job } => self.fail(job, Code::DeadlineExceeded),
        }
        self.pump();
    }

    fn tick(&mut self) {
        let now = self.instant();
        self.shard.tick(now);
        if self.shard.update_demand(now).is_some() {
            self.report.demands += self.workers.len() as u64;
        }
        if self.now < self.setup.length || self.jobs.iter().rev().take(10_000).any(|j| !j.ended) {
            self.after(TICK, Event::Tick);
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.setup.length {
            return;
        }
        let rate = self.jobs_a_second * self.rate / self.run_factor;
        let wait = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        self.after(Duration::from_secs_f64(wait), Event::Arrive);
        let job = self.draw_job();
        let request = self.request(&job);
        if self.is_measured(job.arrived) {
            self.report.offered_secs += job.work.as_secs_f64();
        }
        if self.setup.check
            && let Err(refusal) = self.shard.check(&request, self.instant())
        {
            if self.is_measured(job.arrived) {
                *self.report.refused.entry(refusal.code).or_default() += 1;
                let without = refusal.retry_after_ms.is_none();
                self.report.refused_without_retry += u64::from(without);
            }
            return;
        }
        self.admit(job);
    }

    fn draw_job(&mut self) -> Job {
        let factor = self.run_factor;
        let runs = self.setup.mix.job(&mut self.rng);
        let runs: Vec<Duration> = runs.into_iter().map(|r| r.mul_f64(factor)).collect();
        let longest = runs.iter().max().copied().unwrap_or_default();
        let key = JobKey {
            service: Name::from(SERVICE),
            job: Name::from(format!("job-{}", self.seq)),
        };
        Job {
            key,
            team: self.rng.random_range(0..self.setup.weights.len()),
            arrived: self.now,
            ideal: longest + 2 * self.setup.latency,
            work: runs.iter().sum(),
            left: runs.len(),
            runs,
            sent: Vec::new(),
            failed_at: BTreeMap::new(),
            ended: false,
        }
    }

    fn request(&self, job: &Job) -> JobRequest {
        let deadline = self.setup.deadline.as_millis();
        JobRequest {
            key: job.key.clone(),
            team: team_name(job.team),
            repeatable: true,
            deadline_ms: u32::try_from(deadline).unwrap_or(u32::MAX),
            tasks: vec![Json::from("0"); job.runs.len()],
        }
    }

    fn admit(&mut self, job: Job) {
        let id = self.jobs.len();
        let tasks = u16::try_from(job.runs.len()).unwrap_or(u16::MAX);
        self.by_key.insert(job.key.clone(), id);
        self.jobs.push(job);
        self.after(self.setup.deadline, Event::Deadline { job: id });
        for index in 0..tasks {
            self.queue(id, index);
        }
    }

    fn queue(&mut self, job: usize, index: u16) {
        let arrived = self.origin + self.jobs[job].arrived;
        let job = &self.jobs[job];
        self.shard.push(WaitingTask {
            key: job.key.clone(),
            index,
            team: team_name(job.team),
            deadline: arrived + self.setup.deadline,
            arrived,
            job_tasks: u16::try_from(job.runs.len()).unwrap_or(u16::MAX),
            avoid: job.failed_at.get(&index).cloned().unwrap_or_default(),
        });
    }

    fn pump(&mut self) {
        let now = self.instant();
        while let Some(placement) = self.shard.next_placement(now) {
            let job = self.by_key[&placement.task.key];
            let index = placement.task.index;
            let name = self.shard.workers().get(placement.worker);
            let Some(name) = name.map(|w| w.name.clone()) else {
                return;
            };
            let task = self.tasks.len();
            self.tasks.push(ModelTask {
                job,
                index,
                attempt: task as u64,
                run: self.jobs[job].runs[usize::from(index)],
            });
            self.over.push(false);
            self.shard.confirm(&placement, attempt(task as u64), now);
            self.budget.started(1, now);
            let worker = self.workers.iter().position(|w| w.name == name);
            let worker = worker.unwrap_or_default();
            self.count_start(worker, job);
            self.jobs[job].sent.push((worker, task));
            self.after(self.setup.latency, Event::Reach { worker, task });
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

    fn fail(&mut self, id: usize, code: Code) {
        let measured = self.is_measured(self.jobs[id].arrived);
        let job = &mut self.jobs[id];
        if job.ended {
            return;
        }
        job.ended = true;
        self.shard.remove(&job.key);
        let sent = std::mem::take(&mut job.sent);
        for (worker, task) in sent {
            if !self.over[task] {
                self.after(self.setup.latency, Event::Stop { worker, task });
            }
        }
        if measured {
            *self.report.failed.entry(code).or_default() += 1;
        }
    }

    fn is_measured(&self, at: Duration) -> bool {
        (self.setup.warm_up..self.setup.length).contains(&at)
    }
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId {
        epoch: Epoch(1),
        seq,
    }
}

/// Returns the mean work of a job of the mix, in seconds.
fn mean_work(setup: &Setup) -> f64 {
    let mut rng = SmallRng::seed_from_u64(0);
    let work: Duration = (0..SAMPLE_JOBS).flat_map(|_| setup.mix.job(&mut rng)).sum();
    work.as_secs_f64() / f64::from(SAMPLE_JOBS)
}
