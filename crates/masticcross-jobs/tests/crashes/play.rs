//! Entries, agents and workers in virtual time. Some tasks crash the worker that starts them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_jobs::scheduler::table::JobNumber;
use masticcross_jobs::scheduler::{self, Scheduler};
use masticcross_jobs::supervisor::clients::ClientId;
use masticcross_jobs::supervisor::{self, Supervisor, WorkerReport};
use masticcross_jobs::worker_client::{CallError, PollCall, StartCall, WorkerIncarnation};
use masticcross_jobs::{JobOutcome, JobRequest, StepRequest};
use masticcross_wire::pool::{OperatorView, PoolFrame, Queue, Resources, TaskId, WorkerInfo};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::smallvec;
use tokio::time::Instant;

use super::worker::Worker;

const TASK_CPU: u64 = 1_600;

/// Delay of a frame and of a call, in milliseconds.
const DELAY_MS: u64 = 1;

const TICK_MS: u64 = 20;
const POLL_MS: u64 = 10;
const PROBE_MS: u64 = 150;

/// Time after which a caller submits a job again whose entry has died, in milliseconds.
const RESUBMIT_MS: u64 = 1_300;

/// A kind of jobs: tasks, run time of a task in milliseconds, and jobs a second with 11 workers.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub tasks: u16,
    pub ms: u64,
    pub rate: f64,
}

pub const SHORT: usize = 0;
pub const LONG: usize = 1;
pub const FREQUENT: usize = 2;

const KINDS: [Kind; 3] = [
    Kind {
        tasks: 8,
        ms: 60,
        rate: 34.4,
    },
    Kind {
        tasks: 4,
        ms: 900,
        rate: 6.25,
    },
    Kind {
        tasks: 2,
        ms: 200,
        rate: 100.0,
    },
];

/// Jobs of a kind of which some have a task that crashes its worker.
#[derive(Debug, Clone, Copy)]
pub struct Outbreak {
    pub kind: usize,
    /// Share of the kind's jobs, beside the first one.
    pub share: f64,
    pub from_ms: u64,
    pub until_ms: u64,
    /// Time from the start of the task to the crash, in milliseconds.
    pub crash_after_ms: u64,
}

/// Loss of power of several workers at once.
#[derive(Debug, Clone)]
pub struct PowerLoss {
    pub at_ms: u64,
    pub workers: std::ops::Range<usize>,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub workers: usize,
    pub entries: usize,
    pub length_ms: u64,
    pub outbreaks: Vec<Outbreak>,
    pub power_losses: Vec<PowerLoss>,
    /// Entries that are killed and replaced, and when.
    pub entry_kills: Vec<(usize, u64)>,
    /// Kills the entry of the first task that has crashed this many workers.
    pub kill_entry_after_crashes: Option<usize>,
    /// Time that a worker is away after a crash, in milliseconds.
    pub away_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            workers: 11,
            entries: 3,
            length_ms: 16_000,
            outbreaks: Vec::new(),
            power_losses: Vec::new(),
            entry_kills: Vec::new(),
            kill_entry_after_crashes: None,
            away_ms: 3_300,
        }
    }
}

/// A job and what its caller got.
#[derive(Debug, Clone)]
pub struct PlayedJob {
    pub kind: usize,
    pub crashes_workers: bool,
    pub arrived_ms: u64,
    pub answer: Option<(u64, JobOutcome)>,
    pub started: bool,
    /// True if an earlier submission got no answer. A refusal speaks only of the later one.
    pub resubmitted: bool,
}

/// What happened at the workers and at the callers.
#[derive(Debug, Default)]
pub struct Report {
    pub jobs: BTreeMap<Name, PlayedJob>,
    /// Times of the crashes by a task, in milliseconds.
    pub crashes: Vec<u64>,
    /// Crashes that each crashing task has caused.
    pub by_task: BTreeMap<TaskId, usize>,
    /// Starts of a task after it had crashed three workers.
    pub late_starts: BTreeMap<TaskId, usize>,
}

impl Report {
    /// Returns the share of a kind's jobs, arrived in the given time, that were answered in time.
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    pub fn share_in_time(&self, kind: usize, arrived: std::ops::Range<u64>) -> f64 {
        let of_kind = |job: &&PlayedJob| {
            job.kind == kind
                && !job.crashes_workers
                // A job whose entry died is late for that reason alone.
                && !job.resubmitted
                && arrived.contains(&job.arrived_ms)
        };
        let jobs: Vec<_> = self.jobs.values().filter(of_kind).collect();
        let in_time = |job: &&&PlayedJob| match &job.answer {
            Some((at, JobOutcome::Completed)) => {
                at - job.arrived_ms <= objective_ms(KINDS[kind].ms)
            }
            _ => false,
        };
        jobs.iter().filter(in_time).count() as f64 / jobs.len().max(1) as f64
    }
}

enum Event {
    Tick,
    Probe(usize),
    Poll(usize, bool),
    Report(usize),
    Start(usize, StartCall),
    Crash(usize, u64, Option<TaskId>),
    Return(usize),
    ToAgent(usize, usize, u64, PoolFrame),
    ToEntry(usize, usize, u64, PoolFrame),
    Open(usize, usize, u64),
    Submit(Name),
    KillEntry(usize),
}

struct EntryState {
    scheduler: Scheduler,
    incarnation: u64,
    jobs: BTreeMap<JobNumber, Name>,
}

struct Play {
    rng: SmallRng,
    scenario: Scenario,
    base: Instant,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    order: BinaryHeap<Reverse<(u64, u64)>>,
    next: u64,
    entries: Vec<EntryState>,
    agents: Vec<Supervisor>,
    workers: Vec<Worker>,
    /// Whether a worker's process is running.
    up: Vec<bool>,
    report: Report,
}

/// Plays a scenario.
pub fn play(scenario: &Scenario, seed: u64) -> Report {
    let base = Instant::now();
    let mut play = Play {
        rng: SmallRng::seed_from_u64(seed),
        scenario: scenario.clone(),
        base,
        now_ms: 1_000,
        events: BTreeMap::new(),
        order: BinaryHeap::new(),
        next: 0,
        entries: (0..scenario.entries).map(|_| new_entry(1, base)).collect(),
        agents: Vec::new(),
        workers: Vec::new(),
        up: vec![true; scenario.workers],
        report: Report::default(),
    };
    play.prepare();
    play.run();
    play.report
}

impl Play {
    fn prepare(&mut self) {
        for worker in 0..self.scenario.workers {
            self.workers.push(Worker::new(capacity(worker), 50));
            let lease = Duration::from_secs(1);
            let supervisor = Supervisor::new(&agent_name(worker), lease, 1_000, self.base);
            self.agents.push(supervisor);
            self.after(1, Event::Report(worker));
            self.after(2, Event::Poll(worker, true));
            self.after(3, Event::Probe(worker));
            for entry in 0..self.scenario.entries {
                self.after(4, Event::Open(worker, entry, 1));
            }
        }
        self.after(1, Event::Tick);
        for kind in 0..KINDS.len() {
            self.schedule_arrivals(kind);
        }
        for (number, outbreak) in self.scenario.outbreaks.clone().into_iter().enumerate() {
            let name: Name = format!("first-{number}").into();
            self.add_job(name, outbreak.kind, outbreak.from_ms, true);
        }
        for loss in self.scenario.power_losses.clone() {
            for worker in loss.workers {
                self.at(loss.at_ms, Event::Crash(worker, 0, None));
            }
        }
        for (entry, at) in self.scenario.entry_kills.clone() {
            self.at(at, Event::KillEntry(entry));
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "times are positive and short"
    )]
    fn schedule_arrivals(&mut self, kind: usize) {
        let rate = KINDS[kind].rate * self.scenario.workers as f64 / 11.0;
        let mut at = 1_500.0;
        let mut number = 0;
        while at < self.scenario.length_ms as f64 {
            let outbreaks = self.scenario.outbreaks.clone();
            let active =
                |o: &&Outbreak| o.kind == kind && (o.from_ms..o.until_ms).contains(&(at as u64));
            let share = outbreaks.iter().find(active).map_or(0.0, |o| o.share);
            let crashes_workers = self.rng.random_bool(share);
            let name: Name = format!("job-{kind}-{number}").into();
            self.add_job(name, kind, at as u64, crashes_workers);
            at -= self.rng.random_range(f64::EPSILON..1.0).ln() * 1_000.0 / rate;
            number += 1;
        }
    }

    fn add_job(&mut self, name: Name, kind: usize, arrived_ms: u64, crashes_workers: bool) {
        let job = PlayedJob {
            kind,
            crashes_workers,
            arrived_ms,
            answer: None,
            started: false,
            resubmitted: false,
        };
        self.report.jobs.insert(name.clone(), job);
        self.at(arrived_ms, Event::Submit(name));
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.events.insert((ms, self.next), event);
        self.order.push(Reverse((ms, self.next)));
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now_ms + ms, event);
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn run(&mut self) {
        // Jobs that arrive at the end get their answers.
        let end = self.scenario.length_ms + 6_000;
        while let Some(Reverse(key)) = self.order.pop() {
            if key.0 > end {
                break;
            }
            self.now_ms = key.0;
            if let Some(event) = self.events.remove(&key) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Probe(agent) => {
                let probe = self.agents[agent].probe(self.now());
                for entry in 0..self.entries.len() {
                    self.send_to_entry(agent, entry, PoolFrame::Probe(probe));
                }
                self.after(PROBE_MS, Event::Probe(agent));
            }
            Event::Poll(agent, again) => {
                if again {
                    self.after(POLL_MS, Event::Poll(agent, true));
                }
                self.poll(agent);
            }
            Event::Report(agent) => {
                self.report_worker(agent);
                self.after(1_500, Event::Report(agent));
            }
            Event::Start(agent, call) => self.start(agent, &call),
            Event::Crash(agent, started_at, task) => self.crash(agent, started_at, task),
            Event::Return(agent) => {
                self.up[agent] = true;
                self.workers[agent] = Worker::new(capacity(agent), self.now_ms);
                self.report_worker(agent);
            }
            Event::ToAgent(agent, entry, incarnation, frame) => {
                self.deliver_to_agent(agent, entry, incarnation, frame);
            }
            Event::ToEntry(agent, entry, incarnation, frame) => {
                self.deliver_to_entry(agent, entry, incarnation, frame);
            }
            Event::Open(agent, entry, incarnation) => self.open(agent, entry, incarnation),
            Event::Submit(job) => self.submit(job),
            Event::KillEntry(entry) => self.kill_entry(entry),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for agent in 0..self.agents.len() {
            self.agents[agent].tick(now);
            self.execute_agent_effects(agent);
        }
        for entry in 0..self.entries.len() {
            self.entries[entry].scheduler.view_confirmed(now);
            self.entries[entry].scheduler.tick(now);
            self.execute_entry_effects(entry);
        }
        self.after(TICK_MS, Event::Tick);
    }

    fn report_worker(&mut self, agent: usize) {
        if !self.up[agent] {
            return;
        }
        let report = WorkerReport {
            incarnation: WorkerIncarnation {
                id: "worker".into(),
                started_at_ms: self.workers[agent].started_at,
            },
            sequence: self.now_ms,
            info: WorkerInfo {
                service: "service".into(),
                zone: "zone".into(),
                labels: smallvec![],
                capacity: self.workers[agent].capacity,
                leaving: false,
            },
        };
        let now = self.now();
        self.agents[agent].worker_reported(report, now);
        self.execute_agent_effects(agent);
    }

    fn poll(&mut self, agent: usize) {
        let now = self.now();
        let Some(call) = self.agents[agent].next_poll(Duration::ZERO, now) else {
            return;
        };
        let answer = self.poll_worker(agent, &call);
        self.agents[agent].poll_answered(&call, answer, now);
        self.execute_agent_effects(agent);
    }

    fn poll_worker(
        &mut self,
        agent: usize,
        call: &PollCall,
    ) -> masticcross_jobs::worker_client::Result<masticcross_jobs::worker_client::RunListing> {
        if self.up[agent] {
            self.workers[agent].poll(call, self.now_ms)
        } else {
            Err(refused())
        }
    }

    fn start(&mut self, agent: usize, call: &StartCall) {
        let now = self.now();
        if !self.up[agent] {
            self.agents[agent].started(call, Err(refused()), now);
            return self.execute_agent_effects(agent);
        }
        let task = call.request.id.task.clone();
        let job = self.report.jobs.get_mut(&task.job).expect("a played job");
        let mean = KINDS[job.kind].ms;
        let work_ms = self.rng.random_range(mean * 3 / 4..=mean * 5 / 4);
        let (answer, started) = self.workers[agent].start(call, work_ms, self.now_ms);
        if started {
            job.started = true;
            if job.crashes_workers && task.index == 0 {
                let kind = job.kind;
                self.crashing_task_started(agent, kind, task);
            } else {
                self.after(work_ms + DELAY_MS, Event::Poll(agent, false));
            }
        }
        self.agents[agent].started(call, answer, now);
        self.execute_agent_effects(agent);
    }

    fn crashing_task_started(&mut self, agent: usize, kind: usize, task: TaskId) {
        if self.report.by_task.get(&task).is_some_and(|n| *n >= 3) {
            *self.report.late_starts.entry(task.clone()).or_default() += 1;
        }
        let of_kind = |o: &&Outbreak| o.kind == kind;
        let outbreak = self.scenario.outbreaks.iter().find(of_kind);
        let crash_after_ms = outbreak.expect("an outbreak of the kind").crash_after_ms;
        let started_at = self.workers[agent].started_at;
        self.after(crash_after_ms, Event::Crash(agent, started_at, Some(task)));
    }

    /// Ends the process of a worker. `started_at` is that of the process, or 0 for any.
    fn crash(&mut self, agent: usize, started_at: u64, task: Option<TaskId>) {
        let worker = &self.workers[agent];
        if !self.up[agent] || (started_at != 0 && worker.started_at != started_at) {
            return;
        }
        if let Some(task) = task {
            if !worker.tasks().any(|running| *running == task) {
                return;
            }
            self.report.crashes.push(self.now_ms);
            let crashes = self.report.by_task.entry(task.clone()).or_default();
            *crashes += 1;
            if self.scenario.kill_entry_after_crashes == Some(*crashes) {
                self.scenario.kill_entry_after_crashes = None;
                let holds = |e: &EntryState| e.jobs.values().any(|job| *job == task.job);
                let entry = self.entries.iter().position(holds);
                // The entry hears of the crash first.
                self.after(5, Event::KillEntry(entry.expect("the job is open")));
            }
        }
        self.up[agent] = false;
        self.after(self.scenario.away_ms, Event::Return(agent));
        self.after(DELAY_MS, Event::Poll(agent, false));
    }

    fn open(&mut self, agent: usize, entry: usize, incarnation: u64) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        let now = self.now();
        let session = session(agent, entry, incarnation);
        let scheduler = &mut self.entries[entry].scheduler;
        scheduler.session_opened(&agent_name(agent), 1, session, now);
        self.execute_entry_effects(entry);
        let client = client(entry, incarnation);
        self.agents[agent].session_opened(&client, session, now);
        self.execute_agent_effects(agent);
    }

    fn send_to_entry(&mut self, agent: usize, entry: usize, frame: PoolFrame) {
        let incarnation = self.entries[entry].incarnation;
        self.after(DELAY_MS, Event::ToEntry(agent, entry, incarnation, frame));
    }

    fn deliver_to_agent(&mut self, agent: usize, entry: usize, incarnation: u64, frame: PoolFrame) {
        let now = self.now();
        let session = session(agent, entry, incarnation);
        let supervisor = &mut self.agents[agent];
        match frame {
            PoolFrame::Echo(echo) => supervisor.echoed(session, echo, now),
            PoolFrame::View(view) => supervisor.view_announced(session, view, now),
            PoolFrame::Run(requests) => supervisor.run(session, requests, now),
            PoolFrame::Stop(ids) => supervisor.stop(session, &ids, now),
            PoolFrame::Crashes(crashes) => supervisor.crashes_announced(session, crashes, now),
            _ => {}
        }
        self.execute_agent_effects(agent);
    }

    fn deliver_to_entry(&mut self, agent: usize, entry: usize, incarnation: u64, frame: PoolFrame) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        let (now, name) = (self.now(), agent_name(agent));
        let session = session(agent, entry, incarnation);
        let scheduler = &mut self.entries[entry].scheduler;
        match frame {
            PoolFrame::Probe(probe) => {
                let echo = PoolFrame::Echo(scheduler.echo(probe, now));
                let echo = Event::ToAgent(agent, entry, incarnation, echo);
                return self.after(DELAY_MS, echo);
            }
            PoolFrame::Worker(info) => scheduler.worker_changed(&name, session, info, now),
            PoolFrame::Free(free) => scheduler.update_free(&name, session, free, now),
            PoolFrame::Resume(resume) => scheduler.resumed(&name, session, &resume, now),
            PoolFrame::Ended(ends) => scheduler.ended(&name, session, &ends, now),
            PoolFrame::Crashes(crashes) => scheduler.crashes_announced(session, &crashes, now),
            _ => {}
        }
        self.execute_entry_effects(entry);
    }

    fn execute_agent_effects(&mut self, agent: usize) {
        for effect in self.agents[agent].take_effects() {
            match effect {
                supervisor::Effect::Send(number, frame) => {
                    let is_session =
                        |e: &usize| session(agent, *e, self.entries[*e].incarnation) == number;
                    if let Some(entry) = (0..self.entries.len()).find(is_session) {
                        self.send_to_entry(agent, entry, frame);
                    }
                }
                supervisor::Effect::Start(call) => self.after(DELAY_MS, Event::Start(agent, call)),
                supervisor::Effect::Stop(call) => {
                    if self.up[agent] {
                        // The agent retries a refused stop at a later tick.
                        let _ = self.workers[agent].stop(&call, self.now_ms);
                    }
                }
                supervisor::Effect::Poll => self.after(DELAY_MS, Event::Poll(agent, false)),
                supervisor::Effect::Close(_)
                | supervisor::Effect::SaveReport(_)
                | supervisor::Effect::ReadView => {}
            }
        }
    }

    fn execute_entry_effects(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation;
        for effect in self.entries[entry].scheduler.take_effects() {
            match effect {
                scheduler::Effect::Send(number, frame) => {
                    let agents = 0..self.agents.len();
                    let mut agents = agents.filter(|a| session(*a, entry, incarnation) == number);
                    if let Some(agent) = agents.next() {
                        self.after(DELAY_MS, Event::ToAgent(agent, entry, incarnation, frame));
                    }
                }
                scheduler::Effect::Answer(number, outcome) => {
                    let job = self.entries[entry].jobs.remove(&number);
                    self.answered(&job.expect("the job was submitted here"), outcome);
                }
            }
        }
    }

    fn submit(&mut self, name: Name) {
        let kind = self.report.jobs[&name].kind;
        let Kind { tasks, ms, .. } = KINDS[kind];
        let request = JobRequest {
            id: name.clone(),
            queue: queue(kind).name,
            spec: "x".into(),
            steps: smallvec![StepRequest {
                count: tasks,
                resources: cpu(TASK_CPU),
                expected_ms: u32::try_from(ms).expect("short"),
                ..StepRequest::default()
            }],
            deadline: self.now() + Duration::from_secs(4),
        };
        let entry = self.rng.random_range(0..self.entries.len());
        let now = self.now();
        match self.entries[entry].scheduler.submit(request, now) {
            Ok(number) => {
                self.entries[entry].jobs.insert(number, name);
            }
            Err(refusal) => self.answered(&name, JobOutcome::Refused(refusal)),
        }
        self.execute_entry_effects(entry);
    }

    fn answered(&mut self, name: &Name, outcome: JobOutcome) {
        let job = self.report.jobs.get_mut(name).expect("a played job");
        if let JobOutcome::Refused(refusal) = &outcome {
            assert!(
                !refusal.not_run || !job.started || job.resubmitted,
                "{name} ran, but was refused as not run"
            );
        }
        job.answer = Some((self.now_ms, outcome));
    }

    fn kill_entry(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation + 10;
        let started = new_entry(incarnation, self.now());
        let old = std::mem::replace(&mut self.entries[entry], started);
        for job in old.jobs.into_values() {
            let played = self.report.jobs.get_mut(&job).expect("a played job");
            played.resubmitted = true;
            self.after(RESUBMIT_MS, Event::Submit(job));
        }
        for agent in 0..self.agents.len() {
            self.agents[agent].session_closed(session(agent, entry, old.incarnation));
            self.after(500, Event::Open(agent, entry, incarnation));
        }
    }
}

/// Returns the time within which an answer is in time, in milliseconds.
fn objective_ms(ms: u64) -> u64 {
    ms * 8 / 5 + 60
}

fn new_entry(incarnation: u64, now: Instant) -> EntryState {
    let mut scheduler = Scheduler::new("zone".into());
    let view = OperatorView {
        position: 1,
        queues: (0..KINDS.len()).map(queue).collect(),
        ..OperatorView::default()
    };
    scheduler.update_view(view, now);
    scheduler.view_confirmed(now);
    EntryState {
        scheduler,
        incarnation,
        jobs: BTreeMap::new(),
    }
}

fn queue(kind: usize) -> Queue {
    Queue {
        name: format!("queue-{kind}").into(),
        host: "host".into(),
        path_prefix: "/".into(),
        service: "service".into(),
        priority: [0, 2, 1][kind],
        max_attempts: 4,
        stretch: 1.6,
        latency_target_ms: 60,
    }
}

fn client(entry: usize, incarnation: u64) -> ClientId {
    ClientId {
        name: format!("entry-{entry}").into(),
        incarnation,
    }
}

fn session(agent: usize, entry: usize, incarnation: u64) -> u64 {
    incarnation * 1_000_000 + entry as u64 * 1_000 + agent as u64
}

fn agent_name(agent: usize) -> Name {
    format!("agent-{agent}").into()
}

/// Returns the capacity of a worker. Every third one is larger.
fn capacity(worker: usize) -> Resources {
    cpu(if worker % 3 == 2 { 24_000 } else { 16_000 })
}

fn cpu(cpu: u64) -> Resources {
    Resources {
        cpu,
        memory_mb: 100 * cpu / TASK_CPU,
        gpus: 0,
    }
}

fn refused() -> CallError {
    CallError::Refused("nothing listens".to_owned())
}
