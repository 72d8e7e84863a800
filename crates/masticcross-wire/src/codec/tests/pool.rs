//! Generator of messages about tasks with resources.

use masticcross_basics::Name;
use quickcheck::{Arbitrary, Gen};

use super::list;
use crate::crash::{CrashedRun, Isolation, WorkerCrash};
use crate::frame::NotStartedReason;
use crate::pool::{
    EarlierReport, Echo, EntryAddr, FreeResources, OperatorView, PoolFrame, PriorityDemand, Queue,
    ReportedWorker, Resources, Resume, RoomDemand, RunEnd, RunId, RunRequest, RunResult, TaskId,
    ViewAnnouncement, ViewPart, ViewRange, WorkerInfo,
};

/// Generates a message of any kind.
pub fn frame(g: &mut Gen) -> PoolFrame {
    match u8::arbitrary(g) % 16 {
        0 => PoolFrame::Probe(u64::arbitrary(g)),
        1 => PoolFrame::Echo(Echo {
            probe: u64::arbitrary(g),
            view_position: u64::arbitrary(g),
            view_age_ms: Option::arbitrary(g),
        }),
        2 => PoolFrame::View(ViewAnnouncement {
            summary: view(g).summary(),
            keep_copy: bool::arbitrary(g),
            age_ms: Option::arbitrary(g),
        }),
        3 => PoolFrame::Entries(list(g, |g| EntryAddr {
            name: name(g),
            addr: ([10, 0, 0, u8::arbitrary(g)], u16::arbitrary(g)).into(),
            zone: bool::arbitrary(g).then(|| name(g)),
            incarnation: u64::arbitrary(g),
        })),
        14 => PoolFrame::Report(reported(g)),
        15 => PoolFrame::EarlierReport(EarlierReport {
            worker: reported(g),
            age_ms: u32::arbitrary(g),
        }),
        4 => PoolFrame::Worker(bool::arbitrary(g).then(|| worker(g))),
        5 => PoolFrame::Free(FreeResources {
            resources: resources(g),
            requests_seen: u64::arbitrary(g),
        }),
        6 => PoolFrame::Resume(Resume {
            entry: u64::arbitrary(g),
            running: list(g, run),
            ended: list(g, end),
            complete: bool::arbitrary(g),
        }),
        7 => PoolFrame::Run(list(g, request)),
        8 => PoolFrame::Stop(list(g, run)),
        9 => PoolFrame::ViewPart(ViewPart {
            position: u64::arbitrary(g),
            digest: u64::arbitrary(g),
            total: u64::arbitrary(g),
            offset: u64::arbitrary(g),
            bytes: Vec::arbitrary(g).into(),
        }),
        10 => PoolFrame::FetchView(ViewRange {
            position: u64::arbitrary(g),
            offset: u64::arbitrary(g),
        }),
        11 => PoolFrame::Crashes(list(g, crash)),
        12 => PoolFrame::Demand(RoomDemand {
            priorities: list(g, |g| PriorityDemand {
                priority: u32::arbitrary(g),
                cpu: u64::arbitrary(g),
                arriving_cpu: u64::arbitrary(g),
                task_cpu: u64::arbitrary(g),
                latest_start_ms: u32::arbitrary(g),
            })
            .into(),
        }),
        _ => PoolFrame::Ended(list(g, end)),
    }
}

/// Generates an operator view.
pub fn view(g: &mut Gen) -> OperatorView {
    OperatorView {
        position: u64::arbitrary(g),
        config_version: u64::arbitrary(g),
        queues: list(g, queue),
        services: list(g, name).into_iter().collect(),
        max_body_bytes: usize::arbitrary(g),
        zones_out: list(g, name).into_iter().collect(),
    }
}

fn queue(g: &mut Gen) -> Queue {
    Queue {
        name: name(g),
        host: name(g),
        path_prefix: name(g),
        service: name(g),
        priority: u32::arbitrary(g),
        max_attempts: u32::arbitrary(g),
        stretch: f64::from(u16::arbitrary(g)) / 8.0,
        latency_target_ms: u32::arbitrary(g),
    }
}

fn reported(g: &mut Gen) -> ReportedWorker {
    ReportedWorker {
        id: name(g),
        started_at_ms: u64::arbitrary(g),
        info: worker(g),
    }
}

fn worker(g: &mut Gen) -> WorkerInfo {
    WorkerInfo {
        service: name(g),
        zone: name(g),
        labels: list(g, name).into(),
        capacity: resources(g),
        leaving: bool::arbitrary(g),
    }
}

fn request(g: &mut Gen) -> RunRequest {
    RunRequest {
        id: run(g),
        resources: resources(g),
        queue: name(g),
        spec: name(g),
        isolation: isolation(g),
        expected_ms: u32::arbitrary(g),
        late: bool::arbitrary(g),
        priority: u32::arbitrary(g),
    }
}

fn crash(g: &mut Gen) -> WorkerCrash {
    WorkerCrash {
        worker: name(g),
        started_at_ms: u64::arbitrary(g),
        age_ms: u64::arbitrary(g),
        runs: list(g, |g| CrashedRun {
            id: run(g),
            queue: name(g),
            ran_ms: u32::arbitrary(g),
            isolation: isolation(g),
        }),
    }
}

fn isolation(g: &mut Gen) -> Isolation {
    let all = [Isolation::Shared, Isolation::Spaced, Isolation::Alone];
    *g.choose(&all).expect("there are values")
}

fn end(g: &mut Gen) -> RunEnd {
    let results = [
        RunResult::Done,
        RunResult::Failed,
        RunResult::Stopped,
        RunResult::Lost,
        RunResult::Stuck,
        RunResult::NotStarted(NotStartedReason::NoRoom),
    ];
    RunEnd {
        id: run(g),
        result: *g.choose(&results).expect("there are results"),
        took_ms: u32::arbitrary(g),
    }
}

fn run(g: &mut Gen) -> RunId {
    RunId {
        task: TaskId {
            job: name(g),
            step: u16::arbitrary(g),
            index: u16::arbitrary(g),
        },
        submission: u64::arbitrary(g),
        run: u32::arbitrary(g),
    }
}

pub fn resources(g: &mut Gen) -> Resources {
    Resources {
        cpu: u64::arbitrary(g),
        memory_mb: u64::arbitrary(g),
        gpus: u64::arbitrary(g),
    }
}

pub fn name(g: &mut Gen) -> Name {
    String::arbitrary(g).into()
}
