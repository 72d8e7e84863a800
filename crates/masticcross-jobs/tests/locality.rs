//! Plays jobs whose data is in racks to the scheduler of an entry, with simulated workers, and compares
//! what the callers get with and without the setting `remote_factor`.

#[path = "locality/play.rs"]
mod play;

use play::{Data, play};

const LOADS: [f64; 3] = [0.5, 0.8, 0.95];
const FACTORS: [f64; 3] = [1.5, 2.0, 3.0];

/// Prints the figures of all loads.
#[test]
#[ignore = "a table for the design note"]
fn table() {
    for data in [Data::Spread, Data::HotRack] {
        for load in LOADS {
            for factor in FACTORS {
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
