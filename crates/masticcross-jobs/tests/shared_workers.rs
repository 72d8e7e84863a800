//! Plays several entries that share workers, with more work than the workers can do, and checks that
//! what callers get depends little on the entry that they reach.

#[path = "shared_workers/play.rs"]
mod play;
#[path = "schedule/worker.rs"]
mod worker;

use play::{Load, Outcomes, Reaction, play};

/// Plays a load with a seed.
fn outcomes(work: f64, reaction: Reaction, tells_demand: bool, seed: u64) -> Outcomes {
    let load = Load {
        work,
        reaction,
        tells_demand,
    };
    let outcomes = play(load, seed);
    println!("seed {seed}, demand {tells_demand}: {outcomes}");
    outcomes
}

/// Defines one test per load: its work relative to what the workers can do, how late the entries react,
/// and a check of the outcomes without and with the entries' demand.
macro_rules! loads {
    ($($name:ident: $work:expr, $reaction:expr, $check:expr;)*) => {
        $(#[test] fn $name() {
            for seed in 1..=3 {
                let before = outcomes($work, $reaction, false, seed);
                let after = outcomes($work, $reaction, true, seed);
                let check: fn(&Outcomes, &Outcomes) = $check;
                check(&before, &after);
            }
        })*
    };
}

/// Checks that the callers as a whole do not lose by the division, and that the worst entry gains.
fn check_gain(before: &Outcomes, after: &Outcomes) {
    assert!(after.in_time() >= before.in_time());
    assert!(after.worst_to_best() > before.worst_to_best() * 1.5);
}

/// Checks that urgent jobs are at least as often in time as less urgent ones.
fn check_priorities(_: &Outcomes, after: &Outcomes) {
    let [urgent, usual, background] = after.by_priority.map(|tally| tally.share());
    assert!(
        urgent >= usual && usual >= background,
        "{urgent} {usual} {background}"
    );
}

loads! {
    callers_gain_if_all_entries_react_late: 1.5, Reaction::Equal, check_gain;

    callers_gain_if_some_entries_react_late: 1.5, Reaction::ByEntry, check_gain;

    urgent_jobs_come_first_if_all_entries_react_late: 1.5, Reaction::Equal, check_priorities;

    urgent_jobs_come_first_if_some_entries_react_late: 1.5, Reaction::ByEntry, check_priorities;

    nothing_changes_with_spare_capacity: 0.6, Reaction::ByEntry, |before, after| {
        assert_eq!(before.frames, after.frames);
        assert_eq!(before.in_time(), after.in_time());
    };
}

#[test]
fn the_worst_entry_is_close_to_the_best() {
    for seed in 1..=3 {
        let ratio = outcomes(1.5, Reaction::Equal, true, seed).worst_to_best();
        assert!(ratio >= 0.85, "{ratio}");
    }
}
