//! Entries and agents with simulated workers and callers, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_jobs::scheduler::table::JobNumber;
use masticcross_jobs::scheduler::{self, Scheduler};
use masticcross_jobs::supervisor::clients::ClientId;
use masticcross_jobs::supervisor::{self, SessionId, Supervisor, WorkerReport};
use masticcross_jobs::worker_client::{StartCall, StopCall, WorkerIncarnation};
use masticcross_jobs::{JobOutcome, JobRequest, StepRequest};
use masticcross_wire::pool::{OperatorView, PoolFrame, Queue, Resources, WorkerInfo};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::smallvec;
use tokio::time::Instant;

use super::worker::Worker;

const ENTRIES: usize = 10;
const AGENTS: usize = 59;
const WORKER_CORES: u64 = 64;
const TASK_CORES: u64 = 10;
const SLOTS: u64 = AGENTS as u64 * (WORKER_CORES / TASK_CORES);

const ARRIVALS_MS: u64 = 8_000;
const END_MS: u64 = 11_000;
const TICK_MS: u64 = 20;
const PROBE_MS: u64 = 150;
const POLL_MS: u64 = 100;
const NETWORK_MS: u64 = 1;
/// Longest time after which an entry reacts.
const MAX_REACTION_MS: u64 = 40;

/// Kinds of jobs: tasks, run time in milliseconds, and share of the jobs. The priority is the index.
const KINDS: [(u16, u64, f64); 3] = [(8, 60, 0.25), (2, 200, 0.7), (4, 900, 0.05)];

/// How late entries react.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// All after 1 to 40 ms.
    Equal,
    /// The strongest after 1 to 4 ms, the weakest after 1 to 40 ms.
    ByEntry,
}

/// A load.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Work of the jobs, relative to what the workers can do.
    pub work: f64,
    /// How late the entries react.
    pub reaction: Reaction,
    /// Whether entries tell agents what waits.
    pub tells_demand: bool,
}

/// What the callers of one entry or of one priority got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub jobs: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Tally {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs.max(1))
    }
}

/// What the callers got, and what it cost.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub by_entry: [Tally; ENTRIES],
    pub by_priority: [Tally; KINDS.len()],
    /// Frames sent by agents and by entries, by kind.
    pub frames: BTreeMap<(&'static str, &'static str), u32>,
    /// Offers made, and those that were not used.
    pub offers: (u64, u64),
    /// Work of completed jobs relative to what the workers can do.
    pub completed_work: f64,
}

impl Outcomes {
    pub fn in_time(&self) -> u32 {
        self.by_entry.iter().map(|tally| tally.in_time).sum()
    }

    /// Returns the share in time of the worst entry relative to that of the best.
    pub fn worst_to_best(&self) -> f64 {
        let shares = self.by_entry.iter().map(Tally::share);
        let (worst, best) = shares.fold((f64::MAX, 0.0_f64), |(worst, best), share| {
            (worst.min(share), best.max(share))
        });
        worst / best
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shares = |tallies: &[Tally]| {
            let shares = tallies.iter().map(|tally| format!("{:.3}", tally.share()));
            shares.collect::<Vec<_>>().join(" ")
        };
        let jobs: u32 = self.by_entry.iter().map(|tally| tally.jobs).sum();
        let refused: u32 = self.by_entry.iter().map(|tally| tally.refused).sum();
        let late: u32 = self.by_entry.iter().map(|tally| tally.late).sum();
        let sent = |by: &str| -> u32 {
            let frames = self.frames.iter().filter(|((from, _), _)| *from == by);
            frames.map(|(_, count)| count).sum()
        };
        write!(
            f,
            "{} of {jobs} in time, {late} late, {refused} refused, work {:.3}, worst to best {:.3}; entries {}; priorities {}; \
             offers {:?}; frames: agents {}, entries {}, {:?}",
            self.in_time(),
            self.completed_work,
            self.worst_to_best(),
            shares(&self.by_entry),
            shares(&self.by_priority),
            self.offers,
            sent("agent"),
            sent("entry"),
            self.frames,
        )
    }
}

/// What an entry has to handle when it reacts.
enum Input {
    Frame(usize, PoolFrame),
    Job { kind: usize, arrived: u64 },
    Tick,
}

enum Event {
    /// Something reaches an entry.
    Input(usize, Input),
    /// An entry handles all that reached it.
    React(usize),
    ToAgent(usize, SessionId, PoolFrame),
    TickAgents,
    Probe(usize),
    Poll(usize),
    PollRepeatedly(usize),
    Start(usize, StartCall),
    Stop(usize, StopCall),
}

struct EntryState {
    scheduler: Scheduler,
    inputs: Vec<Input>,
    open: BTreeMap<JobNumber, (usize, u64)>,
}

struct Play {
    rng: SmallRng,
    base: Instant,
    now_ms: u64,
    load: Load,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    entries: Vec<EntryState>,
    agents: Vec<Supervisor>,
    workers: Vec<Worker>,
    jobs: u64,
    outcomes: Outcomes,
    completed_slot_ms: u64,
}

/// Plays a load.
pub fn play(load: Load, seed: u64) -> Outcomes {
    let base = Instant::now();
    let entry = |_| EntryState {
        scheduler: new_scheduler(base),
        inputs: Vec::new(),
        open: BTreeMap::new(),
    };
    let agent = |a| Supervisor::new(&agent_name(a), Duration::from_secs(1), 1_000_000, base);
    let mut play = Play {
        rng: SmallRng::seed_from_u64(seed),
        base,
        now_ms: 0,
        load,
        events: BTreeMap::new(),
        next: 0,
        entries: (0..ENTRIES).map(entry).collect(),
        agents: (0..AGENTS).map(agent).collect(),
        workers: (0..AGENTS)
            .map(|_| Worker::new(cores(WORKER_CORES), 0))
            .collect(),
        jobs: 0,
        outcomes: Outcomes::default(),
        completed_slot_ms: 0,
    };
    play.open_sessions();
    play.schedule_arrivals(load.work);
    play.run();
    play.outcomes
}

impl Play {
    fn after(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.events.insert((self.now_ms + ms, self.next), event);
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn open_sessions(&mut self) {
        let now = self.now();
        for agent in 0..AGENTS {
            self.agents[agent].worker_reported(report(), now);
            for entry in (0..ENTRIES).filter(|entry| has_session(agent, *entry)) {
                let client = ClientId {
                    name: format!("entry-{entry}").into(),
                    incarnation: 1,
                };
                let session = session(agent, entry);
                self.agents[agent].session_opened(&client, session, now);
                let scheduler = &mut self.entries[entry].scheduler;
                scheduler.session_opened(&agent_name(agent), 1, session, now);
            }
            let probe = self.rng.random_range(0..PROBE_MS);
            self.after(probe, Event::Probe(agent));
            let poll = self.rng.random_range(2..POLL_MS);
            self.after(poll, Event::PollRepeatedly(agent));
            self.execute_agent(agent);
        }
        for entry in 0..ENTRIES {
            self.after(0, Event::Input(entry, Input::Tick));
            self.execute_entry(entry);
        }
        self.after(0, Event::TickAgents);
    }

    /// Schedules the arrivals of jobs whose work is the given multiple of what the workers can do.
    /// The strongest entry gets four times as many as the weakest.
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive"
    )]
    fn schedule_arrivals(&mut self, load: f64) {
        let work = |(tasks, ms, share): (u16, u64, f64)| f64::from(tasks) * ms as f64 * share;
        let mean_work: f64 = KINDS.into_iter().map(work).sum();
        let gap_ms = mean_work / (load * SLOTS as f64);
        let kinds = KINDS.map(|kind| kind.2);
        let entries: Vec<f64> = (0..ENTRIES).map(|e| 4.0 - 3.0 * e as f64 / 9.0).collect();
        // The agents have announced their workers by then.
        let mut at = 300.0;
        while at < ARRIVALS_MS as f64 {
            let arrived = at as u64;
            let (kind, entry) = (self.pick(&kinds), self.pick(&entries));
            let input = Input::Job { kind, arrived };
            self.after(arrived, Event::Input(entry, input));
            at -= self.rng.random_range(f64::EPSILON..1.0).ln() * gap_ms;
        }
    }

    fn pick(&mut self, weights: &[f64]) -> usize {
        let mut position = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            if position < *weight {
                return index;
            }
            position -= weight;
        }
        0
    }

    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > END_MS {
                break;
            }
            self.now_ms = at;
            self.handle(event);
        }
        let now = self.now();
        for agent in &self.agents {
            let offers = agent.gauges(now).offers;
            self.outcomes.offers.0 += offers.made;
            self.outcomes.offers.1 += offers.unused;
        }
        let capacity_ms = SLOTS * ARRIVALS_MS;
        self.outcomes.completed_work = self.completed_slot_ms as f64 / capacity_ms as f64;
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Input(entry, input) => self.add_input(entry, input),
            Event::React(entry) => self.react(entry),
            Event::ToAgent(agent, session, frame) => {
                deliver_to_agent(&mut self.agents[agent], session, frame, now);
                self.execute_agent(agent);
            }
            Event::TickAgents => {
                self.check_single_runs();
                for agent in 0..AGENTS {
                    self.agents[agent].tick(now);
                    self.execute_agent(agent);
                }
                self.after(TICK_MS, Event::TickAgents);
            }
            Event::Probe(agent) => {
                let probe = self.agents[agent].probe(now);
                for entry in (0..ENTRIES).filter(|entry| has_session(agent, *entry)) {
                    self.send_to_entry(agent, session(agent, entry), PoolFrame::Probe(probe));
                }
                self.after(PROBE_MS, Event::Probe(agent));
            }
            Event::Poll(agent) => self.poll(agent),
            Event::PollRepeatedly(agent) => {
                self.poll(agent);
                self.after(POLL_MS, Event::PollRepeatedly(agent));
            }
            Event::Start(agent, call) => self.start(agent, &call),
            Event::Stop(agent, call) => {
                let stopped = self.workers[agent].stop(&call, self.now_ms);
                assert!(stopped.is_ok());
                self.poll(agent);
            }
        }
    }

    fn add_input(&mut self, entry: usize, input: Input) {
        if self.entries[entry].inputs.is_empty() {
            let longest = match self.load.reaction {
                Reaction::Equal => MAX_REACTION_MS,
                Reaction::ByEntry => MAX_REACTION_MS * (entry as u64 + 1) / ENTRIES as u64,
            };
            let delay = self.rng.random_range(1..=longest);
            self.after(delay, Event::React(entry));
        }
        self.entries[entry].inputs.push(input);
    }

    fn react(&mut self, entry: usize) {
        let now = self.now();
        for input in std::mem::take(&mut self.entries[entry].inputs) {
            match input {
                Input::Frame(agent, frame) => self.deliver_to_entry(agent, entry, frame),
                Input::Job { kind, arrived } => self.submit(entry, kind, arrived),
                Input::Tick => {
                    self.entries[entry].scheduler.view_confirmed(now);
                    self.entries[entry].scheduler.tick(now);
                    self.after(TICK_MS, Event::Input(entry, Input::Tick));
                }
            }
        }
        self.execute_entry(entry);
    }

    fn deliver_to_entry(&mut self, agent: usize, entry: usize, frame: PoolFrame) {
        let (now, name, session) = (self.now(), agent_name(agent), session(agent, entry));
        let scheduler = &mut self.entries[entry].scheduler;
        match frame {
            PoolFrame::Probe(probe) => {
                let demand = scheduler.demand(&name, session, now);
                if let Some(demand) = demand.filter(|_| self.load.tells_demand) {
                    self.send_to_agent(session, PoolFrame::Demand(demand));
                }
                let echo = self.entries[entry].scheduler.echo(probe, now);
                self.send_to_agent(session, PoolFrame::Echo(echo));
            }
            PoolFrame::Worker(info) => scheduler.worker_changed(&name, session, info, now),
            PoolFrame::Free(free) => scheduler.update_free(&name, session, free, now),
            PoolFrame::Resume(resume) => scheduler.resumed(&name, session, &resume, now),
            PoolFrame::Ended(ends) => scheduler.ended(&name, session, &ends, now),
            PoolFrame::View(view) => scheduler.view_announced(session, &view, now),
            PoolFrame::FetchView(range) => scheduler.view_requested(session, range),
            PoolFrame::Entries(_) | PoolFrame::Report(_) => {}
            other => panic!("{} sent to an entry", other.kind()),
        }
    }

    fn submit(&mut self, entry: usize, kind: usize, arrived: u64) {
        self.jobs += 1;
        let (tasks, ms, _) = KINDS[kind];
        let step = StepRequest {
            count: tasks,
            resources: cores(TASK_CORES),
            expected_ms: u32::try_from(ms).expect("short"),
            ..StepRequest::default()
        };
        let now = self.now();
        let request = JobRequest {
            id: format!("job-{}", self.jobs).into(),
            queue: format!("queue-{kind}").into(),
            spec: "x".into(),
            steps: smallvec![step],
            deadline: now + Duration::from_secs(6),
        };
        let state = &mut self.entries[entry];
        let number = state.scheduler.submit(request, now).expect("accepted");
        state.open.insert(number, (kind, arrived));
        self.outcomes.by_entry[entry].jobs += 1;
        self.outcomes.by_priority[kind].jobs += 1;
    }

    fn execute_entry(&mut self, entry: usize) {
        for effect in self.entries[entry].scheduler.take_effects() {
            match effect {
                scheduler::Effect::Send(session, frame) => self.send_to_agent(session, frame),
                scheduler::Effect::Answer(number, outcome) => {
                    self.answered(entry, number, &outcome);
                }
            }
        }
    }

    fn send_to_agent(&mut self, session: SessionId, frame: PoolFrame) {
        *self
            .outcomes
            .frames
            .entry(("entry", frame.kind()))
            .or_default() += 1;
        let agent = usize::try_from(session).expect("few") / ENTRIES;
        self.after(NETWORK_MS, Event::ToAgent(agent, session, frame));
    }

    fn send_to_entry(&mut self, agent: usize, session: SessionId, frame: PoolFrame) {
        *self
            .outcomes
            .frames
            .entry(("agent", frame.kind()))
            .or_default() += 1;
        let entry = usize::try_from(session).expect("few") % ENTRIES;
        let input = Input::Frame(agent, frame);
        self.after(NETWORK_MS, Event::Input(entry, input));
    }

    fn execute_agent(&mut self, agent: usize) {
        for effect in self.agents[agent].take_effects() {
            match effect {
                supervisor::Effect::Send(session, frame) => {
                    self.send_to_entry(agent, session, frame);
                }
                supervisor::Effect::Start(call) => self.after(1, Event::Start(agent, call)),
                supervisor::Effect::Stop(call) => self.after(1, Event::Stop(agent, call)),
                supervisor::Effect::Poll => self.after(1, Event::Poll(agent)),
                supervisor::Effect::Close(_)
                | supervisor::Effect::SaveReport(_)
                | supervisor::Effect::ReadView => {}
            }
        }
    }

    fn start(&mut self, agent: usize, call: &StartCall) {
        let expected = u64::from(call.request.expected_ms);
        let work_ms = self.rng.random_range(expected / 2..=expected * 3 / 2);
        let (answer, _) = self.workers[agent].start(call, work_ms, self.now_ms);
        let now = self.now();
        self.agents[agent].started(call, answer, now);
        self.after(work_ms, Event::Poll(agent));
        self.execute_agent(agent);
    }

    fn poll(&mut self, agent: usize) {
        let now = self.now();
        if let Some(call) = self.agents[agent].next_poll(Duration::ZERO, now) {
            let listing = self.workers[agent].poll(&call, self.now_ms);
            self.agents[agent].poll_answered(&call, listing, now);
            self.execute_agent(agent);
        }
    }

    fn answered(&mut self, entry: usize, number: JobNumber, outcome: &JobOutcome) {
        let open = self.entries[entry].open.remove(&number);
        let (kind, arrived) = open.expect("an open job");
        let (tasks, ms, _) = KINDS[kind];
        let in_time = self.now_ms - arrived <= ms * 8 / 5 + 60;
        let add: fn(&mut Tally) = match outcome {
            JobOutcome::Completed if in_time => |tally| tally.in_time += 1,
            JobOutcome::Completed => |tally| tally.late += 1,
            JobOutcome::Refused(_) => |tally| tally.refused += 1,
            JobOutcome::Failed => panic!("no task fails"),
        };
        add(&mut self.outcomes.by_entry[entry]);
        add(&mut self.outcomes.by_priority[kind]);
        if *outcome == JobOutcome::Completed {
            self.completed_slot_ms += u64::from(tasks) * ms;
        }
    }

    /// Checks that no task runs at two workers at a time.
    fn check_single_runs(&mut self) {
        let mut running = BTreeSet::new();
        for worker in &mut self.workers {
            worker.advance(self.now_ms);
            for task in worker.tasks() {
                assert!(running.insert(task.clone()), "{task} runs at two workers");
            }
        }
    }
}

fn deliver_to_agent(
    supervisor: &mut Supervisor,
    session: SessionId,
    frame: PoolFrame,
    now: Instant,
) {
    match frame {
        PoolFrame::Echo(echo) => supervisor.echoed(session, echo, now),
        PoolFrame::Demand(demand) => supervisor.demand_received(session, &demand, now),
        PoolFrame::View(view) => supervisor.view_announced(session, view, now),
        PoolFrame::FetchView(range) => supervisor.view_requested(session, range),
        PoolFrame::ViewPart(part) => supervisor.view_part_received(session, &part, now),
        PoolFrame::Run(requests) => supervisor.run(session, requests, now),
        PoolFrame::Stop(ids) => supervisor.stop(session, &ids, now),
        other => panic!("{} sent to an agent", other.kind()),
    }
}

fn new_scheduler(now: Instant) -> Scheduler {
    let mut scheduler = Scheduler::new("zone".into());
    let queue = |kind: usize| Queue {
        name: format!("queue-{kind}").into(),
        host: "host".into(),
        path_prefix: "/".into(),
        service: "quotes".into(),
        priority: u32::try_from(kind).expect("few"),
        max_attempts: 2,
        stretch: 1.6,
        latency_target_ms: 60,
    };
    let view = OperatorView {
        position: 1,
        queues: (0..KINDS.len()).map(queue).collect(),
        ..OperatorView::default()
    };
    scheduler.update_view(view, now);
    scheduler.view_confirmed(now);
    scheduler
}

fn report() -> WorkerReport {
    WorkerReport {
        incarnation: WorkerIncarnation {
            id: "worker".into(),
            started_at_ms: 0,
        },
        sequence: 1,
        info: WorkerInfo {
            service: "quotes".into(),
            zone: "zone".into(),
            labels: smallvec![],
            capacity: cores(WORKER_CORES),
            leaving: false,
        },
    }
}

/// Returns true unless the entry is one of the two that the agent has not selected.
fn has_session(agent: usize, entry: usize) -> bool {
    entry != agent % ENTRIES && entry != (agent + agent / ENTRIES + 1) % ENTRIES
}

fn session(agent: usize, entry: usize) -> SessionId {
    (agent * ENTRIES + entry) as SessionId
}

fn agent_name(agent: usize) -> Name {
    format!("agent-{agent}").into()
}

fn cores(cores: u64) -> Resources {
    Resources {
        cpu: cores * 1_000,
        memory_mb: cores * 100,
        gpus: 0,
    }
}
