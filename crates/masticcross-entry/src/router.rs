//! Routes a request to the owner of its job, at this or another entry, and retries if the owner
//! changes.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::timeline::Timestamp;
use masticcross_basics::{Code, Epoch, JobKey, Partition};
use masticcross_ledger::Ledger;
use masticcross_wire::{JobAnswer, JobRequest, Member, Query, Refusal, SentAfter, Submit};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::owner::Owner;
use crate::peers::{PeerError, Peers, QUERY_TIMEOUT};

/// How long after the deadline the router still waits for the owner's answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How long the router still waits for the previous owner's answer after another owner replaced it.
const PREVIOUS_OWNER_GRACE: Duration = Duration::from_millis(250);

/// Initial backoff before a request is sent again. It doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Maximum backoff before a request is sent again.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Routes requests of the callers that are connected to this entry.
pub struct Router {
    ledger: Arc<Ledger>,
    owner: Arc<Owner>,
    peers: Arc<Peers>,
}

/// Owner of a partition, as far as this entry knows.
#[derive(Debug, Clone)]
enum Target {
    /// This entry.
    Local(Epoch),
    /// Another entry.
    Peer(Member, Epoch),
}

impl Target {
    fn epoch(&self) -> Epoch {
        match self {
            Self::Local(epoch) | Self::Peer(_, epoch) => *epoch,
        }
    }
}

/// Outcome of one attempt to send a request.
enum SendOutcome {
    /// The owner answered.
    Answered(JobAnswer),
    /// The request did not arrive, or the owner has changed. The request may be sent again.
    Retry {
        /// True if the request may have arrived somewhere.
        sent: bool,
    },
}

impl Router {
    /// Creates the router.
    #[must_use]
    pub fn new(ledger: Arc<Ledger>, owner: Arc<Owner>, peers: Arc<Peers>) -> Arc<Self> {
        Arc::new(Self {
            ledger,
            owner,
            peers,
        })
    }

    /// Submits a job and returns its answer once it has ended. Only the owner's refusal can
    /// guarantee that the job has not run.
    pub async fn submit(&self, request: JobRequest) -> JobAnswer {
        let allowed = Duration::from_millis(request.deadline_ms.into());
        let deadline = Instant::now() + allowed;
        let partition = request.partition();
        let send = |target| self.send_job(target, &request, deadline);
        self.route(partition, deadline, send).await
    }

    /// Returns the state or the answer of a job, after canceling it if requested.
    pub async fn query(&self, key: JobKey, cancel: bool) -> JobAnswer {
        let deadline = Instant::now() + QUERY_TIMEOUT;
        let partition = key.partition();
        let send = |target| self.send_query(target, &key, cancel);
        self.route(partition, deadline, send).await
    }

    /// Sends a request until its owner answers or the deadline passes. It is sent again only after
    /// the receiver answered that it is not the owner, under a newer epoch, or on a newer session.
    async fn route<F: Future<Output = SendOutcome>>(
        &self,
        partition: Partition,
        deadline: Instant,
        send: impl Fn(Target) -> F,
    ) -> JobAnswer {
        let mut states = self.ledger.watch();
        let mut sessions = self.peers.watch_sessions();
        let mut backoff = INITIAL_BACKOFF;
        let mut ever_sent = false;
        while Instant::now() < deadline {
            states.mark_unchanged();
            sessions.mark_unchanged();
            if let Some(target) = self.target(partition) {
                let epoch = target.epoch();
                let limit = deadline + ANSWER_GRACE;
                let outcome = tokio::select! {
                    biased;
                    outcome = timeout_at(limit, send(target)) => outcome,
                    () = self.owner_replaced(partition, epoch) => {
                        Ok(SendOutcome::Retry { sent: true })
                    }
                };
                match outcome {
                    Ok(SendOutcome::Answered(answer)) => return answer,
                    Ok(SendOutcome::Retry { sent }) => ever_sent |= sent,
                    Err(_) => return outcome_unknown(),
                }
            }
            let wait = wait_for_change(&mut states, &mut sessions, backoff);
            let _ = timeout_at(deadline, wait).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        if ever_sent {
            outcome_unknown()
        } else {
            no_owner()
        }
    }

    fn target(&self, partition: Partition) -> Option<Target> {
        if let Some(epoch) = self.ledger.owned_epoch(partition) {
            return Some(Target::Local(epoch));
        }
        let state = self.ledger.state();
        let owner = state.owner(partition)?.clone();
        Some(Target::Peer(owner, state.ownership(partition).epoch))
    }

    /// Completes [`PREVIOUS_OWNER_GRACE`] after the epoch of a partition has become newer.
    async fn owner_replaced(&self, partition: Partition, epoch: Epoch) {
        let mut states = self.ledger.watch();
        let newer = states.wait_for(|state| state.ownership(partition).epoch > epoch);
        if newer.await.is_err() {
            std::future::pending::<()>().await;
        }
        sleep(PREVIOUS_OWNER_GRACE).await;
    }

    async fn send_job(
        &self,
        target: Target,
        request: &JobRequest,
        deadline: Instant,
    ) -> SendOutcome {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let mut request = request.clone();
        let remaining_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
        request.deadline_ms = remaining_ms.max(1);
        match target {
            Target::Local(epoch) => from_owner_answer(self.owner.submit(epoch, request).await),
            Target::Peer(member, epoch) => {
                let submit = Submit {
                    id: 0,
                    epoch,
                    request,
                    after: SentAfter::default(),
                    timestamp: Timestamp::default(),
                };
                from_peer_result(self.peers.submit(&member, submit).await)
            }
        }
    }

    async fn send_query(&self, target: Target, key: &JobKey, cancel: bool) -> SendOutcome {
        match target {
            Target::Local(epoch) => {
                from_owner_answer(self.owner.query(epoch, key.clone(), cancel).await)
            }
            Target::Peer(member, epoch) => {
                let query = Query {
                    id: 0,
                    epoch,
                    key: key.clone(),
                    cancel,
                    after: SentAfter::default(),
                };
                from_peer_result(self.peers.query(&member, query).await)
            }
        }
    }
}

fn from_owner_answer(answer: JobAnswer) -> SendOutcome {
    match answer {
        JobAnswer::NotOwner => SendOutcome::Retry { sent: true },
        answer => SendOutcome::Answered(answer),
    }
}

fn from_peer_result(result: Result<JobAnswer, PeerError>) -> SendOutcome {
    match result {
        Ok(answer) => from_owner_answer(answer),
        Err(PeerError::NotSent) => SendOutcome::Retry { sent: false },
        Err(PeerError::SessionLost) => SendOutcome::Retry { sent: true },
    }
}

async fn wait_for_change(
    states: &mut watch::Receiver<Arc<masticcross_ledger::ReplicatedState>>,
    sessions: &mut watch::Receiver<u64>,
    backoff: Duration,
) {
    tokio::select! {
        biased;
        _ = states.changed() => {}
        _ = sessions.changed() => {}
        () = sleep(backoff) => {}
    }
}

fn outcome_unknown() -> JobAnswer {
    JobAnswer::Refused(Refusal::failed(
        Code::OutcomeUnknown,
        "the job's owner gave no answer in time; the job may have run",
    ))
}

fn no_owner() -> JobAnswer {
    JobAnswer::Refused(Refusal::failed(
        Code::NoOwner,
        "no entry decided about this job in time",
    ))
}
