//! Reading a stream as it grows.

use std::time::Duration;

use masticcross_log::LogError;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep, timeout};

use crate::agreement::Agreement;
use crate::fold::StreamKind;

/// Longest wait of a read for the first record.
const READ_WAIT: Duration = Duration::from_millis(200);

/// Time allowed for a reply beyond the wait.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Most records in one read.
const READ_LIMIT: usize = 1024;

/// First pause after a failed read. It doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a failed read.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Reads one stream until the process ends.
pub(crate) async fn follow(agreement: &Agreement, kind: StreamKind) {
    let mut rng = SmallRng::seed_from_u64(agreement.settings().seed ^ kind as u64);
    let mut pause = FIRST_PAUSE;
    loop {
        match read_once(agreement, kind).await {
            Ok(()) => pause = FIRST_PAUSE,
            Err(error) => {
                let stream = agreement.stream_name(kind);
                log::debug!(stream, error:%; "read failed");
                sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
        agreement.note_freshness();
    }
}

async fn read_once(agreement: &Agreement, kind: StreamKind) -> Result<(), LogError> {
    let from = agreement.next(kind);
    let sent = Instant::now();
    let stream = agreement.stream_name(kind);
    let read = agreement.log().read(stream, from, READ_LIMIT, READ_WAIT);
    let reply = timeout(READ_WAIT + READ_TIMEOUT, read)
        .await
        .unwrap_or_else(|_| Err(LogError::Unavailable("read timed out".to_owned())));
    match reply {
        Ok(batch) => {
            if !agreement.take(kind, sent, &batch) {
                // The log answers at once although nothing new could be used.
                sleep(FIRST_PAUSE).await;
            }
            Ok(())
        }
        Err(LogError::Truncated { first }) => {
            agreement.truncated(kind, first);
            Ok(())
        }
        Err(error) => Err(error),
    }
}
