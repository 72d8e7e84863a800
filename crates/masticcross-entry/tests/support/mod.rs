//! Whole systems in one test process: real entries and agents over a network and a log in memory,
//! with faults, and an observer of the invariants.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod backend;
pub mod cluster;
pub mod net;
pub mod node;
pub mod observer;
pub mod schedule;

/// Runs a future to its end on a clock that moves only when everything waits.
pub fn on_paused_clock<T>(run: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime")
        .block_on(run)
}
