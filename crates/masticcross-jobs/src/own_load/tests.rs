//! Tests of an entry's own load.

use super::*;

const TICK_MS: u64 = 20;

/// Adds ticks with the given lag, in milliseconds, and returns the time after them.
fn ticks(load: &mut OwnLoad, count: usize, lag_ms: u64, mut now: Instant) -> Instant {
    for _ in 0..count {
        now += Duration::from_millis(TICK_MS + lag_ms);
        load.add(Duration::from_millis(lag_ms), now);
    }
    now
}

fn transferred(load: &mut OwnLoad, jobs: usize) -> usize {
    (0..jobs).filter(|_| load.transfers_next()).count()
}

macro_rules! loads {
    ($($name:ident: $ticks:expr => $load:expr;)*) => {
        $(#[test] fn $name() {
            let mut load = OwnLoad::default();
            let mut now = Instant::now();
            for (count, lag_ms) in $ticks {
                now = ticks(&mut load, count, lag_ms, now);
            }
            assert_eq!(load.load(), $load, "lag {}", load.lag_ms());
        })*
    };
}

loads! {
    a_suspension_is_no_load: [(50, 1), (1, 5_000), (1, 3)] => Load::Normal;
    the_first_late_tick_of_a_process_is_no_load: [(1, 800)] => Load::Normal;
    single_late_ticks_are_no_load:
        [(25, 2), (1, 25), (25, 2), (1, 25), (25, 1), (1, 20)] => Load::Normal;
    overload_is_seen_within_three_ticks: [(50, 2), (3, 45)] => Load::AtLimit;
    load_is_normal_again_a_second_after_overload: [(50, 2), (20, 100), (50, 1)] => Load::Normal;
    moderate_lag_is_raised_load: [(100, 7)] => Load::Raised;
}

#[test]
fn jobs_are_transferred_in_proportion_to_the_share() {
    let mut load = OwnLoad::default();
    load.transfer.integral = 0.25;
    assert_eq!(transferred(&mut load, 1_000), 250);
    assert_eq!(transferred(&mut OwnLoad::default(), 1_000), 0);
}

#[test]
fn the_share_rises_quickly_and_falls_slowly() {
    let mut load = OwnLoad::default();
    let now = ticks(&mut load, 8, 60, Instant::now());
    assert!(load.transfer_share() >= 0.9, "{load:?}");
    let now = ticks(&mut load, 100, 2, now);
    assert!(load.transfer_share() >= 0.3, "{load:?}");
    ticks(&mut load, 200, 0, now);
    assert!(load.transfer_share() == 0.0, "{load:?}");
}

#[test]
fn jobs_are_refused_only_if_none_can_be_transferred_and_the_lag_is_high() {
    let now = Instant::now();
    let mut load = OwnLoad::default();
    load.transfer_blocked(now + Duration::from_secs(1));
    ticks(&mut load, 40, 30, now + Duration::from_secs(1));
    assert_eq!(load.sheds_next(), None);

    let mut load = OwnLoad::default();
    let mut now = now;
    for _ in 0..20 {
        load.transfer_blocked(now);
        now = ticks(&mut load, 1, 120, now);
    }
    assert!(load.shed_share() > 0.8);
    let retries: Vec<u32> = (0..64).filter_map(|_| load.sheds_next()).collect();
    assert!(retries.len() > 50);
    // Half of the time is for the spread.
    assert!(retries.iter().all(|ms| (500..=6_000).contains(ms)));
    assert!(retries.iter().max() > retries.iter().min());

    ticks(&mut load, 50, 1, now);
    assert_eq!(load.sheds_next(), None);
}
