//! Checks that several entries replicate the same state while the log that they share fails.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{PARTITIONS_STREAM, claim, document, join, new_log, start};
use futures_util::future::BoxFuture;
use masticcross_basics::{Epoch, Partition};
use masticcross_ledger::{
    CONFIG_STREAM, Ledger, LedgerSettings, PublishOutcome, publish, read_config,
};
use masticcross_log::{Batch, Bounds, Log, LogError, Offset, Result};
use masticcross_standins::log::{MemoryLog, Occurrence};
use tokio::time::{Instant, sleep};

const PARTITION: Partition = Partition(7);

/// Time in which every reader that can reach the log has read a new record.
const READ_TIME: Duration = Duration::from_millis(50);

async fn wait_for_readers() {
    sleep(READ_TIME).await;
}

fn start_default(log: &MemoryLog, name: &str) -> Arc<Ledger> {
    start(log, name, LedgerSettings::default())
}

#[tokio::test(start_paused = true)]
async fn first_of_two_concurrent_claims_wins_and_both_entries_agree() {
    let log = new_log();
    let (a, b) = (start_default(&log, "a"), start_default(&log, "b"));
    a.append(join("a", 1)).await.unwrap();
    b.append(join("b", 1)).await.unwrap();
    let (first, second) = tokio::join!(
        a.append(claim("a", 7, Epoch(0))),
        b.append(claim("b", 7, Epoch(0))),
    );
    let (first, second) = (first.unwrap(), second.unwrap());
    wait_for_readers().await;
    assert_eq!(a.state(), b.state());
    let winning_epoch = Epoch(first.min(second) + 1);
    assert_eq!(
        a.owned_epoch(PARTITION),
        (first < second).then_some(winning_epoch)
    );
    assert_eq!(
        b.owned_epoch(PARTITION),
        (second < first).then_some(winning_epoch)
    );
}

#[tokio::test(start_paused = true)]
async fn first_of_two_concurrent_documents_is_accepted_and_the_other_gets_a_conflict() {
    let log = new_log();
    let outcome = publish(&log, 0, "ann", &document(0)).await.unwrap();
    assert_eq!(outcome, PublishOutcome::Accepted(1));
    let (ann, ben) = (document(1), document(2));
    let (first, second) =
        tokio::join!(publish(&log, 1, "ann", &ann), publish(&log, 1, "ben", &ben));
    let history = read_config(&log).await.unwrap();
    let by = history.config.author.clone();
    let (won, lost) = if by == "ann" {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!(won.unwrap(), PublishOutcome::Accepted(2));
    assert_eq!(lost.unwrap(), PublishOutcome::Conflict { by, version: 2 });
    let versions: Vec<_> = history.proposals.iter().map(|p| p.version).collect();
    assert_eq!(versions, [Some(1), Some(2), None]);
}

#[tokio::test(start_paused = true)]
async fn publishing_on_an_outdated_base_appends_nothing() {
    let log = new_log();
    publish(&log, 0, "ann", &document(0)).await.unwrap();
    let outcome = publish(&log, 0, "ben", &document(1)).await.unwrap();
    let by = "ann".to_owned();
    assert_eq!(outcome, PublishOutcome::Conflict { by, version: 1 });
    assert_eq!(log.append_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn append_with_a_lost_reply_succeeds_without_a_second_record() {
    let log = new_log();
    let a = start_default(&log, "a");
    log.faults()
        .lose_replies(Occurrence::Always, Duration::from_secs(30));
    assert_eq!(a.append(join("a", 1)).await, Ok(0));
    assert_eq!(a.append(claim("a", 7, Epoch(0))).await, Ok(1));
    let outcome = publish(&log, 0, "ann", &document(0)).await.unwrap();
    assert_eq!(outcome, PublishOutcome::Accepted(1));
    assert_eq!(log.append_count(), 3);
}

#[tokio::test(start_paused = true)]
async fn append_that_is_applied_very_late_returns_unknown_and_has_no_effect() {
    let log = new_log();
    let a = start_default(&log, "a");
    a.append(join("a", 1)).await.unwrap();
    a.append(join("b", 1)).await.unwrap();
    log.faults()
        .delay_appends(Occurrence::Next(1), Duration::from_secs(30), Duration::ZERO);
    let late = a.append(claim("a", 7, Epoch(0))).await;
    assert!(matches!(late, Err(LogError::Unknown(_))));
    let offset = a.append(claim("b", 7, Epoch(0))).await.unwrap();
    sleep(Duration::from_secs(40)).await;
    assert_eq!(log.append_count(), 4);
    assert_eq!(a.state().ownership(PARTITION).epoch, Epoch(offset + 1));
}

#[tokio::test(start_paused = true)]
async fn throttled_append_is_retried() {
    let log = new_log();
    let a = start_default(&log, "a");
    for _ in 0..1000 {
        let _ = log.append("other", "x".into()).await;
    }
    assert!(a.append(join("a", 1)).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn view_age_counts_from_the_last_read_that_confirmed_the_view() {
    let log = new_log();
    publish(&log, 0, "ann", &document(0)).await.unwrap();
    let (a, b) = (start_default(&log, "a"), start_default(&log, "b"));
    assert_eq!(a.view_age(), None);
    sleep(Duration::from_secs(1)).await;
    assert!(a.is_fresh() && b.is_fresh());
    assert!(a.view_age().unwrap() <= Duration::from_millis(450));

    log.faults().set_unreachable("a", true);
    sleep(Duration::from_secs(3)).await;
    assert!(!a.is_fresh() && b.is_fresh());
    assert!(a.view_age().unwrap() >= Duration::from_secs(3));

    log.faults().clear();
    log.faults().set_down(true);
    sleep(Duration::from_secs(3)).await;
    assert!(!a.is_fresh() && !b.is_fresh());

    log.faults().clear();
    log.faults().set_slow(1.0, Duration::from_millis(300));
    sleep(Duration::from_secs(5)).await;
    let age = a.view_age().unwrap();
    assert!(age >= Duration::from_millis(300) && age <= Duration::from_millis(1500));
}

#[tokio::test(start_paused = true)]
async fn view_stays_fresh_while_each_read_takes_longer_than_a_second() {
    let log = new_log();
    publish(&log, 0, "ann", &document(0)).await.unwrap();
    let a = start_default(&log, "a");
    log.faults().set_slow(1.0, Duration::from_millis(1_200));
    sleep(Duration::from_secs(10)).await;
    for number in 1..5 {
        publish(&log, number.into(), "ann", &document(number))
            .await
            .unwrap();
        for _ in 0..50 {
            sleep(Duration::from_millis(50)).await;
            assert!(a.is_fresh());
        }
        assert_eq!(a.state().config.version, u64::from(number) + 1);
    }
}

#[tokio::test(start_paused = true)]
async fn accepted_document_is_in_force_at_all_entries_within_the_read_time() {
    let log = new_log();
    let entries = ["a", "b", "c"].map(|name| start_default(&log, name));
    sleep(Duration::from_secs(1)).await;
    publish(&log, 0, "ann", &document(0)).await.unwrap();
    wait_for_readers().await;
    for entry in &entries {
        assert_eq!(entry.state().config.version, 1);
    }
}

fn frequent_snapshots() -> LedgerSettings {
    LedgerSettings {
        snapshot_interval: Duration::from_secs(2),
        snapshot_refresh: Duration::from_secs(10),
        ..LedgerSettings::default()
    }
}

#[tokio::test(start_paused = true)]
async fn new_reader_recovers_from_snapshots_after_records_were_dropped() {
    let log = new_log();
    let a = start(&log, "a", frequent_snapshots());
    a.append(join("a", 1)).await.unwrap();
    a.append(claim("a", 7, Epoch(0))).await.unwrap();
    for number in 0..5 {
        publish(&log, number.into(), "ann", &document(number))
            .await
            .unwrap();
    }
    sleep(Duration::from_secs(5)).await;
    a.append(claim("a", 8, Epoch(0))).await.unwrap();
    wait_for_readers().await;
    log.truncate(CONFIG_STREAM, 5);
    log.truncate(PARTITIONS_STREAM, 2);
    let b = start_default(&log, "b");
    wait_for_readers().await;
    assert_eq!(a.state(), b.state());
    assert_eq!(b.state().config.version, 5);
    assert!(b.is_fresh());
    let outcome = publish(&log, 5, "ben", &document(9)).await.unwrap();
    assert_eq!(outcome, PublishOutcome::Accepted(6));
}

#[tokio::test(start_paused = true)]
async fn reader_that_missed_records_keeps_its_state_but_is_stale_until_a_snapshot() {
    let log = new_log();
    let (a, b) = (start_default(&log, "a"), start_default(&log, "b"));
    publish(&log, 0, "ann", &document(0)).await.unwrap();
    a.append(join("a", 1)).await.unwrap();
    wait_for_readers().await;
    log.faults().set_unreachable("b", true);
    publish(&log, 1, "ann", &document(1)).await.unwrap();
    publish(&log, 2, "ann", &document(2)).await.unwrap();
    wait_for_readers().await;
    log.faults().set_unreachable("a", true);
    log.truncate(CONFIG_STREAM, 3);
    log.faults().set_unreachable("b", false);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(b.state().config.version, 1);
    assert!(!b.is_fresh());
    log.faults().set_unreachable("a", false);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(b.state().config, a.state().config);
    assert!(b.is_fresh());
}

#[tokio::test(start_paused = true)]
async fn idle_stream_stays_readable_through_refreshed_snapshots() {
    let log = new_log();
    let a = start(&log, "a", frequent_snapshots());
    publish(&log, 0, "ann", &document(0)).await.unwrap();
    a.append(join("a", 1)).await.unwrap();
    for _ in 0..10 {
        sleep(Duration::from_secs(11)).await;
        let bounds = log.bounds(CONFIG_STREAM).await.unwrap();
        log.truncate(CONFIG_STREAM, bounds.next - 1);
        let bounds = log.bounds(PARTITIONS_STREAM).await.unwrap();
        log.truncate(PARTITIONS_STREAM, bounds.next - 1);
    }
    let b = start_default(&log, "b");
    wait_for_readers().await;
    assert_eq!(b.state().config.version, 1);
    assert_eq!(b.state().members, a.state().members);
}

#[tokio::test(start_paused = true)]
async fn streams_are_reset_after_all_records_were_dropped() {
    let log = new_log();
    publish(&log, 0, "ann", &document(0)).await.unwrap();
    log.append(PARTITIONS_STREAM, "{}".into()).await.unwrap();
    log.truncate(CONFIG_STREAM, 1);
    log.truncate(PARTITIONS_STREAM, 1);
    let (a, b) = (start_default(&log, "a"), start_default(&log, "b"));
    sleep(Duration::from_secs(30)).await;
    assert!(!a.is_fresh());
    assert!(a.append(join("a", 1)).await.is_ok());
    let outcome = publish(&log, 4, "ann", &document(1)).await.unwrap();
    assert_eq!(outcome, PublishOutcome::Accepted(2));
    wait_for_readers().await;
    assert_eq!(a.state(), b.state());
    assert_eq!(a.state().config.version, 2);
    assert!(a.is_fresh());
    assert!(a.state().ownership(PARTITION).epoch > Epoch(0));
}

#[tokio::test(start_paused = true)]
async fn record_that_cannot_be_parsed_is_skipped() {
    let log = new_log();
    log.append(CONFIG_STREAM, "nonsense".into()).await.unwrap();
    log.append(PARTITIONS_STREAM, "{\"record\":\"of tomorrow\"}".into())
        .await
        .unwrap();
    let a = start_default(&log, "a");
    publish(&log, 0, "ann", &document(0)).await.unwrap();
    assert_eq!(a.append(join("a", 1)).await, Ok(1));
    wait_for_readers().await;
    assert_eq!(a.state().config.version, 1);
}

fn document_with_freshness(ms: u32) -> String {
    format!("{}\n[times]\nfreshness_ms = {ms}\n", document(0))
}

#[tokio::test(start_paused = true)]
async fn fence_includes_views_of_a_recently_replaced_configuration() {
    let log = new_log();
    let slow = document_with_freshness(2_800);
    publish(&log, 0, "ann", &slow).await.unwrap();
    let a = start_default(&log, "a");
    sleep(Duration::from_secs(1)).await;
    let fast = document_with_freshness(1_000);
    publish(&log, 1, "ann", &fast).await.unwrap();
    wait_for_readers().await;
    assert_eq!(a.fence(), Duration::from_millis(2_940));
    let b = start_default(&log, "b");
    wait_for_readers().await;
    assert_eq!(b.fence(), Duration::from_millis(2_940));
    sleep(Duration::from_secs(5)).await;
    assert_eq!(a.fence(), Duration::from_millis(1_050));
    assert_eq!(b.fence(), Duration::from_millis(1_050));
}

#[tokio::test(start_paused = true)]
async fn waiting_for_a_fence_uses_the_configuration_that_was_in_force() {
    let log = new_log();
    let fast = document_with_freshness(1_000);
    publish(&log, 0, "ann", &fast).await.unwrap();
    let a = start_default(&log, "a");
    sleep(Duration::from_secs(1)).await;
    log.faults().set_unreachable("a", true);
    let slow = document_with_freshness(2_800);
    publish(&log, 1, "ann", &slow).await.unwrap();
    let since = Instant::now();
    let waiting = tokio::spawn(async move { a.wait_for_fence(since).await });
    sleep(Duration::from_secs(2)).await;
    assert!(!waiting.is_finished());
    log.faults().set_unreachable("a", false);
    waiting.await.unwrap();
    assert!(since.elapsed() >= Duration::from_millis(2_940));
}

/// Log over a thin link: each record takes some time.
struct ThinLog {
    log: MemoryLog,
    time_per_record: Duration,
}

impl Log for ThinLog {
    fn append<'a>(&'a self, stream: &'a str, data: Arc<str>) -> BoxFuture<'a, Result<Offset>> {
        self.log.append(stream, data)
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Batch>> {
        Box::pin(async move {
            let batch = self.log.read(stream, from, limit, wait).await?;
            let records = u32::try_from(batch.records.len()).expect("a small batch");
            sleep(self.time_per_record * records).await;
            Ok(batch)
        })
    }

    fn bounds<'a>(&'a self, stream: &'a str) -> BoxFuture<'a, Result<Bounds>> {
        self.log.bounds(stream)
    }
}

#[tokio::test(start_paused = true)]
async fn an_entry_catches_up_although_it_cannot_read_all_records_in_time() {
    let log = new_log();
    for number in 0..40 {
        let version = u64::from(number);
        let outcome = publish(&log, version, "ann", &document(number)).await;
        assert_eq!(
            outcome.expect("written"),
            PublishOutcome::Accepted(version + 1)
        );
    }
    let thin = ThinLog {
        log: log.clone(),
        time_per_record: Duration::from_millis(100),
    };
    let reader = common::start_on(Arc::new(thin), "a", LedgerSettings::default());
    // The bound for a change of the configuration to be in force everywhere.
    sleep(Duration::from_secs(20)).await;
    assert_eq!(reader.state().config.version, 40);
}
