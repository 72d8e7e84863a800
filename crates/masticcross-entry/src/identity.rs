//! Identity of an entry process.

use std::net::SocketAddr;

use masticcross_basics::Name;
use masticcross_wire::{Hello, Incarnation, Member, PROTOCOL_VERSION, Role};

/// Identity of an entry. The names come from its settings; the incarnation is new at each start.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Stable name.
    pub name: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Region of the entry.
    pub region: Name,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Address at which other processes open sessions.
    pub peer_addr: SocketAddr,
}

impl Identity {
    /// Returns the entry as a member.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            incarnation: self.incarnation,
            addr: self.peer_addr,
            zone: self.zone.clone(),
        }
    }

    /// Returns the first frame of a session.
    #[must_use]
    pub fn hello(&self, session: u64) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            role: Role::Entry,
            name: self.name.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            session,
        }
    }
}
