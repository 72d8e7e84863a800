//! A steady load on the scheduler of an entry: for each run that ends, another task is placed.

use std::collections::VecDeque;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_jobs::scheduler::{Effect, Scheduler, SessionId};
use masticcross_jobs::{JobRequest, StepRequest};
use masticcross_wire::pool::{
    FreeResources, OperatorView, PoolFrame, Queue, Resources, RunEnd, RunRequest, RunResult,
    WorkerInfo,
};
use smallvec::smallvec;
use tokio::time::Instant;

const WORKER_CORES: u64 = 16;
const TASKS: u16 = 4;
const HOUR: Duration = Duration::from_hours(1);

/// Virtual time for each placed task, and tasks for each tick.
const TASK_TIME: Duration = Duration::from_micros(500);
const TASKS_PER_TICK: u64 = 40;

/// An entry whose workers are full, with waiting jobs, or half full if none wait.
pub struct Load {
    scheduler: Scheduler,
    now: Instant,
    running: VecDeque<(SessionId, RunRequest)>,
    free: Vec<FreeResources>,
    jobs: u64,
    /// Tasks placed.
    pub placed: u64,
}

impl Load {
    pub fn new(workers: u32, waiting: usize) -> Self {
        let free = FreeResources {
            resources: cores(WORKER_CORES),
            requests_seen: 0,
        };
        let mut load = Self {
            scheduler: Scheduler::new("zone-0".into()),
            now: Instant::now(),
            running: VecDeque::new(),
            free: vec![free; usize::try_from(workers).expect("few")],
            jobs: 0,
            placed: 0,
        };
        let view = OperatorView {
            position: 1,
            queues: vec![queue()],
            ..OperatorView::default()
        };
        load.scheduler.update_view(view, load.now);
        for worker in 0..load.free.len() {
            load.connect(worker);
        }
        let half = load.free.len() * usize::try_from(WORKER_CORES).expect("few") / 2;
        while load.running.len() < half || load.scheduler.gauges().waiting < waiting {
            load.submit();
        }
        load
    }

    fn connect(&mut self, worker: usize) {
        let (name, session, now) = (name(worker), session(worker), self.now);
        let info = WorkerInfo {
            service: "quotes".into(),
            zone: format!("zone-{}", worker % 3).into(),
            labels: smallvec![],
            capacity: cores(WORKER_CORES),
            leaving: false,
        };
        let scheduler = &mut self.scheduler;
        scheduler.session_opened(&name, 1, session, now);
        scheduler.worker_changed(&name, session, Some(info), now);
        scheduler.update_free(&name, session, self.free[worker], now);
        scheduler.take_effects();
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let step = StepRequest {
            count: TASKS,
            resources: cores(1),
            expected_ms: 100,
            ..StepRequest::default()
        };
        let request = JobRequest {
            id: format!("job-{}", self.jobs).into(),
            queue: "usual".into(),
            spec: "x".into(),
            steps: smallvec![step],
            deadline: self.now + HOUR * 24,
        };
        let submitted = self.scheduler.submit(request, self.now);
        submitted.expect("the queue is known");
        self.apply_effects();
    }

    /// Ends the oldest run, announces the free resources, and submits a job if one has ended.
    pub fn step(&mut self) {
        let (session, request) = self.running.pop_front().expect("a run");
        let worker = usize::try_from(session - 1).expect("few");
        let free = &mut self.free[worker];
        free.resources = free.resources.plus(request.resources);
        let end = RunEnd {
            id: request.id,
            result: RunResult::Done,
            took_ms: 100,
        };
        let name = name(worker);
        let open = self.scheduler.gauges().jobs;
        self.scheduler.hold_placement();
        self.scheduler.ended(&name, session, &[end], self.now);
        self.scheduler
            .update_free(&name, session, self.free[worker], self.now);
        self.scheduler.resume_placement(self.now);
        self.apply_effects();
        if self.scheduler.gauges().jobs < open {
            self.submit();
        }
    }

    /// Lets runs end until the given number of tasks has been placed.
    pub fn place(&mut self, tasks: u64) {
        let until = self.placed + tasks;
        while self.placed < until {
            self.step();
        }
    }

    fn apply_effects(&mut self) {
        for effect in self.scheduler.take_effects() {
            if let Effect::Send(session, PoolFrame::Run(requests)) = effect {
                for request in requests {
                    self.start(session, request);
                }
            }
        }
    }

    fn start(&mut self, session: SessionId, request: RunRequest) {
        let free = &mut self.free[usize::try_from(session - 1).expect("few")];
        free.resources = free.resources.minus(request.resources);
        free.requests_seen += 1;
        self.running.push_back((session, request));
        self.placed += 1;
        self.now += TASK_TIME;
        if self.placed.is_multiple_of(TASKS_PER_TICK) {
            self.scheduler.tick(self.now);
        }
    }
}

fn name(worker: usize) -> Name {
    format!("worker-{worker:04}").into()
}

fn session(worker: usize) -> SessionId {
    u64::try_from(worker).expect("few") + 1
}

fn cores(cores: u64) -> Resources {
    Resources {
        cpu: cores * 1_000,
        memory_mb: cores * 1_024,
        gpus: 0,
    }
}

/// A queue whose jobs are in time however long they wait, so that none is refused.
fn queue() -> Queue {
    Queue {
        name: "usual".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        service: "quotes".into(),
        priority: 1,
        max_attempts: 2,
        stretch: 1.5,
        latency_target_ms: 3_600_000,
    }
}
