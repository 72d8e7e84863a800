//! Labels of frame kinds and of [`NotStartedReason`], for logs and metrics.

use crate::frame::{Frame, NotStartedReason};

impl Frame {
    /// Returns the label of the kind for logs and metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Goodbye(_) => "goodbye",
            Self::Ping(_) => "ping",
            Self::Pong(_) => "pong",
            Self::Backends(_) => "backends",
            Self::Credit(_) => "credit",
            Self::Demand(_) => "demand",
            Self::Start(_) => "start",
            Self::Stop(_) => "stop",
            Self::Ended(_) => "ended",
            Self::Release(_) => "release",
            Self::Gather(_) => "gather",
            Self::Gathered(_) => "gathered",
            Self::Submit(_) => "submit",
            Self::Query(_) => "query",
            Self::Reply(_) => "reply",
            Self::Handover(_) => "handover",
            Self::HandoverReceived(_) => "handover_taken",
            Self::Drain => "drain",
            Self::AgentContactQuery(_) => "who_hears",
            Self::AgentContactReply { .. } => "heard",
            Self::Pool(frame) => frame.kind(),
            Self::Peer(frame) => frame.kind(),
        }
    }
}

impl NotStartedReason {
    /// Returns the label of the reason for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::ViewStale => "view_stale",
            Self::OldEpoch => "old_epoch",
            Self::ZoneOut => "zone_out",
            Self::NoBackend => "no_backend",
            Self::NoRoom => "no_room",
            Self::ShuttingDown => "shutting_down",
            Self::Stopped => "stopped",
            Self::DeadlinePassed => "deadline_passed",
            Self::ConnectFailed => "connect_failed",
            Self::AlreadyKnown => "already_known",
            Self::Isolated => "isolated",
        }
    }
}
