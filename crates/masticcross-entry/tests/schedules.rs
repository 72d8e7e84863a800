//! Schedules of faults, two at a time and the same one twice, each with the same verdict every time.

mod support;

use std::collections::BTreeMap;

use quickcheck::Arbitrary;
use support::node::EntrySettings;
use support::observer::Counts;
use support::on_paused_clock;
use support::schedule::{Fault, Outcome, Schedule, Step, run};

/// Schedules without `MASTICCROSS_SCHEDULES`.
const SCHEDULES: u64 = 1_000;

/// Seed from which the first schedule comes.
const FIRST_SEED: u64 = 1;

/// Runs a schedule. A broken promise is an error with the time line.
fn outcome(schedule: &Schedule, settings: &EntrySettings) -> Result<Outcome, String> {
    let outcome = on_paused_clock(run(schedule, settings.clone()));
    if outcome.broken.is_empty() {
        return Ok(outcome);
    }
    let (broken, timeline) = (outcome.broken.join("\n"), outcome.timeline);
    Err(format!("{schedule:?}\n{broken}\n{timeline}"))
}

/// Leaves out steps of a schedule that fails, for as long as the rest still fails.
fn smallest(schedule: &Schedule, settings: &EntrySettings) -> String {
    let mut smallest = schedule.clone();
    let mut text = outcome(schedule, settings).err().unwrap_or_default();
    while let Some((fewer, why)) = smallest
        .shrink()
        .find_map(|fewer| Some((fewer.clone(), outcome(&fewer, settings).err()?)))
    {
        (smallest, text) = (fewer, why);
    }
    text
}

fn from_env(name: &str, default: u64) -> u64 {
    let wanted = std::env::var(name);
    let number = wanted.ok().and_then(|text| text.parse().ok());
    number.unwrap_or(default)
}

/// Runs the schedules of all seeds, on half of the processors.
fn run_all(
    seeds: std::ops::Range<u64>,
    settings: &EntrySettings,
) -> Vec<(u64, Result<Outcome, String>)> {
    let threads = std::thread::available_parallelism().map_or(1, |n| (n.get() / 2).max(1));
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|thread| {
                let own = seeds.clone().skip(thread).step_by(threads);
                let run = |seed| (seed, outcome(&Schedule::of_seed(seed), settings));
                scope.spawn(move || own.map(run).collect::<Vec<_>>())
            })
            .collect();
        let results = workers.into_iter().map(|w| w.join().expect("no panic"));
        results.flatten().collect()
    })
}

#[test]
fn promises_are_kept_under_every_schedule() {
    let count = from_env("MASTICCROSS_SCHEDULES", SCHEDULES);
    let first = from_env("MASTICCROSS_FIRST_SEED", FIRST_SEED);
    let settings = EntrySettings::default();
    let results = run_all(first..first + count, &settings);
    let failures: Vec<_> = results
        .iter()
        .filter_map(|(seed, result)| result.as_ref().err().map(|text| (seed, text)))
        .collect();
    let mut total = Counts::default();
    let mut codes: BTreeMap<_, usize> = BTreeMap::new();
    for outcome in results
        .iter()
        .filter_map(|(_, result)| result.as_ref().ok())
    {
        total = total + outcome.counts;
        for (code, count) in &outcome.codes {
            *codes.entry(*code).or_default() += count;
        }
    }
    println!("{count} schedules, {} failed; {total:?}", failures.len());
    println!("refusals and failures by code and \"not run\": {codes:?}");
    let seeds: Vec<_> = failures.iter().map(|(seed, _)| seed).collect();
    assert!(
        failures.is_empty(),
        "{} of {count} schedules failed, seeds {seeds:?}; the first, with the fewest steps:\n{}",
        failures.len(),
        smallest(&Schedule::of_seed(*failures[0].0), &settings)
    );
}

/// Names the schedules that once broke a promise, with the seed of their load.
macro_rules! once_broken {
    ($($name:ident: $seed:literal, [$(($fault:expr, $at_ms:literal, $lasts_ms:literal)),* $(,)?];)*) => {
        $(
            #[test]
            fn $name() {
                let steps = vec![$(Step { fault: $fault, at_ms: $at_ms, lasts_ms: $lasts_ms }),*];
                let schedule = Schedule { seed: $seed, steps };
                if let Err(text) = outcome(&schedule, &EntrySettings::default()) {
                    panic!("{text}");
                }
            }
        )*
    };
}

once_broken! {
    a_task_in_doubt_stays_in_doubt_when_its_partition_moves: 340, [
        (Fault::SlowAgent(2, 3), 3_362, 4_263),
        (Fault::KillAgent(0), 4_274, 858),
        (Fault::KillEntry(2), 5_092, 2_612),
        (Fault::LogSlow, 6_328, 1_227),
    ];
}
