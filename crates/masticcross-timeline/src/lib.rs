//! Merging, filtering and drawing of the time lines of all processes, and explaining of jobs by logs.
//!
//! ```
//! use masticcross_basics::timeline::{Event, EventKind};
//! use masticcross_timeline::{Filter, merge, text};
//!
//! let events = merge([vec![Event::new(EventKind::Joined)], vec![]]);
//! let kept: Vec<_> = events.iter().filter(|e| Filter::default().keeps(e)).collect();
//! assert_eq!(kept.len(), 1);
//! assert!(text::line(kept[0]).contains("joined"));
//! ```

pub mod explain;
pub mod filter;
pub mod kind;
pub mod picture;
pub mod text;

#[cfg(test)]
mod tests;

use masticcross_basics::timeline::Event;

pub use filter::Filter;

/// Merges the events of several processes in the order of their timestamps.
#[must_use]
pub fn merge(rings: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = rings.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
    events
}
