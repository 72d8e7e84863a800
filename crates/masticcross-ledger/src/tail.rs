//! Reading a stream as it grows.

use std::sync::Arc;
use std::time::Duration;

use masticcross_log::{Batch, LogError, Offset};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::fold::StreamKind;
use crate::ledger::Ledger;

/// Longest wait of a read for the first record.
const READ_WAIT: Duration = Duration::from_millis(200);

/// Time allowed for a reply beyond the wait.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which another read begins although the one before has no reply. So a slow log makes
/// the view older by one reply time, not by two.
const NEXT_READ_AFTER: Duration = Duration::from_millis(300);

/// Most reads without a reply.
const MAX_READS: usize = 8;

/// Most records in one read.
const READ_LIMIT: usize = 1024;

/// First pause after a failed read. It doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a failed read.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// A read that ended.
struct Reply {
    sent: Instant,
    result: Result<Batch, LogError>,
}

/// Reads one stream until the process ends.
pub(crate) async fn follow(ledger: &Arc<Ledger>, kind: StreamKind) {
    let mut tail = Tail::new(ledger, kind);
    loop {
        if tail.reads.len() < MAX_READS && Instant::now() >= tail.next_at {
            tail.start_read();
        }
        tokio::select! {
            biased;
            Some(Ok(reply)) = tail.reads.join_next() => tail.take(reply),
            () = sleep_until(tail.next_at), if tail.reads.len() < MAX_READS => {}
        }
        ledger.note_freshness();
    }
}

/// The reads of one stream.
struct Tail<'a> {
    ledger: &'a Arc<Ledger>,
    kind: StreamKind,
    reads: JoinSet<Reply>,
    next_at: Instant,
    pause: Duration,
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
            pause: FIRST_PAUSE,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn start_read(&mut self) {
        let from = self.ledger.next(self.kind);
        let sent = Instant::now();
        self.next_at = sent + NEXT_READ_AFTER;
        let ledger = self.ledger.clone();
        let kind = self.kind;
        self.reads.spawn(async move {
            let result = read(&ledger, kind, from).await;
            Reply { sent, result }
        });
    }

    fn take(&mut self, reply: Reply) {
        let now = Instant::now();
        match reply.result {
            Ok(batch) => {
                self.pause = FIRST_PAUSE;
                let progressed = self.ledger.take(self.kind, reply.sent, &batch);
                if !progressed {
                    // The log answers at once although nothing new could be used.
                    self.next_at = now + FIRST_PAUSE;
                } else if self.reads.is_empty() {
                    self.next_at = now;
                }
            }
            Err(LogError::Truncated { first }) => {
                self.ledger.truncated(self.kind, first);
                self.next_at = now;
            }
            Err(error) => {
                let stream = self.ledger.stream_name(self.kind);
                log::debug!(stream, error:%; "read failed");
                self.next_at = now + self.pause.mul_f64(self.rng.random_range(0.5..1.0));
                self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn read(ledger: &Ledger, kind: StreamKind, from: Offset) -> Result<Batch, LogError> {
    let stream = ledger.stream_name(kind);
    let read = ledger.log().read(stream, from, READ_LIMIT, READ_WAIT);
    timeout(READ_WAIT + READ_TIMEOUT, read)
        .await
        .unwrap_or_else(|_| Err(LogError::Unavailable("read timed out".to_owned())))
}
