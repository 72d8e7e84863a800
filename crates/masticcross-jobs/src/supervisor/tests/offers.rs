//! Tests of the division of free resources, with a worker of 10 cores.

use masticcross_wire::pool::{PriorityDemand, RoomDemand};

use super::*;
use crate::supervisor::offers::{OfferCounts, Offers};

const OTHER: SessionId = 2;
const THIRD: SessionId = 3;
const OFFER: Duration = Duration::from_millis(30);

/// Defines one test per case.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)*) => {
        $(#[test] $(#[$meta])* fn $name() { $body(Fixture::shared()) })*
    };
}

impl Fixture {
    /// Opens sessions of two further entries.
    fn shared() -> Self {
        let mut fixture = Self::new();
        for session in [OTHER, THIRD] {
            fixture.step(|s, now| s.session_opened(&client(session), session, now));
        }
        fixture
    }

    fn ask(&mut self, session: SessionId, cores: u64) {
        self.demand(session, demand(1, cores, cores));
    }

    fn demand(&mut self, session: SessionId, demand: PriorityDemand) {
        let demand = RoomDemand {
            priorities: smallvec![demand],
        };
        self.step(|s, now| s.demand_received(session, &demand, now));
    }

    /// Requests a run of priority 1 on a session.
    fn request_on(&mut self, session: SessionId, index: u16, cores: u64) {
        let request = RunRequest {
            priority: 1,
            ..request(index, cores)
        };
        self.step(|s, now| s.run(session, vec![request], now));
    }

    /// Advances the clock and answers probes for all entries.
    fn advance_with_all(&mut self, time: Duration) {
        self.advance(time);
        let probe = self.supervisor.probe(self.now);
        for session in [SESSION, OTHER, THIRD] {
            self.echo(session, probe);
        }
    }

    /// Returns the free cores announced last on a session.
    fn told(&self, session: SessionId) -> Option<u64> {
        let announced = self.announced_free(session);
        announced.last().map(|free| free.cpu / 1_000)
    }

    fn offers(&self) -> OfferCounts {
        self.supervisor.gauges(self.now).offers
    }
}

fn demand(priority: u32, cores: u64, task_cores: u64) -> PriorityDemand {
    PriorityDemand {
        priority,
        cpu: cores * 1_000,
        arriving_cpu: 1_000,
        task_cpu: task_cores * 1_000,
        latest_start_ms: 1_000,
    }
}

cases! {
    // Without a reservation the entry that reacts first gets what the other one was offered.
    offered_resources_are_kept_for_one_entry => |mut f: Fixture| {
        f.ask(OTHER, 8);
        assert_eq!((f.told(OTHER), f.told(THIRD)), (Some(10), Some(2)));
        f.request_on(SESSION, 0, 4);
        assert_eq!(f.results(), vec![RunResult::NotStarted(NotStartedReason::NoRoom)]);
        f.request_on(OTHER, 1, 8);
        assert!(f.take_start().is_some());
        assert_eq!(f.offers(), OfferCounts { demand_cpu: 0, made: 1, unused: 0 });
    };

    // A request that was sent before its offer was taken back must not start beside another run.
    a_request_on_the_way_when_its_offer_is_taken_back_starts_nothing => |mut f: Fixture| {
        f.ask(OTHER, 10);
        f.demand(THIRD, demand(0, 10, 10));
        f.advance_with_all(OFFER);
        assert_eq!((f.told(OTHER), f.told(THIRD)), (Some(0), Some(10)));
        f.request_on(THIRD, 1, 10);
        assert!(f.take_start().is_some());
        f.request_on(OTHER, 0, 10);
        assert!(f.take_start().is_none());
        assert_eq!(f.results(), vec![RunResult::NotStarted(NotStartedReason::NoRoom)]);
    };

    // An entry that asks and never uses its offers would keep the worker idle.
    an_entry_that_does_not_use_its_offers_is_asked_last => |mut f: Fixture| {
        for unused in 1..=3 {
            f.ask(OTHER, 10);
            assert_eq!(f.told(OTHER), Some(10));
            f.advance_with_all(OFFER);
            assert_eq!(f.offers().unused, unused);
        }
        f.start_run(0, 10);
        f.ask(OTHER, 10);
        f.demand(THIRD, demand(2, 10, 10));
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((f.told(OTHER), f.told(THIRD)), (Some(0), Some(10)));
    };

    stale_demand_gets_no_offers => |mut f: Fixture| {
        f.start_run(0, 10);
        f.ask(OTHER, 10);
        f.advance_with_all(Duration::from_millis(300));
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        f.advance_with_all(ANNOUNCE_INTERVAL);
        assert_eq!(f.offers().made, 0);
        assert_eq!((f.told(OTHER), f.told(THIRD)), (Some(10), Some(10)));
    };

    // The work could not be of use any more when the resources become free.
    demand_ends_with_its_latest_start => |mut f: Fixture| {
        f.start_run(0, 10);
        f.demand(OTHER, PriorityDemand { latest_start_ms: 50, ..demand(1, 10, 10) });
        f.advance_with_all(Duration::from_millis(60));
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!(f.offers().made, 0);
    };

    a_frozen_entry_loses_its_offer_and_gets_no_other => |mut f: Fixture| {
        f.advance_in_contact(Duration::from_millis(590));
        f.ask(OTHER, 10);
        assert_eq!(f.told(OTHER), Some(10));
        f.advance_in_contact(OFFER);
        f.ask(OTHER, 10);
        assert_eq!(f.offers().made, 1);
        f.request_on(SESSION, 0, 10);
        assert!(f.take_start().is_some());
    };

    a_closed_session_ends_its_demand_and_its_offers => |mut f: Fixture| {
        f.ask(OTHER, 10);
        f.ask(THIRD, 10);
        f.step(|s, _| s.session_closed(OTHER));
        f.advance_with_all(Duration::from_millis(1));
        assert_eq!(f.told(THIRD), Some(10));
        assert_eq!(f.offers(), OfferCounts { demand_cpu: 10_000, made: 2, unused: 0 });
    };

    // A process that has restarted does not have the work that its predecessor asked for.
    a_new_session_of_an_entry_starts_without_demand => |mut f: Fixture| {
        f.ask(OTHER, 10);
        f.step(|s, now| s.session_opened(&client(OTHER), 4, now));
        assert_eq!(f.offers().demand_cpu, 0);
        f.step(|s, _| s.session_closed(OTHER));
        f.request_on(SESSION, 0, 10);
        assert!(f.take_start().is_some());
    };

    a_more_urgent_run_takes_reserved_resources => |mut f: Fixture| {
        f.ask(OTHER, 10);
        f.step(|s, now| s.run(SESSION, vec![request(0, 10)], now));
        assert!(f.take_start().is_some());
        assert_eq!(f.told(OTHER), Some(0));
    };

    the_most_urgent_demand_is_served_first => |mut f: Fixture| {
        f.start_run(0, 10);
        f.ask(OTHER, 10);
        f.demand(THIRD, demand(0, 10, 10));
        f.poll(vec![], vec![ended(1, 0, WorkerEnd::Done)]);
        assert_eq!((f.told(OTHER), f.told(THIRD)), (Some(0), Some(10)));
    };

    // Entry 3 has a quarter of the arriving work, so that it is due for every fourth run.
    entries_get_resources_in_proportion_to_their_work => |f: Fixture| {
        let (mut offers, entries) = (Offers::default(), [client(OTHER), client(THIRD)]);
        let mut started = [0, 0];
        for _ in 0..40 {
            for (entry, arriving_cpu) in entries.iter().zip([6_000, 2_000]) {
                let demand = PriorityDemand { arriving_cpu, ..demand(0, 10, 10) };
                offers.asked(entry, &RoomDemand { priorities: smallvec![demand] }, 10_000, f.now);
            }
            offers.divide(10_000, |_| true, f.now);
            let chosen = usize::from(offers.reserved_from(&entries[0], 0) > 0);
            offers.started(&entries[chosen], &request(0, 10));
            started[chosen] += 1;
        }
        assert_eq!(started, [30, 10]);
    };

    demand_of_absurd_size_is_limited_to_the_worker => |mut f: Fixture| {
        let all = u64::MAX;
        let absurd = PriorityDemand { cpu: all, arriving_cpu: all, task_cpu: 0, ..demand(0, 0, 0) };
        let demand = RoomDemand { priorities: (0..1_000).map(|priority| PriorityDemand { priority, ..absurd }).collect() };
        f.step(|s, now| s.demand_received(OTHER, &demand, now));
        assert_eq!(f.offers(), OfferCounts { demand_cpu: 40_000, made: 1, unused: 0 });
        let larger = PriorityDemand { task_cpu: all, ..absurd };
        f.demand(THIRD, larger);
        assert_eq!(f.offers().demand_cpu, 40_000, "no such task can run here");
        f.advance_with_all(OFFER);
        f.request_on(SESSION, 0, 10);
        assert!(f.take_start().is_none(), "the offer was repeated");
    };

    demand_on_an_unknown_session_is_ignored => |mut f: Fixture| {
        f.ask(99, 10);
        assert_eq!(f.offers(), OfferCounts::default());
    };
}
