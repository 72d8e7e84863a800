//! Tests of merging, filtering and drawing.

use masticcross_basics::timeline::{Event, EventKind, Timeline, Timestamp};
use masticcross_basics::{AttemptId, Epoch, JobKey, Name};

use crate::{Filter, chart, kind, merge, text};

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
fn events_are_merged_in_the_order_of_timestamps() {
    let left = vec![
        event("a", 1, EventKind::Joined),
        event("a", 5, EventKind::Left),
    ];
    let right = vec![event("b", 3, EventKind::Joined)];
    let micros: Vec<u64> = merge([left, right]).iter().map(|e| e.at.micros).collect();
    assert_eq!(micros, [1, 3, 5]);
}

#[test]
fn events_after_a_received_timestamp_follow_the_senders_events() {
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
fn a_full_timeline_drops_the_oldest_event() {
    let timeline = Timeline::new(Name::from("p"), 2);
    for event_kind in [EventKind::Joined, EventKind::Placed, EventKind::Left] {
        timeline.record(Event::new(event_kind));
    }
    let kinds: Vec<_> = timeline.events().iter().map(|e| e.kind).collect();
    assert_eq!(kinds, [EventKind::Placed, EventKind::Left]);
    assert_eq!(timeline.dropped(), 1);
}

/// Generates one test per field of the filter.
macro_rules! filters {
    ($($name:ident: $field:ident = $value:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let filter = Filter { $field: $value, ..Filter::default() };
                let matching = event("entry-1", 10, EventKind::Started)
                    .job(&job())
                    .task(4, attempt())
                    .worker(&Name::from("worker-1"))
                    .zone(&Name::from("perth-east"));
                let other = event("entry-2", 99, EventKind::Placed);
                assert!(filter.accepts(&matching));
                assert!(!filter.accepts(&other));
            }
        )*
    };
}

filters! {
    a_filter_by_job_accepts_only_its_events: job = Some("order-17".to_owned());
    a_filter_by_task_accepts_only_its_events: task = Some(4);
    a_filter_by_worker_accepts_only_its_events: worker = Some("worker-1".to_owned());
    a_filter_by_zone_accepts_only_its_events: zone = Some("perth-east".to_owned());
    a_filter_by_process_accepts_only_its_events: process = Some("entry-1".to_owned());
    a_filter_by_kind_accepts_only_its_events: kind = vec![EventKind::Started];
    a_filter_by_latest_time_rejects_later_events: to_us = Some(50);
}

#[test]
fn a_filter_by_earliest_time_rejects_earlier_events() {
    let filter = Filter {
        from_us: Some(50),
        ..Filter::default()
    };
    assert!(!filter.accepts(&event("p", 49, EventKind::Joined)));
    assert!(filter.accepts(&event("p", 50, EventKind::Joined)));
}

#[test]
fn a_formatted_kind_is_parsed_back_and_unknown_names_are_rejected() {
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
fn a_line_shows_only_the_fields_that_are_set() {
    let started = event("worker-1", 3_723_000_004, EventKind::Started)
        .job(&job())
        .task(4, attempt());
    let line = text::line(&started);
    assert!(line.starts_with("01:02:03.000004 worker-1"), "{line}");
    assert!(
        line.contains("job=quote-desk/order-17 task=4 attempt=3.1"),
        "{line}"
    );
    assert!(!line.contains("zone="), "{line}");
}

#[test]
fn the_chart_has_a_mark_for_each_event_and_a_bar_for_each_ended_task() {
    let events = [
        event("worker-1", 10, EventKind::Started).task(0, attempt()),
        event("worker-1", 90, EventKind::Ended).task(0, attempt()),
        event("worker-2", 20, EventKind::Started).task(0, attempt()),
    ];
    let page = chart::page("<job>", &events);
    assert_eq!(page.matches("<rect").count(), 1);
    assert_eq!(page.matches("<circle").count(), 3);
    assert!(page.contains("&lt;job&gt;"), "text is escaped");
}
