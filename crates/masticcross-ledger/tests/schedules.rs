//! Random schedules of faults: checks that versions and epochs never decrease, and that entries
//! never disagree.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{PARTITIONS_STREAM, claim, document, join, new_log, start};
use masticcross_basics::{Epoch, Partition};
use masticcross_ledger::{
    CONFIG_STREAM, Ledger, LedgerSettings, Ownership, PublishOutcome, ReplicatedState, publish,
};
use masticcross_standins::log::{MemoryLog, Occurrence};
use parking_lot::Mutex;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::time::sleep;

const ENTRIES: [&str; 3] = ["a", "b", "c"];

/// A step of a schedule.
#[derive(Debug, Clone, Copy)]
enum Step {
    Publish { stale_base: bool },
    Claim { entry: usize },
    LoseReplies,
    DelayAppends,
    Down(bool),
    Unreachable(usize, bool),
    Slow,
    TruncateStreams,
    Restart(usize),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = usize::arbitrary(g) % ENTRIES.len();
        match u8::arbitrary(g) % 12 {
            0 | 1 => Self::Publish {
                stale_base: bool::arbitrary(g),
            },
            2 | 3 => Self::Claim { entry },
            4 => Self::LoseReplies,
            5 => Self::DelayAppends,
            6 => Self::Down(bool::arbitrary(g)),
            7 => Self::Unreachable(entry, bool::arbitrary(g)),
            8 => Self::Slow,
            9 => Self::TruncateStreams,
            10 => Self::Restart(entry),
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

/// All states that any entry has had, and the violations found in them.
#[derive(Default)]
struct Observations {
    documents: BTreeMap<u64, Arc<str>>,
    owners: BTreeMap<(Partition, Epoch), Ownership>,
    violations: Vec<String>,
}

impl Observations {
    fn observe(&mut self, before: &ReplicatedState, now: &ReplicatedState) {
        if now.version < before.version
            || now.version.config < before.version.config
            || now.config.version < before.config.version
        {
            self.violations
                .push(format!("{:?} after {:?}", now.version, before.version));
        }
        let text = self.documents.entry(now.config.version).or_default();
        if text.is_empty() {
            *text = now.config.text.clone();
        } else if *text != now.config.text {
            self.violations
                .push(format!("two documents of version {}", now.config.version));
        }
        for partition in Partition::all() {
            let (old, new) = (before.ownership(partition), now.ownership(partition));
            if new.epoch < old.epoch {
                self.violations
                    .push(format!("epoch of {partition:?} decreased"));
            }
            let owner = self.owners.entry((partition, new.epoch));
            if owner.or_insert_with(|| new.clone()) != new {
                self.violations
                    .push(format!("two owners of {partition:?} in {:?}", new.epoch));
            }
        }
    }
}

fn settings() -> LedgerSettings {
    LedgerSettings {
        snapshot_interval: Duration::from_secs(2),
        snapshot_refresh: Duration::from_secs(5),
        ..LedgerSettings::default()
    }
}

/// A running entry, and the task that observes its states.
struct Running {
    ledger: Arc<Ledger>,
    watcher: tokio::task::JoinHandle<()>,
}

fn run_entry(log: &MemoryLog, name: &str, observations: &Arc<Mutex<Observations>>) -> Running {
    let ledger = start(log, name, settings());
    let mut states = ledger.watch();
    let observations = observations.clone();
    let watcher = tokio::spawn(async move {
        let mut before = states.borrow_and_update().clone();
        while states.changed().await.is_ok() {
            let now = states.borrow_and_update().clone();
            observations.lock().observe(&before, &now);
            before = now;
        }
    });
    Running { ledger, watcher }
}

async fn apply(
    step: Step,
    number: u32,
    log: &MemoryLog,
    running: &mut [Running],
    observations: &Arc<Mutex<Observations>>,
) {
    let faults = log.faults();
    match step {
        Step::Publish { stale_base } => {
            let newest = running
                .iter()
                .map(|r| r.ledger.state().config.version)
                .max();
            let base = newest.unwrap_or_default().saturating_sub(stale_base.into());
            let log = log.clone();
            tokio::spawn(async move { publish(&log, base, "ann", &document(number)).await });
        }
        Step::Claim { entry } => {
            let ledger = running[entry].ledger.clone();
            let epoch = ledger.state().ownership(Partition(1)).epoch;
            tokio::spawn(async move {
                let _ = ledger.append(join(ENTRIES[entry], 1)).await;
                ledger.append(claim(ENTRIES[entry], 1, epoch)).await
            });
        }
        Step::LoseReplies => faults.lose_replies(Occurrence::Next(2), Duration::from_millis(100)),
        Step::DelayAppends => {
            faults.delay_appends(Occurrence::Next(2), Duration::from_secs(5), Duration::ZERO);
        }
        Step::Down(down) => faults.set_down(down),
        Step::Unreachable(entry, active) => faults.set_unreachable(ENTRIES[entry], active),
        Step::Slow => faults.set_slow(1.0, Duration::from_millis(400)),
        Step::TruncateStreams => truncate_to_snapshots(log, running),
        Step::Restart(entry) => {
            running[entry].watcher.abort();
            running[entry] = run_entry(log, ENTRIES[entry], observations);
        }
        Step::Wait(tenths) => sleep(Duration::from_millis(u64::from(tenths) * 100)).await,
    }
    sleep(Duration::from_millis(20)).await;
}

/// Drops the records that the most advanced entry has applied, except for the last one of each
/// stream.
fn truncate_to_snapshots(log: &MemoryLog, running: &[Running]) {
    let versions = running.iter().map(|r| r.ledger.state().version);
    if let Some(newest) = versions.max() {
        log.truncate(CONFIG_STREAM, newest.config.saturating_sub(1));
        log.truncate(PARTITIONS_STREAM, newest.partitions.saturating_sub(1));
    }
}

/// Runs a schedule and returns the violations.
async fn run_schedule(steps: &[Step]) -> Vec<String> {
    let log = new_log();
    let observations = Arc::new(Mutex::new(Observations::default()));
    let mut running: Vec<Running> = ENTRIES
        .map(|name| run_entry(&log, name, &observations))
        .into_iter()
        .collect();
    for (number, step) in steps.iter().enumerate() {
        let number = u32::try_from(number).unwrap_or_default();
        apply(*step, number, &log, &mut running, &observations).await;
    }
    log.faults().clear();
    sleep(Duration::from_mins(1)).await;
    let newest = running
        .iter()
        .map(|r| r.ledger.state().config.version)
        .max();
    let last = publish(&log, newest.unwrap_or_default(), "ann", &document(1000)).await;
    if !matches!(last, Ok(PublishOutcome::Accepted(_))) {
        observations
            .lock()
            .violations
            .push(format!("last document not accepted: {last:?}"));
    }
    sleep(Duration::from_mins(1)).await;
    let mut observations = observations.lock();
    let states: Vec<_> = running.iter().map(|r| r.ledger.state()).collect();
    if states.iter().any(|s| **s != *states[0]) {
        let versions: Vec<_> = states
            .iter()
            .map(|s| (s.version, s.config.version))
            .collect();
        observations
            .violations
            .push(format!("entries differ at the end: {versions:?}"));
    }
    std::mem::take(&mut observations.violations)
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn has_no_violations(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let violations = runtime.block_on(run_schedule(&steps));
    for violation in &violations {
        eprintln!("{violation}");
    }
    violations.is_empty()
}

#[test]
fn versions_and_epochs_never_decrease_under_any_schedule_of_faults() {
    let tests = number_from_env("MASTICCROSS_SCHEDULES").unwrap_or(200);
    let seed = number_from_env("MASTICCROSS_SEED").unwrap_or(1);
    eprintln!("{tests} schedules, seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, seed))
        .tests(tests)
        .quickcheck(has_no_violations as fn(Vec<Step>) -> bool);
}

fn number_from_env<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
