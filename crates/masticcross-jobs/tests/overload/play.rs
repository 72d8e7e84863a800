//! A scheduler with simulated workers and callers, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
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

const WORKERS: u64 = 12;
const WORKER_CORES: u64 = 64;
const TASK_CORES: u64 = 10;
const PLAY_MS: u64 = 12_000;
const TICK_MS: u64 = 20;

/// Kinds of jobs: tasks, run time in milliseconds, and share of the jobs.
const KINDS: [(u16, u64, f64); 3] = [(8, 60, 0.25), (2, 200, 0.7), (4, 900, 0.05)];

/// What callers of refused jobs do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Callers {
    GiveUp,
    /// They submit the job again, once, after the time in the refusal.
    Return,
}

/// What the callers got.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub in_time: usize,
    pub late: usize,
    /// Times from arrival to refusal.
    pub refusals: Vec<Duration>,
    /// Work of completed jobs relative to what the workers can do.
    pub completed_work: f64,
    returns: BTreeMap<u64, usize>,
}

impl Outcomes {
    /// Returns a percentile of the times from arrival to refusal.
    pub fn refusal_percentile(&self, share: f64) -> Duration {
        let mut times = self.refusals.clone();
        times.sort();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "an index into a short list"
        )]
        let index = ((times.len() as f64 * share) as usize).min(times.len() - 1);
        times[index]
    }

    /// Returns the largest share of the returning callers that came within one tick.
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    pub fn largest_return_share(&self) -> f64 {
        let total: usize = self.returns.values().sum();
        let largest = self.returns.values().max().copied().unwrap_or(0);
        largest as f64 / total.max(1) as f64
    }
}

enum Event {
    Tick,
    Arrival { kind: usize, returning: bool },
    End(usize, RunRequest),
}

struct Play {
    rng: SmallRng,
    base: Instant,
    now_ms: u64,
    scheduler: Scheduler,
    events: BTreeMap<(u64, u64), Event>,
    order: BinaryHeap<Reverse<(u64, u64)>>,
    next: u64,
    used_cores: Vec<u64>,
    received: Vec<u64>,
    open: BTreeMap<JobNumber, (usize, u64, bool)>,
    jobs: u64,
    callers: Callers,
    outcomes: Outcomes,
    completed_core_ms: u64,
}

/// Plays a load, relative to what the workers can do.
pub fn play(load: f64, callers: Callers, seed: u64) -> Outcomes {
    let mut play = Play {
        rng: SmallRng::seed_from_u64(seed),
        base: Instant::now(),
        now_ms: 0,
        scheduler: Scheduler::new("zone-a".into()),
        events: BTreeMap::new(),
        order: BinaryHeap::new(),
        next: 0,
        used_cores: vec![0; usize::try_from(WORKERS).expect("few")],
        received: vec![0; usize::try_from(WORKERS).expect("few")],
        open: BTreeMap::new(),
        jobs: 0,
        callers,
        outcomes: Outcomes::default(),
        completed_core_ms: 0,
    };
    play.open_sessions();
    play.schedule_arrivals(load);
    play.at(0, Event::Tick);
    play.run();
    play.outcomes
}

impl Play {
    fn at(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.events.insert((ms, self.next), event);
        self.order.push(Reverse((ms, self.next)));
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn open_sessions(&mut self) {
        let queues = (0..KINDS.len()).map(queue).collect();
        let view = OperatorView {
            position: 1,
            queues,
            ..OperatorView::default()
        };
        self.scheduler.update_view(view, self.now());
        for worker in 0..self.used_cores.len() {
            let (name, session) = (name(worker), session(worker));
            let info = WorkerInfo {
                service: "quotes".into(),
                zone: "zone-a".into(),
                labels: smallvec![],
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

    /// Schedules the arrivals of jobs whose work is the given multiple of what the workers can do.
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    fn schedule_arrivals(&mut self, load: f64) {
        let work = |(tasks, ms, share): (u16, u64, f64)| {
            f64::from(tasks) * (ms * TASK_CORES) as f64 * share
        };
        let mean_work: f64 = KINDS.into_iter().map(work).sum();
        let slots = WORKERS * (WORKER_CORES / TASK_CORES) * TASK_CORES;
        let gap_ms = mean_work / (load * slots as f64);
        let mut at = 0.0;
        while at < PLAY_MS as f64 {
            let kind = self.kind();
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "positive"
            )]
            self.at(
                at as u64,
                Event::Arrival {
                    kind,
                    returning: false,
                },
            );
            at -= self.rng.random_range(f64::EPSILON..1.0).ln() * gap_ms;
        }
    }

    fn kind(&mut self) -> usize {
        let mut position: f64 = self.rng.random();
        for (kind, (_, _, share)) in KINDS.iter().enumerate() {
            if position < *share {
                return kind;
            }
            position -= share;
        }
        0
    }

    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    fn run(&mut self) {
        while let Some(Reverse(key)) = self.order.pop() {
            self.now_ms = key.0;
            match self.events.remove(&key) {
                Some(Event::Tick) => {
                    let now = self.now();
                    self.scheduler.tick(now);
                    if self.now_ms < PLAY_MS + 5_000 {
                        self.at(self.now_ms + TICK_MS, Event::Tick);
                    }
                }
                Some(Event::Arrival { kind, returning }) => self.submit(kind, returning),
                Some(Event::End(worker, run)) => self.end(worker, &run),
                None => {}
            }
            self.execute();
        }
        let slots = WORKERS * (WORKER_CORES / TASK_CORES) * TASK_CORES;
        self.outcomes.completed_work = self.completed_core_ms as f64 / (slots * PLAY_MS) as f64;
    }

    fn submit(&mut self, kind: usize, returning: bool) {
        if returning {
            *self
                .outcomes
                .returns
                .entry(self.now_ms / TICK_MS)
                .or_default() += 1;
        }
        self.jobs += 1;
        let (tasks, ms, _) = KINDS[kind];
        let step = StepRequest {
            count: tasks,
            resources: cores(TASK_CORES),
            expected_ms: u32::try_from(ms).expect("short"),
            ..StepRequest::default()
        };
        let request = JobRequest {
            id: format!("job-{}", self.jobs).into(),
            queue: format!("queue-{kind}").into(),
            spec: "x".into(),
            steps: smallvec![step],
            deadline: self.now() + Duration::from_secs(6),
        };
        let now = self.now();
        let number = self.scheduler.submit(request, now).expect("accepted");
        self.open.insert(number, (kind, self.now_ms, returning));
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
                Effect::Send(..) => {}
                Effect::Answer(number, outcome) => self.answered(number, &outcome),
            }
        }
    }

    fn start(&mut self, worker: usize, run: RunRequest) {
        self.used_cores[worker] += TASK_CORES;
        assert!(self.used_cores[worker] <= WORKER_CORES);
        self.received[worker] += 1;
        let kind = KINDS
            .iter()
            .find(|kind| u64::from(run.expected_ms) == kind.1);
        let mean = kind.expect("a known kind").1;
        let took = self.rng.random_range(mean / 2..=mean * 3 / 2);
        self.at(self.now_ms + took, Event::End(worker, run));
    }

    fn end(&mut self, worker: usize, run: &RunRequest) {
        self.used_cores[worker] -= TASK_CORES;
        let id: RunId = run.id.clone();
        let end = RunEnd {
            id,
            result: RunResult::Done,
            took_ms: run.expected_ms,
        };
        self.announce(worker);
        let now = self.now();
        self.scheduler
            .ended(&name(worker), session(worker), &[end], now);
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
        let (kind, arrived, returning) = self.open.remove(&number).expect("an open job");
        let took = self.now_ms - arrived;
        let (tasks, ms, _) = KINDS[kind];
        match outcome {
            JobOutcome::Completed => {
                self.completed_core_ms += u64::from(tasks) * ms * TASK_CORES;
                if took <= ms * 8 / 5 + 60 {
                    self.outcomes.in_time += 1;
                } else {
                    self.outcomes.late += 1;
                }
            }
            JobOutcome::Failed => panic!("no task fails"),
            JobOutcome::Refused(refusal) => {
                self.outcomes.refusals.push(Duration::from_millis(took));
                let retry_after = refusal.retry_after_ms.expect("a time to return");
                if self.callers == Callers::Return && !returning {
                    let at = self.now_ms + u64::from(retry_after);
                    self.at(
                        at,
                        Event::Arrival {
                            kind,
                            returning: true,
                        },
                    );
                }
            }
        }
    }
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
