//! Tests of the choice of a worker.

use std::time::Duration;

use quickcheck::QuickCheck;

use super::{Choice, Fleet, Need, Offer, choose};

const UNEVEN: Fleet = Fleet {
    fastest: 0.7,
    slowest: 1.7,
};

fn offer(factor: f64, cost: f64) -> Offer {
    Offer {
        avoided: false,
        cost,
        factor,
    }
}

fn need(run_ms: u64, left_ms: u64) -> Need {
    Need {
        run: Duration::from_millis(run_ms),
        left: Duration::from_millis(left_ms),
        tasks: 1,
        wait: Some(Duration::ZERO),
    }
}

/// Defines one test per case: offers, need and fleet, and the expected choice.
macro_rules! choices {
    ($($name:ident: $offers:expr, $need:expr, $fleet:expr => $choice:expr;)*) => {
        $(#[test] fn $name() { assert_eq!(choose(&$offers, $need, $fleet), $choice); })*
    };
}

choices! {
    // Guards against placements that differ from the cheapest one without need.
    even_workers_are_chosen_by_cost:
        [offer(1.2, 0.5), offer(1.0, 0.4)], need(100, 10), Fleet::default() => Choice::Take(1);
    a_job_that_is_late_everywhere_takes_the_cheapest:
        [offer(0.7, 0.9), offer(1.7, 0.8)], need(100, 50), UNEVEN => Choice::Take(1);
    // Guards against late jobs on slow workers while fast ones are free.
    a_job_takes_a_worker_on_which_it_ends_in_time:
        [offer(1.7, 0.1), offer(0.7, 2.0)], need(100, 200), UNEVEN => Choice::Take(1);
    a_job_waits_if_only_slow_workers_on_which_it_ends_late_are_free:
        [offer(1.7, 1.0)], need(100, 200), UNEVEN => Choice::Wait;
    // Guards against a wait without need, or without a chance.
    a_job_takes_a_slow_worker_on_which_it_ends_in_time:
        [offer(1.7, 1.0)], need(100, 300), UNEVEN => Choice::Take(0);
    a_wide_job_needs_more_time_on_slow_workers:
        [offer(1.7, 1.0)], Need { tasks: 8, ..need(100, 300) }, UNEVEN => Choice::Wait;
    a_job_that_may_not_wait_takes_any_worker:
        [offer(1.7, 1.0)], Need { wait: None, ..need(100, 200) }, UNEVEN => Choice::Take(0);
    // Guards against waits in vain behind other tasks.
    a_job_with_a_fair_chance_takes_a_slow_worker_if_the_wait_is_long:
        [offer(1.7, 1.0)], Need { wait: Some(Duration::from_millis(150)), ..need(100, 200) }, UNEVEN => Choice::Take(0);
    a_job_with_a_poor_chance_leaves_the_slow_worker_to_others:
        [offer(1.7, 1.0)], Need { wait: Some(Duration::from_millis(100)), ..need(100, 150) }, UNEVEN => Choice::Wait;
    a_full_service_has_no_room:
        [], need(100, 200), UNEVEN => Choice::NoRoom;
    // Guards against a repeated failure on the same worker.
    a_worker_on_which_the_task_failed_comes_last:
        [Offer { avoided: true, ..offer(0.7, 0.1) }, offer(1.7, 2.0)], need(100, 300), UNEVEN => Choice::Take(1);
}

/// Guards against placements that change although no worker is of another kind or degraded.
#[test]
fn among_workers_of_similar_speed_the_cost_decides() {
    fn property(offers: Vec<(bool, u16, u8)>, run_ms: u16, left_ms: u16, tasks: u16) -> bool {
        let fleet = Fleet {
            fastest: 1.0,
            slowest: 1.29,
        };
        let offer = |(avoided, cost, factor): (bool, u16, u8)| Offer {
            avoided,
            cost: f64::from(cost),
            factor: 1.0 + f64::from(factor % 30) / 100.0,
        };
        let by_cost = (0..offers.len()).min_by_key(|i| (offers[*i].0, offers[*i].1));
        let offers: Vec<Offer> = offers.into_iter().map(offer).collect();
        let need = Need {
            tasks,
            ..need(run_ms.into(), left_ms.into())
        };
        choose(&offers, need, fleet) == by_cost.map_or(Choice::NoRoom, Choice::Take)
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(property as fn(Vec<(bool, u16, u8)>, u16, u16, u16) -> bool);
}
