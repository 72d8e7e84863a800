//! Time of the last contact with each member, over inbound and outbound sessions.

use std::collections::BTreeMap;

use masticcross_basics::Name;
use masticcross_wire::Incarnation;
use parking_lot::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Last contact with one incarnation of a member.
#[derive(Debug, Clone, Copy)]
struct Contact {
    incarnation: Incarnation,
    at: Instant,
    draining: bool,
}

/// Last contact with each member.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    contacts: Mutex<BTreeMap<Name, Contact>>,
}

impl Liveness {
    /// Records a contact with an incarnation of a member. Ignores older incarnations.
    pub(super) fn record_contact(&self, name: &Name, incarnation: Incarnation) {
        let at = Instant::now();
        let mut contacts = self.contacts.lock();
        match contacts.get_mut(name) {
            Some(contact) if contact.incarnation > incarnation => {}
            Some(contact) if contact.incarnation == incarnation => contact.at = at,
            _ => {
                let contact = Contact {
                    incarnation,
                    at,
                    draining: false,
                };
                contacts.insert(name.clone(), contact);
            }
        }
    }

    /// Records that a member is shutting down.
    pub(super) fn set_draining(&self, name: &Name, incarnation: Incarnation) {
        self.record_contact(name, incarnation);
        if let Some(contact) = self.contacts.lock().get_mut(name) {
            contact.draining |= contact.incarnation == incarnation;
        }
    }

    /// Returns true if an incarnation of a member announced that it is shutting down.
    pub(super) fn is_draining(&self, name: &Name, incarnation: Incarnation) -> bool {
        let contacts = self.contacts.lock();
        let contact = contacts.get(name);
        contact.is_some_and(|c| c.incarnation == incarnation && c.draining)
    }

    /// Returns the time since the last contact with an incarnation of a member, or zero if there
    /// was none. In that case, the time is counted from this call.
    pub(super) fn time_since_contact(&self, name: &Name, incarnation: Incarnation) -> Duration {
        let last = self.contacts.lock().get(name).copied();
        match last {
            Some(contact) if contact.incarnation >= incarnation => contact.at.elapsed(),
            _ => {
                self.record_contact(name, incarnation);
                Duration::ZERO
            }
        }
    }

    /// Restarts the time since the last contact for all members, after this process was suspended
    /// and could not receive heartbeats.
    pub(super) fn reset_all(&self) {
        let now = Instant::now();
        for contact in self.contacts.lock().values_mut() {
            contact.at = now;
        }
    }

    /// Removes all members that do not match a predicate.
    pub(super) fn retain(&self, predicate: impl Fn(&Name) -> bool) {
        self.contacts.lock().retain(|name, _| predicate(name));
    }
}
