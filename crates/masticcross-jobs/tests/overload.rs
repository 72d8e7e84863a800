//! Plays more load than the workers can do to the scheduler of an entry, with simulated workers, and
//! checks what the callers get.

#[path = "overload/play.rs"]
mod play;

use std::time::Duration;

use play::{Callers, Outcomes, play};

/// Longest time from arrival to a refusal for lack of room, at the 99th percentile.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(50);

/// Defines one test per load: its factor relative to what the workers can do, the behavior of refused
/// callers, and a check of the outcomes.
macro_rules! loads {
    ($($name:ident: $load:expr, $callers:expr, $check:expr;)*) => {
        $(#[test] fn $name() {
            for seed in 1..=3 {
                let outcomes = play($load, $callers, seed);
                println!("seed {seed}: {outcomes:?}");
                let check: fn(&Outcomes) = $check;
                check(&outcomes);
            }
        })*
    };
}

loads! {
    no_job_is_refused_at_half_the_load: 0.5, Callers::GiveUp, |outcomes| {
        assert_eq!(outcomes.refusals.len(), 0);
    };

    refusals_are_prompt_at_twice_the_load: 2.0, Callers::GiveUp, |outcomes| {
        assert!(outcomes.refusals.len() > 100);
        let prompt = outcomes.refusal_percentile(0.99);
        assert!(prompt <= MAX_REFUSAL_TIME, "{prompt:?}");
    };

    most_answers_are_in_time_at_twice_the_load: 2.0, Callers::GiveUp, |outcomes| {
        assert!(outcomes.late * 5 < outcomes.in_time, "{} late", outcomes.late);
    };

    workers_stay_busy_at_twice_the_load: 2.0, Callers::GiveUp, |outcomes| {
        assert!(outcomes.completed_work > 0.9, "{}", outcomes.completed_work);
    };

    callers_that_return_as_told_get_as_much_done: 1.5, Callers::Return, |outcomes| {
        assert!(outcomes.completed_work > 0.9, "{}", outcomes.completed_work);
        let herd = outcomes.largest_return_share();
        assert!(herd < 0.1, "{herd} of all returning callers came within 20 ms");
    };
}
