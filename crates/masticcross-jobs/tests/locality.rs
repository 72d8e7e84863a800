//! Plays jobs whose data is in racks to the scheduler of an entry, with simulated workers, and compares
//! what the callers get with and without the setting `remote_factor`.

#[path = "locality/play.rs"]
mod play;

use play::{Data, Outcomes, play};

/// Defines one test per load: the place of the data, the load, the factor on remote runs, and the share
/// of the jobs that is in time at least. It guards against waits that cost the callers more than they
/// save, and against remote runs that take the capacity of the next tasks.
macro_rules! loads {
    ($($name:ident: $data:expr, $load:expr, $factor:expr, $share:expr;)*) => {
        $(#[test] fn $name() {
            for seed in 1..=3 {
                let play = |configured| play($data, $load, $factor, configured, seed);
                let (without, with) = (play(None), play(Some($factor)));
                println!("seed {seed}: {without:?}, {with:?}");
                assert!(with.in_time >= without.in_time);
                assert!(share_in_time(&with) >= $share, "{}", share_in_time(&with));
                assert!(with.core_seconds <= without.core_seconds);
            }
        })*
    };
}

fn share_in_time(outcomes: &Outcomes) -> f64 {
    f64::from(outcomes.in_time) / f64::from(outcomes.jobs)
}

loads! {
    spread_data_at_half_the_load: Data::Spread, 0.5, 2.0, 0.99;
    spread_data_at_80_percent_and_a_small_factor: Data::Spread, 0.8, 1.5, 0.98;
    spread_data_at_80_percent_and_a_large_factor: Data::Spread, 0.8, 3.0, 0.95;
    spread_data_at_95_percent: Data::Spread, 0.95, 1.5, 0.85;
    a_hot_rack_at_half_the_load: Data::HotRack, 0.5, 1.5, 0.9;
    a_hot_rack_at_80_percent: Data::HotRack, 0.8, 1.5, 0.7;
}

/// Prints the figures of all loads.
#[test]
#[ignore = "a table for docs/design/place-wait.md"]
fn table() {
    for data in [Data::Spread, Data::HotRack] {
        for load in [0.5, 0.8, 0.95] {
            for factor in [1.5, 2.0, 3.0] {
                for seed in 1..=3 {
                    let o = play(data, load, factor, Some(factor), seed);
                    println!(
                        "{data:?} {load} {factor} seed {seed}: in time {} late {} refused {} of {}, remote {} of {}, {:.0} core-s",
                        o.in_time, o.late, o.refused, o.jobs, o.remote_runs, o.runs, o.core_seconds
                    );
                }
            }
        }
    }
}
