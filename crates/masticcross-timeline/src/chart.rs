//! The timeline as an HTML page with one SVG chart: a lane for each process, a mark for each event
//! and a bar for each task from its start to its end.

use std::collections::BTreeMap;

use masticcross_basics::AttemptId;
use masticcross_basics::timeline::{Event, EventKind};
use maud::{DOCTYPE, Markup, html};

use crate::text;

/// Width of the chart without its margins, in pixels.
const CHART_WIDTH_PX: f64 = 1_200.0;

/// Space for the names of the lanes, in pixels.
const MARGIN_PX: f64 = 140.0;

/// Height of a lane, in pixels.
const LANE_HEIGHT_PX: f64 = 36.0;

/// Height of the bar of a task, in pixels.
const BAR_HEIGHT_PX: f64 = 8.0;

/// Radius of a mark, in pixels.
const MARK_RADIUS_PX: f64 = 4.0;

/// Number of intervals between the ticks of the time axis.
const TICK_INTERVALS: u32 = 8;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Maps times and processes to coordinates in the chart.
struct Scale {
    first_micros: u64,
    span_micros: f64,
    lanes: BTreeMap<String, f64>,
}

impl Scale {
    fn of(events: &[Event]) -> Self {
        let first_micros = events.first().map_or(0, |event| event.at.micros);
        let last_micros = events.last().map_or(first_micros, |event| event.at.micros);
        let mut lanes: BTreeMap<String, f64> = BTreeMap::new();
        for event in events {
            lanes.entry(event.process.to_string()).or_default();
        }
        let mut y = LANE_HEIGHT_PX;
        for lane_y in lanes.values_mut() {
            *lane_y = y;
            y += LANE_HEIGHT_PX;
        }
        Self {
            first_micros,
            span_micros: micros_f64(last_micros.saturating_sub(first_micros)).max(1.0),
            lanes,
        }
    }

    fn x(&self, micros: u64) -> f64 {
        MARGIN_PX
            + micros_f64(micros.saturating_sub(self.first_micros)) / self.span_micros
                * CHART_WIDTH_PX
    }

    fn y(&self, process: &str) -> f64 {
        self.lanes.get(process).copied().unwrap_or_default()
    }

    fn height(&self) -> f64 {
        self.lanes
            .values()
            .fold(LANE_HEIGHT_PX, |max, y| y.max(max))
            + LANE_HEIGHT_PX
    }
}

/// A task's run at a worker.
struct Bar<'a> {
    process: &'a str,
    start_micros: u64,
    end_micros: u64,
    title: String,
}

/// Returns an HTML page that shows the events, which must be sorted by time.
#[must_use]
pub fn page(title: &str, events: &[Event]) -> String {
    let scale = Scale::of(events);
    let bars = task_bars(events);
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
                (chart(&scale, &bars, events))
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

fn chart(scale: &Scale, bars: &[Bar<'_>], events: &[Event]) -> Markup {
    html! {
        svg width=(MARGIN_PX + CHART_WIDTH_PX + MARGIN_PX) height=(scale.height()) role="img" {
            @for (process, y) in &scale.lanes {
                text x="4" y=(y + MARK_RADIUS_PX) { (process) }
                line x1=(MARGIN_PX) x2=(MARGIN_PX + CHART_WIDTH_PX) y1=(y) y2=(y) stroke="#ccc" {}
            }
            @for tick in 0..=TICK_INTERVALS {
                (tick_mark(scale, tick))
            }
            @for bar in bars {
                rect x=(scale.x(bar.start_micros))
                    width=((scale.x(bar.end_micros) - scale.x(bar.start_micros)).max(1.0))
                    y=(scale.y(bar.process) - BAR_HEIGHT_PX / 2.0)
                    height=(BAR_HEIGHT_PX) fill="#7aa6d8" {
                    title { (bar.title) }
                }
            }
            @for event in events {
                circle cx=(scale.x(event.at.micros)) cy=(scale.y(&event.process)) r=(MARK_RADIUS_PX)
                    fill=(color(event.kind)) {
                    title { (text::line(event)) }
                }
            }
        }
    }
}

fn tick_mark(scale: &Scale, tick: u32) -> Markup {
    let share = f64::from(tick) / f64::from(TICK_INTERVALS);
    let x = MARGIN_PX + share * CHART_WIDTH_PX;
    let ms = share * scale.span_micros / MICROS_PER_MS;
    html! {
        line x1=(x) x2=(x) y1="14" y2=(scale.height()) stroke="#eee" {}
        text x=(x) y="11" text-anchor="middle" { (format!("{ms:.1} ms")) }
    }
}

/// Pairs the start and the end of each attempt at a process.
fn task_bars(events: &[Event]) -> Vec<Bar<'_>> {
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
                if let Some(start_micros) = started.remove(&(attempt, &*event.process)) {
                    bars.push(Bar {
                        process: &event.process,
                        start_micros,
                        end_micros: event.at.micros,
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

/// Converts a span of microseconds. Such spans are far below the limit up to which `f64` is exact.
fn micros_f64(micros: u64) -> f64 {
    let whole_ms = u32::try_from(micros / 1_000).unwrap_or(u32::MAX);
    let remaining_micros = u32::try_from(micros % 1_000).unwrap_or_default();
    f64::from(whole_ms) * 1_000.0 + f64::from(remaining_micros)
}
