//! Tests of the decisions about transfers.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::peer::{PeerEcho, TransferredJob};
use masticcross_wire::pool::EntryAddr;
use smallvec::smallvec;
use tokio::time::Instant;

use super::credit::{Capacity, CreditBudget};
use super::origin::{InTransfer, Origin, ProtocolError};
use super::receiver::{NotAccepted, Receiver};
use super::selection::{CLOSE_TIME, MAX_PEERS, NO_CREDIT_TIME, PeerSelection};
use super::{PROBE_INTERVAL, from_wire, to_wire};
use crate::job::{JobRequest, StepRequest};
use crate::own_load::Load;

const CAPACITY: Capacity = Capacity {
    load: Load::Normal,
    lag_ms: 1.0,
    free_cpu: 1_000_000,
    is_open: true,
};

fn request(id: &str, now: Instant) -> JobRequest {
    JobRequest {
        id: id.into(),
        queue: "q".into(),
        spec: "x".into(),
        steps: smallvec![StepRequest {
            count: 2,
            ..StepRequest::default()
        }],
        deadline: now + Duration::from_secs(2),
    }
}

fn in_transfer(id: &str, now: Instant) -> InTransfer<u8> {
    InTransfer {
        request: request(id, now),
        arrived: now,
        callers: smallvec![1],
    }
}

/// Entries `e-0` to `e-5`, two in each zone.
fn entries() -> BTreeMap<Name, EntryAddr> {
    let entry = |number: u8| EntryAddr {
        name: format!("e-{number}").into(),
        addr: ([10, 0, 0, number], 7000).into(),
        zone: Some(format!("z-{}", number / 2).into()),
        incarnation: 1,
    };
    let entries = (0..6).map(entry);
    entries.map(|entry| (entry.name.clone(), entry)).collect()
}

fn selection() -> PeerSelection {
    let mut selection = PeerSelection::new("e-0".into(), "z-0".into());
    selection.set_entries(&entries());
    selection
}

#[test]
fn sessions_are_opened_under_load_to_three_entries_at_most_one_in_the_own_zone() {
    let (mut selection, now) = (selection(), Instant::now());
    assert!(selection.update(Load::Normal, now).is_empty());
    let dials = selection.update(Load::Raised, now);
    assert_eq!(dials.len(), MAX_PEERS);
    assert!(dials.iter().all(|addr| &*addr.name != "e-0"));
    let own_zone = dials.iter().filter(|a| a.zone.as_deref() == Some("z-0"));
    assert!(own_zone.count() <= 1);
    assert!(selection.update(Load::AtLimit, now).is_empty());
}

#[test]
fn an_entry_without_credit_or_that_cannot_be_reached_is_replaced() {
    let (mut selection, now) = (selection(), Instant::now());
    let dials = selection.update(Load::Raised, now);
    selection.dial_failed(&dials[0].name, now);
    selection.opened(&dials[1].name, 1, now);
    selection.opened(&dials[2].name, 2, now);
    let next = selection.update(Load::Raised, now);
    assert_eq!(next.len(), 1);
    assert!(dials.iter().all(|addr| addr.name != next[0].name));
    selection.opened(&next[0].name, 3, now);

    let later = now + NO_CREDIT_TIME;
    selection.credit_granted(1, later);
    selection.credit_granted(3, later);
    let replacement = selection.update(Load::Raised, later);
    assert_eq!(replacement.len(), 1);
    assert_eq!(selection.retiring().as_slice(), [2]);
    assert!(!selection.is_open(2) && selection.is_open(1));
}

#[test]
fn sessions_close_after_thirty_seconds_of_normal_load() {
    let (mut selection, now) = (selection(), Instant::now());
    let dials = selection.update(Load::Raised, now);
    selection.opened(&dials[0].name, 1, now);
    selection.update(Load::Normal, now + CLOSE_TIME / 2);
    assert!(selection.retiring().is_empty());
    selection.update(Load::Normal, now + CLOSE_TIME);
    assert_eq!(selection.retiring().as_slice(), [1]);
}

#[test]
fn jobs_sent_after_a_probe_count_against_the_credit_of_its_echo() {
    let (mut origin, now) = (Origin::default(), Instant::now());
    origin.opened(1, "e-1".into(), now);
    assert_eq!(origin.choose(|_| true, now), None);
    let probe = origin.probe(1, 5).expect("open");
    let echo = PeerEcho { probe, credit: 2 };
    assert_eq!(origin.echoed(1, echo, now), Ok(2));
    let second = origin.probe(1, 5).expect("open");
    assert!(second > probe);
    assert_eq!(origin.choose(|_| true, now), Some((1, 1)));
    origin.transferred(1, in_transfer("a", now));
    let echo = PeerEcho {
        probe: second,
        credit: 2,
    };
    assert_eq!(origin.echoed(1, echo, now), Ok(1));
    assert_eq!(
        origin.echoed(1, echo, now),
        Err(ProtocolError::UnknownProbe)
    );
    origin.transferred(1, in_transfer("b", now));
    assert_eq!(origin.choose(|_| true, now), None);
}

#[test]
fn a_credit_without_further_echoes_expires() {
    let (mut origin, now) = (Origin::<u8>::default(), Instant::now());
    origin.opened(1, "e-1".into(), now);
    let probe = origin.probe(1, 5).expect("open");
    let credit = origin.echoed(1, PeerEcho { probe, credit: 2 }, now);
    assert_eq!(credit, Ok(2));
    assert_eq!(origin.choose(|_| true, now + PROBE_INTERVAL * 2), None);
}

#[test]
fn an_answer_is_accepted_once_and_after_a_cancellation_until_the_next_echo() {
    let (mut origin, now) = (Origin::default(), Instant::now());
    origin.opened(1, "e-1".into(), now);
    origin.transferred(1, in_transfer("a", now));
    origin.transferred(1, in_transfer("b", now));
    origin.transferred(1, in_transfer("c", now));
    assert!(origin.answered(1, 1).expect("known").is_some());
    assert_eq!(
        origin.answered(1, 1).err(),
        Some(ProtocolError::UnknownNumber)
    );
    assert_eq!(
        origin.answered(1, 9).err(),
        Some(ProtocolError::UnknownNumber)
    );

    let (session, number, _) = origin.cancel("b").expect("in transfer");
    assert_eq!((session, number), (1, 2));
    assert!(origin.answered(1, 2).expect("cancelled").is_none());

    origin.cancel("c").expect("in transfer");
    let probe = origin.probe(1, 5).expect("open");
    let echoed = origin.echoed(1, PeerEcho { probe, credit: 0 }, now);
    assert_eq!(echoed, Ok(0));
    assert_eq!(
        origin.answered(1, 3).err(),
        Some(ProtocolError::UnknownNumber)
    );
    assert_eq!(origin.jobs(), 0);
}

#[test]
fn the_jobs_of_a_closed_session_are_returned_for_their_answers() {
    let (mut origin, now) = (Origin::default(), Instant::now());
    origin.opened(1, "e-1".into(), now);
    origin.transferred(1, in_transfer("a", now));
    assert!(origin.contains("a"));
    assert_eq!(origin.closed(1).len(), 1);
    assert!(!origin.contains("a"));
}

#[test]
fn a_receiver_accepts_no_more_than_its_credit_and_no_number_twice() {
    let (mut receiver, now) = (Receiver::default(), Instant::now());
    assert!(receiver.opened(1));
    assert_eq!(receiver.received(1, 1, now), Err(NotAccepted::NoCredit));
    let credit = receiver.probed(1, 7, CAPACITY, now).credit;
    assert!(credit > 0);
    for number in 2..2 + u64::from(credit) {
        assert_eq!(receiver.received(1, number, now), Ok(()));
    }
    assert_eq!(receiver.received(1, 1_000, now), Err(NotAccepted::NoCredit));
    assert_eq!(
        receiver.received(1, 1_000, now),
        Err(NotAccepted::NumberUsed)
    );
}

#[test]
fn the_credits_of_all_origins_together_are_within_the_budget() {
    let (mut receiver, now) = (Receiver::default(), Instant::now());
    receiver.opened(1);
    let alone = receiver.probed(1, 1, CAPACITY, now).credit;
    receiver.opened(2);
    receiver.opened(3);
    let shared: u32 = (1..=3)
        .map(|s| receiver.probed(s, 2, CAPACITY, now).credit)
        .sum();
    assert!(shared <= alone && shared > 0, "{shared} of {alone}");
}

macro_rules! no_credit {
    ($($name:ident: $capacity:expr;)*) => {
        $(#[test] fn $name() {
            assert_eq!(CreditBudget::default().credit($capacity, 1), 0);
        })*
    };
}

no_credit! {
    no_credit_under_raised_load: Capacity { load: Load::Raised, ..CAPACITY };
    no_credit_at_the_limit: Capacity { load: Load::AtLimit, ..CAPACITY };
    no_credit_without_free_cpu: Capacity { free_cpu: 0, ..CAPACITY };
    no_credit_without_a_configuration: Capacity { is_open: false, ..CAPACITY };
}

#[test]
fn the_credit_grows_while_it_is_used_and_shrinks_with_the_lag() {
    let (mut budget, mut now) = (CreditBudget::default(), Instant::now());
    let first = budget.credit(CAPACITY, 1);
    for _ in 0..3 {
        for _ in 0..budget.credit(CAPACITY, 1) {
            budget.job_accepted(now);
        }
        now += PROBE_INTERVAL;
        budget.adjust(CAPACITY, now);
    }
    let grown = budget.credit(CAPACITY, 1);
    assert!(grown > 2 * first, "{grown}");
    let overloaded = Capacity {
        load: Load::Raised,
        ..CAPACITY
    };
    budget.adjust(overloaded, now + PROBE_INTERVAL);
    assert!(budget.credit(CAPACITY, 1) <= grown / 2);
}

#[test]
fn the_credit_is_limited_by_the_part_of_the_free_cpu() {
    let mut budget = CreditBudget::default();
    budget.job_arrived(1_000);
    let capacity = Capacity {
        free_cpu: 6_000,
        ..CAPACITY
    };
    assert_eq!(budget.credit(capacity, 1), 2);
}

#[test]
fn a_job_keeps_its_age_and_its_deadline_in_a_transfer() {
    let arrived = Instant::now();
    let now = arrived + Duration::from_millis(300);
    let request = request("a", arrived);
    let job = to_wire(&request, 1, arrived, 4, now);
    assert_eq!((job.age_ms, job.remaining_ms), (300, 1_700));
    let (received, arrived_at) = from_wire(&job, now).expect("valid");
    assert_eq!((received, arrived_at), (request, arrived));
}

macro_rules! absurd {
    ($($name:ident: $change:expr;)*) => {
        $(#[test] fn $name() {
            let now = Instant::now();
            let mut job = to_wire(&request("a", now), 1, now, 0, now);
            let change: fn(&mut TransferredJob) = $change;
            change(&mut job);
            assert!(from_wire(&job, now).is_err());
        })*
    };
}

absurd! {
    a_job_without_steps_is_malformed: |job| job.steps.clear();
    a_step_without_tasks_is_malformed: |job| job.steps[0].count = 0;
    a_job_with_too_many_tasks_is_malformed: |job| job.steps[0].count = u16::MAX;
    a_step_after_a_later_one_is_malformed: |job| job.steps[0].after = smallvec![0];
    a_huge_id_is_malformed: |job| job.id = "x".repeat(2_000).into();
    a_huge_label_is_malformed: |job| job.steps[0].label = Some("x".repeat(2_000).into());
    a_huge_specification_is_malformed: |job| job.spec = "x".repeat(300_000).into();
}

#[test]
fn an_absurd_age_does_not_panic() {
    let now = Instant::now();
    let mut job = to_wire(&request("a", now), 1, now, 0, now);
    (job.age_ms, job.remaining_ms) = (u32::MAX, u32::MAX);
    assert!(from_wire(&job, now).is_ok());
}
