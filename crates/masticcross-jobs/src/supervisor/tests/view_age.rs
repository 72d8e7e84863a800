//! Tests of how old an agent's operator view may be, and of its own reads of the operators' records.

use masticcross_wire::pool::OperatorView;

use super::*;
use crate::view::freshness::MAX_AGE;
use crate::view_reader::{self, Unreadable};

/// Time without news after which an agent has begun to read the records.
const LATEST_READ: Duration = Duration::from_secs(3);

const STEP: Duration = Duration::from_millis(100);

impl Fixture {
    /// Lets time pass in which the entry has contact, but cannot read the records. The entry has been told
    /// the position and the age at the beginning.
    fn advance_with_blind_entry(&mut self, time: Duration, position: u64, age_ms: u32) {
        let until = self.now + time;
        let start = self.now;
        while self.now < until {
            self.advance(STEP);
            let elapsed = u32::try_from((self.now - start).as_millis()).expect("short tests");
            let probe = self.supervisor.probe(self.now);
            let echo = echo(probe, position, Some(age_ms + elapsed));
            self.step(|s, now| s.echoed(SESSION, echo, now));
            self.poll(vec![], vec![]);
        }
    }

    fn reads(&self) -> usize {
        let is_read = |e: &&Effect| matches!(e, Effect::ReadView);
        self.effects.iter().filter(is_read).count()
    }

    fn end_read(&mut self, read: view_reader::Result<Option<OperatorView>>) {
        self.step(|s, now| s.view_read(read, now, now));
    }

    /// Requests a run and returns why it was not started.
    fn refusal(&mut self, index: u16) -> Option<NotStartedReason> {
        self.submit(request(index, 1));
        if self.take_start().is_some() {
            return None;
        }
        match self.results().pop() {
            Some(RunResult::NotStarted(reason)) => Some(reason),
            other => panic!("{other:?}"),
        }
    }
}

fn evacuation(position: u64) -> OperatorView {
    OperatorView {
        position,
        zones_out: BTreeSet::from(["zone-a".into()]),
        ..OperatorView::default()
    }
}

fn unreadable() -> Unreadable {
    Unreadable("503".to_owned())
}

cases! {
    // Guards against starts in a zone that is out, as the store turns the entries away and nobody else
    // reads the operators' records.
    an_agent_reads_the_records_if_its_entries_cannot => |mut f: Fixture| {
        f.step(|s, now| s.view_announced(SESSION, announced(1, &[]), now));
        f.advance_with_blind_entry(LATEST_READ, 1, 0);
        assert_eq!(f.reads(), 1);
        f.effects.clear();
        f.end_read(Ok(Some(evacuation(2))));
        assert_eq!(f.refusal(0), Some(NotStartedReason::ZoneOut));
        // The entry is told, and gets the view from the agent.
        let is_told = |e: &Effect| matches!(e, Effect::Send(SESSION, PoolFrame::View(v)) if v.summary.position == 2 && v.age_ms == Some(0));
        assert!(f.effects.iter().any(is_told));
        f.step(|s, _| s.view_requested(SESSION, ViewRange { position: 2, offset: 0 }));
        assert_eq!(f.view_parts(SESSION).len(), 1);
    };

    // Guards against calls to the store for nothing.
    no_agent_reads_the_records_while_an_entry_can => |mut f: Fixture| {
        f.step(|s, now| s.session_opened(&client(2), 2, now));
        for _ in 0..100 {
            f.advance_with_blind_entry(STEP, 0, 9_000);
            let probe = f.supervisor.probe(f.now);
            f.step(|s, now| s.echoed(2, echo(probe, 0, Some(1_200)), now));
        }
        assert_eq!((f.reads(), f.refusal(0)), (0, None));
    };

    // Guards against a read by every agent of an installation: what one has read ends the wait of the others.
    news_of_another_agents_read_arrive_before_the_own_one => |mut f: Fixture| {
        f.advance_with_blind_entry(Duration::from_millis(1_900), 0, 0);
        f.advance_with_blind_entry(Duration::from_millis(1_900), 0, 0);
        assert_eq!(f.reads(), 0);
    };

    // Guards against starts by a view that is too old while the read that would show it is under way.
    a_view_that_is_too_old_is_not_used_before_a_read_has_ended => |mut f: Fixture| {
        f.advance_with_blind_entry(MAX_AGE + STEP, 0, 0);
        assert_eq!((f.reads(), f.refusal(0)), (1, Some(NotStartedReason::ViewStale)));
        f.end_read(Ok(None));
        assert_eq!(f.refusal(1), None);
    };

    // Guards against an outage of the store that stops all starts.
    a_view_of_any_age_is_used_while_the_records_cannot_be_read => |mut f: Fixture| {
        for _ in 0..10 {
            f.advance_with_blind_entry(LATEST_READ, 0, 9_000);
            f.end_read(Err(unreadable()));
            assert_eq!(f.refusal(0), None);
            f.poll(vec![], vec![]);
            f.advance_with_blind_entry(STEP, 0, 9_000);
            f.step(|s, now| s.stop(SESSION, &[run(0, 1)], now));
            f.advance_with_blind_entry(STEP, 0, 9_000);
        }
        assert!((8..=20).contains(&f.reads()), "{} reads in 32 s", f.reads());
    };

    // Guards against a restarted agent that believes an entry which has read nothing for long.
    a_new_agent_reads_the_records_at_once_if_its_entry_is_blind => |_| {
        for age_ms in [None, Some(20_000)] {
            let mut f = Fixture::without_view(Instant::now());
            f.report(1, 1, false);
            f.poll(vec![], vec![]);
            let probe = f.supervisor.probe(f.now);
            f.step(|s, now| s.echoed(SESSION, echo(probe, 3, age_ms), now));
            assert_eq!(f.refusal(0), Some(NotStartedReason::ViewStale));
            for _ in 0..3 {
                f.advance(STEP);
            }
            assert_eq!(f.reads(), 1, "{age_ms:?}");
            f.end_read(Ok(Some(evacuation(4))));
            assert_eq!(f.refusal(1), Some(NotStartedReason::ZoneOut));
        }
    };

    // Guards against a later first start after a restart while all is well.
    a_new_agent_starts_runs_with_the_first_announcement_of_a_fresh_view => |_| {
        let mut f = Fixture::without_view(Instant::now());
        f.report(1, 1, false);
        f.poll(vec![], vec![]);
        f.step(|s, now| s.view_announced(SESSION, announced(3, &[]), now));
        assert_eq!((f.refusal(0), f.reads()), (None, 0));
    };

    // Guards against an age that seems lower than it is, as the answer was held up.
    an_age_counts_from_the_time_its_probe_was_sent => |mut f: Fixture| {
        let probe = f.supervisor.probe(f.now);
        f.advance(MAX_AGE);
        f.step(|s, now| s.echoed(SESSION, echo(probe, 0, Some(100)), now));
        f.advance_with_blind_entry(STEP, 0, 9_000);
        assert_eq!(f.refusal(0), Some(NotStartedReason::ViewStale));
    };

    // Guards against a view that seems fresh because the clock stood still.
    a_suspension_makes_the_view_older => |mut f: Fixture| {
        f.step(|s, _| s.suspended_for(MAX_AGE));
        f.advance_with_blind_entry(STEP, 0, 9_000);
        assert_eq!(f.refusal(0), Some(NotStartedReason::ViewStale));
    };
}
