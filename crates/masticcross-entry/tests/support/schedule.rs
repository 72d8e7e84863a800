//! Seeded schedules of faults.
