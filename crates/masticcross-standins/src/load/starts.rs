//! Starts at the backend servers against what callers were told.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use thiserror::Error;

use super::jobs::JobTable;
use crate::backend::{StartKey, StartList, StartListError, start_key};
use crate::http::client::{CallError, Client};

/// Time allowed to read the list of one backend server.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the list of a backend server is missing.
#[derive(Debug, Error)]
pub enum StartsError {
    /// The call failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The list cannot be read.
    #[error("{0}")]
    List(#[from] StartListError),
}

/// Result of reading a list.
pub type Result<T> = std::result::Result<T, StartsError>;

/// Starts of the jobs of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct StartFigures {
    /// Starts in total.
    pub starts: u64,
    /// Tasks started more than once.
    pub doubled: u64,
    /// Of these, tasks of jobs that must run at most once.
    pub doubled_not_repeatable: u64,
    /// Jobs of which all callers were told "not run" although a task started.
    pub false_not_run: u64,
    /// Backend servers whose list is missing.
    pub missing_lists: u64,
}

/// Starts by task, over all backend servers.
#[derive(Debug, Default)]
pub struct Starts {
    by_task: HashMap<StartKey, u64>,
    missing_lists: u64,
}

impl Starts {
    /// Reads the lists of backend servers. One that does not answer is counted as missing.
    pub async fn gather(backends: &[String]) -> Self {
        let client = Client::new(1);
        let mut starts = Self::default();
        for backend in backends {
            match read_list(&client, backend).await {
                Ok(list) => starts.add(&list),
                Err(e) => {
                    log::warn!(backend = backend.as_str(), error:% = e; "list of starts is missing");
                    starts.missing_lists += 1;
                }
            }
        }
        starts
    }

    /// Adds the list of one backend server.
    pub fn add(&mut self, list: &StartList) {
        for (key, starts) in &list.0 {
            *self.by_task.entry(*key).or_default() += u64::from(*starts);
        }
    }

    /// Compares the starts with what callers were told.
    #[must_use]
    pub fn compare(&self, jobs: &JobTable) -> StartFigures {
        let mut figures = StartFigures {
            missing_lists: self.missing_lists,
            ..StartFigures::default()
        };
        for (id, job) in jobs.iter() {
            let starts_of = |index| self.starts_of(&job.service, id, index);
            let starts: Vec<u64> = (0..job.tasks as u64).map(starts_of).collect();
            let total: u64 = starts.iter().sum();
            let doubled = starts.iter().filter(|n| **n > 1).count() as u64;
            figures.starts += total;
            figures.doubled += doubled;
            if !job.repeatable {
                figures.doubled_not_repeatable += doubled;
            }
            if total > 0 && job.is_told_not_run() {
                figures.false_not_run += 1;
            }
        }
        figures
    }

    fn starts_of(&self, service: &str, job: &str, index: u64) -> u64 {
        let key = start_key(service, job, index);
        self.by_task.get(&key).copied().unwrap_or_default()
    }
}

async fn read_list(client: &Client, backend: &str) -> Result<StartList> {
    let uri = format!("http://{backend}/starts");
    let response = client
        .send(Method::GET, &uri, Bytes::new(), LIST_TIMEOUT)
        .await?;
    if !response.status.is_success() {
        return Err(CallError::Status(response.status).into());
    }
    Ok(StartList::decode(response.body)?)
}
