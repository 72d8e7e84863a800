//! Benchmarks of the scheduling code on one core: the queue, the placement, and the life cycle
//! of a job in a shard. Each job counts as 130 items, one for each of its tasks, so that
//! items per second are task starts per second.

use std::sync::Arc;
use std::time::Duration;

use divan::counter::ItemsCount;
use divan::{Bencher, black_box};
use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{AttemptId, Epoch, JobKey, Name};
use masticcross_entry::dispatch::queue::{FairQueue, QueuePolicy};
use masticcross_entry::dispatch::shard::{Shard, ShardSettings};
use masticcross_entry::dispatch::workers::{PlacementRule, WorkerSession, Workers};
use masticcross_entry::dispatch::{TeamUsage, WaitingTask};
use masticcross_wire::{JobRequest, Json, TaskEnded, TaskOutcome};
use tokio::time::Instant;

const SERVICE: &str = "quote-desk";
const TASKS: u16 = 130;
const TEAMS: u32 = 51;

fn main() {
    divan::main();
}

fn job(id: u32, tasks: u16, now: Instant) -> Vec<WaitingTask> {
    let key = JobKey::new(SERVICE, &format!("job-{id}")).expect("a valid id");
    let team = Name::from(format!("team-{:02}", id % TEAMS));
    let task = |index| WaitingTask {
        key: key.clone(),
        index,
        team: team.clone(),
        deadline: now + Duration::from_secs(10),
        arrived: now,
        job_tasks: tasks,
        avoid: Vec::new(),
    };
    (0..tasks).map(task).collect()
}

fn worker_session(id: u32) -> WorkerSession {
    WorkerSession {
        worker: Name::from(format!("worker-{id:04}")),
        incarnation: 1,
        zone: Name::from(format!("zone-{}", id % 6)),
        number: 1,
        slots: 16,
    }
}

/// Pushes and pops the tasks of a job while other jobs wait.
#[divan::bench(args = [0, 64, 1024])]
fn queue(bencher: Bencher, waiting_jobs: u32) {
    let now = Instant::now();
    let mut queue = FairQueue::new(QueuePolicy::default(), now);
    for id in 0..waiting_jobs {
        for task in job(id, TASKS, now) {
            queue.push(task);
        }
    }
    let mut id = waiting_jobs;
    bencher
        .counter(ItemsCount::new(TASKS))
        .with_inputs(|| {
            id += 1;
            job(id, TASKS, now)
        })
        .bench_local_values(|tasks| {
            for task in tasks {
                queue.push(task);
            }
            for _ in 0..TASKS {
                black_box(queue.pop());
            }
        });
}

/// Picks workers for the tasks of a job, and cancels the picks.
#[divan::bench(args = [10, 160, 940])]
fn placement(bencher: Bencher, workers: u32) {
    let now = Instant::now();
    let mut set = Workers::new(PlacementRule::default(), Name::from("zone-0"), 1);
    for id in 0..workers {
        let session = worker_session(id);
        set.connect(&session, now);
        set.credit(&session.worker, 1, 1 << 40, now);
    }
    let later = now + Duration::from_mins(1);
    set.tick(later);
    bencher.counter(ItemsCount::new(TASKS)).bench_local(|| {
        let picked: Vec<_> = (0..TASKS).filter_map(|_| set.pick(&[], 1, later)).collect();
        for id in picked {
            set.cancel_pick(id, 1, later);
        }
    });
}

/// Checks, queues, places and ends the tasks of a job.
#[divan::bench(args = [10, 160, 940])]
fn whole_job(bencher: Bencher, workers: u32) {
    let start = Instant::now();
    let settings = ShardSettings {
        queue: QueuePolicy::default(),
        rule: PlacementRule::default(),
        zone: Name::from("zone-0"),
        seed: 1,
    };
    let usage = Arc::new(TeamUsage::default());
    let mut shard = Shard::new(Name::from(SERVICE), &settings, usage, start);
    for id in 0..workers {
        let session = worker_session(id);
        shard.connect(&session, start);
        shard.credit(&session.worker, 1, 1 << 40, start);
    }
    let now = start + Duration::from_mins(1);
    shard.tick(now);
    let mut id = 0;
    let mut seq = 0;
    bencher
        .counter(ItemsCount::new(TASKS))
        .with_inputs(|| {
            id += 1;
            job(id, TASKS, now)
        })
        .bench_local_values(|tasks| run_job(&mut shard, tasks, &mut seq, now));
}

fn run_job(shard: &mut Shard, tasks: Vec<WaitingTask>, seq: &mut u64, now: Instant) {
    let request = JobRequest {
        key: tasks[0].key.clone(),
        team: tasks[0].team.clone(),
        repeatable: true,
        deadline_ms: 60_000,
        tasks: vec![Json::from("0"); tasks.len()],
    };
    shard.check(&request, now).expect("the job is admitted");
    for task in tasks {
        shard.push(task);
    }
    let mut placed = Vec::with_capacity(usize::from(TASKS));
    while let Some(placement) = shard.next_placement(now) {
        *seq += 1;
        shard.confirm(&placement, attempt(*seq), now);
        placed.push((*seq, placement));
    }
    for (seq, placement) in placed {
        let worker = shard.workers().get(placement.worker).expect("connected");
        let worker = worker.name.clone();
        let ended = TaskEnded {
            key: placement.task.key,
            index: placement.task.index,
            attempt: attempt(seq),
            outcome: TaskOutcome::Done(Json::from("0")),
            run_us: 300_000,
            timestamp: Timestamp::default(),
        };
        black_box(shard.ended(&worker, &ended, now));
    }
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId {
        epoch: Epoch(1),
        seq,
    }
}
