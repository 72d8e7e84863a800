//! Plays tasks that crash the workers that start them, and checks how many workers they take and what
//! the callers of other jobs get.

#[path = "crashes/play.rs"]
mod play;
#[path = "schedule/worker.rs"]
mod worker;

use masticcross_jobs::JobOutcome;
use play::{FREQUENT, LONG, Outbreak, PowerLoss, Report, SHORT, Scenario, play};

/// Starts of a task that the rule allows after three workers have crashed under it.
const MAX_LATE_STARTS: usize = 2;

/// Share of the jobs of other kinds that are in time while tasks crash workers.
const MIN_SHARE_IN_TIME: f64 = 0.85;

/// Time from the first crash until that share is reached, in milliseconds.
const REACTION_MS: u64 = 2_000;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Seed of the scenario with many processes, which takes long to play.
const ONE_SEED: std::ops::RangeInclusive<u64> = 1..=1;

fn outbreak(kind: usize, share: f64) -> Outbreak {
    Outbreak {
        kind,
        share,
        from_ms: 4_000,
        until_ms: 14_000,
        crash_after_ms: 13,
    }
}

fn scenario(outbreaks: Vec<Outbreak>) -> Scenario {
    Scenario {
        outbreaks,
        ..Scenario::default()
    }
}

/// Checks what holds in each scenario.
fn check(report: &Report) {
    for (task, starts) in &report.late_starts {
        assert!(*starts <= MAX_LATE_STARTS, "{task}: {starts} late starts");
    }
    for (name, job) in &report.jobs {
        let answer = job.answer.as_ref().map(|(_, outcome)| outcome);
        assert!(answer.is_some(), "{name} got no answer");
        assert!(
            job.crashes_workers || answer != Some(&JobOutcome::Failed),
            "{name} was given up although none of its tasks crashes workers"
        );
        assert!(
            !job.crashes_workers || answer != Some(&JobOutcome::Completed),
            "{name} cannot complete"
        );
    }
}

/// Checks that the kinds without crashing tasks are served from shortly after the first crash on.
fn check_others(report: &Report, others: &[usize]) {
    let first = *report.crashes.first().expect("there are crashes");
    for kind in others {
        let share = report.share_in_time(*kind, first + REACTION_MS..14_000);
        println!(
            "kind {kind}: {share:.3} in time, {} crashes",
            report.crashes.len()
        );
        assert!(share >= MIN_SHARE_IN_TIME, "kind {kind}: {share}");
    }
}

/// Defines one test per scenario, played with each of the seeds.
macro_rules! scenarios {
    ($($name:ident: $seeds:expr, $scenario:expr, $check:expr;)*) => {
        $(#[test] fn $name() {
            for seed in $seeds {
                println!("seed {seed}");
                let report = play(&$scenario, seed);
                println!("crashes by task: {:?}", report.by_task);
                check(&report);
                let check: fn(&Report) = $check;
                check(&report);
            }
        })*
    };
}

scenarios! {
    a_task_that_crashes_its_workers_is_given_up_as_failed: SEEDS, scenario(vec![outbreak(SHORT, 0.0)]), |report| {
        assert_eq!(report.by_task.len(), 1);
        let job = report.jobs.values().find(|job| job.crashes_workers).expect("one job");
        let (_, outcome) = job.answer.as_ref().expect("an answer");
        assert_eq!(*outcome, JobOutcome::Failed);
    };

    a_task_that_crashes_its_workers_late_is_given_up: SEEDS, Scenario {
        outbreaks: vec![Outbreak { crash_after_ms: 400, ..outbreak(LONG, 0.0) }],
        ..Scenario::default()
    }, |_| {};

    other_kinds_are_served_while_some_short_jobs_crash_workers: SEEDS,
        scenario(vec![outbreak(SHORT, 0.1)]),
        |report| check_others(report, &[LONG, FREQUENT]);

    other_kinds_are_served_while_some_long_jobs_crash_workers: SEEDS,
        scenario(vec![outbreak(LONG, 0.1)]),
        |report| check_others(report, &[SHORT, FREQUENT]);

    other_kinds_are_served_while_some_frequent_jobs_crash_workers: SEEDS,
        scenario(vec![outbreak(FREQUENT, 0.05)]),
        |report| check_others(report, &[SHORT, LONG]);

    the_third_kind_is_served_while_two_kinds_crash_workers: SEEDS,
        scenario(vec![outbreak(SHORT, 0.05), outbreak(LONG, 0.05)]),
        |report| check_others(report, &[FREQUENT]);

    other_kinds_are_served_at_sixty_workers: ONE_SEED, Scenario {
        workers: 60,
        entries: 8,
        ..scenario(vec![outbreak(SHORT, 0.1)])
    }, |report| check_others(report, &[LONG, FREQUENT]);

    crashes_are_counted_after_the_entry_of_the_job_died: SEEDS, Scenario {
        kill_entry_after_crashes: Some(2),
        ..scenario(vec![outbreak(SHORT, 0.0)])
    }, |_| {};

    no_job_fails_when_its_workers_lose_power_twice: SEEDS, Scenario {
        power_losses: vec![
            PowerLoss { at_ms: 4_000, workers: 0..4 },
            PowerLoss { at_ms: 4_060, workers: 4..8 },
            PowerLoss { at_ms: 9_000, workers: 0..4 },
            PowerLoss { at_ms: 9_040, workers: 4..8 },
        ],
        ..Scenario::default()
    }, |_| {};

    other_kinds_are_served_while_an_entry_dies: SEEDS, Scenario {
        entry_kills: vec![(0, 11_000)],
        ..scenario(vec![outbreak(SHORT, 0.1)])
    }, |report| check_others(report, &[LONG, FREQUENT]);
}
