//! Tests of merging, filtering and drawing.

use masticcross_basics::timeline::{Event, EventKind, Timeline, Timestamp};
use masticcross_basics::{AttemptId, Epoch, JobKey, Name};

use crate::{Filter, kind, merge, picture, text};

fn event(process: &str, micros: u64, event_kind: EventKind) -> Event {
    Event {
        at: Timestamp { micros, count: 0 },
        process: Name::from(process),
        ..Event::new(event_kind)
    }
}

fn attempt() -> AttemptId {
    AttemptId {
        epoch: Epoch(3),
        seq: 1,
    }
}

fn job() -> JobKey {
    JobKey::new("quote-desk", "order-17").expect("valid names")
}

#[test]
fn merges_in_the_order_of_stamps() {
    let left = vec![
        event("a", 1, EventKind::Joined),
        event("a", 5, EventKind::Left),
    ];
    let right = vec![event("b", 3, EventKind::Joined)];
    let micros: Vec<u64> = merge([left, right]).iter().map(|e| e.at.micros).collect();
    assert_eq!(micros, [1, 3, 5]);
}

#[test]
fn a_received_stamp_orders_later_events_after_the_senders() {
    let sender = Timeline::new(Name::from("sender"), 8);
    let receiver = Timeline::new(Name::from("receiver"), 8);
    let ahead = Timestamp {
        micros: u64::MAX / 2,
        count: 0,
    };
    sender.observe(ahead);
    sender.record(Event::new(EventKind::Placed));
    receiver.observe(sender.timestamp());
    receiver.record(Event::new(EventKind::Started));
    let kinds: Vec<_> = merge([receiver.events(), sender.events()])
        .iter()
        .map(|e| e.kind)
        .collect();
    assert_eq!(kinds, [EventKind::Placed, EventKind::Started]);
}

#[test]
fn a_full_ring_drops_the_oldest() {
    let ring = Timeline::new(Name::from("p"), 2);
    for event_kind in [EventKind::Joined, EventKind::Placed, EventKind::Left] {
        ring.record(Event::new(event_kind));
    }
    let kinds: Vec<_> = ring.events().iter().map(|e| e.kind).collect();
    assert_eq!(kinds, [EventKind::Placed, EventKind::Left]);
    assert_eq!(ring.dropped(), 1);
}

/// Names one test for each field of the filter.
macro_rules! filters {
    ($($name:ident: $field:ident = $value:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let filter = Filter { $field: $value, ..Filter::default() };
                let full = event("entry-1", 10, EventKind::Started)
                    .job(&job())
                    .task(4, attempt())
                    .worker(&Name::from("worker-1"))
                    .zone(&Name::from("perth-east"));
                let other = event("entry-2", 99, EventKind::Placed);
                assert!(filter.keeps(&full));
                assert!(!filter.keeps(&other));
            }
        )*
    };
}

filters! {
    selects_a_job: job = Some("order-17".to_owned());
    selects_a_task: task = Some(4);
    selects_a_worker: worker = Some("worker-1".to_owned());
    selects_a_zone: zone = Some("perth-east".to_owned());
    selects_a_process: process = Some("entry-1".to_owned());
    selects_a_kind: kind = vec![EventKind::Started];
    selects_up_to_a_time: to_us = Some(50);
}

#[test]
fn selects_from_a_time() {
    let filter = Filter {
        from_us: Some(50),
        ..Filter::default()
    };
    assert!(!filter.keeps(&event("p", 49, EventKind::Joined)));
    assert!(filter.keeps(&event("p", 50, EventKind::Joined)));
}

#[test]
fn kinds_are_read_as_they_are_written() {
    for event_kind in [
        EventKind::Received,
        EventKind::NotStarted,
        EventKind::ConfigApplied,
    ] {
        assert_eq!(kind::parse(&kind::name(event_kind)), Ok(event_kind));
    }
    assert!(kind::parse("nonsense").is_err());
}

#[test]
fn a_line_shows_what_applies() {
    let shown = event("worker-1", 3_723_000_004, EventKind::Started)
        .job(&job())
        .task(4, attempt());
    let line = text::line(&shown);
    assert!(line.starts_with("01:02:03.000004 worker-1"), "{line}");
    assert!(
        line.contains("job=quote-desk/order-17 task=4 attempt=3.1"),
        "{line}"
    );
    assert!(!line.contains("zone="), "{line}");
}

#[test]
fn the_picture_has_a_bar_for_each_task_that_ended() {
    let events = [
        event("worker-1", 10, EventKind::Started).task(0, attempt()),
        event("worker-1", 90, EventKind::Ended).task(0, attempt()),
        event("worker-2", 20, EventKind::Started).task(0, attempt()),
    ];
    let page = picture::page("<job>", &events);
    assert_eq!(page.matches("<rect").count(), 1);
    assert_eq!(page.matches("<circle").count(), 3);
    assert!(page.contains("&lt;job&gt;"), "text is escaped");
}
