//! Prints the memory use of a shard and the sizes of frames, which `docs/CAPACITY.md` uses.

use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{AttemptId, Epoch, JobKey, Name, Partition};
use masticcross_entry::dispatch::queue::QueuePolicy;
use masticcross_entry::dispatch::shard::{Shard, ShardSettings};
use masticcross_entry::dispatch::workers::{PlacementRule, WorkerSession};
use masticcross_entry::dispatch::{TeamUsage, WaitingTask};
use masticcross_wire::{
    Credit, Frame, Ping, Pong, StartTasks, TaskEnded, TaskOutcome, TaskStart, ViewVersion, codec,
};
use tokio::time::Instant;

const SERVICE: &str = "quote-desk";

fn main() {
    print_memory_use();
    print_frame_sizes();
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * 4096
}

fn new_shard(now: Instant) -> Shard {
    let settings = ShardSettings {
        queue: QueuePolicy::default(),
        rule: PlacementRule::default(),
        zone: Name::from("zone-0"),
        seed: 1,
    };
    let usage = Arc::new(TeamUsage::default());
    Shard::new(Name::from(SERVICE), &settings, usage, now)
}

fn print_memory_use() {
    let now = Instant::now();
    for workers in [940, 9_400] {
        let before = resident_bytes();
        let mut shard = new_shard(now);
        for id in 0..workers {
            let session = WorkerSession {
                worker: Name::from(format!("worker-{id:04}")),
                incarnation: 1,
                zone: Name::from("zone-0"),
                number: 1,
                slots: 8,
            };
            shard.connect(&session, now);
            shard.credit(&session.worker, 1, 8, now);
        }
        let bytes = resident_bytes().saturating_sub(before);
        println!("{workers} workers: {bytes} bytes, {} each", bytes / workers);
        std::mem::forget(shard);
    }
    for jobs in [100, 1_000] {
        let before = resident_bytes();
        let mut shard = new_shard(now);
        for id in 0..jobs {
            let key = JobKey::new(SERVICE, &format!("job-{id}")).expect("job id is valid");
            let team = Name::from(format!("team-{}", id % 51));
            for index in 0..130 {
                shard.push(WaitingTask {
                    key: key.clone(),
                    index,
                    team: team.clone(),
                    deadline: now + Duration::from_secs(10),
                    arrived: now,
                    job_tasks: 130,
                    avoid: Vec::new(),
                });
            }
        }
        let bytes = resident_bytes().saturating_sub(before);
        let tasks = jobs * 130;
        println!(
            "{tasks} waiting tasks: {bytes} bytes, {} each",
            bytes / tasks
        );
        std::mem::forget(shard);
    }
}

fn print_frame_sizes() {
    let key = JobKey::new(SERVICE, "job-0123456789").expect("job id is valid");
    let attempt = AttemptId {
        epoch: Epoch(1_000_000),
        seq: 1_000_000,
    };
    let timestamp = Timestamp {
        micros: 1_800_000_000_000_000,
        count: 3,
    };
    let start = |tasks: u16| {
        Frame::Start(StartTasks {
            key: key.clone(),
            partition: Partition(17),
            epoch: Epoch(1_000_000),
            left_ms: 9_999,
            tasks: (0..tasks)
                .map(|index| TaskStart {
                    index,
                    attempt,
                    payload: "{}".into(),
                })
                .collect(),
            timestamp,
        })
    };
    let ended = Frame::Ended(TaskEnded {
        key: key.clone(),
        index: 7,
        attempt,
        outcome: TaskOutcome::Done("{}".into()),
        run_us: 300_000,
        timestamp,
    });
    let credit = Frame::Credit(Credit {
        service: Name::from(SERVICE),
        total: 1_000_000,
    });
    let heartbeat = Frame::Ping(Ping {
        nonce: 1_000_000,
        known: ViewVersion {
            config: 1_000_000,
            partitions: 1_000_000,
        },
        timestamp,
    });
    let reply = Frame::Pong(Pong {
        nonce: 1_000_000,
        age_ms: Some(120),
        view: None,
        timestamp,
    });
    for (name, frame) in [
        ("start of 1 task", start(1)),
        ("start of 8 tasks", start(8)),
        ("ended", ended),
        ("credit", credit),
        ("ping", heartbeat),
        ("pong", reply),
    ] {
        print_frame(name, &frame);
    }
}

fn print_frame(name: &str, frame: &Frame) {
    let batch = std::slice::from_ref(frame);
    let bytes = codec::encode(batch).expect("frame can be encoded");
    let iterations = 100_000_u32;
    let started = std::time::Instant::now();
    for _ in 0..iterations {
        std::hint::black_box(codec::encode(batch).expect("frame can be encoded"));
    }
    let encode = started.elapsed() / iterations;
    let started = std::time::Instant::now();
    for _ in 0..iterations {
        std::hint::black_box(codec::decode(&bytes).expect("frame can be decoded"));
    }
    let decode = started.elapsed() / iterations;
    println!(
        "{name}: {} bytes, encode {encode:?}, decode {decode:?}",
        bytes.len()
    );
}
