//! Compares the task starts that backend servers counted with the answers to callers.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use thiserror::Error;

use super::jobs::JobTable;
use crate::backend::{StartKey, StartList, StartListError, start_key};
use crate::http::client::{CallError, Client};

/// Timeout for fetching the start list of one backend server.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the start list of a backend server is missing.
#[derive(Debug, Error)]
pub enum StartsError {
    /// The HTTP request failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The list cannot be decoded.
    #[error("{0}")]
    List(#[from] StartListError),
}

/// Result of fetching a list.
pub type Result<T> = std::result::Result<T, StartsError>;

/// Counts of task starts in the jobs of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct StartCounts {
    /// Total number of starts.
    pub starts: u64,
    /// Tasks started more than once.
    pub doubled: u64,
    /// Those of them whose jobs must run at most once.
    pub doubled_not_repeatable: u64,
    /// Jobs with a started task whose submissions were all answered with "not run".
    pub false_not_run: u64,
    /// Backend servers whose start list is missing.
    pub missing_lists: u64,
}

/// Number of starts of each task, over all backend servers.
#[derive(Debug, Default)]
pub struct Starts {
    by_task: HashMap<StartKey, u64>,
    missing_lists: u64,
}

impl Starts {
    /// Fetches the start lists of backend servers. A list that cannot be fetched is counted as
    /// missing.
    pub async fn fetch(backends: &[String]) -> Self {
        let client = Client::new(1);
        let mut starts = Self::default();
        for backend in backends {
            match fetch_list(&client, backend).await {
                Ok(list) => starts.add(&list),
                Err(e) => {
                    log::warn!(backend = backend.as_str(), error:% = e; "cannot fetch start list");
                    starts.missing_lists += 1;
                }
            }
        }
        starts
    }

    /// Adds the start list of one backend server.
    pub fn add(&mut self, list: &StartList) {
        for (key, starts) in &list.0 {
            *self.by_task.entry(*key).or_default() += u64::from(*starts);
        }
    }

    /// Compares the starts with the answers to callers.
    #[must_use]
    pub fn compare(&self, jobs: &JobTable) -> StartCounts {
        let mut counts = StartCounts {
            missing_lists: self.missing_lists,
            ..StartCounts::default()
        };
        for (id, job) in jobs.iter() {
            let starts_of = |index| self.starts_of(&job.service, id, index);
            let starts: Vec<u64> = (0..job.tasks as u64).map(starts_of).collect();
            let total: u64 = starts.iter().sum();
            let doubled = starts.iter().filter(|n| **n > 1).count() as u64;
            counts.starts += total;
            counts.doubled += doubled;
            if !job.repeatable {
                counts.doubled_not_repeatable += doubled;
            }
            if total > 0 && job.is_reported_not_run() {
                counts.false_not_run += 1;
            }
        }
        counts
    }

    fn starts_of(&self, service: &str, job: &str, index: u64) -> u64 {
        let key = start_key(service, job, index);
        self.by_task.get(&key).copied().unwrap_or_default()
    }
}

async fn fetch_list(client: &Client, backend: &str) -> Result<StartList> {
    let uri = format!("http://{backend}/starts");
    let response = client
        .send(Method::GET, &uri, Bytes::new(), LIST_TIMEOUT)
        .await?;
    if !response.status.is_success() {
        return Err(CallError::Status(response.status).into());
    }
    Ok(StartList::decode(response.body)?)
}
