//! The entries that an agent works for: how long it may act for them, and what it has announced to
//! them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::Incarnation;
use masticcross_wire::pool::{EntryAddr, FreeResources, Resources, RunEnd};
use tokio::time::Instant;

use super::SessionId;
use crate::run_lifetime::AUTHORITY_TIMEOUT;

/// How long ends of runs are stored for an entry that opens a new session.
const END_RETENTION: Duration = Duration::from_secs(3);

/// How long an entry without a session and runs is stored.
const CLIENT_RETENTION: Duration = Duration::from_secs(10);

/// Identity of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId {
    /// Name of the entry.
    pub name: Name,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
}

/// State of an entry.
#[derive(Debug)]
pub struct Client {
    /// Open session, if any.
    pub session: Option<SessionId>,
    /// Number of run requests received on the open session.
    pub requests_seen: u64,
    /// Free resources last announced on the open session.
    announced: Option<FreeResources>,
    /// True if a run of this entry has ended, or its offers have changed, since the last announcement.
    is_due: bool,
    /// The latest time at which the agent sent something that the entry has answered.
    last_contact: Instant,
    /// When the open session was opened, until the entry has answered on it.
    opened_at: Option<Instant>,
    /// Since when the open session is being replaced by one with another entry, if it is.
    retiring_since: Option<Instant>,
    /// Recent ends of runs, and when they were stored.
    ends: VecDeque<(Instant, RunEnd)>,
}

impl Client {
    fn new(now: Instant) -> Self {
        Self {
            session: None,
            requests_seen: 0,
            announced: None,
            is_due: false,
            last_contact: now,
            opened_at: None,
            retiring_since: None,
            ends: VecDeque::new(),
        }
    }

    /// Records that a probe sent at `sent_at` was answered.
    pub fn record_contact(&mut self, sent_at: Instant) {
        self.last_contact = self.last_contact.max(sent_at);
        self.opened_at = None;
    }

    /// Records a request of the entry. It has received what was sent when the session was opened, as
    /// it sends requests only after that.
    pub fn record_request(&mut self) {
        self.requests_seen += 1;
        if let Some(opened_at) = self.opened_at {
            self.record_contact(opened_at);
        }
    }

    /// Returns the latest time at which the agent sent something that the entry has answered.
    #[must_use]
    pub fn last_contact(&self) -> Instant {
        self.last_contact
    }

    /// Returns true if the open session is being replaced by one with another entry.
    #[must_use]
    pub fn is_retiring(&self) -> bool {
        self.retiring_since.is_some()
    }

    /// Returns true while the agent may act for the entry.
    #[must_use]
    pub fn has_authority(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_contact) < AUTHORITY_TIMEOUT
    }

    /// Returns true if free resources may be offered to the entry.
    #[must_use]
    pub fn may_get_offers(&self, now: Instant) -> bool {
        self.session.is_some() && !self.is_retiring() && self.has_authority(now)
    }

    /// Announces the free resources at the next opportunity, because offers to the entry changed.
    pub fn announce_soon(&mut self) {
        self.is_due = true;
    }

    /// Returns the free resources if they must be announced on the open session now, and records them
    /// as announced. Without `all`, they are announced only if runs of this entry changed them.
    pub fn free_to_announce(
        &mut self,
        resources: Resources,
        all: bool,
    ) -> Option<(SessionId, FreeResources)> {
        let session = self.session?;
        if self.is_retiring() {
            return None;
        }
        let free = FreeResources {
            resources,
            requests_seen: self.requests_seen,
        };
        let announced_requests = self
            .announced
            .map_or(0, |announced| announced.requests_seen);
        let changed_by_own_runs = self.is_due || announced_requests != self.requests_seen;
        if self.announced == Some(free) || !(all || changed_by_own_runs) {
            return None;
        }
        self.announced = Some(free);
        self.is_due = false;
        Some((session, free))
    }

    /// Stores the end of a run for a session that opens later.
    pub fn store_end(&mut self, end: RunEnd, now: Instant) {
        self.is_due = true;
        self.ends.push_back((now, end));
        self.drop_old_ends(now);
    }

    /// Returns the ends of runs that the entry may not have received.
    #[must_use]
    pub fn recent_ends(&self) -> Vec<RunEnd> {
        self.ends.iter().map(|(_, end)| end.clone()).collect()
    }

    fn drop_old_ends(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > END_RETENTION;
        while self.ends.front().is_some_and(|(at, _)| is_old(*at)) {
            self.ends.pop_front();
        }
    }
}

/// Adds or updates addresses of entries. Returns those that changed.
pub(crate) fn update_addrs(
    addrs: &mut BTreeMap<Name, EntryAddr>,
    entries: &[EntryAddr],
) -> Vec<EntryAddr> {
    let mut changed = Vec::new();
    for entry in entries {
        if let Some(known) = addrs.get_mut(&entry.name) {
            if known.update(entry) {
                changed.push(known.clone());
            }
        } else {
            addrs.insert(entry.name.clone(), entry.clone());
            changed.push(entry.clone());
        }
    }
    changed
}

/// All entries known to an agent.
#[derive(Debug, Default)]
pub struct Clients {
    by_id: BTreeMap<ClientId, Client>,
    by_session: BTreeMap<SessionId, ClientId>,
    addrs: BTreeMap<Name, EntryAddr>,
}

impl Clients {
    /// Opens a session of an entry. Returns the session that it replaces. Unless the entry has runs, it
    /// counts as contact; otherwise the entry must answer first, as it may never learn of these runs.
    pub fn open(
        &mut self,
        id: &ClientId,
        session: SessionId,
        has_runs: bool,
        now: Instant,
    ) -> Option<SessionId> {
        let client = self.by_id.entry(id.clone());
        let client = client.or_insert_with(|| Client::new(now));
        let replaced = client.session.replace(session);
        client.requests_seen = 0;
        client.announced = None;
        client.retiring_since = None;
        if has_runs {
            client.opened_at = Some(now);
        } else {
            client.record_contact(now);
        }
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

    /// Returns a reference to an entry.
    #[must_use]
    pub fn get(&self, id: &ClientId) -> Option<&Client> {
        self.by_id.get(id)
    }

    /// Returns a mutable reference to an entry.
    pub fn get_mut(&mut self, id: &ClientId) -> Option<&mut Client> {
        self.by_id.get_mut(id)
    }

    /// Returns a mutable reference to the entry of an open session.
    pub fn of_session(&mut self, session: SessionId) -> Option<&mut Client> {
        let id = self.by_session.get(&session)?;
        self.by_id.get_mut(id)
    }

    /// Returns the open sessions, without those that are being replaced.
    pub fn sessions(&self) -> impl Iterator<Item = SessionId> + '_ {
        let clients = self.by_id.values().filter(|client| !client.is_retiring());
        clients.filter_map(|client| client.session)
    }

    /// Marks a session as being replaced. Returns false if it is not open.
    pub fn retire(&mut self, session: SessionId, now: Instant) -> bool {
        let client = self.of_session(session);
        client.is_some_and(|client| client.retiring_since.replace(now).is_none())
    }

    /// Returns the entries whose session has been marked as being replaced before the given time.
    pub fn retired_before(
        &self,
        before: Instant,
    ) -> impl Iterator<Item = (&ClientId, SessionId)> + '_ {
        self.by_id.iter().filter_map(move |(id, client)| {
            let is_due = client.retiring_since.is_some_and(|since| since < before);
            client
                .session
                .filter(|_| is_due)
                .map(|session| (id, session))
        })
    }

    /// Returns the number of open sessions.
    #[must_use]
    pub fn open_sessions(&self) -> usize {
        self.by_session.len()
    }

    /// Returns the free resources to announce now, by session; see [`Client::free_to_announce`].
    pub fn free_to_announce(
        &mut self,
        resources: impl Fn(&ClientId) -> Resources,
        all: bool,
    ) -> Vec<(SessionId, FreeResources)> {
        let clients = self.by_id.iter_mut();
        clients
            .filter_map(|(id, client)| client.free_to_announce(resources(id), all))
            .collect()
    }

    /// Makes the last contact with each entry older by the given time.
    pub fn age_contacts(&mut self, time: Duration) {
        for client in self.by_id.values_mut() {
            let aged = client.last_contact.checked_sub(time);
            client.last_contact = aged.unwrap_or(client.last_contact);
        }
    }

    /// Removes entries without a session, recent contact and runs.
    pub fn remove_inactive(&mut self, has_runs: impl Fn(&ClientId) -> bool, now: Instant) {
        self.by_id.retain(|id, client| {
            let idle = now.saturating_duration_since(client.last_contact);
            client.session.is_some() || idle < CLIENT_RETENTION || has_runs(id)
        });
    }

    /// Adds or updates addresses of entries. Returns those that changed.
    pub fn add_addrs(&mut self, entries: &[EntryAddr]) -> Vec<EntryAddr> {
        update_addrs(&mut self.addrs, entries)
    }

    /// Returns the addresses of all entries.
    #[must_use]
    pub fn addrs(&self) -> Vec<EntryAddr> {
        self.addrs.values().cloned().collect()
    }
}
