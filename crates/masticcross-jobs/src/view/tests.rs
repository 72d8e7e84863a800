//! Tests of the transfer of operator views in parts.

use std::time::Duration;

use bytes::Bytes;
use masticcross_wire::pool::{ViewPart, ViewRange};
use quickcheck::QuickCheck;
use tokio::time::Instant;

use super::encoded::{EncodedView, MAX_VIEW_BYTES, PART_BYTES};
use super::fetch::{FetchPace, Progress, ViewFetch};

const PACE: FetchPace = FetchPace {
    delay: Duration::from_millis(500),
    interval: Duration::ZERO,
};

/// Defines one test per case.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body(Fixture::new()) })*
    };
}

/// A process without a view that has sessions 1 and 2, and a simulated clock.
struct Fixture {
    fetch: ViewFetch,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        Self {
            fetch: ViewFetch::new(PACE, 0),
            now: Instant::now(),
        }
    }

    /// Both other processes announce a view, and the delay passes.
    fn announce(&mut self, position: u64) {
        self.fetch.announced(1, position);
        self.fetch.announced(2, position);
        assert_eq!(self.fetch.next(0, self.now), None);
        self.now += PACE.delay;
    }

    fn next(&mut self) -> Option<(u64, ViewRange)> {
        self.fetch.next(0, self.now)
    }

    fn receive(&mut self, session: u64, part: &ViewPart) -> Progress {
        self.fetch.received(session, part, 0, self.now)
    }
}

/// Returns a view of three and a half parts.
fn encoded(position: u64, byte: u8) -> EncodedView {
    EncodedView::new(position, vec![byte; PART_BYTES * 7 / 2].into())
}

fn range(position: u64, parts: u64) -> ViewRange {
    ViewRange {
        position,
        offset: parts * PART_BYTES as u64,
    }
}

cases! {
    a_view_is_put_together_from_its_parts => |mut f: Fixture| {
        let view = encoded(9, 1);
        f.announce(9);
        let (session, mut requested) = f.next().expect("a request");
        for parts in 1..4 {
            assert_eq!(requested, range(9, parts - 1));
            let progress = f.receive(session, &view.part(requested));
            assert_eq!(progress, Progress::Continue(range(9, parts)));
            requested = range(9, parts);
        }
        assert_eq!(f.receive(session, &view.part(requested)), Progress::Complete(view));
    };

    a_transfer_continues_on_another_session_where_it_stopped => |mut f: Fixture| {
        let view = encoded(9, 1);
        f.announce(9);
        let (first, requested) = f.next().expect("a request");
        f.receive(first, &view.part(requested));
        assert_eq!(f.next(), None);
        f.now += Duration::from_millis(500);
        let (second, requested) = f.next().expect("a request");
        assert_eq!((second == first, requested), (false, range(9, 1)));
    };

    a_transfer_continues_at_once_elsewhere_if_its_session_ends => |mut f: Fixture| {
        let view = encoded(9, 1);
        f.announce(9);
        let (first, requested) = f.next().expect("a request");
        f.receive(first, &view.part(requested));
        f.fetch.closed(first);
        let (second, requested) = f.next().expect("a request");
        assert_eq!((second == first, requested), (false, range(9, 1)));
    };

    a_late_part_does_not_start_a_second_transfer => |mut f: Fixture| {
        let view = encoded(9, 1);
        f.announce(9);
        let (first, requested) = f.next().expect("a request");
        f.now += Duration::from_millis(500);
        let (second, _) = f.next().expect("a request");
        let part = view.part(requested);
        assert_eq!(f.receive(first, &part), Progress::Continue(range(9, 1)));
        assert_eq!(f.receive(second, &part), Progress::Waiting);
    };

    parts_of_a_newer_view_replace_those_of_an_older_one => |mut f: Fixture| {
        let (old, new) = (encoded(9, 1), encoded(10, 2));
        f.announce(9);
        let (session, requested) = f.next().expect("a request");
        f.receive(session, &old.part(requested));
        let first = new.part(range(9, 1));
        assert_eq!(first.offset, 0);
        assert_eq!(f.receive(session, &first), Progress::Continue(range(10, 1)));
        assert_eq!(f.receive(session, &old.part(range(9, 1))), Progress::Waiting);
    };

    another_encoding_of_the_same_view_starts_again => |mut f: Fixture| {
        let (one, other) = (encoded(9, 1), encoded(9, 2));
        f.announce(9);
        let (session, requested) = f.next().expect("a request");
        f.receive(session, &one.part(requested));
        assert_eq!(f.receive(session, &other.part(range(9, 1))), Progress::Waiting);
        f.now += Duration::from_millis(500);
        let (session, requested) = f.next().expect("a request");
        assert_eq!(requested, range(9, 0));
        let progress = f.receive(session, &other.part(requested));
        assert_eq!(progress, Progress::Continue(range(9, 1)));
    };

    bytes_that_do_not_have_the_digest_are_not_used => |mut f: Fixture| {
        let view = EncodedView::new(9, Bytes::from_static(b"view"));
        f.announce(9);
        let (session, requested) = f.next().expect("a request");
        let part = ViewPart { bytes: Bytes::from_static(b"vieW"), ..view.part(requested) };
        assert_eq!(f.receive(session, &part), Progress::Malformed);
        f.now += PACE.delay;
        assert_eq!(f.next(), None);
        f.now += PACE.delay;
        assert!(f.next().is_some());
    };

    parts_that_contradict_themselves_are_malformed => |mut f: Fixture| {
        f.announce(9);
        let part = encoded(9, 1).part(range(9, 0));
        for part in [
            ViewPart { total: MAX_VIEW_BYTES as u64 + 1, ..part.clone() },
            ViewPart { total: 5, ..part.clone() },
            ViewPart { offset: u64::MAX, ..part.clone() },
            ViewPart { bytes: Bytes::new(), ..part },
        ] {
            assert_eq!(f.receive(1, &part), Progress::Malformed);
        }
    };

    nothing_is_requested_without_a_newer_view => |mut f: Fixture| {
        f.announce(9);
        assert_eq!(f.fetch.next(9, f.now), None);
        assert!(f.fetch.next(8, f.now).is_none());
        f.now += PACE.delay;
        assert!(f.fetch.next(8, f.now).is_some());
    };
}

/// Parts get lost, arrive twice, late or from a view that another process encoded differently. The view
/// is complete a short time after they no longer do, whatever happened before.
#[test]
fn a_transfer_ends_whatever_happened_before() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let mut f = Fixture::new();
        let views = [encoded(9, 1), encoded(9, 2), encoded(8, 3)];
        f.fetch.announced(1, 9);
        f.fetch.announced(2, 9);
        for (kind, parts) in events {
            f.now += Duration::from_millis(100);
            let view = &views[usize::from(kind % 3)];
            let requested = f.next().map_or(range(9, 0), |(_, range)| range);
            let sent = match kind / 3 % 3 {
                0 => continue,
                1 => view.part(requested),
                _ => view.part(range(view.position(), u64::from(parts % 4))),
            };
            if let Progress::Complete(complete) = f.receive(1, &sent) {
                return views.contains(&complete);
            }
        }
        let mut pending = None;
        for _ in 0..40 {
            f.now += Duration::from_millis(500);
            let Some((session, range)) = pending.take().or_else(|| f.next()) else {
                continue;
            };
            match f.receive(session, &views[0].part(range)) {
                Progress::Continue(range) => pending = Some((session, range)),
                Progress::Complete(view) => return view == views[0],
                Progress::Waiting | Progress::Malformed => {}
            }
        }
        false
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}
