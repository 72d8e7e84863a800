//! Brings a request to the owner of its job, here or at another entry, and again if the owner
//! changes.

use std::sync::Arc;

use masticcross_basics::{Code, JobKey};
use masticcross_ledger::Agreement;
use masticcross_wire::{JobAnswer, JobRequest, Refusal};

use crate::owner::Owner;
use crate::peers::Peers;

/// Routes requests of the callers connected to this entry.
pub struct Router {
    agreement: Arc<Agreement>,
    owner: Arc<Owner>,
    peers: Arc<Peers>,
}

impl Router {
    /// Creates the router.
    #[must_use]
    pub fn new(agreement: Arc<Agreement>, owner: Arc<Owner>, peers: Arc<Peers>) -> Arc<Self> {
        Arc::new(Self {
            agreement,
            owner,
            peers,
        })
    }

    /// Submits a job and returns its answer when it has ended. A refusal that says "not run" comes
    /// from the owner alone.
    pub async fn submit(&self, request: JobRequest) -> JobAnswer {
        let _ = (&self.agreement, &self.owner, &self.peers, request);
        JobAnswer::Refused(Refusal::failed(
            Code::NoOwner,
            "no entry decides about this job",
        ))
    }

    /// Asks for a job's state or answer, after cancelling it if asked to.
    pub async fn query(&self, key: JobKey, cancel: bool) -> JobAnswer {
        let _ = (key, cancel);
        JobAnswer::Refused(Refusal::failed(
            Code::NoOwner,
            "no entry decides about this job",
        ))
    }
}
