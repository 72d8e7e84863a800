//! The backend servers that announced themselves to this agent.

use std::collections::BTreeMap;
use std::time::Duration;

use masticcross_basics::Name;
use masticcross_wire::BackendInfo;
use tokio::time::Instant;

use crate::Announcement;

/// First pause of a backend server that could not be connected to.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause of a backend server that could not be connected to.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Doublings of the pause at most.
const MAX_DOUBLINGS: u32 = 8;

/// A backend server as this agent knows it.
#[derive(Debug, Clone)]
pub struct Backend {
    /// What it said of itself.
    pub announcement: Announcement,
    /// When the announcement ends unless renewed.
    pub expires_at: Instant,
    /// Tasks that run there.
    pub running: u16,
    /// True once it left; it gets nothing new.
    pub left: bool,
    /// Connections that failed in a row.
    pub failures: u32,
    /// It gets nothing until then, as it could not be connected to.
    paused_until: Option<Instant>,
}

impl Backend {
    /// Returns true while it may get new tasks.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        !self.left && now < self.expires_at && self.paused_until.is_none()
    }

    /// Returns the tasks that it runs at once: a single one after a failed connection, until it
    /// proves reachable.
    #[must_use]
    pub fn places(&self) -> u16 {
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
            left: false,
            failures: 0,
            paused_until: None,
        }
    }

    fn note_contact(&mut self, reached: bool, now: Instant) {
        if reached {
            self.failures = 0;
            return;
        }
        let pause = MIN_PAUSE * 2u32.saturating_pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    fn free(&self) -> u16 {
        self.places().saturating_sub(self.running)
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
            backend.left = false;
        } else {
            let backend = Backend::new(announcement, expires_at);
            self.by_name.insert(name, backend);
        }
        before != self.infos(now)
    }

    /// Marks a backend server as left. Returns false if it is not known.
    pub fn withdraw(&mut self, name: &str) -> bool {
        let Some(backend) = self.by_name.get_mut(name) else {
            return false;
        };
        let was_there = !backend.left;
        backend.left = true;
        self.remove_if_idle(name);
        was_there
    }

    /// Marks those whose announcement ended as left. Returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        let ended = |b: &&Backend| !b.left && b.expires_at <= now;
        let names: Vec<Name> = self
            .by_name
            .values()
            .filter(ended)
            .map(|b| b.announcement.name.clone())
            .collect();
        for name in &names {
            self.withdraw(name);
        }
        names
    }

    /// Takes a place at the backend server of a service that has most places free.
    pub fn take_place(&mut self, service: &Name, now: Instant) -> Option<Announcement> {
        let fits =
            |b: &&mut Backend| b.is_live(now) && b.announcement.service == *service && b.free() > 0;
        let free = |b: &&mut Backend| std::cmp::Reverse(b.free());
        let backend = self.by_name.values_mut().filter(fits).min_by_key(free)?;
        backend.running += 1;
        Some(backend.announcement.clone())
    }

    /// Notes whether a backend server could be connected to. Returns true if the list for the
    /// entries changes.
    pub fn note_contact(&mut self, name: &str, reached: bool, now: Instant) -> bool {
        let before = self.infos(now);
        if let Some(backend) = self.by_name.get_mut(name) {
            backend.note_contact(reached, now);
        }
        before != self.infos(now)
    }

    /// Ends the pauses that are over. Returns true if the list for the entries changes.
    pub fn end_pauses(&mut self, now: Instant) -> bool {
        let before = self.infos(now);
        for backend in self.by_name.values_mut() {
            backend.paused_until = backend.paused_until.filter(|until| *until > now);
        }
        before != self.infos(now)
    }

    /// Gives a place back.
    pub fn free_place(&mut self, name: &str) {
        if let Some(backend) = self.by_name.get_mut(name) {
            backend.running = backend.running.saturating_sub(1);
        }
        self.remove_if_idle(name);
    }

    /// Returns the places of the live backend servers of a service.
    #[must_use]
    pub fn places(&self, service: &Name, now: Instant) -> u64 {
        let live = self.by_name.values().filter(|b| b.is_live(now));
        live.filter(|b| b.announcement.service == *service)
            .map(|b| u64::from(b.places()))
            .sum()
    }

    /// Lists the live backend servers for the entries.
    #[must_use]
    pub fn infos(&self, now: Instant) -> Vec<BackendInfo> {
        let live = self.by_name.values().filter(|b| b.is_live(now));
        live.map(|b| BackendInfo {
            name: b.announcement.name.clone(),
            service: b.announcement.service.clone(),
            slots: b.places(),
        })
        .collect()
    }

    /// Lists all backend servers, also those that left and still run tasks.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.by_name.values()
    }

    fn remove_if_idle(&mut self, name: &str) {
        let idle = |b: &Backend| b.left && b.running == 0;
        if self.by_name.get(name).is_some_and(idle) {
            self.by_name.remove(name);
        }
    }
}
