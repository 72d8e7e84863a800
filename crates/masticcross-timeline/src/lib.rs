//! Merges, filters and draws the timelines of all processes, and explains from their logs why jobs
//! were late or lost.
//!
//! ```
//! use masticcross_basics::timeline::{Event, EventKind};
//! use masticcross_timeline::{Filter, merge, text};
//!
//! let events = merge([vec![Event::new(EventKind::Joined)], vec![]]);
//! let kept: Vec<_> = events.iter().filter(|e| Filter::default().accepts(e)).collect();
//! assert_eq!(kept.len(), 1);
//! assert!(text::line(kept[0]).contains("joined"));
//! ```

pub mod chart;
pub mod explain;
pub mod filter;
pub mod kind;
pub mod text;

#[cfg(test)]
mod tests;

use masticcross_basics::timeline::Event;

pub use filter::Filter;

/// Merges the events of several processes in the order of their timestamps.
#[must_use]
pub fn merge(timelines: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
    events
}
