//! Identity of an agent process.

use masticcross_basics::Name;
use masticcross_wire::{Hello, Incarnation, PROTOCOL_VERSION, Role};

/// Identity of this agent. Name and zone come from its settings; the incarnation is new at each
/// start of the process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the worker.
    pub name: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Availability zone of the worker.
    pub zone: Name,
}

impl Identity {
    /// Creates the first frame of a session.
    #[must_use]
    pub fn hello(&self, session: u64) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            role: Role::Agent,
            name: self.name.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            session,
        }
    }
}
