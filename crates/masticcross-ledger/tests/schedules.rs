//! Random schedules of faults: versions and epochs never go back, and entries never disagree.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{PARTITIONS, claim, document, join, new_log, start};
use masticcross_basics::{Epoch, Partition};
use masticcross_ledger::{
    AgreedState, Agreement, AgreementSettings, CONFIG_STREAM, Ownership, PublishOutcome, publish,
};
use masticcross_standins::log::{MemoryLog, Occurrence};
use parking_lot::Mutex;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::time::sleep;

const ENTRIES: [&str; 3] = ["a", "b", "c"];

/// One step of a schedule.
#[derive(Debug, Clone, Copy)]
enum Step {
    Publish { stale_base: bool },
    Claim { entry: usize },
    LoseReplies,
    DelayAppends,
    Down(bool),
    CutOff(usize, bool),
    Slow,
    CutRetention,
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
            7 => Self::CutOff(entry, bool::arbitrary(g)),
            8 => Self::Slow,
            9 => Self::CutRetention,
            10 => Self::Restart(entry),
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

/// What all entries together ever showed.
#[derive(Default)]
struct Seen {
    documents: BTreeMap<u64, Arc<str>>,
    owners: BTreeMap<(Partition, Epoch), Ownership>,
    faults: Vec<String>,
}

impl Seen {
    fn observe(&mut self, before: &AgreedState, now: &AgreedState) {
        if now.version < before.version
            || now.version.config < before.version.config
            || now.config.version < before.config.version
        {
            self.faults
                .push(format!("{:?} after {:?}", now.version, before.version));
        }
        let text = self.documents.entry(now.config.version).or_default();
        if text.is_empty() {
            *text = now.config.text.clone();
        } else if *text != now.config.text {
            self.faults
                .push(format!("two documents of version {}", now.config.version));
        }
        for partition in Partition::all() {
            let (old, new) = (before.ownership(partition), now.ownership(partition));
            if new.epoch < old.epoch {
                self.faults
                    .push(format!("epoch of {partition:?} went back"));
            }
            let known = self.owners.entry((partition, new.epoch));
            if known.or_insert_with(|| new.clone()) != new {
                self.faults
                    .push(format!("two owners of {partition:?} in {:?}", new.epoch));
            }
        }
    }
}

fn settings() -> AgreementSettings {
    AgreementSettings {
        snapshot_interval: Duration::from_secs(2),
        snapshot_refresh: Duration::from_secs(5),
        ..AgreementSettings::default()
    }
}

/// One running entry, and the tasks that end with it.
struct Running {
    agreement: Arc<Agreement>,
    watcher: tokio::task::JoinHandle<()>,
}

fn run_entry(log: &MemoryLog, name: &str, seen: &Arc<Mutex<Seen>>) -> Running {
    let agreement = start(log, name, settings());
    let mut states = agreement.watch();
    let seen = seen.clone();
    let watcher = tokio::spawn(async move {
        let mut before = states.borrow_and_update().clone();
        while states.changed().await.is_ok() {
            let now = states.borrow_and_update().clone();
            seen.lock().observe(&before, &now);
            before = now;
        }
    });
    Running { agreement, watcher }
}

async fn apply(
    step: Step,
    number: u32,
    log: &MemoryLog,
    running: &mut [Running],
    seen: &Arc<Mutex<Seen>>,
) {
    let faults = log.faults();
    match step {
        Step::Publish { stale_base } => {
            let newest = running
                .iter()
                .map(|r| r.agreement.state().config.version)
                .max();
            let base = newest.unwrap_or_default().saturating_sub(stale_base.into());
            let log = log.clone();
            tokio::spawn(async move { publish(&log, base, "ann", &document(number)).await });
        }
        Step::Claim { entry } => {
            let agreement = running[entry].agreement.clone();
            let epoch = agreement.state().ownership(Partition(1)).epoch;
            tokio::spawn(async move {
                let _ = agreement.append(join(ENTRIES[entry], 1)).await;
                agreement.append(claim(ENTRIES[entry], 1, epoch)).await
            });
        }
        Step::LoseReplies => faults.lose_replies(Occurrence::Next(2), Duration::from_millis(100)),
        Step::DelayAppends => {
            faults.delay_appends(Occurrence::Next(2), Duration::from_secs(5), Duration::ZERO);
        }
        Step::Down(down) => faults.set_down(down),
        Step::CutOff(entry, cut) => faults.set_unreachable(ENTRIES[entry], cut),
        Step::Slow => faults.set_slow(1.0, Duration::from_millis(400)),
        Step::CutRetention => cut_to_snapshots(log, running),
        Step::Restart(entry) => {
            running[entry].watcher.abort();
            running[entry] = run_entry(log, ENTRIES[entry], seen);
        }
        Step::Wait(tenths) => sleep(Duration::from_millis(u64::from(tenths) * 100)).await,
    }
    sleep(Duration::from_millis(20)).await;
}

/// Drops what the entry that read most has already applied, all but the last records.
fn cut_to_snapshots(log: &MemoryLog, running: &[Running]) {
    let versions = running.iter().map(|r| r.agreement.state().version);
    if let Some(newest) = versions.max() {
        log.truncate(CONFIG_STREAM, newest.config.saturating_sub(1));
        log.truncate(PARTITIONS, newest.partitions.saturating_sub(1));
    }
}

/// Runs a schedule and returns what went wrong.
async fn run_schedule(steps: &[Step]) -> Vec<String> {
    let log = new_log();
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut running: Vec<Running> = ENTRIES
        .map(|name| run_entry(&log, name, &seen))
        .into_iter()
        .collect();
    for (number, step) in steps.iter().enumerate() {
        let number = u32::try_from(number).unwrap_or_default();
        apply(*step, number, &log, &mut running, &seen).await;
    }
    log.faults().clear();
    sleep(Duration::from_mins(1)).await;
    let newest = running
        .iter()
        .map(|r| r.agreement.state().config.version)
        .max();
    let last = publish(&log, newest.unwrap_or_default(), "ann", &document(1000)).await;
    if !matches!(last, Ok(PublishOutcome::Accepted(_))) {
        seen.lock().faults.push(format!("last document: {last:?}"));
    }
    sleep(Duration::from_mins(1)).await;
    let mut seen = seen.lock();
    let states: Vec<_> = running.iter().map(|r| r.agreement.state()).collect();
    if states.iter().any(|s| **s != *states[0]) {
        let versions: Vec<_> = states
            .iter()
            .map(|s| (s.version, s.config.version))
            .collect();
        seen.faults
            .push(format!("entries differ at the end: {versions:?}"));
    }
    std::mem::take(&mut seen.faults)
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn holds(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let faults = runtime.block_on(run_schedule(&steps));
    for fault in &faults {
        eprintln!("{fault}");
    }
    faults.is_empty()
}

#[test]
fn nothing_goes_back_under_any_schedule_of_faults() {
    let tests = number_from_env("MASTICCROSS_SCHEDULES").unwrap_or(200);
    let seed = number_from_env("MASTICCROSS_SEED").unwrap_or(1);
    eprintln!("{tests} schedules, seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, seed))
        .tests(tests)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

fn number_from_env<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
