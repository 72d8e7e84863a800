//! Extreme and contradictory input from callers, agents and entries does not make a process panic.

use std::net::SocketAddr;
use std::time::Duration;

use masticcross_jobs::supervisor::clients::ClientId;
use masticcross_jobs::supervisor::{Effect, WorkerReport};
use masticcross_jobs::worker_client::{
    ListedEnd, ListedRun, RunListing, StartAnswer, StartOutcome, WorkerEnd, WorkerIncarnation,
    WorkerRun,
};
use masticcross_jobs::{JobRequest, Scheduler, StepRequest, Supervisor};
use masticcross_wire::NotStartedReason;
use masticcross_wire::crash::{CrashedRun, Isolation, WorkerCrash};
use masticcross_wire::pool::{
    Echo, EntryAddr, FreeResources, OperatorView, PriorityDemand, Queue, Resources, Resume,
    RoomDemand, RunEnd, RunId, RunRequest, RunResult, TaskId, ViewAnnouncement, ViewPart,
    ViewRange, WorkerInfo,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use smallvec::smallvec;
use tokio::time::Instant;

const TESTS: u64 = 300;
const ACTIONS: usize = 60;

/// Seed of a sequence of actions.
#[derive(Debug, Clone)]
struct Actions(Vec<(u8, Vec<u64>)>);

impl Arbitrary for Actions {
    fn arbitrary(g: &mut Gen) -> Self {
        let action = |g: &mut Gen| (u8::arbitrary(g), (0..12).map(|_| number(g)).collect());
        Self((0..ACTIONS).map(|_| action(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

/// Returns small and extreme numbers.
fn number(g: &mut Gen) -> u64 {
    match u8::arbitrary(g) % 4 {
        0 => u64::MAX,
        1 => u64::MAX / 2 + 1,
        2 => u64::from(u32::MAX),
        _ => u64::from(u8::arbitrary(g) % 4),
    }
}

/// Numbers of one action, used in turn.
struct Numbers(std::vec::IntoIter<u64>);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0.next().unwrap_or(0)
    }

    fn small(&mut self) -> u16 {
        u16::try_from(self.next() % 4).unwrap_or(0)
    }

    fn short(&mut self) -> u32 {
        u32::try_from(self.next()).unwrap_or(u32::MAX)
    }

    fn demand(&mut self) -> PriorityDemand {
        PriorityDemand {
            priority: self.short(),
            cpu: self.next(),
            arriving_cpu: self.next(),
            task_cpu: self.next(),
            latest_start_ms: self.short(),
        }
    }

    fn resources(&mut self) -> Resources {
        Resources {
            cpu: self.next(),
            memory_mb: self.next(),
            gpus: self.next(),
        }
    }

    fn run(&mut self) -> RunId {
        RunId {
            task: TaskId {
                job: format!("job-{}", self.small()).into(),
                step: 0,
                index: self.small(),
            },
            submission: self.small().into(),
            run: self.short(),
        }
    }

    fn worker_run(&mut self) -> WorkerRun {
        let RunId { task, run, .. } = self.run();
        WorkerRun { task, run }
    }

    fn result(&mut self) -> RunResult {
        match self.small() {
            0 => RunResult::Done,
            1 => RunResult::Failed,
            2 => RunResult::Lost,
            _ => RunResult::NotStarted(NotStartedReason::NoRoom),
        }
    }

    fn end(&mut self) -> RunEnd {
        RunEnd {
            id: self.run(),
            result: self.result(),
            took_ms: self.short(),
        }
    }

    fn isolation(&mut self) -> Isolation {
        match self.small() {
            0 | 1 => Isolation::Shared,
            2 => Isolation::Spaced,
            _ => Isolation::Alone,
        }
    }

    fn crash(&mut self) -> WorkerCrash {
        let run = CrashedRun {
            id: self.run(),
            queue: "usual".into(),
            ran_ms: self.short(),
            isolation: self.isolation(),
        };
        WorkerCrash {
            worker: format!("agent-{}", self.small()).into(),
            started_at_ms: self.next(),
            age_ms: self.next(),
            runs: vec![run],
        }
    }

    fn worker(&mut self) -> WorkerInfo {
        WorkerInfo {
            service: "quotes".into(),
            zone: "zone-a".into(),
            labels: smallvec![],
            capacity: self.resources(),
            leaving: self.small() == 0,
        }
    }

    fn range(&mut self) -> ViewRange {
        ViewRange {
            position: self.next(),
            offset: self.next(),
        }
    }

    fn part(&mut self) -> ViewPart {
        let len = usize::from(self.small());
        ViewPart {
            position: self.next(),
            digest: self.next(),
            total: self.next(),
            offset: self.next(),
            bytes: vec![0; len].into(),
        }
    }

    fn announcement(&mut self) -> ViewAnnouncement {
        ViewAnnouncement {
            summary: self.view().summary(),
            keep_copy: self.small() > 0,
            age_ms: (self.small() > 0).then(|| self.short()),
        }
    }

    fn echo(&mut self) -> Echo {
        Echo {
            probe: self.next(),
            view_position: self.next(),
            view_age_ms: (self.small() > 0).then(|| self.short()),
        }
    }

    fn view(&mut self) -> OperatorView {
        let stretches = [f64::NAN, f64::INFINITY, -1.0, 1.5];
        let queue = Queue {
            name: "usual".into(),
            host: "host".into(),
            path_prefix: "/".into(),
            service: "quotes".into(),
            priority: self.short(),
            max_attempts: self.short(),
            stretch: stretches[usize::from(self.small())],
            latency_target_ms: self.short(),
        };
        OperatorView {
            position: self.next(),
            queues: vec![queue],
            ..OperatorView::default()
        }
    }
}

fn act_on_scheduler(scheduler: &mut Scheduler, kind: u8, mut n: Numbers, now: Instant) {
    let session = 1 + u64::from(n.small());
    let agent = format!("agent-{session}").into();
    match kind % 13 {
        12 => scheduler.crashes_announced(session, &[n.crash()], now),
        8 => scheduler.view_announced(session, &n.announcement(), now),
        10 => scheduler.view_requested(session, n.range()),
        11 => {
            scheduler.view_part_received(session, &n.part(), now);
        }
        0 => {
            scheduler.update_view(n.view(), now);
        }
        1 => {
            scheduler.session_opened(&agent, n.next(), session, now);
        }
        2 => scheduler.worker_changed(&agent, session, Some(n.worker()), now),
        3 => {
            let free = FreeResources {
                resources: n.resources(),
                requests_seen: n.next(),
            };
            scheduler.update_free(&agent, session, free, now);
        }
        4 => scheduler.ended(&agent, session, &[n.end(), n.end()], now),
        5 => {
            let resume = Resume {
                entry: n.next(),
                running: vec![n.run()],
                ended: vec![n.end()],
                complete: n.small() > 0,
            };
            scheduler.resumed(&agent, session, &resume, now);
        }
        6 => scheduler.session_closed(&agent, session, now),
        7 => scheduler.tick(now),
        _ => {
            let step = StepRequest {
                count: n.small(),
                resources: n.resources(),
                expected_ms: n.short(),
                ..StepRequest::default()
            };
            let request = JobRequest {
                id: format!("job-{}", n.small()).into(),
                queue: "usual".into(),
                spec: "x".into(),
                steps: smallvec![step.clone(), step],
                deadline: now + Duration::from_millis(n.short().into()),
            };
            // Invalid requests are refused.
            let _ = scheduler.submit(request, now);
        }
    }
}

fn act_on_supervisor(supervisor: &mut Supervisor, kind: u8, mut n: Numbers, now: Instant) {
    let session = 1 + u64::from(n.small());
    match kind % 12 {
        10 => {
            let demand = RoomDemand {
                priorities: smallvec![n.demand(), n.demand()],
            };
            supervisor.demand_received(session, &demand, now);
        }
        9 => supervisor.crashes_announced(session, vec![n.crash()], now),
        7 => {
            supervisor.view_announced(session, n.announcement(), now);
        }
        8 => supervisor.view_requested(session, n.range()),
        0 => {
            let client = ClientId {
                name: format!("entry-{session}").into(),
                incarnation: n.next(),
            };
            supervisor.session_opened(&client, session, now);
        }
        1 => supervisor.echoed(session, n.echo(), now),
        2 => {
            let request = RunRequest {
                id: n.run(),
                resources: n.resources(),
                queue: "queue".into(),
                spec: "x".into(),
                isolation: n.isolation(),
                expected_ms: n.short(),
                late: n.small() == 0,
                priority: n.small().into(),
            };
            supervisor.run(session, vec![request], now);
        }
        3 => {
            let report = WorkerReport {
                incarnation: WorkerIncarnation {
                    id: "worker".into(),
                    started_at_ms: n.next(),
                },
                sequence: n.next(),
                info: n.worker(),
            };
            supervisor.worker_reported(report, now);
        }
        4 => poll(supervisor, n, now),
        5 => supervisor.tick(now),
        6 => supervisor.view_part_received(session, &n.part(), now),
        _ => {
            let entry = EntryAddr {
                name: "entry".into(),
                addr: SocketAddr::from(([10, 0, 0, 1], n.small())),
                zone: None,
                incarnation: n.next(),
            };
            supervisor.add_entries(&[entry]);
        }
    }
}

/// Polls the worker and answers the starts that it was sent.
fn poll(supervisor: &mut Supervisor, mut n: Numbers, now: Instant) {
    let Some(call) = supervisor.next_poll(Duration::ZERO, now) else {
        return;
    };
    // A worker confirms most claims; without that the supervisor has no worker.
    let claimed = call.incarnation.as_ref().map(|i| i.started_at_ms);
    let listing = RunListing {
        started_at_ms: claimed.filter(|_| n.small() > 0).unwrap_or(n.next()),
        clock_ms: n.next(),
        running: vec![ListedRun {
            run: n.worker_run(),
            percent: n.short(),
        }],
        ended: vec![ListedEnd {
            number: n.next(),
            run: n.worker_run(),
            end: WorkerEnd::Failed,
        }],
    };
    supervisor.poll_answered(&call, Ok(listing), now);
    for effect in supervisor.take_effects() {
        if let Effect::Start(call) = effect {
            let answer = StartAnswer {
                clock_ms: n.next(),
                outcome: StartOutcome::OldRun,
            };
            supervisor.started(&call, Ok(answer), now);
        }
    }
}

#[test]
fn a_scheduler_survives_any_input() {
    fn property(actions: Actions) -> bool {
        let mut scheduler = Scheduler::new("zone-a".into());
        let mut now = Instant::now();
        for (kind, numbers) in actions.0 {
            act_on_scheduler(&mut scheduler, kind, Numbers(numbers.into_iter()), now);
            scheduler.take_effects();
            now += Duration::from_millis(30);
        }
        true
    }
    QuickCheck::new()
        .tests(TESTS)
        .quickcheck(property as fn(Actions) -> bool);
}

#[test]
fn a_supervisor_survives_any_input() {
    fn property(actions: Actions) -> bool {
        let mut now = Instant::now();
        let mut supervisor = Supervisor::new("agent-1", Duration::from_secs(1), 1, now);
        for (kind, numbers) in actions.0 {
            act_on_supervisor(&mut supervisor, kind, Numbers(numbers.into_iter()), now);
            now += Duration::from_millis(30);
        }
        true
    }
    QuickCheck::new()
        .tests(TESTS)
        .quickcheck(property as fn(Actions) -> bool);
}
