//! Tests of the selection of entries by the agents, at the sizes of the users' systems.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use masticcross_jobs::entry_selection::{EntrySelection, MAX_OWN_ZONE_SESSIONS, MAX_SESSIONS};
use masticcross_wire::pool::EntryAddr;
use tokio::time::Instant;

const ZONES: usize = 6;

/// Defines one test per case.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    few_entries_all_get_a_session => {
        let mut agent = AgentSessions::new(0, 4);
        assert_eq!(agent.dial_all(&[]), 4);
        assert_eq!(agent.open.len(), 4);
    };
    sessions_are_bounded_and_reach_other_zones => {
        for number in 0..160 {
            let mut agent = AgentSessions::new(number, 35);
            agent.dial_all(&[]);
            assert_eq!(agent.open.len(), MAX_SESSIONS);
            let own = agent.open.keys().filter(|entry| **entry % ZONES == number % ZONES);
            assert!(own.count() <= MAX_OWN_ZONE_SESSIONS);
        }
    };
    entries_share_the_agents_evenly => {
        for (entries, agents) in [(35, 160), (54, 246), (180, 820)] {
            let mut sessions = vec![0_usize; entries];
            for number in 0..agents {
                let mut agent = AgentSessions::new(number, entries);
                agent.dial_all(&[]);
                agent.open.keys().for_each(|entry| sessions[*entry] += 1);
            }
            let mean = agents * MAX_SESSIONS / entries;
            let range = mean / 3..=mean * 2;
            assert!(sessions.iter().all(|n| range.contains(n)), "{entries}: {sessions:?}");
        }
    };
    a_lost_entry_moves_only_its_own_sessions => {
        for number in 0..160 {
            let mut agent = AgentSessions::new(number, 35);
            agent.dial_all(&[]);
            let before: BTreeSet<usize> = agent.open.keys().copied().collect();
            let lost = *before.first().expect("there are sessions");
            agent.close(lost);
            agent.run(Duration::from_secs(1), &[lost]);
            let after: BTreeSet<usize> = agent.open.keys().copied().collect();
            assert_eq!(after.len(), MAX_SESSIONS);
            assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&lost]);
        }
    };
    an_entry_that_returns_gets_its_sessions_back => {
        let mut agent = AgentSessions::new(7, 35);
        agent.dial_all(&[]);
        let before = agent.open_entries();
        let lost = before[0];
        agent.close(lost);
        agent.run(Duration::from_secs(2), &[lost]);
        assert_ne!(agent.open_entries(), before);
        agent.run(Duration::from_secs(1), &[]);
        assert_eq!(agent.open_entries(), before);
        assert_eq!(agent.retired, 1);
    };
    reset_connections_are_opened_again_without_a_replacement => {
        let mut agent = AgentSessions::new(3, 35);
        let dials = agent.dial_all(&[]);
        let before = agent.open_entries();
        for entry in &before {
            agent.close(*entry);
        }
        let redials = agent.run(Duration::from_millis(200), &[]);
        assert_eq!(agent.open_entries(), before);
        assert_eq!((dials, redials, agent.retired), (MAX_SESSIONS, MAX_SESSIONS, 0));
    };
    dials_are_bounded_while_no_entry_can_be_reached => {
        let all: Vec<usize> = (0..35).collect();
        let mut agent = AgentSessions::new(3, 35);
        agent.run(Duration::from_secs(1), &all);
        let per_second = agent.run(Duration::from_secs(1), &all);
        assert!(per_second <= 35 * 10, "{per_second} dials in a second");
        agent.run(Duration::from_secs(70), &all);
        let later = agent.run(Duration::from_secs(20), &all);
        assert!(later <= 35 * 3, "{later} dials in 20 s after a minute");
    };
    an_address_that_is_no_longer_listed_is_not_dialed => {
        let mut agent = AgentSessions::new(3, 1);
        agent.run(Duration::from_millis(500), &[0]);
        agent.selection.set_entries(&[], &[], agent.now);
        assert_eq!(agent.run(Duration::from_secs(2), &[]), 0);
    };
}

/// Sessions of an agent with simulated entries.
struct AgentSessions {
    selection: EntrySelection,
    now: Instant,
    /// Session of each entry that is connected.
    open: BTreeMap<usize, u64>,
    next_session: u64,
    retired: usize,
}

impl AgentSessions {
    fn new(number: usize, entries: usize) -> Self {
        let now = Instant::now();
        let zone = zone(number);
        let mut selection = EntrySelection::new(format!("agent-{number}").into(), zone);
        let entries: Vec<EntryAddr> = (0..entries).map(entry).collect();
        selection.set_entries(&[], &entries, now);
        Self {
            selection,
            now,
            open: BTreeMap::new(),
            next_session: 0,
            retired: 0,
        }
    }

    /// Dials the selected entries until there is nothing more to dial now. Returns the number of
    /// dials.
    fn dial_all(&mut self, down: &[usize]) -> usize {
        let mut count = 0;
        loop {
            let dials = self.selection.dials(self.now);
            count += dials.len();
            for addr in &dials {
                let entry = usize::from(addr.port());
                if down.contains(&entry) {
                    self.selection.closed(*addr, self.now);
                } else {
                    self.next_session += 1;
                    self.open.insert(entry, self.next_session);
                    self.selection.opened(*addr, self.next_session, self.now);
                }
            }
            for session in self.selection.replaced(self.now) {
                self.retired += 1;
                let entry = self.open.iter().find(|(_, open)| **open == session);
                let entry = *entry.expect("the session is open").0;
                self.close(entry);
            }
            if dials.is_empty() {
                let next = self.selection.next_dial_at(self.now);
                assert!(next.is_none_or(|next| next > self.now));
                return count;
            }
        }
    }

    /// Advances the clock. Returns the number of dials.
    fn run(&mut self, time: Duration, down: &[usize]) -> usize {
        let end = self.now + time;
        let mut count = 0;
        while self.now < end {
            count += self.dial_all(down);
            self.now += Duration::from_millis(5);
        }
        count
    }

    fn close(&mut self, entry: usize) {
        self.open.remove(&entry);
        self.selection.closed(addr(entry), self.now);
    }

    fn open_entries(&self) -> Vec<usize> {
        self.open.keys().copied().collect()
    }
}

fn entry(number: usize) -> EntryAddr {
    EntryAddr {
        name: format!("entry-{number}").into(),
        addr: addr(number),
        zone: Some(zone(number)),
        incarnation: 1,
    }
}

/// Returns an address whose port is the number of the entry.
fn addr(entry: usize) -> SocketAddr {
    let port = u16::try_from(entry).expect("few entries");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn zone(number: usize) -> std::sync::Arc<str> {
    format!("zone-{}", number % ZONES).into()
}
