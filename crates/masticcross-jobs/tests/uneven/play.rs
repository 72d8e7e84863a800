//! A scheduler with simulated workers of different speeds, in virtual time.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_jobs::scheduler::table::JobNumber;
use masticcross_jobs::scheduler::{Effect, Scheduler};
use masticcross_jobs::{JobOutcome, JobRequest, StepRequest};
use masticcross_wire::pool::{
    FreeResources, OperatorView, PoolFrame, Queue, Resources, RunEnd, RunRequest, RunResult,
    WorkerInfo,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::smallvec;
use tokio::time::Instant;

pub const WORKERS: usize = 15;
const SLOTS: usize = 6;
const TASK_CORES: u64 = 10;
const PLAY_MS: u64 = 12_000;
const TICK_MS: u64 = 20;
const TARGET_MS: u32 = 60;

/// When the first worker is degraded, and the runs within which it must be found.
const DEGRADED_MS: Range<u64> = 4_000..8_000;
pub const MAX_SLOW_RUNS: usize = 8;

/// Spread of run times (standard deviation of the logarithm), and the tail: the share of tasks that
/// take longer, and by which factor.
const SPREAD: f64 = 0.4;
const TAIL: (f64, f64) = (0.03, 7.0);

/// A kind of jobs, each with its own queue.
struct Kind {
    tasks: u16,
    /// Run time as estimated by the callers, in milliseconds.
    expected_ms: u32,
    /// Ratio of the median run time on a worker of speed 1 to the estimate.
    ratio: f64,
    stretch: f64,
    priority: u32,
    share: f64,
}

const fn kind(
    tasks: u16,
    expected_ms: u32,
    ratio: f64,
    stretch: f64,
    priority: u32,
    share: f64,
) -> Kind {
    Kind {
        tasks,
        expected_ms,
        ratio,
        stretch,
        priority,
        share,
    }
}

const KINDS: [Kind; 4] = [
    kind(8, 60, 1.0, 1.6, 0, 0.25),
    kind(2, 200, 0.7, 1.6, 1, 0.35),
    kind(2, 200, 1.4, 3.0, 1, 0.35),
    kind(4, 900, 1.0, 3.0, 2, 0.05),
];

/// Factors on the run times of the workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Speeds {
    Even,
    /// From 1.0 to 1.3, without relation to the kind.
    Similar,
    /// Workers of kind `b`, each third one, take 2.4 times as long.
    ByKind,
    /// As `Even`, but the first worker takes 5 times as long from 4 s to 8 s.
    OneDegrades,
}

/// What the callers got.
#[derive(Debug, Default, PartialEq, Eq, Clone)]
pub struct Outcomes {
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    /// Jobs that would have been late on idle fast workers.
    pub impossible: usize,
    /// Late or refused jobs that slow workers with free capacity would have ended in time.
    pub missed: usize,
    /// Runs that were started beside another one on the degraded worker, after `MAX_SLOW_RUNS` slow
    /// ones had ended there.
    pub beside: usize,
    /// Runs that ended on the worker that works again until it got two at a time.
    pub until_restored: usize,
    /// Plays in which the degraded worker was found within `MAX_SLOW_RUNS` runs.
    pub found: usize,
    /// Plays in which it got two runs at a time again.
    pub restored: usize,
    /// Workers that were not taken for even ones at the end.
    pub outlying: usize,
    /// In time and not, by kind.
    pub by_kind: [(usize, usize); 4],
}

impl Outcomes {
    pub fn add(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.impossible += other.impossible;
        self.missed += other.missed;
        self.beside += other.beside;
        self.until_restored = self.until_restored.max(other.until_restored);
        self.found += other.found;
        self.restored += other.restored;
        self.outlying += other.outlying;
    }
}

enum Event {
    Tick,
    Arrival,
    End {
        worker: usize,
        run: RunRequest,
        took_ms: u64,
    },
}

struct OpenJob {
    kind: usize,
    due_ms: u64,
    /// Run times on a worker of speed 1; none of tasks that have started.
    waiting: Vec<Option<f64>>,
    /// True if slow workers could have ended it in time while tasks of it waited.
    missed: bool,
    impossible: bool,
}

struct Play {
    rng: SmallRng,
    speeds: Speeds,
    base: Instant,
    now_ms: u64,
    scheduler: Scheduler,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    used: [usize; WORKERS],
    received: [u64; WORKERS],
    open: BTreeMap<JobNumber, OpenJob>,
    numbers: BTreeMap<Name, JobNumber>,
    /// Runs that ended on the first worker, started while it was degraded.
    slow_runs: usize,
    is_found: bool,
    is_restored: bool,
    outcomes: Outcomes,
}

/// Plays a load, relative to what the workers can do.
pub fn play(load: f64, speeds: Speeds, seed: u64) -> Outcomes {
    let mut play = Play {
        rng: SmallRng::seed_from_u64(seed),
        speeds,
        base: Instant::now(),
        now_ms: 0,
        scheduler: Scheduler::new("zone-a".into()),
        events: BTreeMap::new(),
        next: 0,
        used: [0; WORKERS],
        received: [0; WORKERS],
        open: BTreeMap::new(),
        numbers: BTreeMap::new(),
        slow_runs: 0,
        is_found: false,
        is_restored: false,
        outcomes: Outcomes::default(),
    };
    let queues = (0..KINDS.len()).map(queue).collect();
    play.scheduler.update_view(OperatorView {
        position: 1,
        queues,
        ..OperatorView::default()
    });
    (0..WORKERS).for_each(|worker| play.open_session(worker));
    play.schedule_arrivals(load);
    play.at(0, Event::Tick);
    play.run();
    play.outcomes.found = usize::from(play.is_found);
    play.outcomes.restored = usize::from(play.is_restored);
    play.outcomes.outlying = play.scheduler.outlying_workers().len();
    play.outcomes
}

fn slow(worker: usize) -> bool {
    worker % 3 == 2
}

impl Play {
    fn factor(&self, worker: usize) -> f64 {
        match self.speeds {
            Speeds::OneDegrades if worker == 0 && DEGRADED_MS.contains(&self.now_ms) => 5.0,
            Speeds::Even | Speeds::OneDegrades => 1.0,
            Speeds::Similar => {
                1.0 + 0.3 * f64::from(u8::try_from(worker * 7 % WORKERS).expect("few")) / 14.0
            }
            Speeds::ByKind if slow(worker) => 1.7,
            Speeds::ByKind => 0.7,
        }
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.events.insert((ms, self.next), event);
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn open_session(&mut self, worker: usize) {
        let (name, now) = (name(worker), self.now());
        let kind = if slow(worker) { "b" } else { "a" };
        let info = WorkerInfo {
            service: "quotes".into(),
            zone: "zone-a".into(),
            labels: smallvec![kind.into(), format!("r1-{}", worker % 4).into()],
            capacity: cores(SLOTS),
            leaving: false,
        };
        self.scheduler
            .session_opened(&name, 1, session(worker), now);
        self.scheduler
            .worker_changed(&name, session(worker), Some(info), now);
        self.announce(worker);
    }

    fn schedule_arrivals(&mut self, load: f64) {
        let tail = 1.0 + TAIL.0 * (TAIL.1 - 1.0);
        let mean = (SPREAD * SPREAD / 2.0).exp() * tail;
        let work =
            |k: &Kind| f64::from(k.tasks) * f64::from(k.expected_ms) * k.ratio * mean * k.share;
        let work: f64 = KINDS.iter().map(work).sum();
        let rate: f64 = (0..WORKERS).map(|w| 6.0 / self.factor(w)).sum();
        let gap_ms = work / (load * rate);
        let mut at = Duration::ZERO;
        while at < Duration::from_millis(PLAY_MS) {
            self.at(
                u64::try_from(at.as_millis()).expect("short"),
                Event::Arrival,
            );
            let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() * gap_ms;
            at += Duration::from_secs_f64(gap / 1_000.0);
        }
    }

    fn run(&mut self) {
        while let Some(((ms, _), event)) = self.events.pop_first() {
            self.now_ms = ms;
            match event {
                Event::Tick => {
                    self.scheduler.tick(self.now());
                    if ms < PLAY_MS + 8_000 {
                        self.at(ms + TICK_MS, Event::Tick);
                    }
                }
                Event::Arrival => self.submit(),
                Event::End {
                    worker,
                    run,
                    took_ms,
                } => self.end(worker, run, took_ms),
            }
            self.execute();
            self.note_missed();
        }
    }

    fn submit(&mut self) {
        let mut position: f64 = self.rng.random();
        let is_drawn = |kind: &Kind| {
            position -= kind.share;
            position < 0.0
        };
        let kind = KINDS.iter().position(is_drawn).unwrap_or(0);
        let k = &KINDS[kind];
        let step = StepRequest {
            count: k.tasks,
            resources: cores(1),
            expected_ms: k.expected_ms,
            ..StepRequest::default()
        };
        let id: Name = format!("job-{}", self.next + self.numbers.len() as u64).into();
        let request = JobRequest {
            id: id.clone(),
            queue: queue(kind).name,
            spec: "x".into(),
            steps: smallvec![step],
            deadline: self.now() + Duration::from_secs(8),
        };
        let times: Vec<f64> = (0..k.tasks).map(|_| self.draw(k)).collect();
        let objective = Duration::from_millis(k.expected_ms.into()).mul_f64(k.stretch);
        let objective_ms =
            u64::try_from(objective.as_millis()).expect("short") + u64::from(TARGET_MS);
        let number = self
            .scheduler
            .submit(request, self.now())
            .expect("accepted");
        let fastest = (0..WORKERS)
            .map(|w| self.factor(w))
            .fold(f64::INFINITY, f64::min);
        let job = OpenJob {
            kind,
            due_ms: self.now_ms + objective_ms,
            impossible: times.iter().any(|t| ms(t * fastest) > objective_ms),
            waiting: times.into_iter().map(Some).collect(),
            missed: false,
        };
        self.numbers.insert(id, number);
        self.open.insert(number, job);
    }

    fn draw(&mut self, kind: &Kind) -> f64 {
        let (u, v): (f64, f64) = (self.rng.random_range(f64::EPSILON..1.0), self.rng.random());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let tail = if self.rng.random_bool(TAIL.0) {
            TAIL.1
        } else {
            1.0
        };
        f64::from(kind.expected_ms) * kind.ratio * (SPREAD * normal).exp() * tail
    }

    /// Marks the jobs whose waiting tasks would end in time, by their real and by their expected run
    /// times, on slow workers that have free capacity now.
    fn note_missed(&mut self) {
        let free: usize = (0..WORKERS)
            .filter(|w| slow(*w))
            .map(|w| SLOTS - self.used[w])
            .sum();
        let factor = self.factor(2);
        for job in self.open.values_mut() {
            let waiting: Vec<f64> = job.waiting.iter().flatten().copied().collect();
            let k = &KINDS[job.kind];
            let expected = f64::from(k.expected_ms) * k.ratio;
            let longest = waiting.iter().copied().fold(expected, f64::max);
            let in_time = self.now_ms + ms(longest * factor) <= job.due_ms;
            job.missed |= !waiting.is_empty() && waiting.len() <= free && in_time;
        }
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
        if worker == 0 {
            self.note_first_worker();
        }
        self.used[worker] += 1;
        assert!(self.used[worker] <= SLOTS);
        self.received[worker] += 1;
        let number = self.numbers[&run.id.task.job];
        let job = self.open.get_mut(&number).expect("an open job");
        let time = job.waiting[usize::from(run.id.task.index)]
            .take()
            .unwrap_or(f64::from(run.expected_ms));
        let took_ms = ms(time * self.factor(worker)).max(1);
        self.at(
            self.now_ms + took_ms,
            Event::End {
                worker,
                run,
                took_ms,
            },
        );
    }

    /// Notes a start on the worker that degrades.
    fn note_first_worker(&mut self) {
        let is_beside = self.used[0] > 0;
        if DEGRADED_MS.contains(&self.now_ms) {
            let is_found = self.slow_runs >= MAX_SLOW_RUNS;
            self.outcomes.beside += usize::from(is_found && is_beside);
        } else if self.now_ms >= DEGRADED_MS.end {
            self.is_restored |= is_beside;
        }
    }

    /// Notes the end of a run on the worker that degrades.
    fn note_end(&mut self, started_ms: u64) {
        if DEGRADED_MS.contains(&started_ms) {
            self.slow_runs += 1;
            let workers = self.scheduler.outlying_workers();
            let is_degraded = workers.iter().any(|w| w.degraded && w.name == name(0));
            self.is_found |= is_degraded && self.slow_runs <= MAX_SLOW_RUNS;
        } else if started_ms >= DEGRADED_MS.end && !self.is_restored {
            self.outcomes.until_restored += 1;
        }
    }

    fn end(&mut self, worker: usize, run: RunRequest, took_ms: u64) {
        self.used[worker] = self.used[worker].saturating_sub(1);
        let end = RunEnd {
            id: run.id,
            result: RunResult::Done,
            took_ms: u32::try_from(took_ms).expect("short"),
        };
        self.announce(worker);
        self.scheduler
            .ended(&name(worker), session(worker), &[end], self.now());
        if worker == 0 {
            self.note_end(self.now_ms - took_ms);
        }
    }

    fn announce(&mut self, worker: usize) {
        let free = FreeResources {
            resources: cores(SLOTS - self.used[worker]),
            requests_seen: self.received[worker],
        };
        let now = self.now();
        self.scheduler
            .update_free(&name(worker), session(worker), free, now);
    }

    fn answered(&mut self, number: JobNumber, outcome: &JobOutcome) {
        let job = self.open.remove(&number).expect("an open job");
        let in_time = *outcome == JobOutcome::Completed && self.now_ms <= job.due_ms;
        let by_kind = &mut self.outcomes.by_kind[job.kind];
        if in_time {
            by_kind.0 += 1;
            self.outcomes.in_time += 1;
            return;
        }
        by_kind.1 += 1;
        self.outcomes.impossible += usize::from(job.impossible);
        self.outcomes.missed += usize::from(job.missed && !job.impossible);
        match outcome {
            JobOutcome::Completed => self.outcomes.late += 1,
            JobOutcome::Failed => panic!("no task fails"),
            JobOutcome::Refused(_) => self.outcomes.refused += 1,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "run times are short"
)]
fn ms(ms: f64) -> u64 {
    ms.round() as u64
}

fn queue(kind: usize) -> Queue {
    Queue {
        name: format!("queue-{kind}").into(),
        host: "host".into(),
        path_prefix: "/".into(),
        service: "quotes".into(),
        priority: KINDS[kind].priority,
        max_attempts: 2,
        stretch: KINDS[kind].stretch,
        latency_target_ms: TARGET_MS,
    }
}

fn name(worker: usize) -> Name {
    format!("worker-{worker}").into()
}

fn session(worker: usize) -> u64 {
    worker as u64 + 1
}

fn cores(tasks: usize) -> Resources {
    Resources {
        cpu: tasks as u64 * TASK_CORES * 1_000,
        memory_mb: 1_000,
        gpus: 0,
    }
}
