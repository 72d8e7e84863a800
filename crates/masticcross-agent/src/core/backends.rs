//! The backend servers that announced themselves to this agent.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::BackendInfo;
use tokio::time::Instant;

use crate::Announcement;

/// First backoff after a failed connection to a backend server.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff after failed connections to a backend server.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Largest number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// State of an announced backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// When the announcement expires unless renewed.
    pub expires_at: Instant,
    /// Number of tasks that occupy its slots.
    pub running: u16,
    /// True once it was withdrawn or its announcement expired; it gets no new tasks.
    pub withdrawn: bool,
    /// Consecutive failed connections.
    pub failures: u32,
    /// End of the backoff after a failed connection; it gets no new tasks before.
    backoff_until: Option<Instant>,
}

impl Backend {
    /// Returns true while it may get new tasks.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        !self.withdrawn && now < self.expires_at && self.backoff_until.is_none()
    }

    /// Returns the number of tasks that it may run at once: a single one after a failed connection,
    /// until a connection succeeds.
    #[must_use]
    pub fn usable_slots(&self) -> u16 {
        if self.failures > 0 {
            return 1;
        }
        self.announcement.slots.min(self.announcement.connections)
    }

    fn new(announcement: Announcement, expires_at: Instant) -> Self {
        Self {
            announcement,
            expires_at,
            running: 0,
            withdrawn: false,
            failures: 0,
            backoff_until: None,
        }
    }

    fn record_contact(&mut self, reached: bool, now: Instant) {
        if reached {
            self.failures = 0;
            return;
        }
        let backoff = MIN_BACKOFF * 2u32.saturating_pow(self.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.failures += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    fn free_slots(&self) -> u16 {
        self.usable_slots().saturating_sub(self.running)
    }
}

/// The backend servers, by name.
#[derive(Debug, Default)]
pub struct Backends {
    by_name: BTreeMap<Name, Backend>,
}

impl Backends {
    /// Adds or renews a backend server. Returns true if the list for the entries changes.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> bool {
        let before = self.infos(now);
        let expires_at = now + announcement.ttl;
        let name = announcement.name.clone();
        if let Some(backend) = self.by_name.get_mut(&name) {
            backend.announcement = announcement;
            backend.expires_at = expires_at;
            backend.withdrawn = false;
        } else {
            let backend = Backend::new(announcement, expires_at);
            self.by_name.insert(name, backend);
        }
        before != self.infos(now)
    }

    /// Marks a backend server as withdrawn. Returns false if it is unknown or already withdrawn.
    pub fn withdraw(&mut self, name: &str) -> bool {
        let Some(backend) = self.by_name.get_mut(name) else {
            return false;
        };
        let was_present = !backend.withdrawn;
        backend.withdrawn = true;
        self.remove_if_idle(name);
        was_present
    }

    /// Withdraws the backend servers whose announcement has expired. Returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        let expired = |b: &&Backend| !b.withdrawn && b.expires_at <= now;
        let names: Vec<Name> = self
            .by_name
            .values()
            .filter(expired)
            .map(|b| b.announcement.name.clone())
            .collect();
        for name in &names {
            self.withdraw(name);
        }
        names
    }

    /// Takes a slot at the backend server of a service that has the most free slots.
    pub fn take_slot(&mut self, service: &Name, now: Instant) -> Option<Announcement> {
        let fits = |b: &&mut Backend| {
            b.is_live(now) && b.announcement.service == *service && b.free_slots() > 0
        };
        let free = |b: &&mut Backend| std::cmp::Reverse(b.free_slots());
        let backend = self.by_name.values_mut().filter(fits).min_by_key(free)?;
        backend.running += 1;
        Some(backend.announcement.clone())
    }

    /// Records whether a connection to a backend server succeeded. Returns true if the list for the
    /// entries changes.
    pub fn record_contact(&mut self, name: &str, reached: bool, now: Instant) -> bool {
        let before = self.infos(now);
        if let Some(backend) = self.by_name.get_mut(name) {
            backend.record_contact(reached, now);
        }
        before != self.infos(now)
    }

    /// Ends the backoffs whose time has passed. Returns true if the list for the entries changes.
    pub fn end_backoffs(&mut self, now: Instant) -> bool {
        let before = self.infos(now);
        for backend in self.by_name.values_mut() {
            backend.backoff_until = backend.backoff_until.filter(|until| *until > now);
        }
        before != self.infos(now)
    }

    /// Frees a slot.
    pub fn free_slot(&mut self, name: &str) {
        if let Some(backend) = self.by_name.get_mut(name) {
            backend.running = backend.running.saturating_sub(1);
        }
        self.remove_if_idle(name);
    }

    /// Returns the usable slots of all live backend servers of a service.
    #[must_use]
    pub fn usable_slots(&self, service: &Name, now: Instant) -> u64 {
        let live = self.by_name.values().filter(|b| b.is_live(now));
        live.filter(|b| b.announcement.service == *service)
            .map(|b| u64::from(b.usable_slots()))
            .sum()
    }

    /// Lists the live backend servers for the entries.
    #[must_use]
    pub fn infos(&self, now: Instant) -> Vec<BackendInfo> {
        let live = self.by_name.values().filter(|b| b.is_live(now));
        live.map(|b| BackendInfo {
            name: b.announcement.name.clone(),
            service: b.announcement.service.clone(),
            slots: b.usable_slots(),
        })
        .collect()
    }

    /// Lists all backend servers, including withdrawn ones that still run tasks.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.by_name.values()
    }

    fn remove_if_idle(&mut self, name: &str) {
        let idle = |b: &Backend| b.withdrawn && b.running == 0;
        if self.by_name.get(name).is_some_and(idle) {
            self.by_name.remove(name);
        }
    }
}
