//! The backend servers that announced themselves to this agent.

use std::collections::BTreeMap;

use masticcross_basics::Name;
use masticcross_wire::BackendInfo;
use tokio::time::Instant;

use crate::Announcement;

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
}

impl Backend {
    /// Returns true while it may get new tasks.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        !self.left && now < self.expires_at
    }

    /// Returns the tasks that it runs at once.
    #[must_use]
    pub fn places(&self) -> u16 {
        self.announcement.slots.min(self.announcement.connections)
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
        let running = self.by_name.get(&name).map_or(0, |b| b.running);
        let backend = Backend {
            announcement,
            expires_at,
            running,
            left: false,
        };
        self.by_name.insert(name, backend);
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
