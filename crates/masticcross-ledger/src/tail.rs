//! Reads a stream continuously as it grows.

use std::sync::Arc;
use std::time::Duration;

use masticcross_log::{Batch, LogError, Offset};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::fold::StreamKind;
use crate::ledger::Ledger;

/// Time for which a read waits for the first record.
const READ_WAIT: Duration = Duration::from_millis(200);

/// Time limit for the reply to a read, in addition to the wait.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which the next read starts even if the previous one has no reply yet. This way a slow
/// log makes the view older by one reply time instead of two.
const NEXT_READ_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of concurrent reads.
const MAX_CONCURRENT_READS: usize = 8;

/// Maximum number of records in one read. It is halved after a read that took too long, and doubled
/// after each other one.
const READ_LIMIT: usize = 1024;

/// Backoff after the first failed read. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff after a failed read.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Result of a read.
struct ReadReply {
    sent: Instant,
    /// `None` if the read took too long.
    result: Option<Result<Batch, LogError>>,
}

/// Reads a stream until the process ends.
pub(crate) async fn follow(ledger: &Arc<Ledger>, kind: StreamKind) {
    let mut tail = Tail::new(ledger, kind);
    loop {
        if tail.reads.len() < MAX_CONCURRENT_READS && Instant::now() >= tail.next_at {
            tail.start_read();
        }
        tokio::select! {
            biased;
            Some(Ok(reply)) = tail.reads.join_next() => tail.handle_reply(reply),
            () = sleep_until(tail.next_at), if tail.reads.len() < MAX_CONCURRENT_READS => {}
        }
        ledger.record_freshness_change();
    }
}

/// The reads of a stream.
struct Tail<'a> {
    ledger: &'a Arc<Ledger>,
    kind: StreamKind,
    reads: JoinSet<ReadReply>,
    next_at: Instant,
    backoff: Duration,
    read_limit: usize,
    rng: SmallRng,
}

impl<'a> Tail<'a> {
    fn new(ledger: &'a Arc<Ledger>, kind: StreamKind) -> Self {
        let seed = ledger.settings().seed ^ kind as u64;
        Self {
            ledger,
            kind,
            reads: JoinSet::new(),
            next_at: Instant::now(),
            backoff: INITIAL_BACKOFF,
            read_limit: READ_LIMIT,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn start_read(&mut self) {
        let from = self.ledger.next(self.kind);
        let sent = Instant::now();
        self.next_at = sent + NEXT_READ_AFTER;
        let ledger = self.ledger.clone();
        let (kind, limit) = (self.kind, self.read_limit);
        self.reads.spawn(async move {
            let result = read(&ledger, kind, from, limit).await;
            ReadReply { sent, result }
        });
    }

    fn handle_reply(&mut self, reply: ReadReply) {
        let now = Instant::now();
        if reply.result.is_none() {
            self.read_limit = (self.read_limit / 2).max(1);
        }
        let timed_out = || Err(LogError::Unavailable("read timed out".to_owned()));
        match reply.result.unwrap_or_else(timed_out) {
            Ok(batch) => {
                self.backoff = INITIAL_BACKOFF;
                self.read_limit = (self.read_limit * 2).min(READ_LIMIT);
                let progressed = self.ledger.apply_batch(self.kind, reply.sent, &batch);
                if !progressed {
                    // The log replies immediately, but none of its records could be used.
                    self.next_at = now + INITIAL_BACKOFF;
                } else if self.reads.is_empty() {
                    self.next_at = now;
                }
            }
            Err(LogError::Truncated { first }) => {
                self.ledger.handle_truncation(self.kind, first);
                self.next_at = now;
            }
            Err(error) => {
                let stream = self.ledger.stream_name(self.kind);
                log::debug!(stream, error:%; "cannot read the stream");
                self.next_at = now + self.backoff.mul_f64(self.rng.random_range(0.5..1.0));
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns `None` if the read takes too long.
async fn read(
    ledger: &Ledger,
    kind: StreamKind,
    from: Offset,
    limit: usize,
) -> Option<Result<Batch, LogError>> {
    let stream = ledger.stream_name(kind);
    let read = ledger.log().read(stream, from, limit, READ_WAIT);
    timeout(READ_WAIT + READ_TIMEOUT, read).await.ok()
}
