//! Tests of the in-memory log and its faults, with paused time.

use super::*;

const READ_WAIT: Duration = Duration::from_secs(10);

fn log() -> MemoryLog {
    MemoryLog::new(MemoryLogSettings::default())
}

async fn append(log: &MemoryLog, text: &str) -> Result<Offset> {
    log.append("s", Arc::from(text)).await
}

async fn read_all(log: &MemoryLog) -> Vec<String> {
    let batch = log.read("s", 0, 100, Duration::ZERO).await.expect("read");
    batch.records.iter().map(|r| r.data.to_string()).collect()
}

/// Defines async test cases that run with paused time.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                let run: fn() -> BoxFuture<'static, ()> = || Box::pin($body);
                run().await;
            }
        )*
    };
}

cases! {
    appends_get_offsets_in_order => async {
        let log = log();
        assert_eq!(append(&log, "a").await, Ok(0));
        assert_eq!(append(&log, "b").await, Ok(1));
        assert_eq!(read_all(&log).await, ["a", "b"]);
        assert_eq!(log.bounds("s").await, Ok(Bounds { first: 0, next: 2 }));
        assert_eq!(log.bounds("other").await, Ok(Bounds { first: 0, next: 0 }));
    };
    append_takes_latency_with_slow_factor_and_extra_delay => async {
        let log = log();
        let start = Instant::now();
        append(&log, "a").await.expect("append");
        assert_eq!(start.elapsed(), Duration::from_millis(5));
        log.faults().set_slow(10.0, Duration::from_millis(7));
        append(&log, "a").await.expect("append");
        assert_eq!(start.elapsed(), Duration::from_millis(62));
    };
    waiting_read_returns_an_appended_record => async {
        let log = log();
        let reader = log.clone();
        let read = tokio::spawn(async move { reader.read("s", 0, 10, READ_WAIT).await });
        sleep(Duration::from_secs(1)).await;
        append(&log, "a").await.expect("append");
        let batch = read.await.expect("join").expect("read");
        assert_eq!(batch.records.len(), 1);
    };
    waiting_read_returns_empty_after_the_wait => async {
        let log = log();
        let start = Instant::now();
        let batch = log.read("s", 0, 10, READ_WAIT).await.expect("read");
        assert_eq!(batch.records.len(), 0);
        assert!(start.elapsed() >= READ_WAIT);
    };
    appends_above_the_burst_are_throttled => async {
        let log = log();
        let appends = (0..500).map(|_| append(&log, "a"));
        let results = futures_util::future::join_all(appends).await;
        let accepted = results.iter().filter(|r| r.is_ok()).count();
        assert_eq!(accepted, 400);
        let throttled = |r: &Result<Offset>| match r {
            Err(LogError::Throttled { retry_after }) => Some(*retry_after),
            _ => None,
        };
        let waits: Vec<Duration> = results.iter().filter_map(throttled).collect();
        assert_eq!(waits.len(), 100);
        sleep(waits[0]).await;
        assert!(append(&log, "a").await.is_ok());
    };
    records_older_than_the_retention_are_dropped => async {
        let log = log();
        append(&log, "a").await.expect("append");
        sleep(Duration::from_mins(59)).await;
        append(&log, "b").await.expect("append");
        sleep(Duration::from_mins(2)).await;
        let read = log.read("s", 0, 10, Duration::ZERO).await;
        assert_eq!(read, Err(LogError::Truncated { first: 1 }));
        assert_eq!(log.bounds("s").await, Ok(Bounds { first: 1, next: 2 }));
    };
    truncate_drops_records_and_keeps_offsets => async {
        let log = log();
        for text in ["a", "b", "c"] {
            append(&log, text).await.expect("append");
        }
        log.truncate("s", 2);
        let read = log.read("s", 1, 10, Duration::ZERO).await;
        assert_eq!(read, Err(LogError::Truncated { first: 2 }));
        log.truncate("s", 9);
        assert_eq!(append(&log, "d").await, Ok(3));
    };
    log_that_is_down_refuses_calls_and_fails_waiting_reads => async {
        let log = log();
        let reader = log.clone();
        let read = tokio::spawn(async move { reader.read("s", 0, 10, READ_WAIT).await });
        sleep(Duration::from_secs(1)).await;
        log.faults().set_down(true);
        assert!(matches!(read.await.expect("join"), Err(LogError::Unavailable(_))));
        assert!(matches!(append(&log, "a").await, Err(LogError::Unavailable(_))));
        log.faults().clear();
        assert_eq!(append(&log, "b").await, Ok(0));
    };
    unreachable_client_fails_while_another_one_appends => async {
        let log = log();
        let (near, far) = (log.client("near"), log.client("far"));
        log.faults().set_unreachable("far", true);
        assert_eq!(append(&near, "a").await, Ok(0));
        assert!(matches!(append(&far, "b").await, Err(LogError::Unavailable(_))));
        assert_eq!(read_all(&near).await, ["a"]);
    };
    append_is_unknown_if_the_log_becomes_unreachable_before_the_reply => async {
        let log = log().client("far");
        let writer = log.clone();
        let write = tokio::spawn(async move { append(&writer, "a").await });
        sleep(Duration::from_millis(4)).await;
        log.faults().set_unreachable("far", true);
        assert!(matches!(write.await.expect("join"), Err(LogError::Unknown(_))));
        assert_eq!(read_all(&log.client("near")).await, ["a"]);
    };
    append_with_lost_reply_hangs_and_takes_effect => async {
        let log = log();
        log.faults().lose_replies(Occurrence::Next(1), Duration::from_secs(2));
        let start = Instant::now();
        assert!(matches!(append(&log, "a").await, Err(LogError::Unknown(_))));
        assert!(start.elapsed() >= Duration::from_secs(2));
        assert_eq!(read_all(&log).await, ["a"]);
        assert_eq!(append(&log, "b").await, Ok(1));
    };
    late_append_takes_effect_after_its_call_failed => async {
        let log = log();
        let late_by = Duration::from_secs(3);
        log.faults().delay_appends(Occurrence::Next(1), late_by, Duration::ZERO);
        assert!(matches!(append(&log, "a").await, Err(LogError::Unknown(_))));
        assert_eq!(append(&log, "b").await, Ok(0));
        assert_eq!(read_all(&log).await, ["b"]);
        sleep(late_by).await;
        assert_eq!(read_all(&log).await, ["b", "a"]);
    };
    logs_with_the_same_seed_lose_the_same_replies => async {
        let mut runs = Vec::new();
        for _ in 0..2 {
            let log = log();
            log.faults().lose_replies(Occurrence::Share(0.5), Duration::ZERO);
            let mut run = Vec::new();
            for _ in 0..50 {
                run.push(append(&log, "a").await.is_ok());
            }
            runs.push(run);
        }
        assert_eq!(runs[0], runs[1]);
        assert!(runs[0].contains(&true) && runs[0].contains(&false));
    };
    read_stops_at_the_byte_limit => async {
        let log = log();
        let text = "x".repeat(600 * 1024);
        for _ in 0..3 {
            append(&log, &text).await.expect("append");
        }
        let batch = log.read("s", 1, 10, Duration::ZERO).await.expect("read");
        assert_eq!(batch.records.len(), 1);
        assert_eq!(batch.end_of_read(1), 2);
        assert_eq!(batch.next, 3);
    };
    record_above_the_size_limit_is_refused => async {
        let log = log();
        let text = "x".repeat(log.settings().max_record_bytes + 1);
        assert!(matches!(append(&log, &text).await, Err(LogError::Malformed(_))));
    };
}
