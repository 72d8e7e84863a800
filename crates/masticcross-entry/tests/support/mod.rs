//! Complete systems in one test process: real entries and agents with an in-memory network and log,
//! injected faults, and an observer that checks the invariants.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod backend;
pub mod cluster;
pub mod net;
pub mod node;
pub mod observer;
pub mod schedule;

/// Runs a future to completion on a paused clock, which advances only when all tasks are waiting.
pub fn on_paused_clock<T>(run: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime")
        .block_on(run)
}
