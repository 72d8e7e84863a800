//! Seeded schedules of faults over entries, agents and workers. Checked throughout: no worker gets
//! more than it has room for, no task runs at two workers at a time, a job that is refused as not run
//! never ran, and every job gets an answer.

#[path = "schedule/worker.rs"]
mod worker;
#[path = "schedule/world.rs"]
mod world;

use world::{Faults, Seen, World};

/// Plays a range of seeds and adds up what was seen.
fn play(seeds: std::ops::Range<u64>, faults: Faults) -> Seen {
    let mut all = Seen::default();
    for seed in seeds {
        println!("seed {seed}");
        let seen = World::new(seed, faults).play();
        all.submitted += seen.submitted;
        all.completed += seen.completed;
        all.refused += seen.refused;
        all.starts += seen.starts;
        all.lost_calls += seen.lost_calls;
    }
    all
}

macro_rules! schedules {
    ($($name:ident: $seeds:expr, $faults:expr, $check:expr;)*) => {
        $(#[test] fn $name() {
            let seen = play($seeds, $faults);
            println!("{seen:?}");
            assert!(seen.submitted >= 120 * usize::try_from($seeds.count()).expect("few"));
            assert!($check(&seen), "{seen:?}");
        })*
    };
}

schedules! {
    a_calm_schedule_completes_every_job: 0..10,
        Faults { sessions: 0, calls: 0.0, restarts: 0 },
        |seen: &Seen| seen.completed == seen.submitted && seen.refused == 0;
    broken_sessions: 0..60,
        Faults { sessions: 12, calls: 0.0, restarts: 0 },
        |seen: &Seen| seen.completed > 0;
    lost_and_late_calls: 100..160,
        Faults { sessions: 0, calls: 0.1, restarts: 0 },
        |seen: &Seen| seen.lost_calls > 0 && seen.completed > 0;
    restarts_and_freezes: 200..260,
        Faults { sessions: 0, calls: 0.0, restarts: 10 },
        |seen: &Seen| seen.completed > 0;
    all_faults_together: 300..400,
        Faults { sessions: 10, calls: 0.05, restarts: 8 },
        |seen: &Seen| seen.lost_calls > 0 && seen.completed > 0;
}
