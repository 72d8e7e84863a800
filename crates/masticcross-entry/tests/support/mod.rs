//! Whole systems in one test process: real entries and agents over a network and a log in memory,
//! with faults, and an observer of the invariants.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod backend;
pub mod cluster;
pub mod net;
pub mod node;
pub mod observer;
pub mod schedule;
