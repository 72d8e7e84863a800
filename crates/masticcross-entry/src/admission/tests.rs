//! Tests of the writer and the reader with the in-memory log.

use std::sync::Arc;
use std::time::Duration;

use masticcross_basics::{Digest, Epoch, JobKey, Name};
use masticcross_ledger::{AdmissionRecord, EndedRecord};
use masticcross_log::LogError;
use masticcross_standins::log::{MemoryLog, MemoryLogSettings, Occurrence};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{AdmissionEvent, AdmissionSettings, Admissions};
use crate::Identity;

const WINDOW: Duration = Duration::from_mins(10);

fn record(n: usize) -> AdmissionRecord {
    AdmissionRecord {
        key: JobKey::new("quote-desk", &format!("job-{n}")).expect("valid names"),
        epoch: Epoch(3),
        digest: Digest([1, 2]),
        repeatable: true,
        tasks: 4,
        view: 7,
    }
}

fn start(log: &MemoryLog, settings: AdmissionSettings) -> Arc<Admissions> {
    let identity = Identity {
        name: Name::from("entry"),
        incarnation: 5,
        region: Name::from("west"),
        zone: Name::from("north"),
        peer_addr: ([127, 0, 0, 1], 1).into(),
    };
    let admissions = Admissions::with_settings(identity, Arc::new(log.clone()), settings);
    tokio::spawn(admissions.clone().run());
    admissions
}

fn new_log() -> MemoryLog {
    MemoryLog::new(MemoryLogSettings::default())
}

async fn admit_all(admissions: &Arc<Admissions>, count: usize) -> Vec<super::Result<()>> {
    let mut tasks = JoinSet::new();
    for n in 0..count {
        let admissions = admissions.clone();
        tasks.spawn(async move { admissions.admit(record(n)).await });
    }
    tasks.join_all().await
}

#[tokio::test(start_paused = true)]
async fn concurrent_admissions_share_few_appends() {
    let log = new_log();
    let admissions = start(&log, AdmissionSettings::default());
    let results = admit_all(&admissions, 1_000).await;
    assert!(results.iter().all(Result::is_ok));
    assert!(log.append_count() <= 4, "{} appends", log.append_count());
}

#[tokio::test(start_paused = true)]
async fn appends_beyond_the_burst_are_rate_limited() {
    let log = new_log();
    let settings = AdmissionSettings::default();
    let admissions = start(&log, settings.clone());
    let started_at = Instant::now();
    for n in 0..100 {
        admissions.admit(record(n)).await.expect("admitted");
        let intervals = started_at.elapsed().as_millis() / settings.min_interval.as_millis();
        assert!(u128::from(log.append_count()) <= intervals + u128::from(settings.burst));
    }
    assert_eq!(log.append_count(), 100);
}

#[tokio::test(start_paused = true)]
async fn admissions_within_the_burst_wait_only_for_their_append() {
    let log = new_log();
    let settings = AdmissionSettings::default();
    let admissions = start(&log, settings.clone());
    let append = log.settings().append_latency;
    for n in 0..settings.burst as usize {
        let started_at = Instant::now();
        admissions.admit(record(n)).await.expect("admitted");
        assert!(started_at.elapsed() <= append + Duration::from_millis(1));
    }
}

#[tokio::test(start_paused = true)]
async fn lost_append_reply_is_resolved_by_reading_back() {
    let log = new_log();
    let admissions = start(&log, AdmissionSettings::default());
    log.faults()
        .lose_replies(Occurrence::Next(1), Duration::from_millis(20));
    assert_eq!(admissions.admit(record(0)).await, Ok(()));
    assert_eq!(log.append_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn admission_fails_in_time_while_log_is_down_and_succeeds_afterwards() {
    let log = new_log();
    let admissions = start(&log, AdmissionSettings::default());
    log.faults().set_down(true);
    let started_at = Instant::now();
    assert!(admissions.admit(record(0)).await.is_err());
    assert!(started_at.elapsed() <= Duration::from_millis(1_100));
    log.faults().set_down(false);
    assert_eq!(admissions.admit(record(1)).await, Ok(()));
}

#[tokio::test(start_paused = true)]
async fn admission_is_refused_when_queue_is_full() {
    let log = new_log();
    let settings = AdmissionSettings {
        max_queue: 10,
        ..AdmissionSettings::default()
    };
    let admissions = start(&log, settings);
    let results = admit_all(&admissions, 30).await;
    let refused = results
        .iter()
        .filter(|r| matches!(r, Err(LogError::Unavailable(_))));
    assert!(refused.count() >= 10);
}

#[tokio::test(start_paused = true)]
async fn recent_returns_admissions_and_ends_in_stream_order() {
    let log = new_log();
    let admissions = start(&log, AdmissionSettings::default());
    for n in 0..700 {
        admissions.admit(record(n)).await.expect("admitted");
    }
    let ended = EndedRecord {
        key: record(3).key,
        epoch: Epoch(3),
    };
    admissions.end(ended.clone()).await.expect("recorded");
    let recent = admissions.recent(WINDOW).await.expect("read");
    let expected: Vec<AdmissionEvent> = (0..700)
        .map(|n| AdmissionEvent::Admitted(record(n)))
        .chain([AdmissionEvent::Ended(ended)])
        .collect();
    assert_eq!(recent, expected);
}

#[tokio::test(start_paused = true)]
async fn ends_are_batched_with_the_next_admission() {
    let log = new_log();
    let admissions = start(&log, AdmissionSettings::default());
    let end = |n| EndedRecord {
        key: record(n).key,
        epoch: Epoch(3),
    };
    let ends: Vec<_> = (0..50).map(|n| admissions.end(end(n))).collect();
    let (results, admitted) = tokio::join!(
        futures_util::future::join_all(ends),
        admissions.admit(record(99))
    );
    assert!(results.iter().all(Result::is_ok) && admitted.is_ok());
    assert!(log.append_count() <= 2, "{} appends", log.append_count());
}
