//! Brings a request to the owner of its job, here or at another entry, and again if the owner
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

/// Time after the deadline for which the owner's answer is still waited for.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Time that an owner has to give a request up after another one took its place.
const OLD_OWNER_GRACE: Duration = Duration::from_millis(250);

/// First pause before a request is sent again. It doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause before a request is sent again.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// Routes requests of the callers connected to this entry.
pub struct Router {
    ledger: Arc<Ledger>,
    owner: Arc<Owner>,
    peers: Arc<Peers>,
}

/// Who decides about a partition, as far as this entry knows.
#[derive(Debug, Clone)]
enum Target {
    /// This entry.
    Here(Epoch),
    /// Another entry.
    Peer(Member, Epoch),
}

impl Target {
    fn epoch(&self) -> Epoch {
        match self {
            Self::Here(epoch) | Self::Peer(_, epoch) => *epoch,
        }
    }
}

/// What became of one sending of a request.
enum Sending {
    /// The owner answered.
    Answered(JobAnswer),
    /// The request did not arrive, or the owner has changed. It may be sent again.
    Again {
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

    /// Submits a job and returns its answer when it has ended. A refusal that says "not run" comes
    /// from the owner alone.
    pub async fn submit(&self, request: JobRequest) -> JobAnswer {
        let allowed = Duration::from_millis(request.deadline_ms.into());
        let deadline = Instant::now() + allowed;
        let partition = request.partition();
        let send = |target| self.send_job(target, &request, deadline);
        self.route(partition, deadline, send).await
    }

    /// Asks for a job's state or answer, after cancelling it if asked to.
    pub async fn query(&self, key: JobKey, cancel: bool) -> JobAnswer {
        let deadline = Instant::now() + QUERY_TIMEOUT;
        let partition = key.partition();
        let send = |target| self.send_question(target, &key, cancel);
        self.route(partition, deadline, send).await
    }

    /// Sends a request until its owner answers or the deadline passes. It is sent again only after
    /// the owner said that it is none, under a newer epoch, or on a newer session.
    async fn route<F: Future<Output = Sending>>(
        &self,
        partition: Partition,
        deadline: Instant,
        send: impl Fn(Target) -> F,
    ) -> JobAnswer {
        let mut states = self.ledger.watch();
        let mut sessions = self.peers.watch_sessions();
        let mut pause = FIRST_PAUSE;
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
                    () = self.replaced(partition, epoch) => Ok(Sending::Again { sent: true }),
                };
                match outcome {
                    Ok(Sending::Answered(answer)) => return answer,
                    Ok(Sending::Again { sent }) => ever_sent |= sent,
                    Err(_) => return unknown(),
                }
            }
            let wait = wait_for_change(&mut states, &mut sessions, pause);
            let _ = timeout_at(deadline, wait).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        if ever_sent { unknown() } else { no_owner() }
    }

    fn target(&self, partition: Partition) -> Option<Target> {
        if let Some(epoch) = self.ledger.owned_epoch(partition) {
            return Some(Target::Here(epoch));
        }
        let state = self.ledger.state();
        let owner = state.owner(partition)?.clone();
        Some(Target::Peer(owner, state.ownership(partition).epoch))
    }

    /// Ends some time after the epoch of a partition has become newer.
    async fn replaced(&self, partition: Partition, epoch: Epoch) {
        let mut states = self.ledger.watch();
        let newer = states.wait_for(|state| state.ownership(partition).epoch > epoch);
        if newer.await.is_err() {
            std::future::pending::<()>().await;
        }
        sleep(OLD_OWNER_GRACE).await;
    }

    async fn send_job(&self, target: Target, request: &JobRequest, deadline: Instant) -> Sending {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut request = request.clone();
        let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        request.deadline_ms = left_ms.max(1);
        match target {
            Target::Here(epoch) => settled(self.owner.submit(epoch, request).await),
            Target::Peer(member, epoch) => {
                let submit = Submit {
                    id: 0,
                    epoch,
                    request,
                    after: SentAfter::default(),
                    timestamp: Timestamp::default(),
                };
                outcome(self.peers.submit(&member, submit).await)
            }
        }
    }

    async fn send_question(&self, target: Target, key: &JobKey, cancel: bool) -> Sending {
        match target {
            Target::Here(epoch) => settled(self.owner.query(epoch, key.clone(), cancel).await),
            Target::Peer(member, epoch) => {
                let query = Query {
                    id: 0,
                    epoch,
                    key: key.clone(),
                    cancel,
                    after: SentAfter::default(),
                };
                outcome(self.peers.query(&member, query).await)
            }
        }
    }
}

fn settled(answer: JobAnswer) -> Sending {
    match answer {
        JobAnswer::NotOwner => Sending::Again { sent: true },
        answer => Sending::Answered(answer),
    }
}

fn outcome(result: Result<JobAnswer, PeerError>) -> Sending {
    match result {
        Ok(answer) => settled(answer),
        Err(PeerError::NotSent) => Sending::Again { sent: false },
        Err(PeerError::Lost) => Sending::Again { sent: true },
    }
}

async fn wait_for_change(
    states: &mut watch::Receiver<Arc<masticcross_ledger::AgreedState>>,
    sessions: &mut watch::Receiver<u64>,
    pause: Duration,
) {
    tokio::select! {
        biased;
        _ = states.changed() => {}
        _ = sessions.changed() => {}
        () = sleep(pause) => {}
    }
}

fn unknown() -> JobAnswer {
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
