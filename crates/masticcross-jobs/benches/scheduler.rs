//! Benchmarks of the decisions of an entry on one core: the end of a run, the announcement of free
//! resources and the placement of another task, with a submission for each fourth task and a tick for
//! each 40th. Items are placed tasks.

#[path = "../tests/decision_cost/load.rs"]
mod load;

use divan::Bencher;
use divan::counter::ItemsCount;

use load::Load;

const TASKS: u64 = 400;

fn main() {
    divan::main();
}

#[divan::bench(args = [10, 60, 160, 940], consts = [0, 500], sample_count = 20)]
fn placed_task<const WAITING: usize>(bencher: Bencher, workers: u32) {
    let mut load = Load::new(workers, WAITING);
    bencher
        .counter(ItemsCount::new(TASKS))
        .bench_local(|| load.place(TASKS));
}
