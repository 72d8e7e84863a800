//! Random schedules of faults at entries, network and log: a partition has one owner in each epoch,
//! an entry that may decide is never joined by another one, and all is owned once the faults end.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::{Epoch, Name, Partition};
use masticcross_standins::log::Occurrence;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::cluster::Cluster;
use support::node::EntrySettings;
use tokio::time::{Instant, sleep};

const ENTRIES: usize = 3;

/// Time between two looks at all entries.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Looks after each step.
const LOOKS: u8 = 4;

/// One step of a schedule.
#[derive(Debug, Clone, Copy)]
enum Step {
    Kill(usize),
    Close(usize),
    Start(usize),
    CutOneWay(usize, usize),
    Reset(usize, usize),
    Isolate(usize),
    Heal,
    CutFromLog(usize),
    LogDown,
    LogSlow,
    LoseReplies,
    DelayAppends,
    LogWell,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let one = usize::arbitrary(g) % ENTRIES;
        let other = (one + 1 + usize::arbitrary(g) % (ENTRIES - 1)) % ENTRIES;
        match u8::arbitrary(g) % 18 {
            0 => Self::Kill(one),
            1 => Self::Close(one),
            2 | 3 => Self::Start(one),
            4 => Self::CutOneWay(one, other),
            5 => Self::Reset(one, other),
            6 => Self::Heal,
            7 => Self::CutFromLog(one),
            8 => Self::LogDown,
            9 => Self::LogSlow,
            10 => Self::LoseReplies,
            11 => Self::DelayAppends,
            12 => Self::LogWell,
            13 | 14 => Self::Isolate(one),
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

/// Owners by partition and epoch, as any entry ever saw them, and what went wrong.
#[derive(Default)]
struct Seen {
    owners: BTreeMap<(Partition, Epoch), Option<(Name, u64)>>,
    faults: Vec<String>,
}

impl Seen {
    fn look(&mut self, cluster: &Cluster) {
        for node in cluster.entries.values() {
            let state = node.ledger.state();
            for partition in Partition::all() {
                let ownership = state.ownership(partition);
                let known = self.owners.entry((partition, ownership.epoch));
                if *known.or_insert_with(|| ownership.owner.clone()) != ownership.owner {
                    self.faults.push(format!(
                        "two owners of {partition:?} in {:?}",
                        ownership.epoch
                    ));
                }
            }
        }
        let deciding = cluster.entries.values().filter(|n| n.ledger.is_fresh());
        let open: usize = deciding.map(|n| n.owner.counts().open_partitions).sum();
        if open > Partition::all().count() {
            self.faults.push(format!(
                "{open} partitions are open at entries that may decide"
            ));
        }
    }
}

async fn apply(step: Step, cluster: &mut Cluster) {
    let faults = cluster.log.faults().clone();
    let process = |i: &usize| cluster.entries.get(i).map(|n| n.process.clone());
    match step {
        Step::Kill(entry) => cluster.kill_entry(entry),
        Step::Close(entry) => {
            cluster.close_entry(entry).await;
        }
        Step::Start(entry) => {
            cluster.kill_entry(entry);
            cluster.start_entry(entry);
        }
        Step::CutOneWay(one, other) => {
            if let (Some(one), Some(other)) = (process(&one), process(&other)) {
                cluster.net.cut(&one, &other);
            }
        }
        Step::Reset(one, other) => {
            if let (Some(one), Some(other)) = (process(&one), process(&other)) {
                cluster.net.reset(&one, &other);
            }
        }
        Step::Isolate(entry) => {
            if let Some(process) = process(&entry) {
                faults.set_unreachable(&process, true);
                for other in cluster.entries.values() {
                    cluster.net.cut(&process, &other.process);
                    cluster.net.cut(&other.process, &process);
                }
            }
        }
        Step::Heal => cluster.net.heal(),
        Step::CutFromLog(entry) => {
            if let Some(process) = process(&entry) {
                faults.set_unreachable(&process, true);
            }
        }
        Step::LogDown => faults.set_down(true),
        Step::LogSlow => faults.set_slow(1.0, Duration::from_millis(700)),
        Step::LoseReplies => faults.lose_replies(Occurrence::Share(0.5), Duration::from_millis(50)),
        Step::DelayAppends => faults.delay_appends(
            Occurrence::Share(0.3),
            Duration::from_secs(4),
            Duration::from_millis(50),
        ),
        Step::LogWell => faults.clear(),
        Step::Wait(_) => {}
    }
}

fn all_owned_once(cluster: &Cluster) -> bool {
    let owned: usize = cluster
        .entries
        .values()
        .map(|n| n.owner.owned().len())
        .sum();
    owned == Partition::all().count()
}

/// Runs a schedule and returns what went wrong.
async fn run_schedule(steps: &[Step], settings: EntrySettings) -> Vec<String> {
    let mut cluster = Cluster::start(ENTRIES, 0, settings).await;
    cluster.ready().await;
    let mut seen = Seen::default();
    for step in steps {
        apply(*step, &mut cluster).await;
        let looks = match step {
            Step::Wait(looks) => (*looks).max(LOOKS),
            _ => LOOKS,
        };
        for _ in 0..looks {
            sleep(LOOK_INTERVAL).await;
            seen.look(&cluster);
        }
    }
    cluster.net.heal();
    cluster.log.faults().clear();
    for entry in 0..ENTRIES {
        if !cluster.entries.contains_key(&entry) {
            cluster.start_entry(entry);
        }
    }
    let healed = Instant::now();
    while healed.elapsed() < Duration::from_mins(2) {
        sleep(Duration::from_millis(500)).await;
        seen.look(&cluster);
    }
    if !all_owned_once(&cluster) {
        seen.faults
            .push("not all partitions are owned at the end".to_owned());
    }
    seen.faults
}

fn faults_of(steps: &[Step], settings: EntrySettings) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(run_schedule(steps, settings))
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn holds(steps: Vec<Step>) -> bool {
    let faults = faults_of(&steps, EntrySettings::default());
    for fault in &faults {
        eprintln!("{fault}");
    }
    faults.is_empty()
}

/// An owner that is cut off from all while its view is still fresh, found by a random schedule.
const ISOLATED_OWNER: [Step; 2] = [Step::Isolate(1), Step::Wait(167)];

#[test]
fn an_isolated_owner_is_fenced_before_another_one_decides() {
    let faults = faults_of(&ISOLATED_OWNER, EntrySettings::default());
    assert_eq!(faults, Vec::<String>::new());
}

#[test]
fn without_the_fence_the_check_sees_two_owners() {
    let mut settings = EntrySettings::default();
    settings.owner.checks.fence = false;
    assert!(!faults_of(&ISOLATED_OWNER, settings).is_empty());
}

#[test]
fn a_partition_has_one_owner_under_any_schedule_of_faults() {
    let tests = number_from_env("MASTICCROSS_SCHEDULES").unwrap_or(30);
    let seed = number_from_env("MASTICCROSS_SEED").unwrap_or(1);
    eprintln!("{tests} schedules, seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, seed))
        .tests(tests)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

fn number_from_env<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
