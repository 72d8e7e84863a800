//! A model of entries whose processors are the bottleneck. Each entry handles its events one after the
//! other; an event takes its cost divided by the entry's share of a core. The workers are free.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;
use std::time::Duration;

use masticcross_jobs::handover::PROBE_INTERVAL;
use masticcross_jobs::handover::credit::Capacity;
use masticcross_jobs::handover::origin::{InTransfer, Origin};
use masticcross_jobs::handover::receiver::Receiver;
use masticcross_jobs::handover::selection::PeerSelection;
use masticcross_jobs::job::JobRequest;
use masticcross_jobs::own_load::OwnLoad;
use masticcross_wire::peer::PeerEcho;
use masticcross_wire::pool::EntryAddr;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;
use tokio::time::Instant;

/// Costs in milliseconds of a whole core. A job that the entry runs itself costs 0.5 ms.
const ARRIVAL: f64 = 0.12;
/// One of the [`TASKS`] of a job: its start, its end and the frames for it.
const TASK: f64 = 0.095;
/// What a transferred job costs its origin beside the arrival.
const SEND: f64 = 0.02;
const FORWARD: f64 = 0.04;
/// What it costs the receiver beside the run.
const RECEIVE: f64 = 0.05;
const RETURN: f64 = 0.02;
/// A probe or an echo.
const PROBE: f64 = 0.02;

/// Number of tasks of a job, and the time after which the first and each further one ends.
const TASKS: u8 = 4;
const FIRST_TASK: Duration = Duration::from_millis(70);
const NEXT_TASK: Duration = Duration::from_millis(10);

/// Time within which an answer is in time.
const OBJECTIVE: Duration = Duration::from_millis(350);

/// Time that a frame takes.
const LATENCY: Duration = Duration::from_millis(1);

const TICK: Duration = Duration::from_millis(20);

/// How the jobs of some callers ended.
#[derive(Clone, Default)]
pub struct Outcomes {
    pub jobs: u32,
    pub in_time: u32,
    pub late: u32,
    pub transferred: u32,
    pub returned: u32,
    pub shed: u32,
    /// When the transferred and refused jobs arrived, and after how long that was decided.
    decisions: Vec<(Instant, Duration)>,
}

impl Outcomes {
    /// Returns the share of the jobs that was answered in time.
    pub fn worth(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs)
    }

    /// Returns the time after which a share of the transferred and refused jobs was decided.
    pub fn decision_percentile(&self, percent: usize) -> Duration {
        let mut decisions: Vec<Duration> = self.decisions.iter().map(|(_, took)| *took).collect();
        decisions.sort_unstable();
        let index = decisions.len() * percent / 100;
        decisions.get(index).copied().unwrap_or_default()
    }
}

impl std::fmt::Debug for Outcomes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let decided = [50, 90, 99].map(|percent| self.decision_percentile(percent));
        write!(
            f,
            "worth {:.3} of {} (late {}, transferred {}, returned {}, shed {}; decided after {decided:?})",
            self.worth(),
            self.jobs,
            self.late,
            self.transferred,
            self.returned,
            self.shed
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Arrival(usize),
    /// A task of a job has ended.
    TaskEnded(usize, u8),
    Received {
        session: u64,
        number: u64,
        job: usize,
    },
    Answered {
        session: u64,
        number: u64,
        returned: bool,
    },
    Probe(u64),
    Probed {
        session: u64,
        probe: u64,
    },
    Echoed {
        session: u64,
        probe: u64,
        credit: u32,
    },
}

struct Job {
    origin: usize,
    arrived: Instant,
    /// Session and number, if it was received by another entry.
    received: Option<(u64, u64)>,
}

struct Node {
    core: f64,
    busy_until: Instant,
    load: OwnLoad,
    selection: PeerSelection,
    origin: Origin<usize>,
    receiver: Receiver,
}

/// All entries and their callers.
pub struct Play {
    now: Instant,
    start: Instant,
    nodes: Vec<Node>,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<(Instant, u64, usize, Event)>>,
    sequence: u64,
    /// Origin and receiver of each session.
    sessions: Vec<(usize, usize)>,
    outcomes: BTreeMap<usize, Outcomes>,
    transfers: bool,
    end: Instant,
    rng: SmallRng,
}

impl Play {
    pub fn new(cores: &[f64], transfers: bool) -> Self {
        let start = Instant::now();
        let addr = |number: usize| EntryAddr {
            name: format!("entry-{number}").into(),
            addr: ([10, 0, 0, u8::try_from(number).expect("few entries")], 7000).into(),
            zone: Some(format!("zone-{}", number / 2).into()),
            incarnation: 1,
        };
        let addrs: BTreeMap<_, _> = (0..cores.len())
            .map(|number| (addr(number).name, addr(number)))
            .collect();
        let node = |(number, core): (usize, &f64)| {
            let EntryAddr { name, zone, .. } = addr(number);
            let mut selection = PeerSelection::new(name, zone.expect("a zone"));
            selection.set_entries(&addrs);
            Node {
                core: *core,
                busy_until: start,
                load: OwnLoad::default(),
                selection,
                origin: Origin::default(),
                receiver: Receiver::default(),
            }
        };
        let mut play = Self {
            now: start,
            start,
            nodes: cores.iter().enumerate().map(node).collect(),
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            sessions: Vec::new(),
            outcomes: BTreeMap::new(),
            transfers,
            end: start,
            rng: SmallRng::seed_from_u64(1),
        };
        for number in 0..cores.len() {
            play.at(start, number, Event::Tick);
        }
        play
    }

    /// Adds callers of an entry that send jobs at random times.
    pub fn add_callers(&mut self, entry: usize, from: Duration, to: Duration, per_s: f64) {
        let mut at = from;
        loop {
            let pause = -self.rng.random::<f64>().max(1e-9).ln() / per_s;
            at += Duration::from_secs_f64(pause);
            if at >= to {
                break;
            }
            let arrived = self.start + at;
            let job = self.jobs.len();
            self.jobs.push(Job {
                origin: entry,
                arrived,
                received: None,
            });
            self.outcomes.entry(entry).or_default().jobs += 1;
            self.at(arrived, entry, Event::Arrival(job));
        }
        self.end = self.end.max(self.start + to + Duration::from_secs(3));
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, _, entry, event))) = self.events.pop() {
            if at > self.end {
                break;
            }
            // The entry handles the event when it has handled all earlier ones.
            self.now = at.max(self.nodes[entry].busy_until);
            self.handle(entry, event, at);
        }
    }

    pub fn outcomes(&self, entries: Range<usize>) -> Outcomes {
        let mut sum = Outcomes::default();
        for outcomes in self.outcomes.range(entries).map(|(_, o)| o) {
            sum.jobs += outcomes.jobs;
            sum.in_time += outcomes.in_time;
            sum.late += outcomes.late;
            sum.transferred += outcomes.transferred;
            sum.returned += outcomes.returned;
            sum.shed += outcomes.shed;
            sum.decisions.extend(&outcomes.decisions);
        }
        sum
    }

    /// Returns the outcomes of an entry's callers with only the decisions on jobs that arrived from the
    /// given time on.
    pub fn outcomes_since(&self, entries: Range<usize>, since: Duration) -> Outcomes {
        let mut outcomes = self.outcomes(entries);
        let since = self.start + since;
        outcomes.decisions.retain(|(arrived, _)| *arrived >= since);
        outcomes
    }

    pub fn dials(&self) -> usize {
        self.sessions.len()
    }

    /// Returns origin and receiver of a session.
    fn ends(&self, session: u64) -> (usize, usize) {
        self.sessions[usize::try_from(session).expect("few sessions")]
    }

    fn at(&mut self, at: Instant, entry: usize, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, entry, event)));
    }

    fn work(&mut self, entry: usize, cost_ms: f64) {
        let node = &mut self.nodes[entry];
        let time = Duration::from_secs_f64(cost_ms / 1_000.0 / node.core);
        node.busy_until = self.now + time;
        self.now = node.busy_until;
    }

    fn capacity(&self, entry: usize) -> Capacity {
        Capacity {
            load: self.nodes[entry].load.load(),
            lag_ms: self.nodes[entry].load.lag_ms(),
            free_cpu: 1_000_000,
            is_open: true,
        }
    }

    fn handle(&mut self, entry: usize, event: Event, due: Instant) {
        match event {
            Event::Tick => self.tick(entry, due),
            Event::Arrival(job) => self.arrive(entry, job),
            Event::TaskEnded(_, task) if task < TASKS => self.work(entry, TASK),
            Event::TaskEnded(job, _) => {
                self.work(entry, TASK);
                match self.jobs[job].received {
                    None => self.finish(job),
                    Some((session, number)) => {
                        self.work(entry, RETURN);
                        self.nodes[entry].receiver.ended(session, number);
                        self.answer(session, number, false);
                    }
                }
            }
            Event::Received {
                session,
                number,
                job,
            } => {
                self.work(entry, RECEIVE);
                let receiver = &mut self.nodes[entry].receiver;
                if receiver.received(session, number, self.now).is_ok() {
                    receiver.accepted(session, number, number);
                    self.jobs[job].received = Some((session, number));
                    self.start_tasks(entry, job);
                } else {
                    self.answer(session, number, true);
                }
            }
            Event::Answered {
                session,
                number,
                returned,
            } => {
                self.work(entry, FORWARD);
                let answered = self.nodes[entry].origin.answered(session, number);
                let job = answered.expect("known").expect("not cancelled").callers[0];
                if returned {
                    self.outcome(job).returned += 1;
                    self.start_tasks(entry, job);
                } else {
                    self.finish(job);
                }
            }
            Event::Probe(session) => self.probe(entry, session),
            Event::Probed { session, probe } => {
                self.work(entry, PROBE);
                let capacity = self.capacity(entry);
                let receiver = &mut self.nodes[entry].receiver;
                let PeerEcho { probe, credit } =
                    receiver.probed(session, probe, capacity, self.now);
                let (origin, _) = self.ends(session);
                let echoed = Event::Echoed {
                    session,
                    probe,
                    credit,
                };
                self.at(self.now + LATENCY, origin, echoed);
            }
            Event::Echoed {
                session,
                probe,
                credit,
            } => {
                self.work(entry, PROBE);
                let node = &mut self.nodes[entry];
                let echo = PeerEcho { probe, credit };
                // The session may have ended.
                if node.origin.echoed(session, echo, self.now).expect("known") > 0 {
                    node.selection.credit_granted(session, self.now);
                }
            }
        }
    }

    fn tick(&mut self, entry: usize, due: Instant) {
        let lag = self.now.saturating_duration_since(due);
        self.work(entry, PROBE);
        self.at(self.now + TICK, entry, Event::Tick);
        if !self.transfers {
            return;
        }
        let node = &mut self.nodes[entry];
        node.load.add(lag, self.now);
        let load = node.load.load();
        for addr in node.selection.update(load, self.now) {
            let session = u64::try_from(self.sessions.len()).expect("few sessions");
            let std::net::IpAddr::V4(ip) = addr.addr.ip() else {
                unreachable!("addresses of the model");
            };
            let receiver = usize::from(ip.octets()[3]);
            self.sessions.push((entry, receiver));
            let node = &mut self.nodes[entry];
            node.selection.opened(&addr.name, session, self.now);
            node.origin.opened(session, addr.name, self.now);
            assert!(self.nodes[receiver].receiver.opened(session));
            self.at(self.now, entry, Event::Probe(session));
        }
    }

    fn probe(&mut self, entry: usize, session: u64) {
        self.work(entry, PROBE);
        let (_, receiver) = self.ends(session);
        let node = &mut self.nodes[entry];
        if node.selection.retiring().contains(&session) && node.origin.is_idle(session) {
            node.selection.closed(session, self.now);
            node.origin.closed(session);
            self.nodes[receiver].receiver.closed(session);
            return;
        }
        let clock_ms = u64::try_from((self.now - self.start).as_millis()).expect("a short play");
        let probe = node.origin.probe(session, clock_ms).expect("open");
        let probed = Event::Probed { session, probe };
        self.at(self.now + LATENCY, receiver, probed);
        self.at(self.now + PROBE_INTERVAL, entry, Event::Probe(session));
    }

    fn arrive(&mut self, entry: usize, job: usize) {
        self.work(entry, ARRIVAL);
        let now = self.now;
        let node = &mut self.nodes[entry];
        if node.load.transfers_next() {
            let selection = &node.selection;
            let chosen = node.origin.choose(|s| selection.is_open(s), now);
            if let Some((session, number)) = chosen {
                let request = JobRequest {
                    id: format!("{job}").into(),
                    queue: "q".into(),
                    spec: "x".into(),
                    steps: SmallVec::new(),
                    deadline: now,
                };
                let callers = SmallVec::from_buf([job]);
                let transfer = InTransfer {
                    request,
                    arrived: now,
                    callers,
                };
                node.origin.transferred(session, transfer);
                self.work(entry, SEND);
                self.decided(job);
                self.outcome(job).transferred += 1;
                let received = Event::Received {
                    session,
                    number,
                    job,
                };
                let (_, peer) = self.ends(session);
                self.at(self.now + LATENCY, peer, received);
                return;
            }
            node.load.transfer_blocked(now);
        }
        if self.nodes[entry].load.sheds_next().is_some() {
            self.decided(job);
            self.outcome(job).shed += 1;
            return;
        }
        self.start_tasks(entry, job);
    }

    fn start_tasks(&mut self, entry: usize, job: usize) {
        for task in 1..=TASKS {
            let at = self.now + FIRST_TASK + NEXT_TASK * u32::from(task);
            self.at(at, entry, Event::TaskEnded(job, task));
        }
    }

    fn answer(&mut self, session: u64, number: u64, returned: bool) {
        let (origin, _) = self.ends(session);
        let answered = Event::Answered {
            session,
            number,
            returned,
        };
        self.at(self.now + LATENCY, origin, answered);
    }

    fn outcome(&mut self, job: usize) -> &mut Outcomes {
        self.outcomes.entry(self.jobs[job].origin).or_default()
    }

    fn decided(&mut self, job: usize) {
        let arrived = self.jobs[job].arrived;
        let took = self.now - arrived;
        self.outcome(job).decisions.push((arrived, took));
    }

    fn finish(&mut self, job: usize) {
        let in_time = self.now - self.jobs[job].arrived <= OBJECTIVE;
        let outcome = self.outcome(job);
        outcome.in_time += u32::from(in_time);
        outcome.late += u32::from(!in_time);
    }
}
