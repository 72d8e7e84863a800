//! When each member was heard last, on either session.

use std::collections::BTreeMap;

use masticcross_basics::Name;
use masticcross_wire::Incarnation;
use parking_lot::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// What was heard of one incarnation of a member.
#[derive(Debug, Clone, Copy)]
struct Sign {
    incarnation: Incarnation,
    at: Instant,
    draining: bool,
}

/// When each member was heard last.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    signs: Mutex<BTreeMap<Name, Sign>>,
}

impl Liveness {
    /// Notes a sign of life.
    pub(super) fn heard(&self, name: &Name, incarnation: Incarnation) {
        let at = Instant::now();
        let mut signs = self.signs.lock();
        match signs.get_mut(name) {
            Some(sign) if sign.incarnation > incarnation => {}
            Some(sign) if sign.incarnation == incarnation => sign.at = at,
            _ => {
                let sign = Sign {
                    incarnation,
                    at,
                    draining: false,
                };
                signs.insert(name.clone(), sign);
            }
        }
    }

    /// Notes that a member shuts down.
    pub(super) fn drains(&self, name: &Name, incarnation: Incarnation) {
        self.heard(name, incarnation);
        if let Some(sign) = self.signs.lock().get_mut(name) {
            sign.draining |= sign.incarnation == incarnation;
        }
    }

    /// Returns true if an incarnation of a member said that it shuts down.
    pub(super) fn is_draining(&self, name: &Name, incarnation: Incarnation) -> bool {
        let signs = self.signs.lock();
        let sign = signs.get(name);
        sign.is_some_and(|s| s.incarnation == incarnation && s.draining)
    }

    /// Returns how long an incarnation of a member has been silent. The time starts when it is
    /// asked for first.
    pub(super) fn silence(&self, name: &Name, incarnation: Incarnation) -> Duration {
        let known = self.signs.lock().get(name).copied();
        match known {
            Some(sign) if sign.incarnation >= incarnation => sign.at.elapsed(),
            _ => {
                self.heard(name, incarnation);
                Duration::ZERO
            }
        }
    }

    /// Counts all silences anew, after this process itself did not run for some time.
    pub(super) fn forgive_all(&self) {
        let now = Instant::now();
        for sign in self.signs.lock().values_mut() {
            sign.at = now;
        }
    }

    /// Forgets all members but those that pass a test.
    pub(super) fn retain(&self, keep: impl Fn(&Name) -> bool) {
        self.signs.lock().retain(|name, _| keep(name));
    }
}
