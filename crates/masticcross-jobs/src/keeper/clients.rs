//! The entries that an agent works for: how long it may act for them, and what they were told.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::Incarnation;
use masticcross_wire::pool::{EntryAddr, FreeResources, Resources, RunEnd};
use tokio::time::Instant;

use super::SessionId;

/// Time since the last answered probe after which an entry's runs are stopped. Callers submit a
/// lost job again after 1.3 s; by then the runs are gone.
pub const AUTHORITY: Duration = Duration::from_millis(600);

/// How long ends are kept for an entry that opens a new session.
const KEEP_ENDS: Duration = Duration::from_secs(3);

/// How long an entry without session and runs is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// One start of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId {
    /// Name of the entry.
    pub name: Name,
    /// Its start.
    pub incarnation: Incarnation,
}

/// An entry as an agent knows it.
#[derive(Debug)]
pub struct Client {
    /// Open session.
    pub session: Option<SessionId>,
    /// Runs that arrived on the open session.
    pub requests_seen: u64,
    /// Free resources that was last told on the open session.
    told: Option<FreeResources>,
    /// True if a run of this entry has ended since.
    run_ended: bool,
    heard_at: Instant,
    ends: VecDeque<(Instant, RunEnd)>,
}

impl Client {
    fn new(now: Instant) -> Self {
        Self {
            session: None,
            requests_seen: 0,
            told: None,
            run_ended: false,
            heard_at: now,
            ends: VecDeque::new(),
        }
    }

    /// Notes that a probe sent at `sent_at` was answered.
    pub fn heard(&mut self, sent_at: Instant) {
        self.heard_at = self.heard_at.max(sent_at);
    }

    /// Returns true while the agent may act for the entry.
    #[must_use]
    pub fn has_authority(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < AUTHORITY
    }

    /// Takes over the free resources for the open session, and returns what is to be told now: all of it
    /// if `all`, else only what this entry's own runs changed.
    pub fn free_to_tell(
        &mut self,
        resources: Resources,
        all: bool,
    ) -> Option<(SessionId, FreeResources)> {
        let session = self.session?;
        let free = FreeResources {
            resources,
            requests_seen: self.requests_seen,
        };
        let told_orders = self.told.map_or(0, |told| told.requests_seen);
        let own = self.run_ended || told_orders != self.requests_seen;
        if self.told == Some(free) || !(all || own) {
            return None;
        }
        self.told = Some(free);
        self.run_ended = false;
        Some((session, free))
    }

    /// Keeps an end for a session that opens later.
    pub fn keep_end(&mut self, end: RunEnd, now: Instant) {
        self.run_ended = true;
        self.ends.push_back((now, end));
        self.drop_old_ends(now);
    }

    /// Lists the ends that the entry may not know.
    #[must_use]
    pub fn late_ends(&self) -> Vec<RunEnd> {
        self.ends.iter().map(|(_, end)| end.clone()).collect()
    }

    fn drop_old_ends(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > KEEP_ENDS;
        while self.ends.front().is_some_and(|(at, _)| is_old(*at)) {
            self.ends.pop_front();
        }
    }
}

/// All entries that an agent knows.
#[derive(Debug, Default)]
pub struct Clients {
    by_id: BTreeMap<ClientId, Client>,
    by_session: BTreeMap<SessionId, ClientId>,
    addrs: BTreeMap<Name, EntryAddr>,
}

impl Clients {
    /// Opens a session of an entry. Returns the session that it replaces.
    pub fn open(&mut self, id: &ClientId, session: SessionId, now: Instant) -> Option<SessionId> {
        let client = self.by_id.entry(id.clone());
        let client = client.or_insert_with(|| Client::new(now));
        let replaced = client.session.replace(session);
        client.requests_seen = 0;
        client.told = None;
        client.heard(now);
        if let Some(replaced) = replaced {
            self.by_session.remove(&replaced);
        }
        self.by_session.insert(session, id.clone());
        replaced
    }

    /// Closes a session, unless a newer one replaced it.
    pub fn close(&mut self, session: SessionId) {
        if let Some(id) = self.by_session.remove(&session)
            && let Some(client) = self.by_id.get_mut(&id)
        {
            client.session = None;
        }
    }

    /// Returns the entry of an open session.
    #[must_use]
    pub fn id_of(&self, session: SessionId) -> Option<ClientId> {
        self.by_session.get(&session).cloned()
    }

    /// Returns an entry.
    #[must_use]
    pub fn get(&self, id: &ClientId) -> Option<&Client> {
        self.by_id.get(id)
    }

    /// Returns an entry to be changed.
    pub fn get_mut(&mut self, id: &ClientId) -> Option<&mut Client> {
        self.by_id.get_mut(id)
    }

    /// Returns the entry of an open session, to be changed.
    pub fn of_session(&mut self, session: SessionId) -> Option<&mut Client> {
        let id = self.by_session.get(&session)?;
        self.by_id.get_mut(id)
    }

    /// Lists the open sessions.
    pub fn sessions(&self) -> impl Iterator<Item = SessionId> + '_ {
        self.by_id.values().filter_map(|client| client.session)
    }

    /// Counts the open sessions.
    #[must_use]
    pub fn open_sessions(&self) -> usize {
        self.by_session.len()
    }

    /// Returns what is to be told of the free resources now; see [`Client::free_to_tell`].
    pub fn free_to_tell(
        &mut self,
        resources: Resources,
        all: bool,
    ) -> Vec<(SessionId, FreeResources)> {
        let clients = self.by_id.values_mut();
        clients
            .filter_map(|c| c.free_to_tell(resources, all))
            .collect()
    }

    /// Forgets entries that are gone and for which nothing runs.
    pub fn forget_gone(&mut self, has_runs: impl Fn(&ClientId) -> bool, now: Instant) {
        self.by_id.retain(|id, client| {
            let silent = now.saturating_duration_since(client.heard_at);
            client.session.is_some() || silent < FORGET_AFTER || has_runs(id)
        });
    }

    /// Adds addresses of entries. Returns true if one is new.
    pub fn learn(&mut self, entries: &[EntryAddr]) -> bool {
        let mut news = false;
        for entry in entries {
            let before = self.addrs.insert(entry.name.clone(), entry.clone());
            news |= before.as_ref() != Some(entry);
        }
        news
    }

    /// Lists the addresses of all entries.
    #[must_use]
    pub fn addrs(&self) -> Vec<EntryAddr> {
        self.addrs.values().cloned().collect()
    }
}
