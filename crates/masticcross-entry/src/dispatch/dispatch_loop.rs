//! The loop that sends the waiting tasks of a service to agents.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_basics::timeline::{Event, EventKind};
use masticcross_ledger::ReplicatedState;
use masticcross_wire::{Frame, NotStartedReason, StartTasks, TaskEnded, TaskOutcome, TaskStart};
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use super::Dispatch;
use super::session::Session;
use super::shard::{Placement, Shard};
use crate::owner::{Grant, Owner};

/// Maximum number of tasks placed while the shard is locked once.
const MAX_BATCH_TASKS: usize = 128;

/// Interval at which a shard updates the state that depends on the passage of time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Shard of a service, and the channel that wakes its dispatch loop.
pub struct ServiceHandle {
    /// Queue, workers and admission check.
    pub shard: Arc<Mutex<Shard>>,
    wake: mpsc::Sender<()>,
}

impl ServiceHandle {
    /// Starts the dispatch loop of a shard. It ends when the handle or the [`Dispatch`] is dropped.
    #[must_use]
    pub fn start(dispatch: Weak<Dispatch>, service: Name, shard: Shard, now: Instant) -> Arc<Self> {
        let shard = Arc::new(Mutex::new(shard));
        let (wake, wake_rx) = mpsc::channel(1);
        tokio::spawn(run(dispatch, service, shard.clone(), wake_rx, now));
        Arc::new(Self { shard, wake })
    }

    /// Wakes the dispatch loop to look for work.
    pub fn wake(&self) {
        // If the channel is full, the loop is already due to wake.
        let _ = self.wake.try_send(());
    }
}

async fn run(
    dispatch: Weak<Dispatch>,
    service: Name,
    shard: Arc<Mutex<Shard>>,
    mut wake_rx: mpsc::Receiver<()>,
    started: Instant,
) {
    let Some(mut state) = dispatch.upgrade().map(|d| d.ledger.watch()) else {
        return;
    };
    let mut last_tick = started;
    loop {
        let may_have_more = {
            let Some(dispatch) = dispatch.upgrade() else {
                return;
            };
            if refresh(&shard, &mut state, &mut last_tick) {
                let gauge_values = shard.lock().gauge_values();
                dispatch.metrics.set_gauges(&service, &gauge_values);
            }
            dispatch.dispatch_batch(&service, &shard)
        };
        if may_have_more {
            // Yields between batches so that heartbeats and other frames are handled.
            tokio::task::yield_now().await;
            continue;
        }
        tokio::select! {
            biased;
            event = wake_rx.recv() => if event.is_none() { return },
            _ = state.changed() => {}
            () = sleep(TICK_INTERVAL) => {}
        }
    }
}

/// Applies a new configuration to the shard, and ticks it if a tick is due. Returns true if it was.
fn refresh(
    shard: &Mutex<Shard>,
    state: &mut watch::Receiver<Arc<ReplicatedState>>,
    last_tick: &mut Instant,
) -> bool {
    let now = Instant::now();
    let replicated_state = state.borrow_and_update().clone();
    let mut shard = shard.lock();
    if let Some(document) = &replicated_state.config.document {
        shard.apply_config(replicated_state.config.version, document, now);
    }
    let due = now.saturating_duration_since(*last_tick) >= TICK_INTERVAL;
    if due {
        *last_tick = now;
        shard.tick(now);
    }
    due
}

impl Dispatch {
    /// Places and sends a batch of waiting tasks. Returns true if more tasks may be ready to send.
    fn dispatch_batch(&self, service: &Name, shard: &Mutex<Shard>) -> bool {
        let Some(owner) = self.owner() else {
            return false;
        };
        let batches = place_batch(shard);
        let may_have_more = !batches.is_empty();
        for (worker, placements) in batches {
            match self.sessions.of_worker(&worker) {
                Some(session) => send_batch(self, &owner, shard, &session, placements),
                None => pause_and_requeue(shard, &worker, placements),
            }
        }
        self.update_demand(service, shard);
        may_have_more
    }
}

/// Places up to [`MAX_BATCH_TASKS`] tasks on workers, and groups the placements by worker.
fn place_batch(shard: &Mutex<Shard>) -> BTreeMap<Name, Vec<Placement>> {
    let now = Instant::now();
    let mut batches: BTreeMap<Name, Vec<Placement>> = BTreeMap::new();
    let mut shard = shard.lock();
    for _ in 0..MAX_BATCH_TASKS {
        let Some(placement) = shard.next_placement(now) else {
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

/// Puts back tasks whose worker cannot receive any now, and pauses the worker until its session
/// resumes.
fn pause_and_requeue(shard: &Mutex<Shard>, worker: &Name, placements: Vec<Placement>) {
    let now = Instant::now();
    let mut shard = shard.lock();
    shard.set_paused(worker, true, now);
    // Each task is put at the front of its job, so the reverse order restores the original one.
    for placement in placements.into_iter().rev() {
        shard.requeue(placement, now);
    }
}

/// Asks the owner whether each task may start, and sends those that may.
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
        pause_and_requeue(shard, &session.agent.worker, placements);
        return;
    }
    let granted = request_grants(owner, shard, session, placements);
    for job in granted.chunk_by(|(a, _), (b, _)| a.task.key == b.task.key) {
        send_job(dispatch, owner, shard, session, job);
    }
}

fn request_grants(
    owner: &Owner,
    shard: &Mutex<Shard>,
    session: &Session,
    placements: Vec<Placement>,
) -> Vec<(Placement, Grant)> {
    let decisions: Vec<(Placement, Option<Grant>)> = placements
        .into_iter()
        .map(|p| {
            let grant = owner.grant(&p.task, &session.agent);
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
    decisions.into_iter().filter_map(confirm).collect()
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
    let key = &first.task.key;
    let remaining = first_grant
        .deadline
        .saturating_duration_since(Instant::now());
    let start = StartTasks {
        key: key.clone(),
        partition: key.partition(),
        epoch: first_grant.epoch,
        left_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        tasks: job.iter().map(task_start).collect(),
        timestamp: dispatch.timeline.timestamp(),
    };
    if session.send(Frame::Start(start)) {
        dispatch.budget.lock().started(job.len(), Instant::now());
        dispatch.metrics.started(&session.zone, job.len());
        for (placement, grant) in job {
            let event = Event::new(EventKind::Placed)
                .job(key)
                .task(placement.task.index, grant.attempt)
                .worker(&session.agent.worker)
                .zone(&session.zone);
            dispatch.timeline.record(event);
        }
        return;
    }
    for (placement, grant) in job {
        let ended = unsent_task_ended(dispatch, placement, grant);
        shard
            .lock()
            .ended(&session.agent.worker, &ended, Instant::now());
        owner.attempt_ended(&session.agent, ended);
    }
}

fn task_start((placement, grant): &(Placement, Grant)) -> TaskStart {
    TaskStart {
        index: placement.task.index,
        attempt: grant.attempt,
        payload: grant.payload.clone(),
    }
}

/// Returns the end of an attempt that was not sent to an agent.
fn unsent_task_ended(dispatch: &Dispatch, placement: &Placement, grant: &Grant) -> TaskEnded {
    TaskEnded {
        key: placement.task.key.clone(),
        index: placement.task.index,
        attempt: grant.attempt,
        outcome: TaskOutcome::NotStarted(NotStartedReason::NoRoom),
        run_us: 0,
        timestamp: dispatch.timeline.timestamp(),
    }
}
