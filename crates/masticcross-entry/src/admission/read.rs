//! The reader for recovery: reads pages backwards until the start of the window.

use std::time::Duration;

use masticcross_ledger::AdmissionBatch;
use masticcross_log::{LogError, Offset, Record};
use tokio::time::sleep;

use super::append::unix_millis;
use super::{AdmissionEvent, Admissions, Result};

/// Maximum number of records in one page.
const PAGE_RECORDS: u64 = 256;

/// Tolerance for differences between the wall clocks of entries.
const MAX_CLOCK_SKEW: Duration = Duration::from_mins(1);

impl Admissions {
    pub(super) async fn read_recent(&self, window: Duration) -> Result<Vec<AdmissionEvent>> {
        let bounds = self.log.bounds(&self.stream).await?;
        let oldest = oldest_millis(window);
        let mut pages: Vec<Vec<AdmissionBatch>> = Vec::new();
        let mut end = bounds.next;
        while end > bounds.first {
            let start = end.saturating_sub(PAGE_RECORDS).max(bounds.first);
            let page = self.read_page(start, end).await?;
            let reached_window_start = page.first().is_some_and(|batch| batch.at_ms < oldest);
            pages.push(page);
            if reached_window_start {
                break;
            }
            end = start;
        }
        Ok(collect_events(pages, oldest))
    }

    async fn read_page(&self, start: Offset, end: Offset) -> Result<Vec<AdmissionBatch>> {
        let mut page = Vec::new();
        let mut at = start;
        while at < end {
            let limit = usize::try_from(end - at).unwrap_or(usize::MAX);
            let read = self.log.read(&self.stream, at, limit, Duration::ZERO).await;
            match read {
                Ok(batch) => {
                    if batch.records.is_empty() {
                        break;
                    }
                    at = batch.end_of_read(at);
                    page.extend(batch.records.iter().filter_map(parse));
                }
                Err(LogError::Truncated { first }) => at = first.max(at + 1),
                Err(LogError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(error) => return Err(error),
            }
        }
        Ok(page)
    }
}

fn parse(record: &Record) -> Option<AdmissionBatch> {
    match serde_json::from_str(&record.data) {
        Ok(batch) => Some(batch),
        Err(error) => {
            log::error!(offset = record.offset, error:%; "malformed admission record");
            None
        }
    }
}

fn oldest_millis(window: Duration) -> u64 {
    let span = u64::try_from((window + MAX_CLOCK_SKEW).as_millis()).unwrap_or(u64::MAX);
    unix_millis().saturating_sub(span)
}

fn collect_events(pages: Vec<Vec<AdmissionBatch>>, oldest: u64) -> Vec<AdmissionEvent> {
    let mut events = Vec::new();
    let batches = pages.into_iter().rev().flatten();
    for batch in batches.filter(|batch| batch.at_ms >= oldest) {
        events.extend(batch.jobs.into_iter().map(AdmissionEvent::Admitted));
        events.extend(batch.ended.into_iter().map(AdmissionEvent::Ended));
    }
    events
}
