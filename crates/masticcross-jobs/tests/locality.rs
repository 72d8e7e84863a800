//! Plays jobs whose data is in racks to the scheduler of an entry, with simulated workers, and compares
//! what the callers get with and without the setting `remote_factor`.

#[path = "locality/play.rs"]
mod play;

use play::{Data, play};

/// Defines one test per load: the place of the data, the load, and the factor on remote runs. It guards
/// against waits that cost the callers more than they save, and against remote runs that take the
/// capacity of the next tasks.
macro_rules! loads {
    ($($name:ident: $data:expr, $load:expr, $factor:expr;)*) => {
        $(#[test] fn $name() {
            for seed in 1..=3 {
                let play = |configured| play($data, $load, $factor, configured, seed);
                let (without, with) = (play(None), play(Some($factor)));
                println!("seed {seed}: {without:?}, {with:?}");
                assert!(with.in_time >= without.in_time, "seed {seed}");
                assert!(with.core_seconds <= without.core_seconds, "seed {seed}");
            }
        })*
    };
}

loads! {
    spread_data_at_half_the_load: Data::Spread, 0.5, 2.0;
    spread_data_at_80_percent_and_a_small_factor: Data::Spread, 0.8, 1.5;
    spread_data_at_80_percent_and_a_large_factor: Data::Spread, 0.8, 3.0;
    spread_data_at_95_percent: Data::Spread, 0.95, 1.5;
    a_hot_rack_at_half_the_load: Data::HotRack, 0.5, 1.5;
    a_hot_rack_at_half_the_load_and_a_factor_of_2: Data::HotRack, 0.5, 2.0;
    a_hot_rack_at_half_the_load_and_a_factor_of_3: Data::HotRack, 0.5, 3.0;
    a_hot_rack_at_80_percent: Data::HotRack, 0.8, 1.5;
}
