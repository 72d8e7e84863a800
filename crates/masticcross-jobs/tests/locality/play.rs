//! One scheduler and simulated workers in racks, for jobs with data in a rack, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_jobs::scheduler::table::JobNumber;
use masticcross_jobs::scheduler::{Effect, Scheduler};
use masticcross_jobs::{JobOutcome, JobRequest, StepRequest};
use masticcross_wire::pool::{
    FreeResources, OperatorView, PoolFrame, Queue, Resources, RunEnd, RunId, RunRequest, RunResult,
    WorkerInfo,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::smallvec;
use tokio::time::Instant;

const WORKERS: usize = 53;
const RACK_SIZE: usize = 8;
const WORKER_CORES: u64 = 60;
const TASK_CORES: u64 = 10;
const PLAY_MS: u64 = 12_000;
const TICK_MS: u64 = 20;

/// Largest relative difference between the actual and the expected run time of a task.
const SPREAD: f64 = 0.4;

/// Part of the jobs whose data is in the hot rack.
const HOT_SHARE: f64 = 0.6;

/// Kinds of jobs: tasks, run time in milliseconds, and share of the jobs.
const KINDS: [(u16, u64, f64); 3] = [(8, 60, 0.25), (2, 200, 0.7), (4, 900, 0.05)];

/// Which racks store the data of the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Data {
    /// Each worker's rack is as likely as that of any other worker.
    Spread,
    /// One rack stores the data of [`HOT_SHARE`] of the jobs.
    HotRack,
}

/// What the callers got, and what it cost.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcomes {
    pub jobs: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Runs of tasks.
    pub runs: u32,
    /// Runs away from the data of the task.
    pub remote_runs: u32,
    pub core_seconds: f64,
}

enum Event {
    Tick,
    Arrival(usize),
    End(RunId),
}

struct JobPlan {
    kind: usize,
    rack: usize,
    seed: u64,
}

struct Run {
    worker: usize,
    started_ms: u64,
    took_ms: u32,
}

struct Play {
    base: Instant,
    now_ms: u64,
    factor: f64,
    scheduler: Scheduler,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    plans: Vec<JobPlan>,
    used_cores: Vec<u64>,
    received: Vec<u64>,
    runs: HashMap<RunId, Run>,
    open: BTreeMap<JobNumber, (usize, u64)>,
    outcomes: Outcomes,
}

/// Plays a load, relative to what the workers can do near the data. Tasks take `factor` times as long
/// away from their data, and `configured` is the setting of the scheduler.
pub fn play(data: Data, load: f64, factor: f64, configured: Option<f64>, seed: u64) -> Outcomes {
    let mut scheduler = Scheduler::new("zone-a".into());
    configure(&mut scheduler, configured);
    let mut play = Play {
        base: Instant::now(),
        now_ms: 0,
        factor,
        scheduler,
        events: BTreeMap::new(),
        next: 0,
        plans: Vec::new(),
        used_cores: vec![0; WORKERS],
        received: vec![0; WORKERS],
        runs: HashMap::new(),
        open: BTreeMap::new(),
        outcomes: Outcomes::default(),
    };
    play.open_sessions();
    play.schedule_arrivals(data, load, seed);
    play.at(0, Event::Tick);
    play.run();
    play.outcomes
}

fn configure(scheduler: &mut Scheduler, configured: Option<f64>) {
    if let Some(factor) = configured {
        scheduler.set_remote_factor(factor);
    }
}

impl Play {
    fn at(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.events.insert((ms, self.next), event);
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn open_sessions(&mut self) {
        let view = OperatorView {
            position: 1,
            queues: (0..KINDS.len()).map(queue).collect(),
            ..OperatorView::default()
        };
        self.scheduler.update_view(view, self.now());
        for worker in 0..WORKERS {
            let (name, session) = (name(worker), session(worker));
            let info = WorkerInfo {
                service: "quotes".into(),
                zone: "zone-a".into(),
                labels: smallvec![label(worker / RACK_SIZE)],
                capacity: cores(WORKER_CORES),
                leaving: false,
            };
            let now = self.now();
            self.scheduler.session_opened(&name, 1, session, now);
            self.scheduler
                .worker_changed(&name, session, Some(info), now);
            self.announce(worker);
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the numbers are small and positive"
    )]
    fn schedule_arrivals(&mut self, data: Data, load: f64, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let work = |(tasks, ms, share): (u16, u64, f64)| f64::from(tasks) * ms as f64 * share;
        let mean_work: f64 = KINDS.into_iter().map(work).sum();
        let slots = WORKERS as u64 * (WORKER_CORES / TASK_CORES);
        let gap_ms = mean_work / (load * slots as f64);
        let mut at = 0.0;
        while at < PLAY_MS as f64 {
            let hot = data == Data::HotRack && rng.random_bool(HOT_SHARE);
            let rack = rng.random_range(0..WORKERS) / RACK_SIZE;
            let plan = JobPlan {
                kind: kind(rng.random()),
                rack: if hot { 0 } else { rack },
                seed: rng.random(),
            };
            self.at(at as u64, Event::Arrival(self.plans.len()));
            self.plans.push(plan);
            at -= rng.random_range(f64::EPSILON..1.0).ln() * gap_ms;
        }
    }

    fn run(&mut self) {
        while let Some(((ms, _), event)) = self.events.pop_first() {
            self.now_ms = ms;
            match event {
                Event::Tick => {
                    self.scheduler.tick(self.now());
                    if ms < PLAY_MS + 5_000 {
                        self.at(ms + TICK_MS, Event::Tick);
                    }
                }
                Event::Arrival(plan) => self.submit(plan),
                Event::End(id) => self.end(&id, RunResult::Done),
            }
            self.execute();
        }
        assert!(self.open.is_empty(), "jobs without an answer");
    }

    fn submit(&mut self, index: usize) {
        let plan = &self.plans[index];
        let (tasks, ms, _) = KINDS[plan.kind];
        let step = StepRequest {
            count: tasks,
            resources: cores(TASK_CORES),
            expected_ms: u32::try_from(ms).expect("short"),
            data_label: Some(label(plan.rack)),
            ..StepRequest::default()
        };
        let request = JobRequest {
            id: index.to_string().into(),
            queue: format!("queue-{}", plan.kind).into(),
            spec: "x".into(),
            steps: smallvec![step],
            deadline: self.now() + Duration::from_secs(6),
        };
        let number = self.scheduler.submit(request, self.now());
        self.open
            .insert(number.expect("accepted"), (plan.kind, self.now_ms));
        self.outcomes.jobs += 1;
    }

    fn execute(&mut self) {
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Send(session, PoolFrame::Run(runs)) => {
                    let worker = usize::try_from(session - 1).expect("few");
                    for run in runs {
                        self.start(worker, run);
                    }
                    self.announce(worker);
                }
                Effect::Send(_, PoolFrame::Stop(ids)) => {
                    for id in ids {
                        self.end(&id, RunResult::Stopped);
                    }
                }
                Effect::Send(..) => {}
                Effect::Answer(number, outcome) => self.answered(number, &outcome),
            }
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a short time"
    )]
    fn start(&mut self, worker: usize, request: RunRequest) {
        self.used_cores[worker] += TASK_CORES;
        assert!(self.used_cores[worker] <= WORKER_CORES);
        self.received[worker] += 1;
        let task = &request.id.task;
        let plan = &self.plans[task.job.parse::<usize>().expect("a number")];
        let remote = worker / RACK_SIZE != plan.rack;
        // Independent of the placement, so that all rules get the same tasks.
        let mut rng = SmallRng::seed_from_u64(plan.seed ^ u64::from(task.index));
        let ratio = rng.random_range(1.0 - SPREAD..1.0 + SPREAD);
        let factor = if remote { self.factor } else { 1.0 };
        let took_ms = (f64::from(request.expected_ms) * ratio * factor) as u32;
        self.outcomes.runs += 1;
        self.outcomes.remote_runs += u32::from(remote);
        self.at(
            self.now_ms + u64::from(took_ms),
            Event::End(request.id.clone()),
        );
        let run = Run {
            worker,
            started_ms: self.now_ms,
            took_ms,
        };
        self.runs.insert(request.id, run);
    }

    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    fn end(&mut self, id: &RunId, result: RunResult) {
        // A stopped run is gone when its planned end comes.
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        self.used_cores[run.worker] -= TASK_CORES;
        let core_ms = (self.now_ms - run.started_ms) * TASK_CORES;
        self.outcomes.core_seconds += core_ms as f64 / 1_000.0;
        self.announce(run.worker);
        let end = RunEnd {
            id: id.clone(),
            result,
            took_ms: run.took_ms,
        };
        let now = self.now();
        self.scheduler
            .ended(&name(run.worker), session(run.worker), &[end], now);
    }

    fn announce(&mut self, worker: usize) {
        let free = FreeResources {
            resources: cores(WORKER_CORES - self.used_cores[worker]),
            requests_seen: self.received[worker],
        };
        let now = self.now();
        self.scheduler
            .update_free(&name(worker), session(worker), free, now);
    }

    fn answered(&mut self, number: JobNumber, outcome: &JobOutcome) {
        let (kind, arrived_ms) = self.open.remove(&number).expect("an open job");
        let objective_ms = KINDS[kind].1 * 8 / 5 + 60;
        match outcome {
            JobOutcome::Completed if self.now_ms - arrived_ms <= objective_ms => {
                self.outcomes.in_time += 1;
            }
            JobOutcome::Completed => self.outcomes.late += 1,
            JobOutcome::Failed => panic!("no task fails"),
            JobOutcome::Refused(_) => self.outcomes.refused += 1,
        }
    }
}

fn kind(mut position: f64) -> usize {
    let is_before = |(_, _, share): &(u16, u64, f64)| {
        position -= share;
        position < 0.0
    };
    KINDS.iter().position(is_before).unwrap_or(0)
}

fn queue(kind: usize) -> Queue {
    Queue {
        name: format!("queue-{kind}").into(),
        host: "host".into(),
        path_prefix: "/".into(),
        service: "quotes".into(),
        priority: u32::try_from(kind).expect("few"),
        max_attempts: 2,
        stretch: 1.6,
        latency_target_ms: 60,
    }
}

fn name(worker: usize) -> Name {
    format!("worker-{worker}").into()
}

fn label(rack: usize) -> Name {
    format!("rack-{rack}").into()
}

fn session(worker: usize) -> u64 {
    worker as u64 + 1
}

fn cores(cores: u64) -> Resources {
    Resources {
        cpu: cores * 1_000,
        memory_mb: 1_000,
        gpus: 0,
    }
}
