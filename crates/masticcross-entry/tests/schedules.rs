//! Random schedules of faults, in pairs or with the same fault twice. The outcome of a schedule
//! depends only on its seed.

mod support;

use std::collections::BTreeMap;

use quickcheck::Arbitrary;
use support::node::EntrySettings;
use support::observer::Counts;
use support::on_paused_clock;
use support::schedule::{Fault, Outcome, Schedule, Step, run};

/// Number of schedules if `MASTICCROSS_SCHEDULES` is not set.
const SCHEDULES: u64 = 1_000;

/// Seed of the first schedule if `MASTICCROSS_FIRST_SEED` is not set.
const FIRST_SEED: u64 = 1;

/// Runs a schedule. Returns the violations and the timeline as an error if an invariant was
/// violated.
fn outcome(schedule: &Schedule, settings: &EntrySettings) -> Result<Outcome, String> {
    let outcome = on_paused_clock(run(schedule, settings.clone()));
    if outcome.violations.is_empty() {
        return Ok(outcome);
    }
    let (violations, timeline) = (outcome.violations.join("\n"), outcome.timeline);
    Err(format!("{schedule:?}\n{violations}\n{timeline}"))
}

/// Removes steps from a failing schedule as long as it still fails. Returns the error of the
/// smallest one.
fn shrink_failing(schedule: &Schedule, settings: &EntrySettings) -> String {
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
    let value = std::env::var(name);
    let number = value.ok().and_then(|text| text.parse().ok());
    number.unwrap_or(default)
}

/// Runs the schedules of all seeds, with one thread per two processors.
fn run_all(
    seeds: std::ops::Range<u64>,
    settings: &EntrySettings,
) -> Vec<(u64, Result<Outcome, String>)> {
    let threads = std::thread::available_parallelism().map_or(1, |n| (n.get() / 2).max(1));
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads)
            .map(|thread| {
                let thread_seeds = seeds.clone().skip(thread).step_by(threads);
                let run = |seed| (seed, outcome(&Schedule::from_seed(seed), settings));
                scope.spawn(move || thread_seeds.map(run).collect::<Vec<_>>())
            })
            .collect();
        let results = handles.into_iter().map(|w| w.join().expect("no panic"));
        results.flatten().collect()
    })
}

#[test]
fn invariants_hold_under_random_schedules_of_faults() {
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
        "{} of {count} schedules failed, seeds {seeds:?}; the first one, shrunk:\n{}",
        failures.len(),
        shrink_failing(&Schedule::from_seed(*failures[0].0), &settings)
    );
}

/// Generates one test per schedule that violated an invariant in the past, with the seed of its
/// load.
macro_rules! regression_tests {
    ($(
        $name:ident: $seed:literal,
        [$(($fault:expr, $at_ms:literal, $duration_ms:literal)),* $(,)?];
    )*) => {
        $(
            #[test]
            fn $name() {
                let steps = vec![$(Step {
                    fault: $fault,
                    at_ms: $at_ms,
                    duration_ms: $duration_ms,
                }),*];
                let schedule = Schedule { seed: $seed, steps };
                if let Err(text) = outcome(&schedule, &EntrySettings::default()) {
                    panic!("{text}");
                }
            }
        )*
    };
}

regression_tests! {
    an_uncertain_task_stays_uncertain_when_its_partition_moves: 340, [
        (Fault::SlowAgent(2, 3), 3_362, 4_263),
        (Fault::KillAgent(0), 4_274, 858),
        (Fault::KillEntry(2), 5_092, 2_612),
        (Fault::LogSlow, 6_328, 1_227),
    ];
}
