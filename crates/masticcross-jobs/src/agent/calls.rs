//! Calls to the worker: starts, stops and polls.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::supervisor::{POLL_WAIT, START_TIMEOUT};
use crate::worker_client::{CallError, PollCall, StartCall, StopCall};

use super::{Agent, TICK};

/// Time beyond the worker's wait after which a poll counts as unanswered.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(60);

/// Time after an unanswered poll during which two polls wait at the worker, so that the end of a run
/// is received immediately even if one of them is lost.
const REDUNDANT_POLL_TIME: Duration = Duration::from_secs(3);

/// Backoff after the second unanswered poll in a row; it doubles up to the maximum. It limits the
/// polls of a worker that resets connections, where each poll fails immediately.
const MIN_POLL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_POLL_BACKOFF: Duration = Duration::from_millis(100);

/// Time after which a stop counts as unanswered.
const STOP_TIMEOUT: Duration = Duration::from_millis(60);

/// Interval of the polls while there is no worker.
const NO_WORKER_INTERVAL: Duration = Duration::from_millis(50);

impl Agent {
    pub(super) async fn start(self: Arc<Self>, call: StartCall) {
        let sent_at = Instant::now();
        let answer = timeout(START_TIMEOUT, self.client.start(call.clone())).await;
        let answer = answer.unwrap_or_else(|_| Err(no_answer()));
        match &answer {
            Ok(_) => self.metrics.start_answered(sent_at.elapsed()),
            Err(_) => self.metrics.unanswered("start"),
        }
        self.with_supervisor(|supervisor, now| supervisor.started(&call, answer, now));
    }

    pub(super) async fn stop(self: Arc<Self>, call: StopCall) {
        let run = call.run.clone();
        match timeout(STOP_TIMEOUT, self.client.stop(call)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::info!(run:%, error:%; "cannot stop run, retrying"),
            Err(_) => log::info!(run:%; "stop not answered"),
        }
    }

    pub(super) async fn restore_worker_report(self: Arc<Self>) {
        if let Some(report) = self.store.load().await {
            self.with_supervisor(|supervisor, now| supervisor.restore_report(report, now));
            self.worker_changed.notify_one();
        }
    }

    pub(super) async fn poll_once(self: Arc<Self>) {
        let call =
            self.with_supervisor(|supervisor, now| supervisor.next_poll(Duration::ZERO, now));
        if let Some(call) = call {
            self.poll(call).await;
        }
    }

    /// Polls the worker. Returns false if it did not answer.
    async fn poll(self: &Arc<Self>, call: PollCall) -> bool {
        let wait = Duration::from_millis(call.wait_ms) + POLL_TIMEOUT_MARGIN;
        let answer = timeout(wait, self.client.poll(call.clone())).await;
        let answer = answer.unwrap_or_else(|_| Err(no_answer()));
        let answered = !matches!(answer, Err(CallError::NoAnswer(_)));
        if !answered {
            self.metrics.unanswered("look");
            *self.last_missed_poll.lock() = Some(Instant::now());
        }
        self.with_supervisor(|supervisor, now| supervisor.poll_answered(&call, answer, now));
        answered
    }

    /// Polls the worker continuously, which also extends the lease.
    pub(super) async fn poll_loop(self: Arc<Self>) {
        let mut missed = 0;
        loop {
            let wait = if missed == 0 {
                POLL_WAIT
            } else {
                Duration::ZERO
            };
            let call = self.with_supervisor(|supervisor, now| {
                supervisor.tick(now);
                supervisor.next_poll(wait, now)
            });
            let Some(call) = call else {
                missed = 0;
                // A heartbeat of the worker ends the wait.
                let _ = timeout(NO_WORKER_INTERVAL, self.worker_changed.notified()).await;
                continue;
            };
            missed = if self.poll(call).await { 0 } else { missed + 1 };
            if let Some(backoff) = poll_backoff(missed) {
                sleep(backoff).await;
            }
        }
    }

    /// Polls the worker in parallel to [`Self::poll_loop`] while polls are lost.
    pub(super) async fn redundant_poll_loop(self: Arc<Self>) {
        loop {
            let missed = *self.last_missed_poll.lock();
            if missed.is_none_or(|at| at.elapsed() > REDUNDANT_POLL_TIME) {
                sleep(TICK).await;
                continue;
            }
            let call = self.with_supervisor(|supervisor, now| supervisor.next_poll(POLL_WAIT, now));
            match call {
                Some(call) => {
                    if !self.poll(call).await {
                        sleep(MAX_POLL_BACKOFF).await;
                    }
                }
                None => sleep(TICK).await,
            }
        }
    }
}

/// Returns the backoff before the next poll after `missed` unanswered ones in a row, if any.
fn poll_backoff(missed: u32) -> Option<Duration> {
    let doublings = missed.checked_sub(2)?.min(16);
    Some((MIN_POLL_BACKOFF * (1 << doublings)).min(MAX_POLL_BACKOFF))
}

fn no_answer() -> CallError {
    CallError::NoAnswer("timed out".to_owned())
}
