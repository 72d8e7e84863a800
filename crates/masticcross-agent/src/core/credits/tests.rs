//! Distribution of grants among the sessions, and the bound on their number.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::{Capacity, Credits};

/// Seed of the generated sequences of steps.
const SEED: u64 = 1;

/// Number of generated sequences of steps.
const TESTS: u64 = 2_000;

const IDLE: Capacity = Capacity {
    slots: 8,
    prefetch: 2,
    busy: 0,
    entries: 1,
};

fn credits(sessions: u64) -> Credits {
    let mut credits = Credits::default();
    for session in 1..=sessions {
        credits.open(session);
    }
    credits
}

fn totals(credits: &mut Credits, capacity: Capacity) -> Vec<(u64, u64)> {
    let changes = credits.grant(capacity);
    changes.iter().map(|c| (c.session, c.total)).collect()
}

#[test]
fn without_demand_slots_are_shared_equally() {
    assert_eq!(totals(&mut credits(3), IDLE), [(1, 2), (2, 2), (3, 2)]);
    let many: Vec<(u64, u64)> = (1..=12).map(|session| (session, 1)).collect();
    assert_eq!(totals(&mut credits(12), IDLE), many);
}

#[test]
fn equal_share_includes_entries_that_are_not_connected_yet() {
    let four = Capacity { entries: 4, ..IDLE };
    assert_eq!(totals(&mut credits(1), four), [(1, 2)]);
    let unknown = Capacity { entries: 0, ..IDLE };
    assert_eq!(totals(&mut credits(1), unknown), [(1, 1)]);
}

#[test]
fn single_session_with_demand_gets_all_capacity() {
    let mut credits = credits(3);
    credits.grant(IDLE);
    credits.set_waiting(2, 130);
    assert_eq!(totals(&mut credits, IDLE), [(2, 10)]);
}

#[test]
fn free_slot_goes_to_highest_unmet_demand_and_then_to_oldest_last_grant() {
    let mut credits = credits(2);
    credits.set_waiting(1, 3);
    credits.set_waiting(2, 4);
    let one_free = Capacity { busy: 9, ..IDLE };
    assert_eq!(totals(&mut credits, one_free), [(2, 1)]);
    assert!(totals(&mut credits, one_free).is_empty());
    let two_free = Capacity { busy: 8, ..IDLE };
    assert_eq!(totals(&mut credits, two_free), [(1, 1)]);
}

#[test]
fn nothing_is_granted_without_slots() {
    let none = Capacity { slots: 0, ..IDLE };
    assert!(totals(&mut credits(2), none).is_empty());
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Open(u64),
    Close(u64),
    Demand(u64, u32),
    Send(u64),
    Finish,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let session = u64::arbitrary(g) % 4;
        match u8::arbitrary(g) % 8 {
            0 => Self::Open(session),
            1 => Self::Close(session),
            2 | 3 => Self::Demand(session, u32::arbitrary(g) % 40),
            4..=6 => Self::Send(session),
            _ => Self::Finish,
        }
    }
}

fn usage_stays_within_bound(slots: u8, steps: Vec<Step>) -> bool {
    let slots = u64::from(slots % 16 + 1);
    let mut capacity = Capacity {
        slots,
        prefetch: (slots / 4).max(1),
        busy: 0,
        entries: 1,
    };
    let mut credits = Credits::default();
    // Tasks of a closed session stay busy, so the bound of the largest number of sessions applies.
    let mut bound = 0;
    steps.into_iter().all(|step| {
        apply(step, &mut credits, &mut capacity);
        credits.grant(capacity);
        bound = credits.bound(capacity).max(bound);
        capacity.busy + credits.outstanding() <= bound
    })
}

fn apply(step: Step, credits: &mut Credits, capacity: &mut Capacity) {
    match step {
        Step::Open(session) => credits.open(session),
        Step::Close(session) => credits.close(session),
        Step::Demand(session, waiting) => credits.set_waiting(session, waiting),
        Step::Send(session) if credits.unused_of(session) > 0 => {
            assert!(credits.receive(session));
            capacity.busy += 1;
        }
        Step::Send(_) => {}
        Step::Finish => capacity.busy = capacity.busy.saturating_sub(1),
    }
}

#[test]
fn busy_slots_and_unused_grants_stay_within_the_bound() {
    let property: fn(u8, Vec<Step>) -> bool = usage_stays_within_bound;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(TESTS)
        .quickcheck(property);
}
