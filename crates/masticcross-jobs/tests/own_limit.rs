//! The load of part 2 of docs/design/hard-load.md, simulated without a network on virtual time: the
//! callers of one zone send 2.5 times their usual number for 6 s, and the zone's entries have 0.12 of a
//! core each. All figures are printed with `--nocapture`.

#[path = "own_limit/play.rs"]
mod play;

use std::time::Duration;

use play::{Outcomes, Play};

const SECOND: Duration = Duration::from_secs(1);

/// Time within which an entry at its limit refuses or transfers a job, at the 99th percentile.
const MAX_DECISION_TIME: Duration = Duration::from_millis(50);

/// Start of the overload.
const START: Duration = Duration::from_secs(2);

/// End of the overload.
const END: Duration = Duration::from_secs(8);

/// Eight entries, of which the first two have 0.12 of a core and are in the zone that sends more.
fn one_zone_presses(transfers: bool, factor: f64) -> (Outcomes, Outcomes, Play) {
    let cores = [0.12, 0.12, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5];
    let mut play = Play::new(&cores, transfers);
    for entry in 0..cores.len() {
        let zone_factor = if entry < 2 { factor } else { 1.0 };
        play.add_callers(entry, Duration::ZERO, START, 180.0);
        play.add_callers(entry, START, END, 180.0 * zone_factor);
        play.add_callers(entry, END, END + 4 * SECOND, 180.0);
    }
    play.run();
    let (own, others) = (play.outcomes(0..2), play.outcomes(2..8));
    println!("factor {factor}, transfers {transfers}: zone {own:?}");
    println!("  others {others:?}");
    (own, others, play)
}

#[test]
fn callers_of_a_zone_that_sends_more_get_nearly_what_the_others_get() {
    let (alone, ..) = one_zone_presses(false, 2.5);
    let (own, others, _) = one_zone_presses(true, 2.5);
    assert!(own.worth() >= 0.9 * others.worth(), "{own:?} {others:?}");
    assert!(own.worth() > alone.worth());
}

/// Guards against jobs that wait at an entry at its limit before they are transferred or refused.
#[test]
fn an_entry_at_its_limit_decides_within_50_ms() {
    let (own, _, play) = one_zone_presses(true, 2.5);
    let without_first_second = play.outcomes_since(0..2, START + SECOND);
    println!(
        "decided after {:?} (99%), without the first second after {:?}",
        own.decision_percentile(99),
        without_first_second.decision_percentile(99)
    );
    assert!(without_first_second.decision_percentile(99) <= MAX_DECISION_TIME);
    assert!(own.decision_percentile(99) <= MAX_DECISION_TIME);
}

#[test]
fn nothing_is_transferred_or_refused_under_normal_load() {
    let (own, others, _) = one_zone_presses(true, 1.0);
    assert_eq!((own.transferred, own.shed), (0, 0));
    assert_eq!((others.transferred, others.shed), (0, 0));
}

#[test]
fn no_session_is_opened_while_the_load_stays_normal() {
    let mut play = Play::new(&[0.12, 0.12, 0.5, 0.5], true);
    for entry in 0..4 {
        play.add_callers(entry, Duration::ZERO, END, 100.0);
    }
    play.run();
    assert_eq!(play.dials(), 0);
}

fn all_entries_overloaded() -> (Outcomes, u32) {
    let cores = [0.12; 8];
    let mut play = Play::new(&cores, true);
    for entry in 0..cores.len() {
        play.add_callers(entry, Duration::ZERO, 8 * SECOND, 450.0);
    }
    play.run();
    let outcomes = play.outcomes(0..cores.len());
    println!("all overloaded: {outcomes:?}");
    (outcomes, 8)
}

/// Guards against entries that spend their processor time on jobs that they refuse or transfer.
#[test]
fn an_overload_of_all_entries_transfers_little() {
    let (outcomes, entries) = all_entries_overloaded();
    // An entry with 0.12 of a core carries 240 jobs a second if it does nothing else.
    let in_time = f64::from(outcomes.in_time) / (8.0 * 240.0 * f64::from(entries));
    assert!(in_time > 0.6, "{in_time}");
    assert!(outcomes.transferred * 20 < outcomes.jobs);
}

/// Guards against jobs that wait at entries that are all at their limit before they are refused.
#[test]
fn an_overload_of_all_entries_is_refused_within_50_ms() {
    let (outcomes, _) = all_entries_overloaded();
    assert!(outcomes.decision_percentile(99) <= MAX_DECISION_TIME);
}
