//! Compares the cost of placing a task under different loads, within one run.

#[path = "decision_cost/load.rs"]
mod load;

use std::time::{Duration, Instant};

use load::Load;

/// Tasks for each measurement: few, so that some measurements are not disturbed by other processes.
const TASKS: u64 = 400;

const MEASUREMENTS: usize = 60;

/// Returns the shortest of the measured times, of two loads in turn.
fn shortest(mut loads: [Load; 2]) -> [Duration; 2] {
    let mut shortest = [Duration::MAX; 2];
    for _ in 0..MEASUREMENTS {
        for (load, shortest) in loads.iter_mut().zip(&mut shortest) {
            let started = Instant::now();
            load.place(TASKS);
            *shortest = started.elapsed().min(*shortest);
        }
    }
    shortest
}

/// Guards against decisions whose cost grows with the number of workers or of waiting jobs: an entry
/// then falls behind just when jobs wait.
#[test]
fn a_placed_task_costs_at_most_twice_as_much_with_many_workers_and_waiting_jobs() {
    let mut loads = [Load::new(10, 0), Load::new(940, 500)];
    // Jobs have waited for more than a second then, so that those without a chance are looked for.
    for load in &mut loads {
        load.place(4_000);
    }
    let [small, large] = shortest(loads);
    println!(
        "{TASKS} tasks: {small:?} at 10 workers, {large:?} at 940 workers and 500 waiting jobs"
    );
    assert!(large <= small * 2, "{large:?} is more than twice {small:?}");
}
