//! A cluster of separate processes on loopback, with backend servers in the test's own process.

mod process;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use masticcross_basics::{Name, ProcessStatus};
use masticcross_config::samples;
use masticcross_ledger::publish::{PublishOutcome, publish};
use masticcross_log::{HttpLog, HttpLogSettings};
use masticcross_standins::backend::{Backend, BackendSettings, start_key};
use masticcross_standins::http::client::Client;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use process::Process;
pub use process::Signal;

const SERVICE: &str = "quote-desk";
const ZONES: [&str; 3] = ["perth-north", "perth-south", "perth-east"];

/// Timeout for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Interval between checks of an expected state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for an answer, longer than the deadline of the jobs.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// Deadline of the jobs, in milliseconds.
const DEADLINE_MS: u32 = 30_000;

/// The answer that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Every task's value, in order.
    Complete(Vec<u64>),
    /// A problem document.
    Refused { code: u64, not_run: bool },
}

/// Result of `masticcross publish`, with the text of its standard error.
#[derive(Debug)]
pub struct Published {
    pub accepted: bool,
    pub text: String,
}

#[derive(Debug, Deserialize)]
struct EntryStatus {
    #[serde(flatten)]
    process: ProcessStatus,
    members: Vec<String>,
    agents: Vec<AgentStatus>,
    partitions_owned: u16,
}

#[derive(Debug, Deserialize)]
struct AgentStatus {
    worker: String,
}

/// Locked by the running cluster, so that clusters do not compete for processor time.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

pub struct Cluster {
    runtime: Runtime,
    client: Client,
    log: Process,
    entries: Vec<Process>,
    agents: Vec<Process>,
    backends: Vec<Backend>,
    // Last, so that it is dropped after the processes.
    _cluster_lock: MutexGuard<'static, ()>,
}

impl Cluster {
    /// Starts all processes and waits until they have discovered each other.
    pub fn start() -> Self {
        let cluster_lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let runtime = Runtime::new().expect("a runtime");
        let log = Process::start("log", "standin-log", &["--listen", "127.0.0.1:0"]);
        let log_addr = log.addr("at");
        runtime.block_on(publish_initial_config(log_addr));
        let entries: Vec<_> = (0..ZONES.len()).map(|i| start_entry(i, log_addr)).collect();
        let peers: Vec<_> = entries
            .iter()
            .map(|e| e.addr("peers").to_string())
            .collect();
        let peers = peers.join(",");
        let agents: Vec<_> = (0..ZONES.len()).map(|i| start_agent(i, &peers)).collect();
        let backends = agents.iter().enumerate().map(|(i, agent)| {
            let settings = BackendSettings {
                agent: Some(agent.addr("listen").to_string()),
                ..BackendSettings::new(&format!("backend-{i}"), SERVICE)
            };
            runtime
                .block_on(Backend::start(settings))
                .expect("a backend server")
        });
        let backends = backends.collect();
        let cluster = Self {
            client: Client::new(64),
            runtime,
            log,
            entries,
            agents,
            backends,
            _cluster_lock: cluster_lock,
        };
        cluster.wait_until_ready();
        cluster
    }

    /// Submits a job and waits for the answer.
    pub fn submit(
        &self,
        entry: usize,
        job: &str,
        tasks: usize,
        ms: u32,
        repeatable: bool,
    ) -> Answer {
        let tasks: Vec<Value> = (0..tasks)
            .map(|value| json!({"payload": {"ms": ms, "value": value}}))
            .collect();
        let body = json!({
            "team": "desk", "repeatable": repeatable, "deadline_ms": DEADLINE_MS, "tasks": tasks
        });
        let addr = self.entries[entry].addr("callers");
        let uri = format!("http://{addr}/v1/services/{SERVICE}/jobs/{job}");
        let body = body.to_string().into();
        let sent = self
            .client
            .send(http::Method::PUT, &uri, body, ANSWER_TIMEOUT);
        let resp = self.runtime.block_on(sent).expect("an answer");
        let answer: Value = serde_json::from_slice(&resp.body).expect("JSON");
        match answer["results"].as_array() {
            Some(results) => Answer::Complete(
                results
                    .iter()
                    .map(|r| r["value"].as_u64().expect("the echoed value"))
                    .collect(),
            ),
            None => Answer::Refused {
                code: answer["code"].as_u64().expect("a code"),
                not_run: answer["not_run"].as_bool().expect("a not_run field"),
            },
        }
    }

    /// Publishes the sample as a change of version `base`, with the operators' command line.
    pub fn publish(&self, author: &str, base: u64) -> Published {
        let log = self.log.addr("at").to_string();
        let file = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/crates/masticcross-config/samples/guild.toml"
        );
        let base = base.to_string();
        let args = [
            "publish", "--log", &log, "--author", author, "--base", &base, file,
        ];
        let output = process::command("masticcross").args(args).output();
        let output = output.expect("the program runs");
        Published {
            accepted: output.status.success(),
            text: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// Sends a signal to an entry or an agent.
    pub fn signal(&self, name: &str, signal: Signal) {
        let mut all = self.entries.iter().chain(&self.agents);
        all.find(|p| p.name() == name)
            .expect("a process of that name")
            .signal(signal);
    }

    pub fn set_log_down(&self, down: bool) {
        let uri = format!("http://{}/v1/faults", self.log.addr("at"));
        let body = json!({"all": {"down": down}});
        let sent = self
            .client
            .send_json(http::Method::PUT, &uri, &body, WAIT_TIMEOUT);
        self.runtime.block_on(sent).expect("the faults are set");
    }

    /// Counts the starts of a job's tasks at all backend servers.
    pub fn count_starts(&self, job: &str) -> u64 {
        let keys: Vec<_> = (0..130)
            .map(|index| start_key(SERVICE, job, index))
            .collect();
        let all_starts = self.backends.iter().flat_map(|b| b.starts().0);
        let of_job = all_starts.filter(|(key, _)| keys.contains(key));
        of_job.map(|(_, count)| u64::from(count)).sum()
    }

    /// Counts the tasks that were started more than once, summed over all backend servers.
    pub fn count_tasks_started_twice(&self) -> usize {
        let mut by_task = std::collections::HashMap::new();
        for (key, count) in self.backends.iter().flat_map(|b| b.starts().0) {
            *by_task.entry(key).or_insert(0) += count;
        }
        by_task.values().filter(|count| **count > 1).count()
    }

    pub fn wait_until_tasks_run(&self) {
        wait_until("tasks run", || {
            self.backends.iter().any(|b| b.counts().running > 0)
        });
    }

    pub fn wait_until_ready(&self) {
        wait_until("all processes have discovered each other", || {
            self.is_ready()
        });
    }

    pub fn wait_until_not_ready(&self, entry: usize) {
        wait_until("the view is stale", || {
            !self.status(entry).is_some_and(|s| s.process.fresh)
        });
    }

    /// Waits until the first entry no longer lists a member.
    pub fn wait_until_member_left(&self, name: &str) {
        wait_until("the member left", || {
            let status = self.status(0);
            status.is_some_and(|s| !s.members.iter().any(|m| m == name))
        });
    }

    /// Waits until the first entry no longer lists an agent.
    pub fn wait_until_agent_left(&self, worker: &str) {
        wait_until("the agent left", || {
            let status = self.status(0);
            status.is_some_and(|s| !s.agents.iter().any(|a| a.worker == worker))
        });
    }

    fn is_ready(&self) -> bool {
        let statuses: Vec<_> = (0..self.entries.len())
            .filter_map(|i| self.status(i))
            .collect();
        let complete = statuses.iter().all(|s| {
            s.process.fresh && s.members.len() == ZONES.len() && s.agents.len() == ZONES.len()
        });
        let owned: u16 = statuses.iter().map(|s| s.partitions_owned).sum();
        complete && owned == masticcross_basics::PARTITIONS
    }

    fn status(&self, entry: usize) -> Option<EntryStatus> {
        let uri = format!("http://{}/v1/status", self.entries[entry].addr("operators"));
        self.runtime
            .block_on(self.client.get_json(&uri, WAIT_TIMEOUT))
            .ok()
    }
}

/// Waits until a state is reached, and panics if that takes too long.
pub fn wait_until(state: &str, mut is_reached: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !is_reached() {
        assert!(Instant::now() < end, "not reached: {state}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

async fn publish_initial_config(log: SocketAddr) {
    let log = HttpLog::new(HttpLogSettings::new(log.to_string(), Name::from("test")));
    let published = publish(&log, 0, "test", samples::GUILD).await;
    assert_eq!(published, Ok(PublishOutcome::Accepted(1)));
}

fn start_entry(index: usize, log: SocketAddr) -> Process {
    let name = format!("entry-{}", index + 1);
    let any_port = "127.0.0.1:0";
    let log = log.to_string();
    let args = [
        "serve",
        "--name",
        &name,
        "--region",
        "perth",
        "--zone",
        ZONES[index],
        "--log",
        &log,
        "--callers-listen",
        any_port,
        "--operators-listen",
        any_port,
        "--peers-listen",
        any_port,
    ];
    Process::start(&name, "masticcross", &args)
}

fn start_agent(index: usize, peers: &str) -> Process {
    let worker = format!("worker-{}", index + 1);
    let any_port = "127.0.0.1:0";
    let args = [
        "--name",
        &worker,
        "--zone",
        ZONES[index],
        "--entries",
        peers,
        "--listen",
        any_port,
        "--ops-listen",
        any_port,
    ];
    Process::start(&format!("agent-{}", index + 1), "masticcross-agent", &args)
}
