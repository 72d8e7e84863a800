//! The time line as an HTML page with one SVG picture: a lane for each process, a mark for each
//! event, a bar for each task from start to end.

use std::collections::BTreeMap;

use masticcross_basics::AttemptId;
use masticcross_basics::timeline::{Event, EventKind};
use maud::{DOCTYPE, Markup, html};

use crate::text;

/// Width of the drawing area, in pixels.
const WIDTH: f64 = 1_200.0;

/// Space for the names of the lanes, in pixels.
const MARGIN: f64 = 140.0;

/// Height of a lane, in pixels.
const LANE: f64 = 36.0;

/// Height of the bar of a task, in pixels.
const BAR: f64 = 8.0;

/// Radius of a mark, in pixels.
const RADIUS: f64 = 4.0;

/// Marks on the axis of time.
const TICKS: u32 = 8;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Places events on the page.
struct Scale {
    first: u64,
    span: f64,
    lanes: BTreeMap<String, f64>,
}

impl Scale {
    fn of(events: &[Event]) -> Self {
        let first = events.first().map_or(0, |event| event.at.micros);
        let last = events.last().map_or(first, |event| event.at.micros);
        let mut lanes: BTreeMap<String, f64> = BTreeMap::new();
        for event in events {
            lanes.entry(event.process.to_string()).or_default();
        }
        let mut y = LANE;
        for place in lanes.values_mut() {
            *place = y;
            y += LANE;
        }
        Self {
            first,
            span: micros_f64(last.saturating_sub(first)).max(1.0),
            lanes,
        }
    }

    fn x(&self, micros: u64) -> f64 {
        MARGIN + micros_f64(micros.saturating_sub(self.first)) / self.span * WIDTH
    }

    fn y(&self, process: &str) -> f64 {
        self.lanes.get(process).copied().unwrap_or_default()
    }

    fn height(&self) -> f64 {
        self.lanes.values().fold(LANE, |max, y| y.max(max)) + LANE
    }
}

/// A task's run at a worker.
struct Bar<'a> {
    process: &'a str,
    from: u64,
    to: u64,
    title: String,
}

/// Draws the events, which must be in order.
#[must_use]
pub fn page(title: &str, events: &[Event]) -> String {
    let scale = Scale::of(events);
    let bars = bars(events);
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { (title) }
                style { "body{font:14px sans-serif} svg text{font:11px sans-serif} td{padding:0 8px}" }
            }
            body {
                h1 { (title) }
                (picture(&scale, &bars, events))
                table {
                    @for event in events {
                        tr { td { code { (text::line(event)) } } }
                    }
                }
            }
        }
    };
    markup.into_string()
}

fn picture(scale: &Scale, bars: &[Bar<'_>], events: &[Event]) -> Markup {
    html! {
        svg width=(MARGIN + WIDTH + MARGIN) height=(scale.height()) role="img" {
            @for (process, y) in &scale.lanes {
                text x="4" y=(y + RADIUS) { (process) }
                line x1=(MARGIN) x2=(MARGIN + WIDTH) y1=(y) y2=(y) stroke="#ccc" {}
            }
            @for tick in 0..=TICKS {
                (tick_mark(scale, tick))
            }
            @for bar in bars {
                rect x=(scale.x(bar.from)) width=((scale.x(bar.to) - scale.x(bar.from)).max(1.0))
                    y=(scale.y(bar.process) - BAR / 2.0) height=(BAR) fill="#7aa6d8" {
                    title { (bar.title) }
                }
            }
            @for event in events {
                circle cx=(scale.x(event.at.micros)) cy=(scale.y(&event.process)) r=(RADIUS)
                    fill=(color(event.kind)) {
                    title { (text::line(event)) }
                }
            }
        }
    }
}

fn tick_mark(scale: &Scale, tick: u32) -> Markup {
    let share = f64::from(tick) / f64::from(TICKS);
    let x = MARGIN + share * WIDTH;
    let ms = share * scale.span / MICROS_PER_MS;
    html! {
        line x1=(x) x2=(x) y1="14" y2=(scale.height()) stroke="#eee" {}
        text x=(x) y="11" text-anchor="middle" { (format!("{ms:.1} ms")) }
    }
}

/// Joins the start and the end of each attempt.
fn bars(events: &[Event]) -> Vec<Bar<'_>> {
    let mut started: BTreeMap<(AttemptId, &str), u64> = BTreeMap::new();
    let mut bars = Vec::new();
    for event in events {
        let Some(attempt) = event.attempt else {
            continue;
        };
        match event.kind {
            EventKind::Started => {
                started.insert((attempt, &event.process), event.at.micros);
            }
            EventKind::Ended => {
                if let Some(from) = started.remove(&(attempt, &*event.process)) {
                    bars.push(Bar {
                        process: &event.process,
                        from,
                        to: event.at.micros,
                        title: text::line(event),
                    });
                }
            }
            _ => {}
        }
    }
    bars
}

fn color(event_kind: EventKind) -> &'static str {
    match event_kind {
        EventKind::Started | EventKind::Ended | EventKind::Placed => "#2b6cb0",
        EventKind::Answered | EventKind::Admitted | EventKind::Received | EventKind::Forwarded => {
            "#2f855a"
        }
        EventKind::Refused
        | EventKind::Cancelled
        | EventKind::NotStarted
        | EventKind::Left
        | EventKind::BackendDown
        | EventKind::ViewStale => "#c53030",
        EventKind::Acquired
        | EventKind::Released
        | EventKind::ConfigApplied
        | EventKind::Joined
        | EventKind::BackendUp
        | EventKind::ViewFresh => "#805ad5",
    }
}

/// Converts a span of microseconds, which is far below the limit of exact conversion.
fn micros_f64(micros: u64) -> f64 {
    let bounded = u32::try_from(micros / 1_000).unwrap_or(u32::MAX);
    let rest = u32::try_from(micros % 1_000).unwrap_or_default();
    f64::from(bounded) * 1_000.0 + f64::from(rest)
}
