//! Moves tasks from the queue of a service to the agents.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_basics::timeline::{Event, EventKind};
use masticcross_ledger::AgreedState;
use masticcross_wire::{Frame, NotStartedReason, StartTasks, TaskEnded, TaskOutcome, TaskStart};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use super::Dispatch;
use super::session::Session;
use super::shard::{Placement, Shard};
use crate::owner::{Grant, Owner};

/// Tasks placed under one lock of the shard.
const BATCH: usize = 128;

/// Interval at which a shard updates what changes by time alone.
const TICK: Duration = Duration::from_millis(100);

/// A service's shard, and the handle that wakes its pump.
pub struct ServiceHandle {
    /// Queue, workers and limits.
    pub shard: Arc<Mutex<Shard>>,
    wake: mpsc::Sender<()>,
}

impl ServiceHandle {
    /// Starts the pump of a shard. It ends when the handle or the dispatch is dropped.
    #[must_use]
    pub fn start(dispatch: Weak<Dispatch>, service: Name, shard: Shard, now: Instant) -> Arc<Self> {
        let shard = Arc::new(Mutex::new(shard));
        let (wake, woken) = mpsc::channel(1);
        tokio::spawn(run(dispatch, service, shard.clone(), woken, now));
        Arc::new(Self { shard, wake })
    }

    /// Lets the pump look for work.
    pub fn wake(&self) {
        // A full channel means that the pump is going to look anyway.
        let _ = self.wake.try_send(());
    }
}

async fn run(
    dispatch: Weak<Dispatch>,
    service: Name,
    shard: Arc<Mutex<Shard>>,
    mut woken: mpsc::Receiver<()>,
    started: Instant,
) {
    let Some(mut state) = dispatch.upgrade().map(|d| d.ledger.watch()) else {
        return;
    };
    let mut ticked = started;
    loop {
        let more = {
            let Some(dispatch) = dispatch.upgrade() else {
                return;
            };
            if refresh(&shard, &mut state, &mut ticked) {
                let levels = shard.lock().levels();
                dispatch.metrics.set_levels(&service, &levels);
            }
            dispatch.pump(&service, &shard)
        };
        if more {
            // Heartbeats and other frames get their turn between batches.
            tokio::task::yield_now().await;
            continue;
        }
        tokio::select! {
            biased;
            event = woken.recv() => if event.is_none() { return },
            _ = state.changed() => {}
            () = sleep(TICK) => {}
        }
    }
}

/// Brings the shard up to date with configuration and time. Returns true if it was time for a tick.
fn refresh(
    shard: &Mutex<Shard>,
    state: &mut watch::Receiver<Arc<AgreedState>>,
    ticked: &mut Instant,
) -> bool {
    let now = Instant::now();
    let agreed = state.borrow_and_update().clone();
    let mut shard = shard.lock();
    if let Some(document) = &agreed.config.document {
        shard.apply_config(agreed.config.version, document, now);
    }
    let due = now.saturating_duration_since(*ticked) >= TICK;
    if due {
        *ticked = now;
        shard.tick(now);
    }
    due
}

impl Dispatch {
    /// Sends a batch of waiting tasks. Returns true if there may be more.
    fn pump(&self, service: &Name, shard: &Mutex<Shard>) -> bool {
        let Some(owner) = self.owner() else {
            return false;
        };
        let batches = choose(shard);
        let more = !batches.is_empty();
        for (worker, placements) in batches {
            match self.sessions.of_worker(&worker) {
                Some(session) => send_batch(self, &owner, shard, &session, placements),
                None => hold_and_give_back(shard, &worker, placements),
            }
        }
        self.update_demand(service, shard);
        more
    }
}

/// Chooses tasks and workers, grouped by worker.
fn choose(shard: &Mutex<Shard>) -> BTreeMap<Name, Vec<Placement>> {
    let now = Instant::now();
    let mut batches: BTreeMap<Name, Vec<Placement>> = BTreeMap::new();
    let mut shard = shard.lock();
    for _ in 0..BATCH {
        let Some(placement) = shard.next(now) else {
            break;
        };
        let worker = shard.workers().get(placement.worker);
        let Some(worker) = worker.map(|w| w.name.clone()) else {
            break;
        };
        batches.entry(worker).or_default().push(placement);
    }
    batches
}

/// Puts tasks back whose worker cannot take any now. It gets none until its session goes on.
fn hold_and_give_back(shard: &Mutex<Shard>, worker: &Name, placements: Vec<Placement>) {
    let now = Instant::now();
    let mut shard = shard.lock();
    shard.hold(worker, true, now);
    // Each goes to the front of its job, so the last one goes first.
    for placement in placements.into_iter().rev() {
        shard.give_back(placement, now);
    }
}

/// Asks the owner for each task, and sends those that may start.
fn send_batch(
    dispatch: &Dispatch,
    owner: &Owner,
    shard: &Mutex<Shard>,
    session: &Session,
    placements: Vec<Placement>,
) {
    let open = session.lock_open();
    let current = placements.iter().all(|p| p.session == session.number);
    if !*open || !current || session.is_gathering() || session.is_backlogged() {
        hold_and_give_back(shard, &session.agent.worker, placements);
        return;
    }
    let granted = grant(owner, shard, session, placements);
    for job in granted.chunk_by(|(a, _), (b, _)| a.waiting.key == b.waiting.key) {
        send_job(dispatch, owner, shard, session, job);
    }
}

fn grant(
    owner: &Owner,
    shard: &Mutex<Shard>,
    session: &Session,
    placements: Vec<Placement>,
) -> Vec<(Placement, Grant)> {
    let asked: Vec<(Placement, Option<Grant>)> = placements
        .into_iter()
        .map(|p| {
            let grant = owner.grant(&p.waiting, &session.agent);
            (p, grant)
        })
        .collect();
    let now = Instant::now();
    let mut shard = shard.lock();
    let confirm = |(placement, grant): (Placement, Option<Grant>)| {
        let Some(grant) = grant else {
            shard.discard(&placement, now);
            return None;
        };
        shard.confirm(&placement, grant.attempt, now);
        Some((placement, grant))
    };
    asked.into_iter().filter_map(confirm).collect()
}

fn send_job(
    dispatch: &Dispatch,
    owner: &Owner,
    shard: &Mutex<Shard>,
    session: &Session,
    job: &[(Placement, Grant)],
) {
    let Some((first, first_grant)) = job.first() else {
        return;
    };
    let key = &first.waiting.key;
    let left = first_grant
        .deadline
        .saturating_duration_since(Instant::now());
    let start = StartTasks {
        key: key.clone(),
        partition: key.partition(),
        epoch: first_grant.epoch,
        left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        tasks: job.iter().map(task_start).collect(),
        timestamp: dispatch.timeline.timestamp(),
    };
    if session.send(Frame::Start(start)) {
        dispatch.budget.lock().started(job.len(), Instant::now());
        dispatch.metrics.started(&session.zone, job.len());
        for (placement, grant) in job {
            let event = Event::new(EventKind::Placed)
                .job(key)
                .task(placement.waiting.index, grant.attempt)
                .worker(&session.agent.worker)
                .zone(&session.zone);
            dispatch.timeline.record(event);
        }
        return;
    }
    for (placement, grant) in job {
        let ended = never_sent(dispatch, placement, grant);
        shard
            .lock()
            .ended(&session.agent.worker, &ended, Instant::now());
        owner.ended(&session.agent, ended);
    }
}

fn task_start((placement, grant): &(Placement, Grant)) -> TaskStart {
    TaskStart {
        index: placement.waiting.index,
        attempt: grant.attempt,
        payload: grant.payload.clone(),
    }
}

/// Describes the end of an attempt that never left this process.
fn never_sent(dispatch: &Dispatch, placement: &Placement, grant: &Grant) -> TaskEnded {
    TaskEnded {
        key: placement.waiting.key.clone(),
        index: placement.waiting.index,
        attempt: grant.attempt,
        outcome: TaskOutcome::NotStarted(NotStartedReason::NoRoom),
        run_us: 0,
        timestamp: dispatch.timeline.timestamp(),
    }
}
